//! Decides whether a call is sent to a further target. See `docs/platform.md`, section 5.

use apricotfold_model::{CallOutcome, RefusalReason, RetrySafety};

/// Refusals before any target was reached that one call may meet. Each costs a round trip between
/// nodes but no work of a target, so a few are cheaper than sending the caller away.
const MAX_REFUSALS: u32 = 4;

/// Refusals for lack of room after which the service as a whole counts as full. Each further one
/// would tell the caller later what is known by then.
const MAX_FULL_REFUSALS: u32 = 2;

/// How a send ended without an answer that goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No target received any part of the request.
    BeforeTarget,
    /// A target received the request and states that it did not run it.
    RejectedByTarget,
    /// A target may have run the request.
    MayHaveRun,
    /// A target ran the request and answered with a failure of its own.
    FailedAnswer,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Choose another target. `spends_budget` tells whether a repeat must be taken from the budget
    /// first, because another arrival at a target follows one that has been counted.
    Retry {
        /// Whether the budget must allow it.
        spends_budget: bool,
    },
    /// Answer the caller; the outcome says what is known about the request.
    GiveUp(CallOutcome),
}

/// Follows the sends of one call.
#[derive(Clone, Copy, Debug)]
pub struct RetryTracker {
    repeat: RetrySafety,
    max_attempts: u32,
    arrivals: u32,
    refusals: u32,
    full_refusals: u32,
    may_have_run: bool,
}

impl RetryTracker {
    /// Starts a call that may reach `max_attempts` targets.
    #[must_use]
    pub fn new(repeat: RetrySafety, max_attempts: u32) -> Self {
        Self {
            repeat,
            max_attempts,
            arrivals: 0,
            refusals: 0,
            full_refusals: 0,
            may_have_run: false,
        }
    }

    /// Sends that may have arrived at a target.
    #[must_use]
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// What may be told to the caller when the call ends now.
    #[must_use]
    pub fn outcome(&self) -> CallOutcome {
        if self.may_have_run {
            CallOutcome::MayHaveRun
        } else {
            CallOutcome::NotRun
        }
    }

    /// Tells whether a second attempt may be sent beside one that is still under way.
    #[must_use]
    pub fn may_hedge(&self) -> bool {
        self.repeat == RetrySafety::Idempotent && self.arrivals + 1 < self.max_attempts
    }

    /// Notes that an attempt was given up for another one. It may have run.
    pub fn record_superseded(&mut self) {
        self.arrivals += 1;
        self.may_have_run = true;
    }

    /// Decides after a send that brought no usable answer.
    pub fn after(&mut self, end: SendOutcome, reason: RefusalReason) -> RetryDecision {
        match end {
            SendOutcome::BeforeTarget => {
                self.refusals += 1;
                self.full_refusals += u32::from(reason == RefusalReason::Overloaded);
            }
            SendOutcome::RejectedByTarget => self.arrivals += 1,
            SendOutcome::MayHaveRun | SendOutcome::FailedAnswer => {
                self.arrivals += 1;
                self.may_have_run = true;
            }
        }
        let once = self.repeat == RetrySafety::AtMostOnce && self.may_have_run;
        // A request that is stopped for crashing targets would be stopped everywhere.
        let stopped = reason == RefusalReason::PoisonRequest;
        let used_up = self.arrivals >= self.max_attempts
            || self.refusals >= MAX_REFUSALS
            || self.full_refusals >= MAX_FULL_REFUSALS;
        if once || stopped || used_up {
            return RetryDecision::GiveUp(self.outcome());
        }
        RetryDecision::Retry {
            spends_budget: self.arrivals > 0,
        }
    }
}
