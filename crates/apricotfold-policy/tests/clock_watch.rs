//! Reports of clocks that jump or differ.

use std::time::{Duration, Instant, SystemTime};

use apricotfold_policy::{JumpDetector, PeerOffsets};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against jumps that nobody can see in the log, and against reports of a clock that only runs a
/// little faster or slower.
#[test]
fn jumps() {
    let (mut steady, mut wall) = (Instant::now(), SystemTime::now());
    let mut detector = JumpDetector::default();
    assert_eq!(detector.observe(steady, wall), None);
    for (passed, ahead, behind, jump) in [
        (SECOND, Duration::from_millis(20), Duration::ZERO, None),
        (SECOND, SECOND * 20, Duration::ZERO, Some(20_000)),
        (SECOND, Duration::ZERO, SECOND * 7, Some(-7_000)),
        (SECOND, Duration::ZERO, Duration::ZERO, None),
    ] {
        steady += passed;
        wall = wall + passed + ahead - behind;
        assert_eq!(detector.observe(steady, wall), jump);
    }
}

/// Guards against an offset that blames this node's clock for that of a single peer, or counts the time
/// that a message took.
#[test]
fn median_of_peers() {
    let (now, sent) = (Instant::now(), SystemTime::now());
    let mut offsets = PeerOffsets::default();
    assert_eq!(offsets.own_offset(now), None);
    let trip = Duration::from_millis(60);
    for (peer, ahead) in [("a", 5), ("b", 5), ("c", 90)] {
        let theirs = sent + trip / 2 + Duration::from_secs(ahead);
        offsets.record(&peer.into(), theirs, sent, trip, now);
    }
    assert_eq!(offsets.own_offset(now), Some(-5_000));
    assert_eq!(offsets.own_offset(now + Duration::from_mins(1)), None);
    offsets.record(
        &"d".into(),
        sent,
        sent,
        Duration::ZERO,
        now + Duration::from_mins(1),
    );
    assert_eq!(offsets.own_offset(now + Duration::from_mins(1)), Some(0));
    assert_eq!(offsets.len(), 1);
}

/// Guards against memory use that grows with the number of peers.
#[test]
fn bounded_peers() {
    let (now, sent) = (Instant::now(), SystemTime::now());
    let mut offsets = PeerOffsets::default();
    for peer in 0..100 {
        offsets.record(&format!("n{peer}").into(), sent, sent, Duration::ZERO, now);
    }
    assert_eq!(offsets.len(), 16);
}
