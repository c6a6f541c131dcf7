//! Delay after which a call is hedged.

use std::time::{Duration, Instant};

use apricotfold_policy::HedgeTimer;

/// Guards against hedges that are sent before the usual latency is known, and against a wrong
/// percentile.
#[test]
fn delay_is_the_percentile_of_enough_samples() {
    let now = Instant::now();
    let mut timer = HedgeTimer::new(95);
    for sample in 1..50 {
        timer.record(Duration::from_millis(sample), now);
    }
    assert_eq!(timer.delay(now), None);
    for sample in 50..=100 {
        timer.record(Duration::from_millis(sample), now);
    }
    assert_eq!(timer.delay(now), Some(Duration::from_millis(95)));
}

/// Guards against a delay that does not follow when the service becomes slower, or that is computed
/// from outdated samples.
#[test]
fn delay_follows_recent_samples() {
    let mut now = Instant::now();
    let mut timer = HedgeTimer::new(90);
    for _ in 0..1_000 {
        timer.record(Duration::from_millis(5), now);
    }
    assert_eq!(timer.delay(now), Some(Duration::from_millis(5)));
    for _ in 0..150 {
        now += Duration::from_millis(1);
        timer.record(Duration::from_millis(50), now);
    }
    assert_eq!(timer.delay(now), Some(Duration::from_millis(50)));
    now += Duration::from_mins(1);
    assert_eq!(timer.delay(now), None);
}
