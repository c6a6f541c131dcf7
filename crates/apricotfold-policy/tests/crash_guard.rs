//! Blocking of requests that crash targets.

use std::time::{Duration, Instant};

use apricotfold_policy::{
    CountedLosses, CrashEvidence, CrashGuard, CrashMark, RequestFingerprint, is_current_evidence,
};

const LIFETIME: Duration = Duration::from_mins(10);
const ALMOST: Duration = Duration::from_millis(599_999);
const POISON: RequestFingerprint = RequestFingerprint::const_new("p");

fn record(guard: &mut CrashGuard, crash: &str, now: Instant) -> bool {
    let mark = CrashMark::new(crash.into());
    guard.merge(&POISON, mark, now).is_some()
}

/// Guards against a request that crashes one target after the other, against a block after a single
/// crash, which may be a coincidence, and against a block that never ends.
#[test]
fn second_crash_blocks_for_ten_minutes() {
    let now = Instant::now();
    let mut guard = CrashGuard::default();
    assert!(record(&mut guard, "a@1", now));
    assert!(!guard.is_blocked(&POISON, now));
    assert_eq!(guard.blocked(now), 0);
    assert!(record(&mut guard, "b@1", now));
    assert_eq!(guard.blocked(now), 1);
    assert!(guard.is_blocked(&POISON, now + ALMOST));
    let left = guard.block_left(&POISON, now + LIFETIME / 2);
    assert_eq!(left.map(|left| left.as_secs()), Some(300));
    assert!(!guard.is_blocked(&"q".into(), now));
    assert!(!guard.is_blocked(&POISON, now + LIFETIME));
    assert!(record(&mut guard, "c@1", now + LIFETIME));
    assert!(!guard.is_blocked(&POISON, now + LIFETIME));
}

/// Guards against crashes that several nodes notice, or that are heard of again, and that count more
/// than once, and against a repetition that prolongs a block.
#[test]
fn same_crash_counts_once() {
    let now = Instant::now();
    let mut guard = CrashGuard::default();
    assert!(record(&mut guard, "a@1", now));
    for second in 0..5 {
        let later = now + Duration::from_secs(second);
        assert!(!record(&mut guard, "a@1", later));
    }
    assert!(!guard.is_blocked(&POISON, now));
    assert!(record(&mut guard, "a@2", now));
    assert!(guard.is_blocked(&POISON, now));
    record(&mut guard, "a@2", now + ALMOST);
    assert!(!guard.is_blocked(&POISON, now + LIFETIME));
}

/// Guards against frequent requests that stay blocked because they are in flight at most crashes,
/// and against answers that clear a request of later crashes.
#[test]
fn answers_clear_earlier_crashes() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut guard = CrashGuard::default();
    record(&mut guard, "a@1", now);
    record(&mut guard, "b@1", now);
    assert_eq!(guard.record_answer(&POISON, later).len(), 2);
    assert!(!guard.is_blocked(&POISON, later));
    // Heard of late: the crash was before the answer.
    let late = CrashMark::new("c@1".into()).with_age(Duration::from_secs(1));
    let merged = guard.merge(&POISON, late, later);
    assert!(
        merged.is_some_and(|mark| mark.cleared),
        "passed on as cleared"
    );
    assert_eq!(guard.blocked(later), 0);
    let after = later + Duration::from_secs(1);
    for (crash, blocked) in [("d@1", false), ("e@1", false), ("f@1", true)] {
        record(&mut guard, crash, after);
        assert_eq!(guard.is_blocked(&POISON, after), blocked, "{crash}");
    }
}

/// Guards against a request that is never blocked because it was cleared of as many counted crashes as are
/// remembered, and against cleared ones that count again when a count is repeated.
#[test]
fn counts_go_on_after_clearance() {
    let now = Instant::now();
    let mut guard = CrashGuard::default();
    for count in 1..=12 {
        let later = now + Duration::from_secs(u64::from(count));
        guard.merge_count(&POISON, count, later);
        guard.record_answer(&POISON, later);
        guard.merge_count(&POISON, count, later);
        assert_eq!(guard.blocked(later), 0, "{count}");
    }
    let later = now + Duration::from_mins(1);
    guard.merge_count(&POISON, 13, later);
    assert!(!guard.is_blocked(&POISON, later));
    guard.merge_count(&POISON, 14, later);
    assert!(guard.is_blocked(&POISON, later));
}

/// Guards against nodes that disagree for good: marks that arrive in another order, or several times,
/// and a clearance that arrives before or after them.
#[test]
fn merges_commute() {
    let now = Instant::now();
    let mark = CrashMark::new("a@1".into());
    let mut cleared = mark.clone();
    cleared.cleared = true;
    let orders = [
        [&mark, &cleared, &mark],
        [&cleared, &mark, &mark],
        [&mark, &mark, &cleared],
    ];
    let states = orders.map(|order| {
        let mut guard = CrashGuard::default();
        for mark in order {
            guard.merge(&POISON, mark.clone(), now);
        }
        guard.evidence(10, now)
    });
    assert!(states[0][&POISON][0].cleared);
    assert!(states.iter().all(|state| *state == states[0]));
}

/// Guards against a block that lasts longer at a node that hears of the crashes late, and against marks
/// that become younger when they are passed on.
#[test]
fn age_travels() {
    let start = Instant::now();
    let mut first = CrashGuard::default();
    record(&mut first, "a@1", start);
    record(&mut first, "b@1", start);
    let later = start + LIFETIME / 2;
    let mut second = CrashGuard::default();
    for mark in first
        .evidence(10, later)
        .remove(&POISON)
        .unwrap_or_default()
    {
        assert_eq!(mark.age(), LIFETIME / 2);
        second.merge(&POISON, mark, later);
    }
    assert!(second.is_blocked(&POISON, later));
    assert!(!second.is_blocked(&POISON, start + LIFETIME));
    let expired = first.evidence(10, start + ALMOST).remove(&POISON);
    for mut mark in expired.unwrap_or_default() {
        mark.age_ms += 1;
        assert!(second.merge(&POISON, mark, later).is_none());
    }
}

/// Guards against stored marks whose age is out of date for more than a minute, and against an entry that
/// is written anew with each check.
#[test]
fn stored_age() {
    let start = Instant::now();
    let mut guard = CrashGuard::default();
    record(&mut guard, "a@1", start);
    let written = guard.evidence(10, start);
    let soon = guard.evidence(10, start + Duration::from_secs(59));
    assert!(is_current_evidence(&written, &soon));
    let later = guard.evidence(10, start + Duration::from_mins(1));
    assert!(!is_current_evidence(&written, &later));
    guard.record_answer(&POISON, start);
    assert!(!is_current_evidence(&written, &guard.evidence(10, start)));
    assert!(!is_current_evidence(&written, &CrashEvidence::new()));
}

/// Guards against marks of earlier releases, which tell the time of day, that cannot be read, and against
/// marks that earlier releases cannot read.
#[test]
fn earlier_releases() {
    let text = r#"{"crash":"a@1","observed":1796476215040}"#;
    let mark: CrashMark = serde_json::from_str(text).expect("a mark");
    assert_eq!(mark, CrashMark::new("a@1".into()));
    let written = serde_json::to_value(&mark).expect("a value");
    assert_eq!(written["observed"], 0);
}

/// Guards against memory use that grows with every crash, and against many crashes that evict a
/// blocked request or keep it from other nodes.
#[test]
fn size_is_bounded_and_blocks_outlive_floods() {
    let mut now = Instant::now();
    let mut guard = CrashGuard::default();
    for crash in 0..20 {
        record(&mut guard, &format!("a@{crash}"), now);
    }
    for index in 0..5_000 {
        now += Duration::from_millis(1);
        let mark = CrashMark::new("b@1".into());
        guard.merge(&format!("f{index}").into(), mark, now);
    }
    assert_eq!(guard.len(), 4_096);
    assert!(guard.is_blocked(&POISON, now));
    let shared = guard.evidence(32, now);
    assert_eq!(shared.len(), 32);
    assert_eq!(shared[&POISON].len(), 8);
}

/// Guards against a request that counts several times because several equal ones were in flight at
/// one crash, against later crashes that are not counted, and against memory use that grows with every
/// loss within a short time.
#[test]
fn counted_losses() {
    let start = Instant::now();
    let crash = start + Duration::from_millis(50);
    let mut losses = CountedLosses::default();
    assert!(losses.record_loss(&POISON, start, crash));
    assert!(!losses.record_loss(&POISON, start + Duration::from_millis(20), crash));
    let again = crash + Duration::from_millis(10);
    assert!(losses.record_loss(&POISON, again, again));
    for index in 0..5_000 {
        losses.record_loss(&format!("f{index}").into(), start, crash);
    }
    assert_eq!(losses.len(), 4_096);
}
