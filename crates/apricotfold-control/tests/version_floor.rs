//! Tests that no node returns to an older version of a profile.

mod mesh;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use apricotfold_control::{ControlEvent, RecordKey, VersionFloor, WaitReason};
use apricotfold_model::{HeadEntry, keys};
use apricotfold_schema::peer::RecordKind;
use compact_str::CompactString;
use mesh::Mesh;
use rand::RngExt;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn version(mesh: &Mesh) -> u64 {
    let head: Option<HeadEntry> = mesh.store.read(&keys::head("web"));
    head.map_or(0, |head| head.version)
}

/// Guards against a restarted node that applies the head of a single stale peer, or that keeps
/// waiting although no second source exists.
#[test]
fn restart_rule() {
    let start = Instant::now();
    let early = start + Duration::from_millis(1900);
    let none = BTreeSet::new();
    let mut floor = VersionFloor::new(start);
    assert!(!floor.offer("web", 3), "no source has answered");
    assert_eq!(floor.waiting_for(), Some(WaitReason::NoSource));
    floor.peer_answered(&"a".into(), none.clone());
    floor.peer_answered(&"a".into(), none.clone());
    assert!(!floor.check(5, early), "the same peer twice");
    assert_eq!(floor.waiting_for(), Some(WaitReason::SecondSource));
    let head = RecordKey::new(RecordKind::Head, "web");
    floor.peer_answered(&"b".into(), BTreeSet::from([head.clone()]));
    assert!(!floor.check(5, early), "its head has not arrived");
    floor.record_arrived(&head);
    assert!(floor.check(5, early));
    assert!(floor.offer("web", 3));
    assert!(!floor.offer("web", 3), "each version is offered once");
    assert!(!floor.offer("web", 2));
    assert!(floor.offer("web", 4));
    floor.confirm("web", 4);
    floor.confirm("web", 3);
    assert_eq!(floor.applied("web"), 4);
    floor.allow_reapply("web");
    assert!(!floor.offer("web", 3), "below the applied version");
    assert!(floor.offer("web", 4), "the profile was selected again");
    for (others, after, expected) in [(5, 1900, false), (5, 2000, true), (1, 10, true)] {
        let mut floor = VersionFloor::new(start);
        floor.peer_answered(&"a".into(), none.clone());
        assert_eq!(
            floor.check(others, start + Duration::from_millis(after)),
            expected
        );
    }
    let mut floor = VersionFloor::new(start);
    assert!(
        !floor.check(5, start + secs(60)),
        "without any source nothing is applied"
    );
    floor.store_answered(start);
    assert!(floor.is_settled());
}

/// Guards against a node that applies an older version than before, also across restarts, with
/// lost, duplicated, late and reordered messages, and against nodes that end at different versions.
/// With seed 1028 a gateway restarts after it applied a head that no peer had yet.
#[test]
fn version_never_decreases() {
    for seed in (0..6).chain([1028]) {
        let mut mesh = Mesh::new(seed);
        let names = mesh.start_many(8, ("north", "n-a"));
        mesh.run(secs(6));
        mesh.loss = 0.15;
        mesh.max_delay = Duration::from_millis(300);
        for round in 1..=10_u64 {
            let next = version(&mesh) + 1;
            mesh.store.publish(next, &format!("p{round}"), mesh.now);
            let wait = mesh.rng.random_range(500..3000);
            mesh.run(Duration::from_millis(wait));
            let node = names[mesh.rng.random_range(0..names.len())].clone();
            mesh.kill(&node);
            let wait = mesh.rng.random_range(0..2000);
            mesh.run(Duration::from_millis(wait));
            mesh.start(&node, ("north", "n-a"), round + 1, &["n-a-00", "n-a-01"]);
        }
        mesh.loss = 0.0;
        mesh.run(secs(25));
        let mut highest: BTreeMap<CompactString, u64> = BTreeMap::new();
        for (node, applied) in &mesh.applied {
            let before = highest.insert(node.clone(), *applied).unwrap_or_default();
            assert!(
                *applied >= before,
                "seed {seed}: {node} {before} -> {applied}"
            );
        }
        for node in &names {
            assert_eq!(
                highest[node],
                version(&mesh),
                "seed {seed}: {node} at the end"
            );
        }
    }
}

/// Guards against nodes that apply the older head of a restored store, and against a restore that
/// is not logged.
#[test]
fn restored_store() {
    let mut mesh = Mesh::new(3);
    mesh.start_many(5, ("north", "n-a"));
    mesh.run(secs(7));
    assert!(mesh.store.publish(1, "p1", mesh.now));
    mesh.run(secs(2));
    let old = mesh.store.data[keys::head("web").as_str()].0.clone();
    assert!(mesh.store.publish(2, "p2", mesh.now));
    mesh.run(secs(2));
    assert_eq!(mesh.applied.len(), 10);
    mesh.store.put(&keys::head("web"), old, None);
    mesh.run(secs(5));
    let reports = mesh
        .logs
        .iter()
        .filter(|(_, text)| text.starts_with("AF2005"));
    assert_eq!(reports.count(), 1);
    assert_eq!(mesh.applied.len(), 10, "nothing changed");
    assert!(mesh.store.publish(2, "p3", mesh.now));
    mesh.run(secs(3));
    assert_eq!(version(&mesh), 1, "version 2 is refused");
    assert!(mesh.store.publish(3, "p4", mesh.now));
    mesh.run(secs(3));
    assert_eq!(version(&mesh), 3);
    assert_eq!(mesh.applied.len(), 15);
}

/// Guards against nodes that apply a possibly stale head after all of them restarted while the
/// store is unavailable, and that stay without configuration once it is available.
#[test]
fn all_restarted() {
    let mut mesh = Mesh::new(4);
    let names = mesh.start_many(6, ("north", "n-a"));
    mesh.run(secs(7));
    assert!(mesh.store.publish(1, "p1", mesh.now));
    mesh.run(secs(2));
    mesh.set_store_unavailable(true);
    mesh.applied.clear();
    for node in &names {
        mesh.kill(node);
    }
    for node in &names {
        mesh.start(node, ("north", "n-a"), 2, &["n-a-00", "n-a-01"]);
    }
    mesh.run(secs(20));
    assert!(mesh.applied.is_empty());
    for core in mesh.cores.values() {
        assert_eq!(core.waiting_for(), Some(WaitReason::NoSource));
    }
    // No event tells the cores that the store is available; their own requests detect it.
    mesh.store.unavailable = false;
    mesh.run(secs(15));
    assert_eq!(mesh.applied.len(), names.len());
    assert!(mesh.cores.values().all(|core| core.waiting_for().is_none()));
}

/// Guards against a node that does not apply the head again after its target selected another
/// profile and then the first one again.
#[test]
fn changed_profile() {
    let mut mesh = Mesh::new(5);
    mesh.start_many(3, ("north", "n-a"));
    mesh.run(secs(7));
    assert!(mesh.store.publish(1, "p1", mesh.now));
    mesh.run(secs(2));
    mesh.applied.clear();
    mesh.announce("n-a-02", "api");
    mesh.run(secs(1));
    assert!(mesh.applied.is_empty());
    mesh.announce("n-a-02", "web");
    mesh.run(secs(1));
    assert_eq!(mesh.applied, [("n-a-02".into(), 1)]);
    mesh.feed(
        "n-a-02",
        ControlEvent::ApplyFailed {
            profile: "web".into(),
            version: 1,
            reason: "no listener".into(),
        },
    );
    mesh.run(secs(1));
    let members = mesh.cores["n-a-00"].members();
    let member = members.iter().find(|member| member.node == "n-a-02");
    assert_eq!(member.expect("member").lag_reason, "no listener");
}
