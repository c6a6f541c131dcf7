//! `apricotfold status` against real nodes.

use serde_json::Value;

use crate::support::{CONVERGENCE_LIMIT, FORMATION_LIMIT, almanac, calendar_mesh};

/// Guards against a report that misses nodes of other data centres, or that overlooks a node which
/// does not run the head: versions travel within a data centre only.
#[tokio::test]
async fn every_node() -> eyre::Result<()> {
    let mut mesh = calendar_mesh(|builder| builder).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    let node = mesh.nodes[0].admin_url.clone();
    let output = mesh.command(&["status", "--node", &node, "--json"]).await?;
    assert_eq!(output.code, 0, "{output:?}");
    let report = output.json();
    let members = report["members"].as_array().cloned().unwrap_or_default();
    let current = |member: &&Value| member["applied_version"] == 1;
    assert_eq!(members.iter().filter(current).count(), 4, "{report}");
    mesh.nodes[3].process.kill();
    let gone = |status: &Value| {
        let members = status["members"].as_array();
        members.is_some_and(|all| all.iter().filter(|member| member["live"] == true).count() == 3)
    };
    mesh.wait_status(0, FORMATION_LIMIT, gone).await?;
    Ok(())
}
