//! Tests of candidates, votes and decisions.

mod mesh;

use std::time::Duration;

use apricotfold_model::{HeadEntry, OutcomeEntry, keys};
use compact_str::CompactString;
use mesh::Mesh;
use rand::RngExt;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ready(seed: u64, count: usize) -> (Mesh, Vec<CompactString>) {
    let mut mesh = Mesh::new(seed);
    let names = mesh.start_many(count, ("north", "n-a"));
    mesh.run(secs(7));
    (mesh, names)
}

fn outcome(mesh: &Mesh) -> OutcomeEntry {
    let found = mesh.store.read(&keys::outcome("web"));
    found.expect("a decided publish")
}

fn version(mesh: &Mesh) -> u64 {
    let head: Option<HeadEntry> = mesh.store.read(&keys::head("web"));
    head.map_or(0, |head| head.version)
}

fn acting(mesh: &Mesh) -> CompactString {
    let core = mesh.cores.values().next().expect("a node");
    core.acting_relay(mesh.now).expect("a relay").node
}

/// Guards against a publish that waits for its timeouts although all nodes have voted, and against
/// nodes that do not get the accepted version.
#[test]
fn accepted_at_once() {
    let (mut mesh, names) = ready(1, 8);
    assert!(mesh.store.publish(1, "p1", mesh.now));
    mesh.run(secs(1));
    assert!(outcome(&mesh).accepted);
    assert_eq!(outcome(&mesh).prepared, 8);
    assert_eq!(mesh.applied.len(), names.len());
}

/// Guards against a version that some nodes apply although one node refuses it.
#[test]
fn one_refusal() {
    let (mut mesh, _) = ready(2, 8);
    mesh.refusing.insert("n-a-05".into());
    assert!(mesh.store.publish(1, "p1", mesh.now));
    mesh.run(secs(5));
    let outcome = outcome(&mesh);
    assert!(!outcome.accepted);
    assert_eq!(outcome.refusals[0].node, "n-a-05");
    assert_eq!(outcome.refusals[0].reason, "listener missing");
    assert_eq!(version(&mesh), 0);
    assert!(mesh.applied.is_empty());
    mesh.refusing.clear();
    assert!(mesh.store.publish(1, "p2", mesh.now));
    mesh.run(secs(2));
    assert_eq!(version(&mesh), 1, "the version number can be used again");
    assert_eq!(mesh.applied.len(), 8);
}

/// Guards against a version number that is used twice, and against a refusal without the known
/// version, which the operator's command needs to retry.
#[test]
fn stale_candidates() {
    let (mut mesh, _) = ready(3, 5);
    for number in 1..=3 {
        assert!(mesh.store.publish(number, &format!("p{number}"), mesh.now));
        mesh.run(secs(2));
    }
    assert!(mesh.store.publish(3, "again", mesh.now));
    mesh.run(secs(2));
    assert_eq!(outcome(&mesh).publish_id, "again");
    assert_eq!(outcome(&mesh).refusals[0].reason, "stale-version: known 3");
    // The record of a rejected higher version hides lower ones in the record tables.
    mesh.refusing.insert("n-a-01".into());
    assert!(mesh.store.publish(8, "high", mesh.now));
    mesh.run(secs(2));
    mesh.refusing.clear();
    assert!(mesh.store.publish(4, "low", mesh.now));
    mesh.run(secs(2));
    assert_eq!(outcome(&mesh).refusals[0].reason, "stale-version: known 8");
    assert!(mesh.store.publish(9, "above", mesh.now));
    mesh.run(secs(2));
    assert_eq!(version(&mesh), 9);
    assert_eq!(mesh.applied.len(), 4 * 5);
}

/// Guards against an unreachable node that blocks a publish, and that never gets the accepted
/// version.
#[test]
fn missed_prepare() {
    let (mut mesh, names) = ready(4, 6);
    let relay = acting(&mesh);
    let missing = names
        .iter()
        .rev()
        .find(|name| **name != relay)
        .expect("a node")
        .clone();
    let others: Vec<_> = names
        .iter()
        .filter(|name| **name != missing)
        .cloned()
        .collect();
    mesh.set_cut(std::slice::from_ref(&missing), &others, true);
    assert!(mesh.store.publish(1, "p1", mesh.now));
    mesh.run(Duration::from_millis(2300));
    assert!(outcome(&mesh).accepted);
    assert!(mesh.applied.iter().all(|(node, _)| *node != missing));
    mesh.set_cut(std::slice::from_ref(&missing), &others, false);
    mesh.run(secs(6));
    assert!(mesh.applied.contains(&(missing, 1)));
}

/// Guards against a decision or a vote that is written twice, or never, because the store's reply
/// was lost.
#[test]
fn lost_answers() {
    for seed in 0..4 {
        let (mut mesh, names) = ready(50 + seed, 5);
        mesh.store.lost_answers = 1.0;
        for number in 1..=2 {
            assert!(mesh.store.publish(number, &format!("p{number}"), mesh.now));
            mesh.run(secs(4));
            assert_eq!(version(&mesh), number);
        }
        assert_eq!(mesh.applied.len(), 2 * names.len());
        let settled = mesh
            .logs
            .iter()
            .filter(|(_, text)| text.starts_with("AF5005"));
        assert!(settled.count() >= 2);
        assert_eq!(
            mesh.store.commits.len(),
            4,
            "one vote and one decision each"
        );
    }
}

/// Guards against a candidate that replaces a head that its operator has not seen.
#[test]
fn concurrent_operators() {
    let (mut mesh, _) = ready(6, 5);
    assert!(mesh.store.publish(1, "first", mesh.now));
    assert!(
        !mesh.store.publish(1, "second", mesh.now),
        "the candidate key exists"
    );
    mesh.run(secs(2));
    assert_eq!(outcome(&mesh).publish_id, "first");
    let head = mesh.store.data[keys::head("web").as_str()].0.clone();
    assert!(mesh.store.publish(2, "third", mesh.now));
    mesh.store.put(&keys::head("web"), head, None);
    mesh.run(secs(5));
    assert_eq!(outcome(&mesh).publish_id, "third");
    assert!(!outcome(&mesh).accepted);
    assert_eq!(outcome(&mesh).refusals[0].reason, "head-changed");
    assert_eq!(version(&mesh), 1);
}

/// Guards against a publish that stays open because the relay that should decide it has died.
#[test]
fn deciding_relay_killed() {
    let (mut mesh, names) = ready(7, 7);
    assert!(mesh.store.publish(1, "p1", mesh.now));
    let relay = acting(&mesh);
    mesh.kill(&relay);
    mesh.run(secs(12));
    assert!(outcome(&mesh).accepted);
    assert_eq!(mesh.applied.len(), names.len() - 1);
}

/// Guards against a partial decision when the store becomes unavailable during a publish.
#[test]
fn store_unavailable() {
    for step in 0..12_u32 {
        let (mut mesh, names) = ready(80 + u64::from(step), 5);
        assert!(mesh.store.publish(1, "p1", mesh.now));
        mesh.run(Duration::from_millis(50) * step);
        mesh.set_store_unavailable(true);
        mesh.run(secs(20));
        let applied = mesh.applied.len();
        let before = version(&mesh);
        assert!(
            applied == 0 || before == 1,
            "step {step}: {applied}, {before}"
        );
        mesh.set_store_unavailable(false);
        mesh.run(secs(12));
        assert_eq!(
            version(&mesh),
            before,
            "step {step}: the candidate's lease has expired"
        );
        let expected = if before == 1 { names.len() } else { 0 };
        assert_eq!(mesh.applied.len(), expected, "step {step}");
        assert!(
            mesh.store.publish(before + 1, "p2", mesh.now),
            "step {step}"
        );
        mesh.run(secs(5));
        assert_eq!(version(&mesh), before + 1, "step {step}");
    }
}

/// Guards against a candidate that some node applies although a live node refuses it, with lost,
/// duplicated and late messages and lost store replies. Seed 1000 fails if a lost candidate is only
/// delivered by anti-entropy at its regular interval.
#[test]
fn refused_candidate_not_applied() {
    for seed in (0..8).chain([1000]) {
        let (mut mesh, names) = ready(100 + seed, 8);
        mesh.loss = 0.1;
        mesh.max_delay = Duration::from_millis(150);
        mesh.store.lost_answers = 0.3;
        let mut refused = Vec::new();
        for number in 1..=6_u64 {
            let node = names[mesh.rng.random_range(0..names.len())].clone();
            let is_refused = mesh.rng.random_bool(0.5);
            if is_refused {
                mesh.refusing.insert(node);
            }
            let next = version(&mesh) + 1;
            let publish_id = format!("p{number}");
            assert!(
                mesh.store.publish(next, &publish_id, mesh.now),
                "seed {seed}"
            );
            mesh.run(secs(6));
            if is_refused {
                refused.push(CompactString::from(publish_id));
            }
            mesh.refusing.clear();
        }
        assert!(
            version(&mesh) > 0 || refused.len() == 6,
            "seed {seed}: nothing accepted"
        );
        for (name, _, publish_id) in &mesh.applied_ids {
            assert!(
                !refused.contains(publish_id),
                "seed {seed}: {name} applied {publish_id}"
            );
        }
    }
}

/// Guards against a partitioned region that blocks a publish, decides on its own, or does not catch
/// up after the partition.
#[test]
fn partitioned_region() {
    let mut mesh = Mesh::new(9);
    mesh.far_from_store = &["s"];
    let mut sides = [Vec::new(), Vec::new()];
    for (side, place) in [
        (0, ("north", "n-a")),
        (0, ("north", "n-b")),
        (1, ("south", "s-a")),
        (1, ("south", "s-b")),
    ] {
        for index in 0..4 {
            let name = CompactString::from(format!("{}-{index:02}", place.1));
            mesh.start(&name, place, 1, &[&format!("{}-00", place.1)]);
            sides[side].push(name);
        }
    }
    mesh.run(secs(12));
    assert!(mesh.store.publish(1, "p1", mesh.now));
    mesh.run(secs(2));
    assert_eq!(mesh.applied.len(), 16, "all votes arrive within the wait");
    mesh.set_cut(&sides[0], &sides[1], true);
    mesh.store.unreachable = &["s"];
    mesh.run(Duration::from_millis(200));
    assert!(mesh.store.publish(2, "p2", mesh.now));
    mesh.run(secs(4));
    assert!(outcome(&mesh).accepted);
    assert_eq!(
        mesh.applied.len(),
        24,
        "the region with the store applies the version"
    );
    mesh.run(secs(20));
    // The store stays unreachable for the region, so that only peers can deliver the head.
    mesh.set_cut(&sides[0], &sides[1], false);
    mesh.run(secs(6));
    assert_eq!(mesh.applied.len(), 32, "the other region has caught up");
}
