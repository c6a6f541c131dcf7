//! Decides whether a call is sent to another target. See `docs/platform.md`, section 5.

use apricotfold_model::{CallOutcome, RefusalReason, RetrySafety};

/// Maximum number of refusals of one call before they reach a target. Each costs a round trip
/// between nodes but no work of a target, so a few are cheaper than refusing the caller.
const MAX_REFUSALS: u32 = 4;

/// Number of refusals for lack of capacity after which the whole service counts as full. Each
/// further one would delay the answer to the caller without new information.
const MAX_FULL_REFUSALS: u32 = 2;

/// Result of a send that gave no usable answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No target received any part of the request.
    BeforeTarget,
    /// A target received the request and reports that it did not run it.
    RejectedByTarget,
    /// A target may have run the request.
    MayHaveRun,
    /// A target ran the request and answered with a failure of its own.
    FailedAnswer,
}

/// Decision after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the call to another target.
    Retry {
        /// Whether the retry must first be taken from the budget, because a send that may have
        /// arrived at a target has already been counted.
        spends_budget: bool,
    },
    /// Answer the caller with what is known about the execution of the request.
    GiveUp(CallOutcome),
}

/// Tracks the sends of one call and decides about retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryTracker {
    safety: RetrySafety,
    max_attempts: u32,
    arrivals: u32,
    refusals: u32,
    full_refusals: u32,
    may_have_run: bool,
}

impl RetryTracker {
    /// Creates the state of a call that may arrive at up to `max_attempts` targets.
    #[must_use]
    pub fn new(safety: RetrySafety, max_attempts: u32) -> Self {
        Self {
            safety,
            max_attempts,
            arrivals: 0,
            refusals: 0,
            full_refusals: 0,
            may_have_run: false,
        }
    }

    /// Number of sends that may have arrived at a target.
    #[must_use]
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Outcome to report to the caller if the call ends now.
    #[must_use]
    pub fn outcome(&self) -> CallOutcome {
        if self.may_have_run {
            CallOutcome::MayHaveRun
        } else {
            CallOutcome::NotRun
        }
    }

    /// Returns whether a hedge may be sent while an attempt is in flight.
    #[must_use]
    pub fn may_hedge(&self) -> bool {
        self.safety == RetrySafety::Idempotent && self.arrivals + 1 < self.max_attempts
    }

    /// Records that an attempt was abandoned in favour of another one. It may have run.
    pub fn record_superseded(&mut self) {
        self.arrivals += 1;
        self.may_have_run = true;
    }

    /// Records a send without a usable answer and decides how the call continues.
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
        let once = self.safety == RetrySafety::AtMostOnce && self.may_have_run;
        // A request that is blocked for crashing targets is blocked at every node.
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
