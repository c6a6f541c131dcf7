//! Nodes that follow the store themselves because of their relays.

use std::time::{Duration, Instant};

use apricotfold_policy::{DirectFallback, StoreContact};

/// Returns the contact of a node whose calls the store has answered at once, the last one at this
/// time.
fn answered_at(answered: Instant) -> StoreContact {
    StoreContact {
        answered: Some(answered),
        steady_since: answered.checked_sub(Duration::from_mins(1)),
        answer_time: Duration::from_millis(4),
    }
}

/// Guards against all nodes reading the store at once when it returns, because each of them began
/// to follow it while it answered no node.
#[test]
fn store_unavailable_for_all() {
    let now = Instant::now();
    let mut fallback = DirectFallback::new(now);
    assert!(fallback.stays_direct(None, now));
    let now = now + Duration::from_secs(3);
    assert!(!fallback.stays_direct(None, now));
    assert_eq!(
        fallback.after_answer(Some(now), answered_at(now), Duration::ZERO, now),
        Some(false)
    );
    for _ in 0..100 {
        assert_eq!(
            fallback.after_answer(None, StoreContact::default(), Duration::ZERO, now),
            None
        );
    }
}

/// Guards against nodes that keep following relays which the store refuses, and against giving up
/// relays after a single lost answer.
#[test]
fn relays_cut_off() {
    let now = Instant::now();
    let mut fallback = DirectFallback::new(now);
    assert_eq!(
        fallback.after_answer(None, answered_at(now), Duration::ZERO, now),
        None
    );
    assert_eq!(
        fallback.after_answer(Some(now), answered_at(now), Duration::ZERO, now),
        Some(false)
    );
    assert_eq!(
        fallback.after_answer(None, answered_at(now), Duration::ZERO, now),
        None
    );
    assert_eq!(
        fallback.after_answer(None, answered_at(now), Duration::ZERO, now),
        Some(true)
    );
    assert!(fallback.stays_direct(None, now + Duration::from_secs(7)));
    assert!(!fallback.stays_direct(None, now + Duration::from_secs(9)));
}

/// Guards against nodes that wait for silent relays while the store answers them, and against giving
/// up a relay whose long answer is still arriving.
#[test]
fn silent_relays() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let contact = |millis| answered_at(after(millis));
    let mut fallback = DirectFallback::new(start);
    let confirmed = Some(after(3_000));
    let decided = fallback.after_answer(confirmed, contact(3_000), Duration::ZERO, after(3_000));
    assert_eq!(decided, Some(false));
    assert_eq!(
        fallback.after_silence(None, contact(3_900), Duration::ZERO, after(3_900)),
        None
    );
    let progress = Some(after(4_000));
    assert_eq!(
        fallback.after_silence(progress, contact(4_900), Duration::ZERO, after(4_900)),
        None
    );
    let unreached = StoreContact::default();
    assert_eq!(
        fallback.after_silence(progress, unreached, Duration::ZERO, after(5_500)),
        None
    );
    let decided = fallback.after_silence(progress, contact(5_500), Duration::ZERO, after(5_500));
    assert_eq!(decided, Some(true));
    assert!(fallback.stays_direct(None, after(13_000)));
    let decided = fallback.after_silence(None, contact(14_000), Duration::ZERO, after(14_000));
    assert_eq!(decided, None);
}

/// Guards against nodes that trust relays which answer at once but have lost the store.
#[test]
fn relays_without_store() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut fallback = DirectFallback::new(start);
    let lost = after(3_000);
    let mut decided = None;
    for millis in (3_100..).step_by(100) {
        let now = after(millis);
        assert!(millis < 4_500, "not given up");
        let answer = fallback.after_answer(Some(lost), answered_at(lost), Duration::ZERO, now);
        assert_eq!(answer, Some(false));
        assert_eq!(fallback.is_in_doubt(now), millis >= 4_000);
        let contact = answered_at(if millis < 4_100 { lost } else { now });
        decided = fallback.after_silence(None, contact, Duration::ZERO, now);
        if decided.is_some() {
            assert!(millis >= 4_200);
            break;
        }
    }
    assert_eq!(decided, Some(true));
}

/// Guards against all nodes reading the store at once: when it has answered some of them last just
/// before it was lost to all, when it has returned and the relays have not noticed yet, and when it
/// answers everyone slowly.
#[test]
fn store_not_ahead() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let fallback = || {
        let mut fallback = DirectFallback::new(start);
        fallback.after_answer(
            Some(after(3_000)),
            StoreContact::default(),
            Duration::ZERO,
            after(3_100),
        );
        fallback
    };
    let lost = answered_at(after(3_900));
    assert_eq!(
        fallback().after_silence(None, lost, Duration::ZERO, after(9_000)),
        None
    );
    let returned = |since| StoreContact {
        answered: Some(after(9_000)),
        steady_since: Some(after(since)),
        ..StoreContact::default()
    };
    let mut node = fallback();
    assert_eq!(
        node.after_silence(None, returned(9_000), Duration::ZERO, after(9_100)),
        None
    );
    for _ in 0..4 {
        let decided = node.after_answer(None, returned(9_000), Duration::ZERO, after(9_200));
        assert_eq!(decided, None);
    }
    assert_eq!(
        node.after_silence(None, returned(7_000), Duration::ZERO, after(9_100)),
        Some(true)
    );
    let slow = StoreContact {
        answer_time: Duration::from_millis(400),
        ..answered_at(after(4_800))
    };
    let mut node = fallback();
    assert_eq!(
        node.after_silence(None, slow, Duration::ZERO, after(4_900)),
        None
    );
    assert_eq!(
        node.after_silence(None, slow, Duration::ZERO, after(5_100)),
        Some(true)
    );
}

/// Guards against a late answer of a relay that ends the read from the store which the node has just
/// begun because it may be late.
#[test]
fn answer_after_fallback() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut fallback = DirectFallback::new(start);
    let answer = |fallback: &mut DirectFallback, millis| {
        let now = after(millis);
        fallback.after_answer(Some(now), answered_at(now), Duration::ZERO, now)
    };
    assert_eq!(answer(&mut fallback, 3_000), Some(false));
    let contact = answered_at(after(4_300));
    assert_eq!(
        fallback.after_silence(None, contact, Duration::ZERO, after(4_300)),
        Some(true)
    );
    assert_eq!(answer(&mut fallback, 4_400), None);
    assert_eq!(answer(&mut fallback, 13_000), Some(false));
}

/// Guards against a relay that stops following the store while other nodes, which have not heard of
/// the new relays yet, still poll it.
#[test]
fn polled_relay() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let fallback = DirectFallback::new(start);
    let polled = Some(after(5_000));
    assert!(fallback.stays_direct(polled, after(5_900)));
    assert!(!fallback.stays_direct(polled, after(7_100)));
    assert!(!fallback.stays_direct(None, after(5_900)));
}

/// Guards against nodes that all follow the store because their relays have lost it, although relays of
/// other data centres have not, and against nodes that keep following those after they have lost it, too.
#[test]
fn remote_contact() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut fallback = DirectFallback::new(start);
    let contact = |millis| answered_at(after(millis));
    fallback.after_answer(
        Some(after(3_000)),
        contact(3_000),
        Duration::ZERO,
        after(3_000),
    );
    for millis in (3_450..9_000).step_by(450) {
        fallback.confirm_remote(after(millis - 400));
        let now = after(millis);
        assert_eq!(
            fallback.after_answer(None, contact(millis), Duration::ZERO, now),
            None
        );
        assert_eq!(
            fallback.after_silence(None, contact(millis), Duration::ZERO, now),
            None
        );
        assert!(!fallback.is_in_doubt(now));
    }
    let now = after(10_000);
    let decided = fallback.after_answer(None, contact(10_000), Duration::ZERO, now);
    assert_eq!(decided, Some(true));
}

/// Guards against a node that follows the store although others take its relays' place, and against one
/// that waits for them without end.
#[test]
fn others_take_over() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let delay = Duration::from_millis(600);
    let mut fallback = DirectFallback::new(start);
    fallback.after_answer(
        Some(after(3_000)),
        answered_at(after(3_000)),
        delay,
        after(3_000),
    );
    let mut decided = None;
    for millis in (3_100..).step_by(100) {
        let (now, contact) = (after(millis), answered_at(after(millis)));
        decided = fallback.after_answer(None, contact, delay, now);
        decided = decided.or_else(|| fallback.after_silence(None, contact, delay, now));
        assert_eq!(decided.is_some(), millis >= 4_800, "after {millis} ms");
        if decided.is_some() {
            break;
        }
    }
    assert_eq!(decided, Some(true));
}
