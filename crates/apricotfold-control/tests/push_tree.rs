//! Tests that records reach every node at a bounded cost.

mod mesh;

use std::{collections::BTreeMap, time::Duration};

use apricotfold_control::{ControlCore, ControlEvent, RecordBody, RecordScope};
use apricotfold_schema::peer::{Record, RecordId, RecordKind};
use compact_str::CompactString;
use mesh::Mesh;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Records of a core except relay and status records; relay heartbeats change continuously.
fn content(core: &ControlCore) -> BTreeMap<(RecordKind, CompactString), String> {
    let kinds = [
        RecordKind::Endpoint,
        RecordKind::Head,
        RecordKind::Candidate,
        RecordKind::Vote,
        RecordKind::Suspicion,
        RecordKind::Crash,
    ];
    let table = core.records();
    let of_kind = |kind| {
        let records = table.range(kind, "");
        records.map(move |(key, stored)| {
            let text = format!("{:?} {:?}", stored.version, stored.body);
            ((kind, key.clone()), text)
        })
    };
    kinds.into_iter().flat_map(of_kind).collect()
}

fn count_pushed(mesh: &Mesh, kind: RecordKind, between: impl Fn(&str, &str) -> bool) -> usize {
    let is_kind = |record: &Record| {
        record
            .id
            .as_ref()
            .is_some_and(|id| id.kind == i32::from(kind))
    };
    let pushed = mesh.pushed.iter();
    pushed
        .filter(|(from, to, record)| is_kind(record) && between(from, to))
        .count()
}

/// Counts the pushed candidates and heads that carry their bundle.
fn count_bundles(mesh: &Mesh, between: impl Fn(&str, &str) -> bool) -> usize {
    let has_bundle = |record: &Record| {
        let kind = record.id.as_ref().map(RecordId::kind).unwrap_or_default();
        match RecordBody::decode(kind, &record.body) {
            Some(RecordBody::Head(body)) => !body.bundle.is_empty(),
            Some(RecordBody::Candidate(body)) => !body.bundle.is_empty(),
            _ => false,
        }
    };
    let pushed = mesh.pushed.iter();
    pushed
        .filter(|(from, to, record)| between(from, to) && has_bundle(record))
        .count()
}

fn assert_equal(mesh: &Mesh, seed: u64) {
    let (first, core) = mesh.cores.first_key_value().expect("a node");
    let expected = content(core);
    for (node, core) in &mesh.cores {
        let found = content(core);
        let differing: Vec<_> = expected
            .iter()
            .filter(|(key, value)| found.get(*key) != Some(value))
            .chain(
                found
                    .iter()
                    .filter(|(key, value)| expected.get(*key) != Some(value)),
            )
            .collect();
        assert!(
            differing.is_empty(),
            "seed {seed}: {first}, {node}: {differing:?}"
        );
    }
}

/// Guards against records that some nodes never receive after lost, duplicated and reordered
/// messages and a node restart.
#[test]
fn converges_after_faults() {
    for seed in 0..8 {
        let mut mesh = Mesh::new(seed);
        let names = mesh.start_many(9, ("north", "n-a"));
        mesh.run(secs(3));
        mesh.loss = 0.2;
        mesh.max_delay = Duration::from_millis(400);
        for round in 0..6_u64 {
            let node = names[usize::try_from((round * 5 + seed) % 9).expect("index")].clone();
            mesh.announce(&node, if round % 2 == 0 { "api" } else { "web" });
            mesh.feed(
                &node,
                ControlEvent::CrashObserved {
                    fingerprint: "f".into(),
                },
            );
            if round == 3 {
                mesh.kill(&names[4]);
                mesh.start("n-a-04", ("north", "n-a"), 2, &["n-a-00", "n-a-01"]);
            }
            mesh.run(secs(1));
        }
        mesh.loss = 0.0;
        mesh.max_delay = Duration::from_millis(5);
        mesh.run(secs(15));
        assert_eq!(
            mesh.cores["n-a-00"].live_endpoints().len(),
            9,
            "seed {seed}"
        );
        assert_equal(&mesh, seed);
    }
}

/// Guards against a tree that sends a copy over every link instead of pruning duplicates.
#[test]
fn prunes_duplicates() {
    let mut mesh = Mesh::new(7);
    mesh.start_many(16, ("north", "n-a"));
    mesh.run(secs(8));
    for step in 0..40 {
        mesh.announce("n-a-03", if step % 2 == 0 { "api" } else { "web" });
        mesh.run(Duration::from_millis(500));
    }
    mesh.pushed.clear();
    for step in 0..10 {
        mesh.announce("n-a-03", if step % 2 == 0 { "api" } else { "web" });
        mesh.run(Duration::from_millis(500));
    }
    let copies = count_pushed(&mesh, RecordKind::Endpoint, |_, _| true);
    // 10 updates to 15 other nodes need 150 copies. Sending over all links would take about 500.
    assert!((150..=260).contains(&copies), "{copies} copies");
}

/// Guards against a lost eager push that is repaired only by anti-entropy, and against a broken
/// tree that is not repaired.
#[test]
fn grafts_on_loss() {
    let mut mesh = Mesh::new(11);
    let names = mesh.start_many(12, ("north", "n-a"));
    mesh.run(secs(8));
    mesh.loss = 0.3;
    mesh.announce("n-a-05", "api");
    mesh.run(secs(5));
    for node in &names {
        let body = mesh.cores[node]
            .records()
            .body(RecordKind::Endpoint, "n-a-05");
        let Some(RecordBody::Endpoint(body)) = body else {
            panic!("{node} has no endpoint");
        };
        assert_eq!(body.profile, "api", "{node}");
    }
}

/// Guards against bundles that cross the slow link between regions more than 1.5 times per change,
/// and against records that cross it twice because both gateways send them.
#[test]
fn one_copy_per_region() {
    let mut mesh = Mesh::new(3);
    mesh.far_from_store = &["s", "e"];
    let places = [
        ("north", "n-a"),
        ("north", "n-b"),
        ("south", "s-a"),
        ("south", "s-b"),
        ("east", "e-a"),
    ];
    for place in places {
        for node in 0..3 {
            let name = format!("{}-{node:02}", place.1);
            let contact = format!("{}-00", place.1);
            mesh.start(&name, place, 1, &[&contact]);
        }
    }
    mesh.run(secs(12));
    let total = mesh.cores["s-b-02"].live_endpoints().len();
    assert_eq!(total, 15, "every data centre knows all endpoints");
    mesh.pushed.clear();
    mesh.advertised.clear();
    assert!(mesh.store.publish(1, "p1", mesh.now));
    mesh.run(secs(6));
    assert_eq!(mesh.applied.len(), 15);
    let is_across = |from: &str, to: &str| from.as_bytes()[0] != to.as_bytes()[0];
    let bundles = count_bundles(&mesh, is_across);
    assert_eq!(bundles, 2, "one bundle for each other region");
    assert_eq!(
        mesh.store.calls["bundle"], 1,
        "only the gateway near the store reads the bundle"
    );
    // Each of the 15 nodes updates its endpoint once, and each update crosses once to two regions.
    let endpoints = count_pushed(&mesh, RecordKind::Endpoint, is_across);
    assert!(
        endpoints <= 30,
        "{endpoints} endpoint copies between the regions"
    );
    let advertised = mesh.advertised.iter();
    let ids: usize = advertised
        .filter(|(from, to, _)| is_across(from, to))
        .map(|(_, _, count)| count)
        .sum();
    assert_eq!(
        ids, 0,
        "ids of records that only their origin's gateway sends"
    );
    let local = mesh.cores["n-a-00"].records();
    let buckets: Vec<u32> = (0..64).collect();
    let votes = local.bucket_ids(RecordScope::DataCentre, &buckets);
    let foreign = votes
        .iter()
        .filter(|id| id.kind == i32::from(RecordKind::Vote) && !id.key.contains("n-a"));
    assert_eq!(foreign.count(), 0, "votes stay in their data centre");
}
