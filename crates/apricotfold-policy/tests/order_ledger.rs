//! Outcomes of keyed orders.

use std::sync::Arc;

use apricotfold_policy::{ClaimId, OrderKey, OrderLedger, OrderOutcome, StoredAnswer};

fn answer(bytes: usize) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: vec![("etag".into(), b"1".to_vec())],
        body: vec![7; bytes],
    }
}

/// Guards against an order that runs twice on one node, and against a retry that does not get the
/// first answer.
#[test]
fn repeat_gets_the_first_answer() {
    let mut ledger = OrderLedger::new();
    let (key, claim) = (OrderKey::from("k"), ClaimId::from("c1"));
    assert_eq!(ledger.begin(&key, &claim), Ok(()));
    assert_eq!(ledger.begin(&key, &"c2".into()), Err(OrderOutcome::Running));
    assert_eq!(ledger.outcome(&key, &claim), OrderOutcome::Running);
    ledger.finish(&key, &claim, answer(10));
    let answered = OrderOutcome::Answered(Arc::new(answer(10)));
    assert_eq!(ledger.outcome(&key, &claim), answered);
    assert_eq!(ledger.begin(&key, &"c2".into()), Err(answered));
}

/// Guards against starting an order again that may have run, and against an order that was not run
/// and can never be sent again.
#[test]
fn only_orders_that_were_not_run_start_again() {
    let mut ledger = OrderLedger::new();
    let (key, claim) = (OrderKey::from("k"), ClaimId::from("c1"));
    ledger.begin(&key, &claim).unwrap();
    ledger.fail_not_run(&key, &claim);
    assert_eq!(ledger.outcome(&key, &claim), OrderOutcome::NotRun);
    let second = ClaimId::from("c2");
    assert_eq!(ledger.begin(&key, &second), Ok(()));
    ledger.fail_may_have_run(&key, &second);
    ledger.fail_not_run(&key, &second);
    ledger.finish(&key, &claim, answer(1));
    let lost = OrderOutcome::MayHaveRun;
    assert_eq!(ledger.begin(&key, &"c3".into()), Err(lost));
}

/// Guards against `not-run` for an order that this node does not know or no longer knows, and
/// against memory use that grows with the number or size of answers.
#[test]
fn unknown_evicted_and_large_answers() {
    let mut ledger = OrderLedger::new();
    let claim = ClaimId::from("c");
    let key = |index: usize| OrderKey::from(format!("k{index}"));
    ledger.begin(&"running".into(), &claim).unwrap();
    for index in 0..300 {
        ledger.begin(&key(index), &claim).unwrap();
        let size = if index == 299 { 64 * 1024 } else { 1 };
        ledger.finish(&key(index), &claim, answer(size));
    }
    let outcome = |index| ledger.outcome(&key(index), &claim);
    assert_eq!(outcome(43), OrderOutcome::MayHaveRun);
    assert!(matches!(outcome(44), OrderOutcome::Answered(_)));
    assert_eq!(outcome(299), OrderOutcome::AnswerDropped);
    let other = ledger.outcome(&key(44), &"other".into());
    assert_eq!(other, OrderOutcome::MayHaveRun);
    let running = ledger.outcome(&"running".into(), &claim);
    assert_eq!(running, OrderOutcome::Running);
}

/// Guards against an order that can never run because an earlier claim, written late by a slow
/// store, is no longer known as not run.
#[test]
fn earlier_claims_stay_known_as_not_run() {
    let mut ledger = OrderLedger::new();
    let key = OrderKey::from("k");
    let claims: Vec<_> = (0..4)
        .map(|number| ClaimId::from(format!("c{number}")))
        .collect();
    for claim in &claims[..3] {
        assert_eq!(ledger.begin(&key, claim), Ok(()));
        ledger.fail_not_run(&key, claim);
    }
    assert_eq!(ledger.begin(&key, &claims[3]), Ok(()));
    for claim in &claims[..3] {
        assert_eq!(ledger.outcome(&key, claim), OrderOutcome::NotRun);
    }
    assert_eq!(ledger.outcome(&key, &claims[3]), OrderOutcome::Running);
    let unknown = ClaimId::from("c9");
    assert_eq!(ledger.outcome(&key, &unknown), OrderOutcome::MayHaveRun);
}
