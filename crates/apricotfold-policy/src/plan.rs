//! Attempts, retries, hedges and outcome of one call at its entry node. See `docs/design.md`,
//! section 6.

use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, RefusalReason};
use smallvec::SmallVec;

use crate::{AttemptResult, CallBudgets};

/// Maximum number of attempts of one call that may lose the connection to their targets. A request
/// that crashes targets is stopped after two, because the entry node has to decide about a retry
/// before the crash records of other nodes reach it.
const MAX_LOST_ATTEMPTS: u32 = 2;

/// Number of an attempt within its call, starting at 1.
pub type AttemptNumber = u32;

/// Actions of one step, in the order in which they must be carried out.
pub type PlanActions = SmallVec<[PlanAction; 4]>;

/// Limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
    /// Maximum number of attempts, including the first one and hedges; zero counts as one.
    pub max_attempts: u32,
    /// Time after which an answer is useless to the caller.
    pub deadline: Instant,
    /// Delay after which an idempotent call is hedged; `None` disables hedges.
    pub hedge_delay: Option<Duration>,
}

/// Input of [`CallPlan::handle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanEvent {
    /// An attempt ended. If no target could be picked for an attempt, it ends as refused with
    /// `no-target` and `not-run`.
    AttemptFinished {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Result of the attempt.
        result: AttemptResult,
    },
    /// The time set by [`PlanAction::SetHedgeTimer`] was reached.
    HedgeDue,
    /// The deadline was reached.
    DeadlineReached {
        /// Whether any byte of the request was offered to a target by an attempt that is still in
        /// flight.
        sent: bool,
    },
    /// The caller closed its connection.
    CallerGone,
}

/// What the daemon must do next for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanAction {
    /// Send an attempt to a target that no earlier attempt of the call was sent to.
    SendAttempt {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Whether the attempt is a hedge, sent while another attempt is in flight.
        hedge: bool,
    },
    /// Report [`PlanEvent::HedgeDue`] at this time.
    SetHedgeTimer {
        /// Time at which the hedge is due.
        at: Instant,
    },
    /// Cancel an attempt. No event is expected for it.
    CancelAttempt {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// End the call with the answer of this attempt.
    FinishAnswered {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// End the call without an answer.
    FinishRefused {
        /// Whether a target ran the request.
        outcome: CallOutcome,
        /// Reason that is reported to the caller.
        reason: RefusalReason,
    },
}

/// State machine of one call.
#[derive(Clone, Debug)]
pub struct CallPlan {
    limits: CallLimits,
    sent: AttemptNumber,
    in_flight: SmallVec<[AttemptNumber; 2]>,
    hedged: bool,
    /// Set by a failure that rules out further attempts.
    final_failure: bool,
    /// Number of attempts that lost the connection to the target or its node.
    lost: u32,
    /// Reason of the first attempt that may have run; `None` while no attempt may have.
    may_have_run: Option<RefusalReason>,
    outcome: Option<CallOutcome>,
}

impl CallPlan {
    /// Creates the plan of a call without sending anything; see [`start`](Self::start).
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

    /// Starts the call with its first attempt. Further calls of this method do nothing.
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

    /// Processes an event and returns what to do. Events after the end of the call, and events of
    /// attempts that have already ended, are ignored.
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

    /// Outcome of the call; `None` until it has ended.
    #[must_use]
    pub fn outcome(&self) -> Option<CallOutcome> {
        self.outcome
    }

    /// Number of attempts sent so far, hedges included.
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

    /// Ends the call. The reason of an attempt that may have run takes precedence over the latest
    /// one, because it explains the outcome.
    fn finish_refused(&mut self, latest: RefusalReason, actions: &mut PlanActions) {
        let (outcome, reason) = match self.may_have_run {
            Some(reason) => (CallOutcome::MayHaveRun, reason),
            None => (CallOutcome::NotRun, latest),
        };
        self.outcome = Some(outcome);
        actions.push(PlanAction::FinishRefused { outcome, reason });
    }
}

/// Consequences of a failed attempt for its call.
struct AttemptFailure {
    reason: RefusalReason,
    /// Whether the target certainly did not run the request.
    not_run: bool,
    /// Whether an attempt at another target may succeed.
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

/// Returns whether a refusal concerns only the target that was tried.
///
/// `overloaded`, `deadline-too-close` and `deadline-passed` mean that the targets and the services
/// they call have more work than they can finish in time; a retry would add to it. `queue-full`
/// comes from a target whose queue filled in a short burst, while others may have room. Any target
/// would refuse the request for the remaining reasons.
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
