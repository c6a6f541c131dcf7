//! The soak's checks report each kind of violation, and its fault plan is deterministic.

use std::time::Duration;

use apricotfold_testkit::{
    FaultKind, FaultPlan, FaultSpan, LoadKind, LoadRecord, RunCounts, check_records,
};

fn record(kind: LoadKind, outcome: &str) -> LoadRecord {
    LoadRecord {
        id: "a".to_owned(),
        kind,
        entry: 0,
        sent: Duration::from_secs(10),
        elapsed: Duration::from_millis(100),
        outcome: outcome.to_owned(),
        bytes: 100_000,
    }
}

fn violations(record: LoadRecord, runs: usize, spans: &[FaultSpan]) -> usize {
    let runs = RunCounts::from([("a".to_owned(), runs)]);
    let plan = FaultPlan {
        spans: spans.to_vec(),
    };
    check_records(&runs, &plan, &[record]).len()
}

/// Guards against a soak that misses violations: a request that ran twice, one that ran although
/// its outcome is `not-run`, one that never ran although its outcome is `ran`, and a truncated
/// download.
#[test]
fn outcomes() {
    assert_eq!(violations(record(LoadKind::Work, "ran"), 1, &[]), 0);
    assert_eq!(violations(record(LoadKind::Work, "ran"), 2, &[]), 1);
    assert_eq!(violations(record(LoadKind::Order, ""), 2, &[]), 1);
    assert_eq!(violations(record(LoadKind::Page, "ran"), 2, &[]), 0);
    assert_eq!(violations(record(LoadKind::Page, "not-run"), 1, &[]), 1);
    assert_eq!(violations(record(LoadKind::Page, "ran"), 0, &[]), 1);
    let cut = LoadRecord {
        bytes: 1_000,
        ..record(LoadKind::Download, "ran")
    };
    assert_eq!(violations(cut, 1, &[]), 1);
}

/// Guards against late responses that are excused by faults of other nodes.
#[test]
fn late_answers() {
    let late = LoadRecord {
        elapsed: Duration::from_secs(6),
        ..record(LoadKind::Page, "ran")
    };
    let pause = |node| FaultSpan {
        start: Duration::from_secs(9),
        end: Duration::from_secs(12),
        kind: FaultKind::PauseNode(node),
    };
    assert_eq!(violations(late.clone(), 1, &[]), 1);
    assert_eq!(violations(late.clone(), 1, &[pause(1)]), 1);
    assert_eq!(violations(late, 1, &[pause(0)]), 0);
}

/// Guards against seeds that cannot be reproduced: the same seed must give the same faults, and
/// another seed others.
#[test]
fn same_faults() {
    let draw = |seed| {
        let plan = FaultPlan::draw(seed, Duration::from_secs(20), 6);
        let kinds: Vec<_> = plan
            .spans
            .iter()
            .map(|span| (span.start, span.kind))
            .collect();
        kinds
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    let plan = FaultPlan::draw(7, Duration::from_secs(20), 6);
    let overlap = plan
        .spans
        .windows(2)
        .any(|pair| pair[1].start < pair[0].end);
    assert!(overlap);
}
