//! A call through two nodes to a target, with both ways of distributing the configuration.

use crate::support::{CONVERGENCE_LIMIT, almanac, calendar_mesh};

async fn check_call(distribution: &str) -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder.distribution(distribution)).await?;
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

/// Guards against a failure on the path from `publish` to the response of a call when every node
/// watches the store.
#[tokio::test]
async fn store_watch() -> eyre::Result<()> {
    check_call("store-watch").await
}

/// Guards against a failure on the path from `publish` to the response of a call when nodes receive
/// the configuration from peers.
#[tokio::test]
async fn peer_path() -> eyre::Result<()> {
    check_call("peers").await
}
