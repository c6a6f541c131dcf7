//! Downloads on the link of a target's machine.

use std::time::{Duration, Instant};

use apricotfold_policy::{BULK_MIN_BYTES, CallStanding, LinkPacer};
use proptest::prelude::*;

/// 32 Mbit/s.
const RATE: f64 = 4_000_000.0;
const DOWNLOAD: usize = 280_000;
const CHUNK: usize = 16 * 1024;
const WANTED: Duration = Duration::from_millis(800);
const SERVICE: Duration = Duration::from_millis(80);

fn admits(gauge: &LinkPacer, bytes: usize, standing: CallStanding, now: Instant) -> bool {
    gauge.admits(bytes, standing, WANTED, SERVICE, now)
}

/// Guards against downloads that are run although their answers could only be late, and against
/// small answers that are refused for downloads.
#[test]
fn refuses_bulk_only() {
    let now = Instant::now();
    let mut gauge = LinkPacer::new(Some(RATE));
    let mut admitted = 0;
    while admits(&gauge, DOWNLOAD, CallStanding::New, now) {
        gauge.reserve(DOWNLOAD);
        admitted += 1;
    }
    assert!((2..8).contains(&admitted), "{admitted}");
    assert!(admits(&gauge, DOWNLOAD, CallStanding::Returned, now));
    assert!(admits(&gauge, BULK_MIN_BYTES - 1, CallStanding::New, now));
    gauge.release(DOWNLOAD * admitted);
    assert!(admits(&gauge, DOWNLOAD, CallStanding::New, now));
}

/// Guards against a limit where the settings name none.
#[test]
fn unknown_rate() {
    let now = Instant::now();
    let mut gauge = LinkPacer::new(None);
    gauge.reserve(1_000 * DOWNLOAD);
    assert!(admits(&gauge, DOWNLOAD, CallStanding::New, now));
    for _ in 0..100 {
        assert_eq!(gauge.grant(CHUNK, now), Ok(()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against bulk that is handed out faster than the link sends it, which would keep small
    /// answers waiting, and against a link that is left idle while bulk waits.
    #[test]
    fn keeps_the_pace(pauses in prop::collection::vec(0..30_u64, 1..200)) {
        let start = Instant::now();
        let mut now = start;
        let mut gauge = LinkPacer::new(Some(RATE));
        gauge.reserve(usize::MAX / 2);
        let mut granted = 0.0;
        for pause in pauses {
            let mut free = None;
            while free.is_none() {
                match gauge.grant(CHUNK, now) {
                    Ok(()) => granted += 16.0 * 1024.0,
                    Err(until) => free = Some(until),
                }
            }
            prop_assert!(free.is_some_and(|until| until > now));
            let sent = RATE * (now - start).as_secs_f64();
            let lead = RATE * 0.01 + 16.0 * 1024.0;
            prop_assert!(granted <= sent + lead, "{granted} {sent}");
            now += Duration::from_millis(pause);
        }
    }
}
