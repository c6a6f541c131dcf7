//! Time for which a node may own quotas without an answer of the store.

use std::time::{Duration, Instant};

use apricotfold_policy::OwnerTerm;

/// Duration of an entry's lease.
const LEASE: Duration = Duration::from_secs(6);

/// Interval at which a node that the store does not answer asks others.
const INTERVAL: Duration = Duration::from_millis(700);

/// Plays a silence of the store towards one node that renewed its lease at the start, and returns when it may no
/// longer own quotas. `report` is when the store last answered the others, if they report it.
fn end(report: impl Fn(Instant) -> Option<Option<Instant>>, start: Instant) -> Option<Duration> {
    let mut term = OwnerTerm::default();
    term.record_entry(start + LEASE);
    (0..40)
        .map(|round| start + INTERVAL * round)
        .find_map(|now| {
            if let Some(answered) = report(now) {
                term.record_report(answered, now);
            }
            term.may_have_ended(false, now).then_some(now - start)
        })
}

/// Guards against an owner that goes on although the store has told others that it is gone, and against one
/// that stops while nobody can have been told.
#[test]
fn turned_away() {
    let start = Instant::now();
    let end = end(|now| Some(Some(now)), start).expect("an end");
    assert!(end >= LEASE && end < LEASE + INTERVAL, "{end:?}");
}

/// Guards against a quota without an owner for as long as the store answers nobody.
#[test]
fn away_for_all() {
    let start = Instant::now();
    let last = start + Duration::from_secs(2);
    assert_eq!(end(|now| Some(Some(last.min(now))), start), None);
    assert_eq!(end(|_| Some(None), start), None);
}

/// Guards against an owner that is cut off from all others and takes their silence for that of the store.
#[test]
fn cut_off() {
    let start = Instant::now();
    let ends = end(|_| None, start).expect("an end");
    assert!(ends >= LEASE && ends < LEASE + INTERVAL, "{ends:?}");
    let mut alone = OwnerTerm::default();
    alone.record_entry(start + LEASE);
    assert!(!alone.may_have_ended(true, start + LEASE * 3));
}

/// Guards against an owner that does not own its quotas again after the store has renewed its lease.
#[test]
fn renewed() {
    let start = Instant::now();
    let mut term = OwnerTerm::default();
    term.record_entry(start + LEASE);
    let now = start + LEASE * 2;
    term.record_report(Some(now), now);
    assert!(term.may_have_ended(false, now));
    term.record_entry(now + LEASE);
    assert!(!term.may_have_ended(false, now));
}
