//! Blocking of requests that crash targets.

use std::time::{Duration, Instant};

use apricotfold_policy::{CrashGuard, RequestFingerprint};

const LIFETIME: Duration = Duration::from_mins(10);
const ALMOST: Duration = Duration::from_millis(599_999);
const POISON: RequestFingerprint = RequestFingerprint::const_new("p");

/// Guards against a request that crashes one target after the other, against a block after a single
/// crash, which may be a coincidence, and against a block that never ends.
#[test]
fn second_crash_blocks_for_ten_minutes() {
    let now = Instant::now();
    let mut guard = CrashGuard::new("n1".into());
    assert_eq!(guard.record_crash(&POISON, now), Some(1));
    assert!(!guard.is_blocked(&POISON, now));
    assert_eq!(guard.blocked(now), 0);
    assert_eq!(guard.record_crash(&POISON, now), Some(2));
    assert_eq!(guard.blocked(now), 1);
    assert!(guard.is_blocked(&POISON, now + ALMOST));
    assert!(!guard.is_blocked(&"q".into(), now));
    assert!(!guard.is_blocked(&POISON, now + LIFETIME));
    assert_eq!(guard.record_crash(&POISON, now + LIFETIME), Some(1));
}

/// Guards against crashes at different nodes that are not added up, and against a record that is
/// counted again each time it is received.
#[test]
fn counts_of_other_nodes_are_merged_once() {
    let now = Instant::now();
    let mut guard = CrashGuard::new("n1".into());
    for _ in 0..5 {
        guard.merge(&POISON, &"n2".into(), 1, now);
    }
    assert!(!guard.is_blocked(&POISON, now));
    guard.merge(&POISON, &"n3".into(), 1, now);
    assert!(guard.is_blocked(&POISON, now));
    guard.merge(&POISON, &"n3".into(), 1, now + ALMOST);
    assert!(!guard.is_blocked(&POISON, now + LIFETIME));
}

/// Guards against frequent requests that are blocked because they are in flight at most crashes,
/// and against answers that clear a request permanently.
#[test]
fn answers_clear_a_request() {
    let now = Instant::now();
    let mut guard = CrashGuard::new("n1".into());
    guard.record_crash(&POISON, now);
    guard.record_answer(&POISON, now);
    guard.merge(&POISON, &"n2".into(), 1, now);
    assert!(!guard.is_blocked(&POISON, now));
    assert_eq!(
        guard.record_crash(&POISON, now + Duration::from_secs(4)),
        None
    );
    let later = now + Duration::from_secs(10);
    guard.record_crash(&POISON, later);
    assert!(guard.is_blocked(&POISON, later));
}

/// Guards against memory use that grows with every crash, and against many crashes that evict a
/// blocked request.
#[test]
fn size_is_bounded_and_blocks_outlive_floods() {
    let mut now = Instant::now();
    let mut guard = CrashGuard::new("n1".into());
    guard.record_crash(&POISON, now);
    guard.record_crash(&POISON, now);
    for index in 0..5_000 {
        now += Duration::from_micros(10);
        guard.record_crash(&format!("f{index}").into(), now);
    }
    assert_eq!(guard.len(), 4_096);
    assert!(guard.is_blocked(&POISON, now));
}

/// Guards against a frequent request that is blocked because several equal ones were in flight at
/// one crash, or although it was answered shortly before, and against later crashes that are not
/// counted.
#[test]
fn one_crash_counts_once() {
    let start = Instant::now();
    let crash = start + Duration::from_millis(50);
    let mut guard = CrashGuard::new("n1".into());
    assert!(guard.is_suspect(&POISON, start, crash));
    assert!(!guard.is_suspect(&POISON, start + Duration::from_millis(20), crash));
    let again = crash + Duration::from_millis(10);
    assert!(guard.is_suspect(&POISON, again, again));
    let popular = RequestFingerprint::from("q");
    guard.record_answer(&popular, start);
    assert!(!guard.is_suspect(&popular, start, crash));
    guard.merge(&popular, &"n2".into(), 2, crash);
    assert!(!guard.is_blocked(&popular, crash));
    let later = crash + Duration::from_secs(10);
    assert!(guard.is_suspect(&popular, later, later));
}
