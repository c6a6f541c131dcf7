//! Decisions about sending a call to another target.

use apricotfold_model::{CallOutcome, RefusalReason, RetrySafety};
use apricotfold_policy::{RetryDecision, RetryTracker, SendOutcome};
use proptest::prelude::*;

/// Guards against sending an order again after it may have run.
#[test]
fn order_runs_once() {
    let mut tracker = RetryTracker::new(RetrySafety::AtMostOnce, 3);
    let refused = tracker.after(SendOutcome::BeforeTarget, RefusalReason::Overloaded);
    let without_budget = RetryDecision::Retry {
        spends_budget: false,
    };
    assert_eq!(refused, without_budget);
    let lost = tracker.after(SendOutcome::MayHaveRun, RefusalReason::ConnectionLost);
    assert_eq!(lost, RetryDecision::GiveUp(CallOutcome::MayHaveRun));
}

/// Guards against reporting a call as not run although an earlier attempt may have run.
#[test]
fn truthful_outcome() {
    let mut tracker = RetryTracker::new(RetrySafety::Idempotent, 3);
    tracker.after(SendOutcome::MayHaveRun, RefusalReason::ConnectionLost);
    let refused = tracker.after(SendOutcome::RejectedByTarget, RefusalReason::Overloaded);
    let from_budget = RetryDecision::Retry {
        spends_budget: true,
    };
    assert_eq!(refused, from_budget);
    assert_eq!(tracker.outcome(), CallOutcome::MayHaveRun);
}

/// Guards against retrying a request that is blocked for crashing targets.
#[test]
fn blocked_request_is_not_retried() {
    let mut tracker = RetryTracker::new(RetrySafety::Idempotent, 5);
    let step = tracker.after(SendOutcome::BeforeTarget, RefusalReason::PoisonRequest);
    assert_eq!(step, RetryDecision::GiveUp(CallOutcome::NotRun));
}

/// Guards against refusing a caller because of a full service only after many targets were tried.
#[test]
fn full_service() {
    let mut tracker = RetryTracker::new(RetrySafety::Idempotent, 3);
    let full = RefusalReason::Overloaded;
    let first = tracker.after(SendOutcome::BeforeTarget, full);
    assert!(matches!(first, RetryDecision::Retry { .. }));
    let second = tracker.after(SendOutcome::BeforeTarget, full);
    assert_eq!(second, RetryDecision::GiveUp(CallOutcome::NotRun));
}

fn ends() -> impl Strategy<Value = Vec<SendOutcome>> {
    let end = prop_oneof![
        Just(SendOutcome::BeforeTarget),
        Just(SendOutcome::RejectedByTarget),
        Just(SendOutcome::MayHaveRun),
        Just(SendOutcome::FailedAnswer),
    ];
    prop::collection::vec(end, 1..12)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against more arrivals than allowed, retries of orders that may have run, and wrong
    /// outcomes.
    #[test]
    fn limits_and_outcomes_hold(ends in ends(), once in any::<bool>(), most in 1..4_u32) {
        let safety = if once { RetrySafety::AtMostOnce } else { RetrySafety::Idempotent };
        let mut tracker = RetryTracker::new(safety, most);
        let mut arrivals = 0;
        let mut may_have_run = false;
        for end in ends {
            prop_assert!(arrivals < most);
            prop_assert!(!(once && may_have_run));
            arrivals += u32::from(end != SendOutcome::BeforeTarget);
            may_have_run |= matches!(end, SendOutcome::MayHaveRun | SendOutcome::FailedAnswer);
            match tracker.after(end, RefusalReason::Overloaded) {
                RetryDecision::Retry { spends_budget } => {
                    prop_assert_eq!(spends_budget, arrivals > 0);
                }
                RetryDecision::GiveUp(outcome) => {
                    let expected = if may_have_run { CallOutcome::MayHaveRun } else { CallOutcome::NotRun };
                    prop_assert_eq!(outcome, expected);
                    return Ok(());
                }
            }
        }
    }
}
