//! Requests that targets have received and not answered.

use std::time::{Duration, Instant};

use apricotfold_model::TargetIncarnation;
use apricotfold_policy::UnansweredRuns;

const RETENTION: Duration = Duration::from_secs(15);

fn incarnation(born: u64) -> TargetIncarnation {
    TargetIncarnation {
        instance: "i-1".into(),
        born,
    }
}

/// Guards against a crash for which requests are not suspect that were in flight or given up shortly
/// before, against suspecting answered ones, and against a mix-up of two incarnations with one id.
#[test]
fn suspects_of_crash() {
    let now = Instant::now();
    let mut runs = UnansweredRuns::default();
    let (first, second) = (incarnation(1), incarnation(2));
    let answered = runs.begin(&first, "answered".into());
    let left = runs.begin(&first, "left".into());
    runs.begin(&first, "running".into());
    runs.begin(&second, "next".into());
    runs.settle(&first, answered);
    runs.abandon(&first, left, now);
    let mut suspects = runs.take_suspects(&first, now + RETENTION / 2);
    suspects.sort();
    assert_eq!(suspects, ["left", "running"]);
    assert!(runs.take_suspects(&first, now).is_empty());
    assert_eq!(runs.len(), 1);
}

/// Guards against a request that is given up only after its target's crash was noticed and is not
/// suspect.
#[test]
fn given_up_after_crash() {
    let now = Instant::now();
    let mut runs = UnansweredRuns::default();
    let target = incarnation(1);
    assert!(!runs.record_unanswered(&target, "first".into(), now));
    assert_eq!(runs.take_suspects(&target, now), ["first"]);
    assert!(runs.record_unanswered(&target, "late".into(), now));
    assert_eq!(runs.take_suspects(&target, now), ["late"]);
    runs.prune(now + RETENTION);
    assert!(!runs.record_unanswered(&target, "later".into(), now + RETENTION));
}

/// Guards against a crash that is blamed on requests of long ago, and against memory use that grows
/// with every request that is given up.
#[test]
fn abandoned_are_forgotten() {
    let now = Instant::now();
    let mut runs = UnansweredRuns::default();
    let target = incarnation(1);
    for index in 0..200 {
        let number = runs.begin(&target, format!("f{index}").into());
        runs.abandon(&target, number, now);
    }
    assert_eq!(runs.len(), 64);
    assert!(runs.take_suspects(&target, now).contains(&"f199".into()));
    let number = runs.begin(&target, "old".into());
    runs.abandon(&target, number, now);
    runs.prune(now + RETENTION);
    assert!(runs.is_empty());
}
