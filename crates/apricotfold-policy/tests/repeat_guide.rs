//! When a call may be sent to a further target.

use apricotfold_model::{CallOutcome, RefusalReason, RetrySafety};
use apricotfold_policy::{RetryDecision, RetryTracker, SendOutcome};
use proptest::prelude::*;

/// Guards against an order that is sent again after it may have run.
#[test]
fn order_runs_once() {
    let mut guide = RetryTracker::new(RetrySafety::AtMostOnce, 3);
    let refused = guide.after(SendOutcome::BeforeTarget, RefusalReason::Overloaded);
    let free = RetryDecision::Retry {
        spends_budget: false,
    };
    assert_eq!(refused, free);
    let lost = guide.after(SendOutcome::MayHaveRun, RefusalReason::ConnectionLost);
    assert_eq!(lost, RetryDecision::GiveUp(CallOutcome::MayHaveRun));
}

/// Guards against a refusal that is told as not run although an earlier attempt may have run.
#[test]
fn truthful_outcome() {
    let mut guide = RetryTracker::new(RetrySafety::Idempotent, 3);
    guide.after(SendOutcome::MayHaveRun, RefusalReason::ConnectionLost);
    let refused = guide.after(SendOutcome::RejectedByTarget, RefusalReason::Overloaded);
    let paid = RetryDecision::Retry {
        spends_budget: true,
    };
    assert_eq!(refused, paid);
    assert_eq!(guide.outcome(), CallOutcome::MayHaveRun);
}

/// Guards against a request that crashes targets and is tried at further ones.
#[test]
fn poison_stops() {
    let mut guide = RetryTracker::new(RetrySafety::Idempotent, 5);
    let step = guide.after(SendOutcome::BeforeTarget, RefusalReason::PoisonRequest);
    assert_eq!(step, RetryDecision::GiveUp(CallOutcome::NotRun));
}

/// Guards against a caller that is told of a full service only after it has been to many targets.
#[test]
fn full_service() {
    let mut guide = RetryTracker::new(RetrySafety::Idempotent, 3);
    let full = RefusalReason::Overloaded;
    let first = guide.after(SendOutcome::BeforeTarget, full);
    assert!(matches!(first, RetryDecision::Retry { .. }));
    let second = guide.after(SendOutcome::BeforeTarget, full);
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

    /// Guards against more arrivals than allowed, repeats of orders, and false outcomes.
    #[test]
    fn promises_hold(ends in ends(), once in any::<bool>(), most in 1..4_u32) {
        let repeat = if once { RetrySafety::AtMostOnce } else { RetrySafety::Idempotent };
        let mut guide = RetryTracker::new(repeat, most);
        let mut arrivals = 0;
        let mut may_have_run = false;
        for end in ends {
            prop_assert!(arrivals < most);
            prop_assert!(!(once && may_have_run));
            arrivals += u32::from(end != SendOutcome::BeforeTarget);
            may_have_run |= matches!(end, SendOutcome::MayHaveRun | SendOutcome::FailedAnswer);
            match guide.after(end, RefusalReason::Overloaded) {
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
