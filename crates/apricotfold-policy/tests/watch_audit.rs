//! Watches whose answer never comes.

use std::time::{Duration, Instant};

use apricotfold_model::NodeId;
use apricotfold_policy::{MonitorChoice, MonitorRole, WatchAudit, WatchDoubt, WatchProgress};

/// Interval at which a node compares itself with others.
const INTERVAL: Duration = Duration::from_millis(700);

/// Compares for some time with another node that has `other`, and returns when doubts arose.
fn doubts(
    audit: &mut WatchAudit,
    start: Instant,
    other: WatchProgress,
    rounds: u32,
) -> Vec<(Duration, WatchDoubt)> {
    let mut found = Vec::new();
    for round in 0..rounds {
        let now = start + INTERVAL * round;
        if let Some(doubt) = audit.check(1, now) {
            found.push((now - start, doubt));
        }
        audit.observe(other, 1, now);
    }
    found
}

/// Guards against a watch that is not opened anew within the time that operators wait for a table.
#[test]
fn newer_table_elsewhere() {
    let other = WatchProgress { table: 2, entry: 0 };
    let found = doubts(&mut WatchAudit::default(), Instant::now(), other, 10);
    let (first, doubt) = found[0];
    assert_eq!(doubt, WatchDoubt::TableBehind);
    assert!(first < Duration::from_millis(1_500), "{found:?}");
}

/// Guards against a watch that is opened anew so often that a long answer never arrives.
#[test]
fn patience_grows() {
    let other = WatchProgress { table: 2, entry: 0 };
    let found = doubts(&mut WatchAudit::default(), Instant::now(), other, 60);
    let gaps: Vec<Duration> = found
        .windows(2)
        .map(|pair| pair[1].0.saturating_sub(pair[0].0))
        .collect();
    assert!(gaps.is_sorted(), "{gaps:?}");
    assert!(*gaps.last().expect("several doubts") > Duration::from_secs(7));
}

/// Guards against doubts in a mesh in which all watches work: another node hears of a change a little
/// earlier, and entries are listed at different revisions.
#[test]
fn ordinary_skew() {
    let start = Instant::now();
    let mut audit = WatchAudit::default();
    audit.record_listing(40, 30);
    for round in 0..20_u32 {
        let now = start + INTERVAL * round;
        let version = u64::from(round);
        assert_eq!(audit.check(version, now), None);
        let ahead = WatchProgress {
            table: version + 1,
            entry: 35,
        };
        audit.observe(ahead, version, now);
    }
}

/// Guards against a lost watch of the entries, and against doubts that go on after it is back.
#[test]
fn newer_entry_elsewhere() {
    let start = Instant::now();
    let mut audit = WatchAudit::default();
    audit.record_listing(40, 30);
    let other = WatchProgress {
        table: 1,
        entry: 50,
    };
    let found = doubts(&mut audit, start, other, 10);
    assert_eq!(found[0].1, WatchDoubt::EntryBehind);
    assert!(found[0].0 < Duration::from_secs(5), "{found:?}");
    audit.record_batch(52, Some(50));
    assert_eq!(doubts(&mut audit, start + INTERVAL * 10, other, 20), []);
}

/// Guards against entries of a history that the store has lost.
#[test]
fn restored_store() {
    let mut audit = WatchAudit::default();
    audit.record_listing(90, 80);
    audit.observe(
        WatchProgress {
            table: 1,
            entry: 95,
        },
        1,
        Instant::now(),
    );
    audit.record_listing(40, 30);
    let other = WatchProgress {
        table: 1,
        entry: 35,
    };
    assert_eq!(doubts(&mut audit, Instant::now(), other, 20), []);
    assert_eq!(audit.delivered(), 30);
}

/// Guards against a loss at the monitor that is ignored, and against watches that are opened anew more
/// than once for it.
#[test]
fn lost_elsewhere() {
    let start = Instant::now();
    let mut audit = WatchAudit::default();
    audit.record_listing(40, 30);
    assert_eq!(audit.check(1, start), None);
    let lost = start + INTERVAL;
    for round in 1..8_u32 {
        let now = start + INTERVAL * round;
        audit.observe_loss(lost);
        audit.confirm(now);
        let expected = (round == 1).then_some(WatchDoubt::LostElsewhere);
        assert_eq!(
            audit.check(1, now + INTERVAL / 2),
            expected,
            "round {round}"
        );
    }
}

/// Guards against a data centre whose monitor has gone and in which nobody takes its place.
#[test]
fn next_monitor() {
    let [first, second, third] = ["a", "b", "c"].map(NodeId::from);
    let candidates = [first.clone(), second.clone(), third.clone()];
    let now = Instant::now();
    let mut choice = MonitorChoice::default();
    assert_eq!(
        choice.choose(&candidates, &first, now),
        MonitorRole::Monitors
    );
    let mut choice = MonitorChoice::default();
    assert_eq!(
        choice.choose(&candidates, &third, now),
        MonitorRole::Asks(first.clone())
    );
    choice.record(&first, false, now);
    assert_eq!(
        choice.choose(&candidates, &third, now),
        MonitorRole::Asks(second.clone())
    );
    choice.record(&second, false, now);
    assert_eq!(
        choice.choose(&candidates, &third, now),
        MonitorRole::Monitors
    );
    let later = now + INTERVAL * 20;
    assert_eq!(
        choice.choose(&candidates, &third, later),
        MonitorRole::Asks(first)
    );
    assert_eq!(choice.choose(&[], &third, later), MonitorRole::Monitors);
}

/// Guards against a node without peers that never doubts its watches.
#[test]
fn no_other_node() {
    let start = Instant::now();
    let mut audit = WatchAudit::default();
    let times = (0..10_u32).map(|round| start + INTERVAL * round);
    let found: Vec<_> = times.filter_map(|now| audit.check(1, now)).collect();
    assert_eq!(found, [WatchDoubt::Unconfirmed; 3]);
}
