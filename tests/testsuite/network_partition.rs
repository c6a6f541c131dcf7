//! A data centre or a region is partitioned from the others and from the store.

use std::time::Duration;

use apricotfold_testkit::{Mesh, MeshBuilder};
use serde_json::json;

use crate::support::{
    CONVERGENCE_LIMIT, FLN_A, FLN_B, FORMATION_LIMIT, POA_A, POA_B, almanac, applied_versions,
};

const CUT: Duration = Duration::from_secs(6);

/// Starts two nodes in each data centre, all behind links. Nodes 2n and 2n + 1 share a data centre.
async fn linked_mesh() -> eyre::Result<Mesh> {
    let mut builder = MeshBuilder::new().store_link();
    for place in [POA_A, POA_B, FLN_A, FLN_B] {
        for service in ["parish-desk", "press-room"] {
            builder = builder.node_with(place, service, "almanac", |plan| plan.linked = true);
        }
    }
    let mesh = builder.start().await?;
    mesh.wait_members(8, FORMATION_LIMIT).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    Ok(mesh)
}

/// Partitions a group of nodes, publishes to the others, and checks that the group keeps serving
/// the old version and applies the new one once the partition ends.
async fn check_cut(group: &[usize], entry: usize) -> eyre::Result<()> {
    let mesh = linked_mesh().await?;
    mesh.partition_nodes(group, true).await?;
    tokio::time::sleep(CUT).await;
    let reply = mesh.call(entry, "/pages/march").await?;
    assert_eq!(
        reply.outcome, "ran",
        "the partitioned group serves: {reply:?}"
    );
    let mut profile = almanac();
    profile["routes"][3]["timeout_ms"] = json!(1_500);
    let output = mesh.publish(&profile, &[]).await?;
    assert_eq!(
        output.code, 0,
        "the other nodes accept a publish: {output:?}"
    );
    for node in 0..mesh.nodes.len() {
        if !group.contains(&node) {
            mesh.wait_status(node, CONVERGENCE_LIMIT, |status| {
                status["applied_version"] == 2
            })
            .await?;
        }
    }
    assert_eq!(mesh.status(entry).await["applied_version"], 1);
    mesh.partition_nodes(group, false).await?;
    mesh.wait_version(2, CONVERGENCE_LIMIT).await?;
    mesh.wait_members(8, FORMATION_LIMIT).await?;
    for node in &mesh.nodes {
        let applied = applied_versions(&node.process.log_text());
        assert!(applied.is_sorted(), "{}: {applied:?}", node.name);
    }
    Ok(())
}

/// Guards against a data centre that stops serving while it is partitioned, or lags afterwards.
#[tokio::test]
async fn data_centre() -> eyre::Result<()> {
    check_cut(&[4, 5], 4).await
}

/// Guards against a failure when the partitioned data centre contains the gateway of its region.
#[tokio::test]
async fn gateway_data_centre() -> eyre::Result<()> {
    check_cut(&[0, 1], 0).await
}

/// Guards against a region that stops serving while it is partitioned from the region of the store.
#[tokio::test]
async fn remote_region() -> eyre::Result<()> {
    check_cut(&[4, 5, 6, 7], 6).await
}
