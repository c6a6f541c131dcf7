//! Pacing of downloads on the link of a target's machine.

use std::time::{Duration, Instant};

use apricotfold_policy::{BULK_MIN_BYTES, CallStanding, LinkPacer};
use proptest::prelude::*;

/// Rate of the link in bytes per second, equal to 32 Mbit/s.
const RATE: f64 = 4_000_000.0;
const DOWNLOAD: usize = 280_000;
const CHUNK: usize = 16 * 1024;
const USEFUL_TIME: Duration = Duration::from_millis(800);
const SERVICE: Duration = Duration::from_millis(80);

fn admits(pacer: &LinkPacer, bytes: usize, standing: CallStanding, now: Instant) -> bool {
    pacer.admits(bytes, standing, USEFUL_TIME, SERVICE, now)
}

/// Guards against running requests for downloads whose answers would be late, and against refusing
/// requests with small answers because of downloads.
#[test]
fn refuses_bulk_only() {
    let now = Instant::now();
    let mut pacer = LinkPacer::new(Some(RATE));
    let mut admitted = 0;
    while admits(&pacer, DOWNLOAD, CallStanding::New, now) {
        pacer.reserve(DOWNLOAD);
        admitted += 1;
    }
    assert!((2..8).contains(&admitted), "{admitted}");
    assert!(admits(&pacer, DOWNLOAD, CallStanding::Returned, now));
    assert!(admits(&pacer, BULK_MIN_BYTES - 1, CallStanding::New, now));
    pacer.release(DOWNLOAD * admitted);
    assert!(admits(&pacer, DOWNLOAD, CallStanding::New, now));
}

/// Guards against a limit if the settings configure none.
#[test]
fn unknown_rate() {
    let now = Instant::now();
    let mut pacer = LinkPacer::new(None);
    pacer.reserve(1_000 * DOWNLOAD);
    assert!(admits(&pacer, DOWNLOAD, CallStanding::New, now));
    for _ in 0..100 {
        assert_eq!(pacer.grant(CHUNK, now), Ok(()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against granting bulk faster than the link sends it, which would delay small answers,
    /// and against a link that is idle while bulk waits.
    #[test]
    fn keeps_the_pace(pauses in prop::collection::vec(0..30_u64, 1..200)) {
        let start = Instant::now();
        let mut now = start;
        let mut pacer = LinkPacer::new(Some(RATE));
        pacer.reserve(usize::MAX / 2);
        let mut granted = 0.0;
        for pause in pauses {
            let mut free = None;
            while free.is_none() {
                match pacer.grant(CHUNK, now) {
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
