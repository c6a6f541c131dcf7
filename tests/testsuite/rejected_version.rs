//! A version that nodes cannot run is applied on no node.

use serde_json::{Value, json};

use crate::support::{CONVERGENCE_LIMIT, almanac, calendar_mesh};

/// Guards against a version that is applied on some nodes only, and against a rejected version that
/// blocks later ones. The rejected version needs a secret that the nodes lack.
#[tokio::test]
async fn missing_secret() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    let mut bad = almanac();
    bad["secrets"] = json!(["mesh-token", "press-token"]);
    let output = mesh.publish(&bad, &[]).await?;
    assert_eq!(output.code, 3, "{output:?}");
    assert!(output.stdout.contains("secret press-token"), "{output:?}");
    for node in 0..mesh.nodes.len() {
        let status = mesh.status(node).await;
        assert_eq!(status["applied_version"], 1, "{status}");
    }
    let good = mesh.publish(&changed(&almanac()), &[]).await?;
    assert_eq!(
        good.code, 0,
        "a rejected version blocks no later one: {good:?}"
    );
    let version = good.json()["version"].as_u64().unwrap_or_default();
    mesh.wait_version(version, CONVERGENCE_LIMIT).await?;
    Ok(())
}

/// Guards against a withdrawal that is applied on some nodes only, and against routes that remain
/// after their profile was withdrawn.
#[tokio::test]
async fn withdrawn_profile() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    let output = mesh.command(&["withdraw", "almanac", "--json"]).await?;
    assert_eq!(output.code, 0, "{output:?}");
    mesh.wait_version(2, CONVERGENCE_LIMIT).await?;
    let reply = mesh.call(0, "/pages/march").await?;
    assert_eq!(
        (reply.status, reply.reason.as_str()),
        (404, "no-route"),
        "{reply:?}"
    );
    Ok(())
}

/// Returns the profile with a harmless change, so that it counts as new content.
fn changed(profile: &Value) -> Value {
    let mut profile = profile.clone();
    profile["retries"]["max_attempts"] = json!(2);
    profile
}
