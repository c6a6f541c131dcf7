//! A call from a caller through two nodes to a target and back.

use apricotfold_testkit::{Mesh, MeshBuilder};

use crate::support::{CONVERGENCE_LIMIT, FLN_A, FLN_B, FORMATION_LIMIT, POA_A, POA_B, almanac};

async fn start_mesh(distribution: &str) -> eyre::Result<Mesh> {
    let mesh = MeshBuilder::new()
        .distribution(distribution)
        .node(POA_A, "parish-desk", "almanac")
        .node(POA_B, "press-room", "almanac")
        .node(FLN_A, "parish-desk", "almanac")
        .node(FLN_B, "press-room", "almanac")
        .start()
        .await?;
    mesh.wait_members(4, FORMATION_LIMIT).await?;
    Ok(mesh)
}

async fn check_call(distribution: &str) -> eyre::Result<()> {
    let mesh = start_mesh(distribution).await?;
    let output = mesh.publish(&almanac(), &[]).await?;
    assert_eq!(output.code, 0, "{output:?}");
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    let reply = mesh.call(0, "/press/proof").await?;
    assert_eq!(
        (reply.status, reply.outcome.as_str()),
        (200, "ran"),
        "{reply:?}"
    );
    let entry = mesh.nodes[0].process.log_text();
    assert!(
        entry.contains("AF3001 call routed: GET /press/proof"),
        "{entry}"
    );
    let admitted = [1, 3].map(|node| mesh.nodes[node].process.log_text());
    let lines = admitted
        .iter()
        .filter(|text| text.contains("AF3002 call admitted: GET /press/proof"));
    assert_eq!(lines.count(), 1, "exactly one other node admits the call");
    Ok(())
}

/// Guards against a break anywhere on the path from `publish` to the answer when nodes watch the
/// store themselves.
#[tokio::test]
async fn store_watch() -> eyre::Result<()> {
    check_call("store-watch").await
}

/// Guards against a break anywhere on the path when configuration travels through peers.
#[tokio::test]
async fn peer_path() -> eyre::Result<()> {
    check_call("peers").await
}
