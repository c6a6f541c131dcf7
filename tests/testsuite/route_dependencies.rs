//! A route is active only while its cluster has targets and its listener and secret exist.

use crate::support::{CONVERGENCE_LIMIT, FORMATION_LIMIT, almanac, calendar_mesh};

/// Guards against an active route to a cluster without targets, and against a route that stays
/// inactive after a target was restarted.
#[tokio::test]
async fn service_returns() -> eyre::Result<()> {
    let mut mesh = calendar_mesh(|builder| builder).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    assert_eq!(mesh.call(0, "/press/proof").await?.outcome, "ran");
    for node in [1, 3] {
        mesh.nodes[node]
            .target
            .as_mut()
            .expect("has a target")
            .kill();
    }
    let inactive = |status: &serde_json::Value| {
        let routes = status["inactive_routes"].as_array();
        routes.is_some_and(|routes| routes.len() == 3)
    };
    for node in [0, 2] {
        mesh.wait_status(node, FORMATION_LIMIT, inactive).await?;
    }
    let reply = mesh.call(0, "/press/proof").await?;
    assert_eq!(
        (reply.outcome.as_str(), reply.reason.as_str()),
        ("not-run", "route-inactive")
    );
    let reply = mesh.call(0, "/pages/march").await?;
    assert_eq!(reply.outcome, "ran", "other routes stay active: {reply:?}");
    mesh.nodes[3]
        .target
        .as_mut()
        .expect("has a target")
        .restart()?;
    let active = |status: &serde_json::Value| {
        status["inactive_routes"]
            .as_array()
            .is_some_and(Vec::is_empty)
    };
    mesh.wait_status(0, FORMATION_LIMIT, active).await?;
    assert_eq!(mesh.call(0, "/press/proof").await?.outcome, "ran");
    Ok(())
}
