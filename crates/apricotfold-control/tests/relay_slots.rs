//! Tests of relay slots, fencing and the gateway role.

mod mesh;

use std::time::Duration;

use apricotfold_control::{ControlEvent, RecordBody};
use apricotfold_schema::peer::RecordKind;
use compact_str::CompactString;
use mesh::{Mesh, TICK};

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn relays(mesh: &Mesh) -> Vec<CompactString> {
    let cores = mesh.cores.iter();
    cores
        .filter(|(_, core)| core.is_relay())
        .map(|(node, _)| node.clone())
        .collect()
}

fn acting(mesh: &Mesh, asked: &str) -> CompactString {
    let relay = mesh.cores[asked].acting_relay(mesh.now);
    relay.expect("an acting relay").node
}

/// Guards against more than two relays in a data centre, and against store calls that grow with
/// the number of nodes.
#[test]
fn two_holders() {
    let mut calls = Vec::new();
    for count in [6, 24] {
        let mut mesh = Mesh::new(1);
        mesh.start_many(count, ("north", "n-a"));
        mesh.run(secs(6));
        mesh.store.total = 0;
        mesh.run(secs(20));
        assert_eq!(relays(&mesh).len(), 2);
        let gateways = mesh.cores.values().filter(|core| core.is_gateway(mesh.now));
        assert_eq!(gateways.count(), 1);
        calls.push(mesh.store.total);
    }
    assert!(
        calls[1] <= calls[0] + 2,
        "calls with 6 and 24 nodes: {calls:?}"
    );
}

/// Guards against a data centre that stays without relays after its relays died.
#[test]
fn replaced_holders() {
    let mut mesh = Mesh::new(2);
    mesh.start_many(8, ("north", "n-a"));
    mesh.run(secs(6));
    let first = acting(&mesh, "n-a-00");
    mesh.kill(&first);
    mesh.run(secs(4));
    let asked = mesh.cores.keys().next().expect("a node").clone();
    let second = acting(&mesh, &asked);
    assert_ne!(first, second, "the standby acts");
    mesh.run(secs(8));
    assert_eq!(relays(&mesh).len(), 2, "the free slot is acquired");
    for node in relays(&mesh) {
        mesh.kill(&node);
    }
    mesh.run(secs(12));
    assert_eq!(relays(&mesh).len(), 2, "both slots are acquired again");
}

/// Guards against a relay that lost its slot during a pause and then writes with its old fence, and
/// against its records replacing those of the new holder.
#[test]
fn paused_holder() {
    let mut mesh = Mesh::new(3);
    mesh.start_many(8, ("north", "n-a"));
    mesh.run(secs(6));
    let paused = acting(&mesh, "n-a-00");
    let old = mesh.cores[&paused].write_fence(mesh.now).expect("a fence");
    mesh.paused.insert(paused.clone());
    mesh.run(secs(12));
    assert!(mesh.store.publish(1, "p1", mesh.now));
    assert_eq!(
        mesh.cores[&paused].write_fence(mesh.now),
        None,
        "the lease has expired"
    );
    mesh.paused.clear();
    let committed = mesh.store.commits.len();
    mesh.run(TICK * 4);
    mesh.run(secs(4));
    let commits = &mesh.store.commits[committed..];
    assert!(!commits.is_empty(), "the publish was decided");
    assert!(commits.iter().all(|node| *node != paused), "{commits:?}");
    let other = mesh
        .cores
        .keys()
        .find(|node| **node != paused)
        .expect("a node");
    let key = format!("n-a/{}", old.0);
    let body = mesh.cores[other].records().body(RecordKind::Relay, &key);
    let Some(RecordBody::Relay(body)) = body else {
        panic!("no relay in the slot");
    };
    assert_ne!(body.node, paused.as_str());
    assert!(body.fence > u64::try_from(old.1).expect("fence"));
}

/// Guards against relays that stop relaying gossip while the store is unavailable, against two
/// provisional relays, and against writes without a lease.
#[test]
fn store_unavailable() {
    let mut mesh = Mesh::new(4);
    mesh.start_many(8, ("north", "n-a"));
    mesh.run(secs(6));
    let before = relays(&mesh);
    mesh.set_store_unavailable(true);
    mesh.run(secs(12));
    assert_eq!(relays(&mesh), before, "relays keep their role");
    for node in &before {
        assert_eq!(mesh.cores[node].write_fence(mesh.now), None, "{node}");
        mesh.kill(node);
    }
    mesh.run(secs(15));
    assert_eq!(relays(&mesh).len(), 1, "one provisional relay");
    let provisional = relays(&mesh)[0].clone();
    assert_eq!(mesh.cores[&provisional].write_fence(mesh.now), None);
    let asked = mesh.cores.keys().next().expect("a node").clone();
    assert_eq!(acting(&mesh, &asked), provisional);
    mesh.set_store_unavailable(false);
    mesh.run(secs(15));
    let holders = relays(&mesh);
    assert_eq!(holders.len(), 2, "{holders:?}");
    for node in holders {
        assert!(mesh.cores[&node].write_fence(mesh.now).is_some(), "{node}");
    }
}

/// Guards against heartbeats that never take effect after the store was restored to an older state,
/// because its lower fences rank them below the previous relays' records.
#[test]
fn lower_fences() {
    let mut mesh = Mesh::new(5);
    mesh.start_many(6, ("north", "n-a"));
    mesh.store.revision = 500;
    mesh.run(secs(6));
    for node in relays(&mesh) {
        mesh.kill(&node);
    }
    mesh.store.data.clear();
    mesh.store.revision = 3;
    mesh.run(secs(12));
    let asked = mesh.cores.keys().next().expect("a node").clone();
    assert_eq!(relays(&mesh).len(), 2);
    let acting = acting(&mesh, &asked);
    assert!(relays(&mesh).contains(&acting));
}

/// Guards against a draining node that keeps its slot until its lease expires.
#[test]
fn drained_holder() {
    let mut mesh = Mesh::new(6);
    mesh.start_many(6, ("north", "n-a"));
    mesh.run(secs(6));
    let drained = acting(&mesh, "n-a-00");
    mesh.feed(&drained, ControlEvent::DrainStarted);
    mesh.run(secs(4));
    assert_eq!(relays(&mesh).len(), 2);
    assert!(!relays(&mesh).contains(&drained));
    let asked = mesh
        .cores
        .keys()
        .find(|node| **node != drained)
        .expect("a node");
    let endpoints = mesh.cores[asked].live_endpoints();
    let endpoint = endpoints.iter().find(|endpoint| endpoint.node == drained);
    assert!(endpoint.expect("still a member").draining);
}
