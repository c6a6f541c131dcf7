//! Attempts, retries, hedges and outcome of one call at its entry node. See `docs/design.md`,
//! section 6.

use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, RefusalReason};
use smallvec::SmallVec;

use crate::{AttemptResult, CallBudgets};

/// Attempts of one call that may lose their targets. A request that crashes targets is stopped after
/// two; its node cannot wait for the news of the crashes before it decides about a retry.
const MAX_LOST_ATTEMPTS: u32 = 2;

/// Number of an attempt within its call; the first is 1.
pub type AttemptNumber = u32;

/// Actions of one step, in the order in which they are carried out.
pub type PlanActions = SmallVec<[PlanAction; 4]>;

/// What limits a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Attempts, the first and hedges included; zero counts as one.
    pub max_attempts: u32,
    /// Time after which an answer is worthless.
    pub deadline: Instant,
    /// Time after which an idempotent call is hedged; `None` sends no hedge.
    pub hedge_delay: Option<Duration>,
}

/// What happened to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanEvent {
    /// An attempt ended. An attempt for which no target could be picked ends as refused with
    /// `no-target` and `not-run`.
    AttemptFinished {
        /// The attempt.
        attempt: AttemptNumber,
        /// Its result.
        result: AttemptResult,
    },
    /// The time of [`PlanAction::SetHedgeTimer`] has come.
    HedgeDue,
    /// The deadline has come.
    DeadlineReached {
        /// Whether any byte of the request was offered in an attempt that is still in flight.
        sent: bool,
    },
    /// The caller closed its connection.
    CallerGone,
}

/// What the daemon does next for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanAction {
    /// Send an attempt to a target that no earlier attempt of the call was sent to.
    SendAttempt {
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether it runs beside another attempt.
        hedge: bool,
    },
    /// Report [`PlanEvent::HedgeDue`] at this time.
    SetHedgeTimer {
        /// The time.
        at: Instant,
    },
    /// Cancel an attempt. No event is expected for it.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The call ends with the answer of this attempt.
    FinishAnswered {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The call ends without an answer.
    FinishRefused {
        /// Whether the request was run.
        outcome: CallOutcome,
        /// Why there is no answer.
        reason: RefusalReason,
    },
}

/// Decides what happens next for one call, until it ends.
#[derive(Clone, Debug)]
pub struct CallPlan {
    limits: CallLimits,
    sent: AttemptNumber,
    in_flight: SmallVec<[AttemptNumber; 2]>,
    hedged: bool,
    /// Set by a failure after which no further attempt may be sent.
    final_failure: bool,
    /// Attempts whose connection to the target or its node was lost.
    lost: u32,
    /// Reason of the first attempt that may have run.
    may_have_run: Option<RefusalReason>,
    outcome: Option<CallOutcome>,
}

impl CallPlan {
    /// Creates the plan of a call; [`start`](Self::start) sends the first attempt.
    #[must_use]
    pub fn new(limits: CallLimits) -> Self {
        Self {
            limits,
            sent: 0,
            in_flight: SmallVec::new(),
            hedged: false,
            final_failure: false,
            lost: 0,
            may_have_run: None,
            outcome: None,
        }
    }

    /// Starts the call. A second start does nothing.
    pub fn start(&mut self, budgets: &mut CallBudgets, now: Instant) -> PlanActions {
        let mut actions = PlanActions::new();
        if self.sent > 0 || self.outcome.is_some() {
            return actions;
        }
        if now >= self.limits.deadline {
            self.finish_refused(RefusalReason::DeadlinePassed, &mut actions);
            return actions;
        }
        budgets.retries.record_first(now);
        budgets.hedges.record_first(now);
        self.send(false, &mut actions);
        if let Some(at) = self.hedge_time(now) {
            actions.push(PlanAction::SetHedgeTimer { at });
        }
        actions
    }

    /// Takes an event and returns what to do. Events after the end of the call, and events of
    /// attempts that have ended, change nothing.
    pub fn handle(
        &mut self,
        event: PlanEvent,
        budgets: &mut CallBudgets,
        now: Instant,
    ) -> PlanActions {
        let mut actions = PlanActions::new();
        if self.outcome.is_some() {
            return actions;
        }
        match event {
            PlanEvent::AttemptFinished { attempt, result } => {
                self.finish_attempt(attempt, result, budgets, now, &mut actions);
            }
            PlanEvent::HedgeDue => self.send_hedge(budgets, now, &mut actions),
            PlanEvent::DeadlineReached { sent } => {
                if sent && !self.in_flight.is_empty() {
                    self.may_have_run = Some(RefusalReason::DeadlinePassed);
                }
                self.cancel_attempts(&mut actions);
                self.finish_refused(RefusalReason::DeadlinePassed, &mut actions);
            }
            PlanEvent::CallerGone => {
                let unknown = !self.in_flight.is_empty() || self.may_have_run.is_some();
                self.cancel_attempts(&mut actions);
                self.outcome = Some(if unknown {
                    CallOutcome::MayHaveRun
                } else {
                    CallOutcome::NotRun
                });
            }
        }
        actions
    }

    /// How the call ended, `None` while it has not.
    #[must_use]
    pub fn outcome(&self) -> Option<CallOutcome> {
        self.outcome
    }

    /// Number of attempts that were sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.sent
    }

    fn finish_attempt(
        &mut self,
        attempt: AttemptNumber,
        result: AttemptResult,
        budgets: &mut CallBudgets,
        now: Instant,
        actions: &mut PlanActions,
    ) {
        let Some(index) = self.in_flight.iter().position(|known| *known == attempt) else {
            return;
        };
        self.in_flight.remove(index);
        if result == AttemptResult::Answered {
            self.cancel_attempts(actions);
            self.outcome = Some(CallOutcome::Ran);
            actions.push(PlanAction::FinishAnswered { attempt });
            return;
        }
        let failure = AttemptFailure::from(result);
        if !failure.not_run {
            self.may_have_run.get_or_insert(failure.reason);
            self.lost += u32::from(failure.reason == RefusalReason::ConnectionLost);
        }
        self.final_failure |= !failure.retry;
        if !self.in_flight.is_empty() {
            return;
        }
        if self.may_retry(now) && budgets.retries.try_spend(now) {
            self.send(false, actions);
            return;
        }
        self.finish_refused(failure.reason, actions);
    }

    fn may_retry(&self, now: Instant) -> bool {
        let harmless = self.limits.idempotent || self.may_have_run.is_none();
        let suspect = self.lost >= MAX_LOST_ATTEMPTS;
        harmless && !suspect && !self.final_failure && self.has_attempt_left(now)
    }

    fn has_attempt_left(&self, now: Instant) -> bool {
        self.sent < self.limits.max_attempts && now < self.limits.deadline
    }

    fn hedge_time(&self, now: Instant) -> Option<Instant> {
        if !self.limits.idempotent || self.limits.max_attempts < 2 {
            return None;
        }
        let at = now + self.limits.hedge_delay?;
        (at < self.limits.deadline).then_some(at)
    }

    fn send_hedge(&mut self, budgets: &mut CallBudgets, now: Instant, actions: &mut PlanActions) {
        let wanted = self.limits.idempotent && !self.hedged && !self.final_failure;
        if !wanted || self.in_flight.len() != 1 || !self.has_attempt_left(now) {
            return;
        }
        if budgets.hedges.try_spend(now) {
            self.hedged = true;
            self.send(true, actions);
        }
    }

    fn send(&mut self, hedge: bool, actions: &mut PlanActions) {
        self.sent += 1;
        self.in_flight.push(self.sent);
        actions.push(PlanAction::SendAttempt {
            attempt: self.sent,
            hedge,
        });
    }

    fn cancel_attempts(&mut self, actions: &mut PlanActions) {
        for attempt in std::mem::take(&mut self.in_flight) {
            actions.push(PlanAction::CancelAttempt { attempt });
        }
    }

    /// Ends the call. The reason of an attempt that may have run comes before the latest one,
    /// because it explains the outcome.
    fn finish_refused(&mut self, latest: RefusalReason, actions: &mut PlanActions) {
        let (outcome, reason) = match self.may_have_run {
            Some(reason) => (CallOutcome::MayHaveRun, reason),
            None => (CallOutcome::NotRun, latest),
        };
        self.outcome = Some(outcome);
        actions.push(PlanAction::FinishRefused { outcome, reason });
    }
}

/// What a failed attempt means for the call.
struct AttemptFailure {
    reason: RefusalReason,
    /// Whether the attempt was certainly not run.
    not_run: bool,
    /// Whether another target may do better.
    retry: bool,
}

impl From<AttemptResult> for AttemptFailure {
    fn from(result: AttemptResult) -> Self {
        let (reason, not_run, retry) = match result {
            AttemptResult::Refused { reason, outcome } => {
                (reason, outcome == CallOutcome::NotRun, is_local(reason))
            }
            AttemptResult::ConnectFailed => (RefusalReason::ConnectFailed, true, true),
            AttemptResult::TimedOut => (RefusalReason::DeadlinePassed, false, true),
            AttemptResult::ConnectionLost => (RefusalReason::ConnectionLost, false, true),
            AttemptResult::Answered | AttemptResult::Cancelled => {
                (RefusalReason::ConnectionLost, false, false)
            }
        };
        Self {
            reason,
            not_run,
            retry,
        }
    }
}

/// Tells whether a refusal concerns only the target that was tried.
///
/// `overloaded`, `deadline-too-close` and `deadline-passed` say that the tree below has more work
/// than it can do in time; a retry would add to it. `queue-full` comes from a target whose queue
/// filled in a short burst, while others may have room. Everything else would be refused by any
/// target.
fn is_local(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::QueueFull
            | RefusalReason::Draining
            | RefusalReason::NoLocalTarget
            | RefusalReason::NotReady
            | RefusalReason::ConnectFailed
            | RefusalReason::ConnectionLost
    )
}
