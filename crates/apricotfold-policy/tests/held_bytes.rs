//! The memory budget, and the limits on connections.

use std::time::{Duration, Instant};

use apricotfold_policy::{
    AcceptDecision, CONNECTION_BYTES, ConnectionPhase, HeldBytes, HoldDecision, NodeLimits,
    OpenConnections,
};
use proptest::prelude::*;

const KB: usize = 1024;

/// Guards against giving up an ordinary body for one that has stalled.
#[test]
fn stalled_body_goes_first() {
    let start = Instant::now();
    let mut held = HeldBytes::new(100 * KB);
    let stalled = held.add(start);
    assert_eq!(held.hold(stalled, 50 * KB, start), HoldDecision::Granted);
    let later = start + Duration::from_secs(2);
    let moving = held.add(later);
    assert_eq!(held.hold(moving, 40 * KB, later), HoldDecision::Granted);
    let ordinary = held.add(later);
    let small = held.hold(ordinary, 20 * KB, later);
    assert_eq!(small, HoldDecision::GiveUp(stalled));
    assert_eq!(held.remove(stalled), 50 * KB);
    assert_eq!(held.hold(ordinary, 20 * KB, later), HoldDecision::Granted);
    assert_eq!(held.total(), 60 * KB);
}

/// Guards against a client that keeps its memory by sending a byte from time to time.
#[test]
fn dribble_is_no_progress() {
    let start = Instant::now();
    let mut held = HeldBytes::new(100 * KB);
    let dribbling = held.add(start);
    let moving = held.add(start);
    // It lowers the average, so that both larger bodies may be given up.
    let small = held.add(start);
    assert_eq!(held.hold(small, KB, start), HoldDecision::Granted);
    for step in 0..10 {
        let now = start + Duration::from_secs(step as u64);
        assert_eq!(
            held.hold(dribbling, 40 * KB + step, now),
            HoldDecision::Granted
        );
        assert_eq!(
            held.hold(moving, (20 + 4 * step) * KB, now),
            HoldDecision::Granted
        );
    }
    let now = start + Duration::from_secs(10);
    assert_eq!(
        held.hold(moving, 62 * KB, now),
        HoldDecision::GiveUp(dribbling)
    );
}

/// Guards against giving up what runs, and against a budget that running requests exceed for good.
#[test]
fn running_is_kept() {
    let now = Instant::now();
    let mut held = HeldBytes::new(100 * KB);
    let first = held.add(now);
    assert_eq!(held.hold(first, 80 * KB, now), HoldDecision::Granted);
    assert_eq!(held.pass_on(first), 80 * KB);
    let second = held.add(now);
    assert_eq!(
        held.hold(second, 30 * KB, now),
        HoldDecision::GiveUp(second)
    );
    held.release(80 * KB);
    assert_eq!(held.hold(second, 30 * KB, now), HoldDecision::Granted);
}

/// Guards against silent connections that keep callers out, and against closing one with a request
/// that runs.
#[test]
fn new_connection_replaces_silent() {
    let mut open = OpenConnections::new(3);
    let ids: Vec<_> = (0..3).map(|_| open.accept()).collect();
    assert_eq!(ids, [1, 2, 3].map(AcceptDecision::Served));
    assert!(open.enter(1, ConnectionPhase::Busy));
    assert!(open.enter(2, ConnectionPhase::Idle));
    assert_eq!(open.accept(), AcceptDecision::Replaces(4, 3));
    assert!(!open.enter(3, ConnectionPhase::Busy));
    assert!(open.enter(4, ConnectionPhase::Receiving));
    assert_eq!(open.accept(), AcceptDecision::Replaces(5, 2));
    assert!(open.enter(5, ConnectionPhase::Busy));
    assert_eq!(open.accept(), AcceptDecision::Replaces(6, 4));
    assert!(open.enter(6, ConnectionPhase::Busy));
    assert_eq!(open.accept(), AcceptDecision::Refused);
    open.close(1);
    assert_eq!(open.accept(), AcceptDecision::Served(7));
    assert_eq!(open.len(), 3);
}

/// Guards against limits that callers within the table's limits reach, or that contradict each other,
/// on the machines of the deployments.
#[test]
fn limits_of_machines() {
    for (memory, fds) in [(88, 4_100), (160, 4_100), (512, 8_192)] {
        let limits = NodeLimits::new(Some(memory), Some(fds));
        let connections =
            limits.caller_connections + limits.peer_connections + 3 * limits.status_connections;
        assert!(connections < fds as usize - 200, "{limits:?}");
        assert!(
            connections * CONNECTION_BYTES <= limits.held_bytes,
            "{limits:?}"
        );
        assert!(
            limits.held_bytes <= memory as usize * KB * KB / 2,
            "{limits:?}"
        );
        assert_eq!(limits.fits_body(64 << 20), memory >= 160, "{limits:?}");
    }
    assert!(NodeLimits::new(None, None).fits_body(64 << 20));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against a budget that is exceeded by bodies, against a body below the average that is
    /// given up for a larger one, and against a question that no number of given-up bodies answers.
    #[test]
    fn budget_holds(steps in prop::collection::vec((0_usize..12, 0_usize..40, 0_u64..500), 1..200)) {
        let budget = 100 * KB;
        let mut held = HeldBytes::new(budget);
        let mut now = Instant::now();
        let mut bodies: Vec<(u64, usize)> = (0..12).map(|_| (held.add(now), 0)).collect();
        for (index, size, wait) in steps {
            now += Duration::from_millis(wait);
            let (id, before) = bodies[index];
            let size = size * KB;
            let mut given_up = 0;
            loop {
                let most = bodies.iter().map(|body| if body.0 == id { size } else { body.1 });
                let average = most.sum::<usize>() / 12;
                let HoldDecision::GiveUp(other) = held.hold(id, size, now) else {
                    bodies[index].1 = size;
                    break;
                };
                let at = bodies.iter().position(|body| body.0 == other).expect("a known body");
                let its_size = if other == id { size } else { bodies[at].1 };
                prop_assert!(its_size >= average);
                prop_assert_eq!(held.remove(other), bodies[at].1);
                bodies[at] = (held.add(now), 0);
                given_up += 1;
                prop_assert!(given_up <= 12, "from {before} to {size}");
                if other == id {
                    break;
                }
            }
            prop_assert!(held.total() <= budget);
            prop_assert_eq!(held.total(), bodies.iter().map(|body| body.1).sum::<usize>());
        }
    }
}
