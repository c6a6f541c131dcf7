//! Use of instances according to the store, to peers and to their answers.

use std::time::{Duration, Instant};

use apricotfold_model::{InstanceRecord, InstanceState, NodeId};
use apricotfold_policy::InstanceRegistry;
use proptest::prelude::*;

const SERVICE: &str = "parish-desk";

/// Returns a record of a target's incarnation, whose number is also its start time, within a process
/// of its node.
fn record(life: u32, node_epoch: u64, state: InstanceState, number: u64) -> InstanceRecord {
    let born = u64::from(life);
    InstanceRecord {
        node: "poa-a-1".into(),
        address: ([10, 0, 0, 1], 80).into(),
        node_epoch,
        life,
        data_centre: "poa-a".into(),
        instance: format!("i-{born}").into(),
        born,
        number,
        service: SERVICE.into(),
        slots: 12,
        state,
        announced: None,
        cold_ms: 0,
        link_mbps: 0,
        version: None,
    }
}

fn ready(registry: &InstanceRegistry, now: Instant) -> usize {
    registry.ready(SERVICE, now).count()
}

fn node() -> NodeId {
    "poa-a-1".into()
}

/// Guards against a late write that restores an instance which has left.
#[test]
fn late_entry() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.apply_entry(record(1, 1, InstanceState::Ready, 4), now);
    registry.apply_entry(record(1, 1, InstanceState::Draining, 5), now);
    assert!(!registry.apply_entry(record(1, 1, InstanceState::Ready, 6), now));
    assert_eq!(ready(&registry, now), 0);
    assert!(registry.apply_entry(record(2, 1, InstanceState::Ready, 1), now));
    assert_eq!(ready(&registry, now), 1);
}

/// Guards against an instance that remains unused after its node was restarted: the stopped process
/// had announced that it takes no more calls.
#[test]
fn restarted_node() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.apply_entry(record(1, 1, InstanceState::Draining, 5), now);
    assert!(registry.apply_entry(record(1, 2, InstanceState::Ready, 9), now));
    assert_eq!(ready(&registry, now), 1);
}

/// Guards against dropping every instance when leases expire while the store is unavailable, and
/// against using indefinitely an instance that does not return.
#[test]
fn lapsed_entry() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.apply_entry(record(1, 1, InstanceState::Ready, 1), now);
    registry.apply_listing(Vec::new(), now);
    let soon = now + Duration::from_secs(2);
    assert!(registry.expire(soon).is_empty());
    assert_eq!(ready(&registry, soon), 1);
    let later = now + Duration::from_secs(3);
    assert_eq!(registry.expire(later).as_slice(), [node()]);
    assert_eq!(ready(&registry, later), 0);
}

/// Guards against dropping an instance whose node the store refuses although it answers calls.
#[test]
fn answering_instance() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.apply_entry(record(1, 1, InstanceState::Ready, 1), now);
    registry.lapse_entry(&node(), now);
    let later = now + Duration::from_secs(9);
    registry.record_answer(&node(), later);
    assert!(registry.expire(later + Duration::from_secs(1)).is_empty());
    assert_eq!(registry.expire(later + Duration::from_secs(3)).len(), 1);
}

/// Guards against excluding an instance permanently because its node had just restarted when it was
/// called.
#[test]
fn departure_is_temporary() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.apply_entry(record(1, 1, InstanceState::Ready, 1), now);
    assert!(registry.record_departure(&node(), "i-1", now));
    assert!(!registry.record_departure(&node(), "i-1", now));
    assert_eq!(ready(&registry, now), 0);
    assert_eq!(ready(&registry, now + Duration::from_secs(3)), 1);
    assert!(!registry.record_departure(&node(), "i-other", now));
}

/// Guards against using the record of a peer permanently although neither the store nor an answer
/// confirms it.
#[test]
fn peer_record() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    assert!(registry.apply_peer_record(record(1, 1, InstanceState::Ready, 1), now));
    assert_eq!(ready(&registry, now), 1);
    assert_eq!(registry.expire(now + Duration::from_secs(3)).len(), 1);
}

/// Guards against an instance that has left and counts as ready again because the store came back from an
/// older copy, and against never using a later incarnation, or one whose node was only restarted.
#[test]
fn returned_entry() {
    let now = Instant::now();
    let minute = Duration::from_mins(1);
    for left in [InstanceState::Gone, InstanceState::Draining] {
        let mut registry = InstanceRegistry::default();
        registry.apply_entry(record(1, 1, InstanceState::Ready, 1), now);
        registry.apply_entry(record(1, 1, left, 2), now);
        registry.lapse_entry(&node(), now);
        assert_eq!(ready(&registry, now), 0, "{left}");
        registry.apply_listing(vec![record(1, 1, InstanceState::Ready, 1)], now + minute);
        assert_eq!(ready(&registry, now + minute), 0, "{left}");
        registry.apply_peer_record(record(1, 1, InstanceState::Ready, 1), now + minute);
        assert_eq!(ready(&registry, now + minute), 0, "{left}");
        let mut restarted = registry.clone();
        restarted.apply_entry(record(1, 2, InstanceState::Ready, 3), now + minute);
        assert_eq!(ready(&restarted, now + minute), 1, "{left}");
        registry.apply_entry(record(2, 1, InstanceState::Ready, 1), now + minute);
        assert_eq!(ready(&registry, now + minute), 1, "{left}");
    }
}

fn records() -> impl Strategy<Value = Vec<InstanceRecord>> {
    let states = prop_oneof![
        Just(InstanceState::Ready),
        Just(InstanceState::Draining),
        Just(InstanceState::Gone)
    ];
    let one = (1..4_u32, 1..3_u64, states, 1..6_u64)
        .prop_map(|(life, epoch, state, number)| record(life, epoch, state, number));
    prop::collection::vec(one, 1..30)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against entries that arrive out of order: an entry that is followed by a later one of
    /// its node must never be used again.
    #[test]
    fn order_of_arrival(records in records()) {
        let now = Instant::now();
        let mut registry = InstanceRegistry::default();
        let mut newest: Option<InstanceRecord> = None;
        for record in records {
            registry.apply_entry(record.clone(), now);
            let later = newest.as_ref().is_none_or(|newest| newest.order() <= record.order());
            if later {
                newest = (record.state != InstanceState::Gone).then_some(record);
            }
            // A record that differs only in its announcement number need not replace the known one.
            let said = |record: &InstanceRecord| (record.life, record.node_epoch, record.state);
            let known = registry.record("poa-a-1").map(said);
            prop_assert_eq!(known, newest.as_ref().map(said));
        }
    }
}

/// Guards against a live target that counts as crashed because its node was silent for a while, and against
/// one that ended with its node and does not.
#[test]
fn silent_node() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let silent = record(1, 1, InstanceState::Ready, 1);
    for (returned, ended) in [
        (record(1, 1, InstanceState::Ready, 2), false),
        (record(1, 2, InstanceState::Ready, 2), false),
        (record(2, 2, InstanceState::Ready, 1), true),
    ] {
        let mut registry = InstanceRegistry::default();
        registry.apply_entry(silent.clone(), now);
        registry.lapse_entry(&node(), now);
        assert_eq!(registry.expire(later).len(), 1);
        assert!(registry.take_ended().is_empty());
        let mut returned = returned;
        returned.born = if ended { 2 } else { 1 };
        returned.instance = format!("i-{}", returned.born).into();
        registry.apply_entry(returned, later);
        assert_eq!(registry.take_ended().len(), usize::from(ended));
    }
}

/// Guards against a target that is not used, or is taken for an earlier one, because its clock was set
/// back before its start, and against a delayed record of the one before.
#[test]
fn start_time_set_back() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    let set_back = |mut record: InstanceRecord| {
        record.born = 1;
        record.instance = "i-set-back".into();
        record
    };
    registry.apply_entry(record(5, 1, InstanceState::Ready, 9), now);
    registry.apply_entry(record(5, 1, InstanceState::Gone, 9), now);
    let successor = set_back(record(6, 1, InstanceState::Ready, 1));
    assert!(registry.apply_entry(successor, now));
    assert_eq!(ready(&registry, now), 1);
    assert!(!registry.apply_entry(record(5, 1, InstanceState::Ready, 10), now));
    let restarted = set_back(record(1, 2, InstanceState::Ready, 1));
    assert!(registry.apply_entry(restarted, now));
    assert_eq!(ready(&registry, now), 1);
}

/// Guards against a node whose record does not count for minutes because it started without reading
/// what its former process had written.
#[test]
fn refuted_epoch() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    let restarted = record(1, 0, InstanceState::Ready, 1);
    assert_eq!(registry.refuting_epoch(&restarted), None);
    registry.apply_entry(record(2, 7, InstanceState::Ready, 4), now);
    assert_eq!(registry.refuting_epoch(&restarted), Some(7));
    registry.apply_entry(record(2, 7, InstanceState::Draining, 5), now);
    registry.lapse_entry(&node(), now);
    assert_eq!(registry.refuting_epoch(&restarted), Some(7));
    let again = record(2, 7, InstanceState::Ready, 1);
    assert_eq!(registry.refuting_epoch(&again), Some(7));
    let raised = record(1, 8, InstanceState::Ready, 1);
    assert_eq!(registry.refuting_epoch(&raised), None);
    assert!(registry.apply_entry(raised, now));
    assert_eq!(ready(&registry, now), 1);
}

/// Guards against an instance that has stated its departure and is used again because its record
/// lapses, returns, or is written anew by a restarted node, and against a successor that is not used.
#[test]
fn stated_departure() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    let first = record(1, 1, InstanceState::Ready, 4);
    registry.apply_entry(first.clone(), now);
    assert!(registry.record_stated_departure(&first, now));
    assert!(!registry.record_stated_departure(&first, now));
    assert_eq!(ready(&registry, now), 0);
    registry.lapse_entry(&node(), now);
    let later = now + Duration::from_secs(20);
    registry.expire(later);
    registry.apply_peer_record(first.clone(), later);
    assert_eq!(ready(&registry, later), 0);
    registry.apply_entry(record(1, 2, InstanceState::Ready, 9), later);
    assert_eq!(ready(&registry, later), 0);
    registry.apply_entry(record(2, 2, InstanceState::Ready, 1), later);
    assert_eq!(ready(&registry, later), 1);
}

/// Guards against a departure that peers forget when the node starts again, and against one of a former
/// incarnation that is told to a later process.
#[test]
fn departure_told_to_later_process() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    let announced = |record: InstanceRecord| InstanceRecord {
        announced: Some(record.state),
        ..record
    };
    registry.apply_entry(announced(record(1, 1, InstanceState::Ready, 4)), now);
    assert_eq!(registry.announced_departure(&node()), None);
    let gone = announced(record(1, 1, InstanceState::Gone, 5));
    let departure = gone.incarnation();
    registry.apply_peer_record(gone, now);
    assert_eq!(registry.announced_departure(&node()), Some(&departure));
    // A late announcement, at a process that does not know of the departure.
    registry.apply_entry(announced(record(1, 2, InstanceState::Ready, 4)), now);
    assert_eq!(registry.announced_departure(&node()), Some(&departure));
    registry.apply_entry(announced(record(2, 3, InstanceState::Ready, 1)), now);
    assert_eq!(registry.announced_departure(&node()), None);
    // The node shuts down, which its target has not announced.
    let stopped = InstanceRecord {
        announced: Some(InstanceState::Ready),
        ..record(2, 3, InstanceState::Draining, 2)
    };
    registry.apply_entry(stopped, now);
    assert_eq!(registry.announced_departure(&node()), None);
}

/// Guards against an incarnation that is forgotten, rather than counted as ended, when the next thing
/// heard from its node is that a later one has left.
#[test]
fn later_incarnation_left() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    let former = record(1, 1, InstanceState::Ready, 4);
    registry.apply_entry(former.clone(), now);
    registry.apply_peer_record(record(2, 2, InstanceState::Gone, 1), now);
    assert_eq!(registry.take_ended(), [former.incarnation()]);
}

/// Guards against nodes that go on using an instance which has left, because it is only missing in the list
/// that a peer sends, and against a departure that outlasts a restart of its node.
#[test]
fn told_departure() {
    let now = Instant::now();
    let mut relay = InstanceRegistry::default();
    relay.apply_entry(record(1, 1, InstanceState::Ready, 4), now);
    let mut follower = relay.clone();
    relay.apply_peer_record(record(1, 1, InstanceState::Gone, 5), now);
    let told = relay.told_departures(now);
    assert!(follower.apply_departures(&told, now));
    assert_eq!(ready(&follower, now), 0);
    assert!(!follower.apply_departures(&told, now));
    // Another peer has not heard of it yet.
    let late = vec![record(1, 1, InstanceState::Ready, 4)];
    follower.apply_listing(late, now);
    assert_eq!(ready(&follower, now), 0);
    assert_eq!(follower.staying().count(), 0);
    follower.apply_listing(vec![record(1, 2, InstanceState::Ready, 1)], now);
    assert!(!follower.apply_departures(&told, now));
    assert_eq!(ready(&follower, now), 1);
    assert_eq!(follower.staying().count(), 1);
    assert!(follower.take_ended().is_empty());
    let later = now + Duration::from_mins(1);
    assert!(relay.told_departures(later).is_empty());
}
