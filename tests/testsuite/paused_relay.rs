//! A relay process is paused for longer than its lease and then resumed.

use std::time::Duration;

use serde_json::json;

use crate::support::{
    CONVERGENCE_LIMIT, FORMATION_LIMIT, almanac, applied_versions, calendar_mesh,
};

/// Longer than the 5 s lease of a relay slot.
const PAUSE: Duration = Duration::from_secs(8);

/// Guards against a relay that still writes to the store with an expired lease, or reverts its
/// peers to an older version.
#[tokio::test]
async fn lease_expires() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    // Node 0 is the only node of its data centre, so it holds a relay slot there. It is also the
    // first gateway of its region.
    mesh.wait_status(0, FORMATION_LIMIT, |status| status["gateway"] == true)
        .await?;
    mesh.nodes[0].process.pause();
    tokio::time::sleep(PAUSE).await;
    let mut profile = almanac();
    profile["routes"][0]["timeout_ms"] = json!(1_000);
    let output = mesh.publish(&profile, &[]).await?;
    mesh.nodes[0].process.resume();
    assert_eq!(
        output.code, 0,
        "the other relays decide without it: {output:?}"
    );
    assert_eq!(output.json()["version"], 2, "{output:?}");
    mesh.wait_version(2, CONVERGENCE_LIMIT).await?;
    profile["routes"][0]["timeout_ms"] = json!(2_000);
    let output = mesh.publish(&profile, &[]).await?;
    assert_eq!(
        (output.code, &output.json()["version"]),
        (0, &json!(3)),
        "{output:?}"
    );
    mesh.wait_version(3, CONVERGENCE_LIMIT).await?;
    for node in &mesh.nodes {
        let applied = applied_versions(&node.process.log_text());
        assert!(applied.is_sorted(), "{}: {applied:?}", node.name);
    }
    Ok(())
}
