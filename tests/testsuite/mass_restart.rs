//! Many nodes are killed at once and restarted together.

use std::time::Duration;

use apricotfold_testkit::{Mesh, MeshBuilder};
use serde_json::{Value, json};

use crate::support::{CONVERGENCE_LIMIT, FORMATION_LIMIT};

const PLACES: [(&str, &str); 4] = [
    ("rs-gaucho", "poa-a"),
    ("rs-gaucho", "poa-b"),
    ("sc-litoral", "fln-a"),
    ("sc-litoral", "fln-b"),
];
const NODES: usize = 24;
/// Maximum number of range reads from the store per node start, from section 5.5 of the design
/// page.
const READS_PER_START: u64 = 2;
/// Maximum rate of store calls by relays: four data centres with two slots, one keep-alive per
/// second each, and four candidates that contend for each free slot.
const RELAY_CALLS_PER_SECOND: u64 = 40;

fn profile() -> Value {
    json!({
        "name": "lots", "listeners": ["callers"],
        "clusters": [{"name": "prices", "service": "precios"}],
        "routes": [{"name": "lots", "listener": "callers", "path_prefix": "/lots",
                    "cluster": "prices", "timeout_ms": 2000, "idempotent": true}]
    })
}

async fn start_mesh() -> eyre::Result<Mesh> {
    let mut builder = MeshBuilder::new();
    for number in 0..NODES {
        builder = builder.node_with(PLACES[number % PLACES.len()], "precios", "lots", |plan| {
            if let Some(target) = &mut plan.target {
                target.process = false;
            }
        });
    }
    let mesh = builder.start().await?;
    mesh.wait_members(NODES, FORMATION_LIMIT).await?;
    assert_eq!(mesh.publish(&profile(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    Ok(mesh)
}

fn total_calls(counts: &Value) -> u64 {
    let calls = counts["calls"].as_object();
    calls.map_or(0, |calls| calls.values().filter_map(Value::as_u64).sum())
}

/// Guards against a burst of store calls when half of the nodes restart together, and against nodes
/// that do not rejoin: restarted nodes have to get their version from peers.
#[tokio::test]
async fn half_restart() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let before = total_calls(&mesh.store_counts().await);
    let started = std::time::Instant::now();
    for node in mesh.nodes.iter_mut().step_by(2) {
        node.process.kill();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for node in mesh.nodes.iter_mut().step_by(2) {
        node.process.restart()?;
    }
    mesh.wait_version(1, FORMATION_LIMIT).await?;
    mesh.wait_members(NODES, FORMATION_LIMIT).await?;
    let seconds = started.elapsed().as_secs() + 1;
    let calls = total_calls(&mesh.store_counts().await) - before;
    let restarted = NODES as u64 / 2;
    let budget = restarted * READS_PER_START + seconds * RELAY_CALLS_PER_SECOND;
    println!(
        "full service after {:?}, {calls} store calls",
        started.elapsed()
    );
    assert!(
        calls <= budget,
        "{calls} store calls in {seconds} s, budget {budget}"
    );
    Ok(())
}

/// Guards against a mesh that cannot start from the store alone after every node was killed.
#[tokio::test]
async fn full_restart() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    for node in &mut mesh.nodes {
        node.process.kill();
    }
    for node in &mut mesh.nodes {
        node.process.restart()?;
    }
    mesh.wait_version(1, FORMATION_LIMIT).await?;
    Ok(())
}
