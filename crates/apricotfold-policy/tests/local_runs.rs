//! Identification of calls made by running requests, by the ids of the runs.

use apricotfold_model::CallPriority;
use apricotfold_policy::{LocalRuns, NestedCapacity, RunId, RunSummary};

const PAGE: RunId = RunId::const_new("page-1");

fn summary(repeat: bool) -> RunSummary {
    RunSummary {
        priority: CallPriority::Normal,
        repeat,
    }
}

/// Guards against refusing a call like a first attempt although a running request needs it.
#[test]
fn finds_parent() {
    let mut runs = LocalRuns::default();
    assert_eq!(runs.find(&PAGE), None);
    runs.begin(&PAGE, summary(true));
    assert_eq!(runs.find(&PAGE), Some(summary(true)));
    assert_eq!(runs.find("page-2"), None);
    runs.end(&PAGE);
    assert_eq!(runs.find(&PAGE), None);
}

/// Guards against losing the record of a refused call because a later call of the same run found
/// free capacity.
#[test]
fn keeps_worst() {
    let mut runs = LocalRuns::default();
    runs.begin(&PAGE, summary(false));
    runs.note_call(&PAGE, NestedCapacity::Refusal);
    runs.note_call(&PAGE, NestedCapacity::Queue);
    runs.note_call("page-2", NestedCapacity::Refusal);
    assert_eq!(runs.end(&PAGE), NestedCapacity::Refusal);
    assert_eq!(runs.end(&PAGE), NestedCapacity::Room);
}

/// Guards against a retry that ends before the first run: calls of the first run must still be
/// identified.
#[test]
fn overlapping_repeats() {
    let mut runs = LocalRuns::default();
    runs.begin(&PAGE, summary(false));
    runs.begin(&PAGE, summary(true));
    runs.end(&PAGE);
    assert_eq!(runs.find(&PAGE), Some(summary(true)));
    runs.end(&PAGE);
    assert_eq!(runs.find(&PAGE), None);
}

/// Guards against retrying a call whose run has lost another call and fails anyway.
#[test]
fn lost_call() {
    let mut runs = LocalRuns::default();
    runs.begin(&PAGE, summary(false));
    assert!(!runs.has_lost_call(&PAGE));
    runs.note_lost_call(&PAGE);
    assert!(runs.has_lost_call(&PAGE));
    runs.end(&PAGE);
    assert!(!runs.has_lost_call(&PAGE));
}
