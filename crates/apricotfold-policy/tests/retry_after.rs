//! Retry advice for refused callers, and recognition of their retries.

use std::time::Duration;

use apricotfold_model::RouteName;
use apricotfold_policy::{RetryDetector, advise_retry_after};
use rand::SeedableRng;
use rand::rngs::StdRng;

const ROUTE: RouteName = RouteName::const_new("almanac");

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Guards against callers that were refused together and retry together, against delays longer than
/// callers can afford, and against advice to a caller that has no time left.
#[test]
fn retry_delays_are_spread() {
    let mut random = StdRng::seed_from_u64(1);
    let mut pauses: Vec<Duration> = (0..200)
        .filter_map(|_| advise_retry_after(ms(100), ms(1_000), &mut random))
        .collect();
    pauses.sort();
    assert_eq!(pauses.len(), 200);
    assert!(pauses[0] >= ms(50) && pauses[199] <= ms(150));
    assert!(pauses[150] >= pauses[50] + ms(35));
    let long = advise_retry_after(ms(900), ms(600), &mut random);
    assert_eq!(long, Some(ms(180)));
    assert_eq!(advise_retry_after(ms(100), ms(30), &mut random), None);
}

/// Guards against treating callers that retry at once like those that waited as advised.
#[test]
fn recognises_retries() {
    let mut detector = RetryDetector::default();
    assert!(!detector.is_retry(&ROUTE, ms(1_000)));
    assert!(!detector.is_retry(&ROUTE, ms(1_000)));
    assert!(!detector.is_retry(&ROUTE, ms(995)));
    assert!(detector.is_retry(&ROUTE, ms(920)));
    assert!(!detector.is_retry(&RouteName::const_new("other"), ms(500)));
}
