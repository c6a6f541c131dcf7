//! Leases of shares of a tenant's limit, without a network.

use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, TenantName, TenantQuota};
use apricotfold_policy::{
    LEASE_TIME, QuotaHolder, QuotaOwner, QuotaShare, ShareAsk, ShareGrant, TakeResult,
    divide_fairly,
};

const QUOTA: TenantQuota = TenantQuota {
    rate: 100.0,
    burst: 100.0,
};

fn tenant() -> TenantName {
    "one".into()
}

fn node(number: u32) -> NodeId {
    format!("n{number}").into()
}

fn ask(rate: f64, demand: f64, needed: f64) -> ShareAsk {
    let share = QuotaShare { rate, burst: rate };
    ShareAsk(tenant(), share, 10_000, demand, needed)
}

/// Returns an owner that knows the shares of all nodes, and a later time.
fn settled(start: Instant) -> (QuotaOwner, Instant) {
    let mut owner = QuotaOwner::default();
    assert!(owner.set_owned([(&tenant(), QUOTA)].into_iter(), start));
    owner.record_survey(1.0);
    (owner, start + Duration::from_secs(4))
}

/// Guards against a division that gives one more than it wants while others lack something.
#[test]
fn divides_fairly() {
    let cases: [(f64, &[f64], &[f64]); 4] = [
        (10.0, &[1.0, 20.0, 20.0], &[1.0, 4.5, 4.5]),
        (10.0, &[3.0, 2.0], &[3.0, 2.0]),
        (0.0, &[3.0], &[0.0]),
        (5.0, &[], &[]),
    ];
    for (total, wanted, expected) in cases {
        assert_eq!(divide_fairly(total, wanted), expected);
    }
}

/// Guards against shares whose sum exceeds the limit while shares of others have not shrunk yet, and
/// against a node that never gets its part of them.
#[test]
fn waits_for_smaller_shares() {
    let (mut owner, now) = settled(Instant::now());
    let first = owner.answer(&node(1), &ask(0.0, 200.0, 0.0), QUOTA, now);
    let held = first.0.expect("the owner").rate;
    // A quarter of the limit is handed out as single tokens.
    assert!((74.0..76.0).contains(&held), "{held}");
    let second = owner.answer(&node(2), &ask(0.0, 200.0, 0.0), QUOTA, now);
    assert!(second.0.expect("the owner").rate < 1.0);
    let smaller = owner.answer(&node(1), &ask(held, 200.0, 0.0), QUOTA, now);
    let smaller = smaller.0.expect("the owner").rate;
    assert!((37.0..38.0).contains(&smaller), "{smaller}");
    // The answer may have been lost, so the larger share still counts.
    let second = owner.answer(&node(2), &ask(0.0, 200.0, 0.0), QUOTA, now);
    assert!(second.0.expect("the owner").rate < 1.0);
    owner.answer(&node(1), &ask(smaller, 200.0, 0.0), QUOTA, now);
    let second = owner.answer(&node(2), &ask(0.0, 200.0, 0.0), QUOTA, now);
    assert!(second.0.expect("the owner").rate > 37.0);
}

/// Guards against a new owner that leases what nodes still hold from its predecessor.
#[test]
fn new_owner_is_cautious() {
    let start = Instant::now();
    let mut owner = QuotaOwner::default();
    owner.set_owned([(&tenant(), QUOTA)].into_iter(), start);
    let rate = |owner: &mut QuotaOwner, now| {
        let grant = owner.answer(&node(1), &ask(0.0, 200.0, 0.0), QUOTA, now);
        grant.0.expect("the owner").rate
    };
    assert!(rate(&mut owner, start) <= 25.0);
    assert!(rate(&mut owner, start + LEASE_TIME / 2) <= 25.0);
    assert!(rate(&mut owner, start + LEASE_TIME * 2) > 74.0);
    let (mut owner, now) = settled(start);
    assert!(rate(&mut owner, now) > 74.0);
}

/// Guards against a node that stands in for a silent owner and gives much beyond the limit.
#[test]
fn standby_gives_little() {
    let mut owner = QuotaOwner::default();
    let start = Instant::now();
    let mut given = 0.0;
    for tenth in 0..100 {
        let now = start + Duration::from_millis(100) * tenth;
        let grant = owner.answer(&node(1), &ask(0.0, 200.0, 20.0), QUOTA, now);
        assert_eq!(grant.0, None);
        given += grant.1;
    }
    assert!((75.0..95.0).contains(&given), "{given}");
}

/// Guards against a share that is used after its end or above a limit that was lowered, and against a
/// token that is lost although its request has not run.
#[test]
fn holder_keeps_to_share() {
    let start = Instant::now();
    let mut holder = QuotaHolder::default();
    let name = tenant();
    assert_eq!(holder.take(&name, QUOTA, start), TakeResult::AskOwner);
    let share = QuotaShare {
        rate: 10.0,
        burst: 10.0,
    };
    let grant = ShareGrant(Some(share), 1.0, 1_000, 100.0);
    holder.apply(&name, &grant, QUOTA, start, start);
    assert_eq!(holder.take(&name, QUOTA, start), TakeResult::Taken);
    let due = Duration::from_millis(100);
    let exhausted = holder.take(&name, QUOTA, start);
    assert_eq!(exhausted, TakeResult::Exhausted(due));
    holder.give_back(&name, start);
    assert_eq!(holder.take(&name, QUOTA, start), TakeResult::Taken);

    let count = |holder: &mut QuotaHolder, quota, now| {
        let taken = (0..100).map(|_| holder.take(&name, quota, now));
        taken.filter(|taken| *taken == TakeResult::Taken).count()
    };
    let later = start + Duration::from_secs(10);
    assert_eq!(count(&mut holder, QUOTA, later), 10);
    let lower = TenantQuota {
        rate: 50.0,
        burst: 50.0,
    };
    assert_eq!(count(&mut holder, lower, later + Duration::from_secs(2)), 5);
    assert_eq!(count(&mut holder, QUOTA, start + LEASE_TIME * 2), 0);
}

/// Guards against numbers of a broken or newer node that would give a node everything.
#[test]
fn bad_numbers() {
    let bad = [-1.0, f64::NAN, f64::INFINITY, 1e300];
    for number in bad {
        assert!(!ask(number, 1.0, 1.0).is_valid(), "{number}");
        assert!(!ask(1.0, number, 1.0).is_valid(), "{number}");
        assert!(!ask(1.0, 1.0, number).is_valid(), "{number}");
        assert!(!ShareGrant(None, number, 0, 1.0).is_valid(), "{number}");
    }
    for text in ["[\"one\"]", "[\"one\",[1,1],-1,0,0]", "{}", "[]"] {
        assert!(serde_json::from_str::<ShareAsk>(text).is_err(), "{text}");
    }
    let mut holder = QuotaHolder::default();
    let now = Instant::now();
    holder.take(&tenant(), QUOTA, now);
    let share = QuotaShare {
        rate: 1e9,
        burst: 1e9,
    };
    holder.apply(
        &tenant(),
        &ShareGrant(Some(share), 1e9, 0, 100.0),
        QUOTA,
        now,
        now,
    );
    let mut taken = 0;
    while holder.take(&tenant(), QUOTA, now) == TakeResult::Taken {
        taken += 1;
    }
    assert!(taken <= 108, "{taken}");
}
