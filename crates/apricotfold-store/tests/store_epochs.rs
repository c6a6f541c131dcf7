//! Epochs of a store that comes back from an older copy.

use apricotfold_store::EpochTracker;

/// Guards against taking the first answer for a return, against missing one, and against an answer from
/// before the return that is still taken as valid.
#[test]
fn returns_are_noticed() {
    let tracker = EpochTracker::default();
    let mut returns = tracker.watch_returns();
    assert!(tracker.observe(4));
    assert!(tracker.observe(4));
    assert!(!returns.has_changed().expect("a tracker"));
    assert!(tracker.observe(5));
    assert!(returns.has_changed().expect("a tracker"));
    assert_eq!(*returns.borrow_and_update(), 1);
    assert!(!tracker.observe(4));
    assert!(tracker.observe(5));
    assert!(!returns.has_changed().expect("a tracker"));
}

/// Guards against a return that is missed because the identity of the new history is a lower number.
#[test]
fn identity_changes() {
    let tracker = EpochTracker::default();
    let returns = tracker.watch_returns();
    for (identity, count) in [(9, 0), (9, 0), (3, 1), (3, 1), (9, 2)] {
        tracker.observe_identity(identity);
        assert_eq!(*returns.borrow(), count, "{identity}");
    }
}
