//! Planned arrival times.

use std::time::Duration;

use apricotfold_load::{LoadPhase, PlannedCall, plan_calls};
use apricotfold_model::WorkClass;

const SECONDS: u64 = 100;
const RATE: u32 = 200;

fn plan(seed: u64) -> Vec<PlannedCall> {
    let phase = LoadPhase {
        calls_per_second: RATE,
        duration: Duration::from_secs(SECONDS),
    };
    plan_calls(&[phase], 25, seed)
}

/// Guards against runs that cannot be reproduced because arrivals differ for the same seed, and
/// against seeds that have no effect.
#[test]
fn same_seed() {
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}

/// Guards against a load whose rate or share of long calls differs from the settings. The bounds
/// are five standard deviations of the counts.
#[test]
fn rate_and_class_mix() {
    let calls = plan(7);
    assert!((19_293..=20_707).contains(&calls.len()), "{}", calls.len());
    let long = calls.iter().filter(|call| call.class == WorkClass::Long);
    let long = long.count();
    assert!((4_646..=5_354).contains(&long), "{long}");
}

/// Guards against evenly spaced arrivals, which cause less queueing than independent callers. The
/// standard deviation of exponentially distributed gaps equals their mean.
#[test]
fn random_gaps() {
    let calls = plan(7);
    let gaps = calls
        .windows(2)
        .map(|pair| pair[1].at.as_secs_f64() - pair[0].at.as_secs_f64());
    let gaps: Vec<f64> = gaps.collect();
    let count = f64::from(u32::try_from(gaps.len()).unwrap_or_default());
    let mean = gaps.iter().sum::<f64>() / count;
    let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / count;
    let ratio = variance.sqrt() / mean;
    assert!((0.95..=1.05).contains(&ratio), "{ratio}");
}

/// Guards against phases that start or end late, or whose rate affects other phases.
#[test]
fn phase_rates() {
    let phase = |calls_per_second| LoadPhase {
        calls_per_second,
        duration: Duration::from_secs(10),
    };
    let calls = plan_calls(&[phase(100), phase(0), phase(1_000)], 0, 7);
    let within = |from: u64, until: u64| {
        let range = Duration::from_secs(from)..Duration::from_secs(until);
        calls.iter().filter(|call| range.contains(&call.at)).count()
    };
    assert!((842..=1_158).contains(&within(0, 10)));
    assert_eq!(within(10, 20), 0);
    assert!((9_500..=10_500).contains(&within(20, 30)));
    assert_eq!(within(0, 30), calls.len());
}
