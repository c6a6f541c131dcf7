//! Behaviour of the mesh while the store is unavailable, loses responses or is restored.

use std::time::Duration;

use apricotfold_schema::settings::StoreFault;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use crate::support::{
    CONVERGENCE_LIMIT, FORMATION_LIMIT, almanac, applied_versions, calendar_mesh,
};

/// Time within which relays notice that they have lost their slots, and take them again.
const SLOT_LIMIT: Duration = Duration::from_secs(10);

/// Returns an outage that lasts longer than any test.
fn outage() -> StoreFault {
    StoreFault {
        kind: "outage".to_owned(),
        until_ms: 600_000,
        ..StoreFault::default()
    }
}

/// Guards against nodes that stop serving, or restart without a configuration, while the store is
/// unavailable.
#[tokio::test]
async fn serve_and_restart() -> eyre::Result<()> {
    let mut mesh = calendar_mesh(|builder| builder).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    mesh.store_faults(&[outage()]).await?;
    let reply = mesh.call(0, "/pages/march").await?;
    assert_eq!(reply.outcome, "ran", "{reply:?}");
    mesh.nodes[0].process.restart()?;
    mesh.wait_status(0, FORMATION_LIMIT, |status| status["applied_version"] == 1)
        .await?;
    let reply = mesh.call(0, "/pages/march").await?;
    assert_eq!(reply.outcome, "ran", "the restarted node serves: {reply:?}");
    let output = mesh.publish(&almanac(), &["--timeout", "3"]).await?;
    assert_eq!(output.code, 5, "{output:?}");
    Ok(())
}

/// Guards against a publish with `--wait` that fails before the wait has passed.
#[tokio::test]
async fn publish_waits() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    let fault = StoreFault {
        until_ms: 4_000,
        ..outage()
    };
    mesh.store_faults(&[fault]).await?;
    let output = mesh.publish(&almanac(), &["--wait", "30"]).await?;
    assert_eq!(output.code, 0, "{output:?}");
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    Ok(())
}

/// Guards against a write that is repeated, or treated as failed, because its response was lost.
/// Each kind of write in a publish loses its response once.
#[tokio::test]
async fn lost_answers() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    for (version, prefix) in ["bundles/", "candidates/", "votes/", "heads/"]
        .iter()
        .enumerate()
    {
        let fault = StoreFault {
            kind: "lost-answer".to_owned(),
            until_ms: 60_000,
            key_prefix: format!("/apricotfold/{prefix}"),
            count: 1,
            ..StoreFault::default()
        };
        mesh.store_faults(&[fault]).await?;
        let mut profile = almanac();
        profile["routes"][0]["timeout_ms"] = json!(5_000 + version);
        let output = mesh.publish(&profile, &[]).await?;
        mesh.clear_store_faults().await?;
        assert_eq!(output.code, 0, "{prefix}: {output:?}");
        let wanted = version as u64 + 1;
        assert_eq!(output.json()["version"], wanted, "{prefix}: {output:?}");
        mesh.wait_version(wanted, CONVERGENCE_LIMIT).await?;
    }
    Ok(())
}

/// Guards against nodes that revert to an older version when the store is restored from an older
/// snapshot, and against a profile that can no longer be published afterwards.
#[tokio::test]
async fn store_restored() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    let snapshot = mesh
        .get_json(&format!("{}/admin/snapshot", mesh.store_url))
        .await;
    for version in 2..=3u64 {
        let mut profile = almanac();
        profile["routes"][0]["timeout_ms"] = json!(1_000 * version);
        assert_eq!(mesh.publish(&profile, &[]).await?.code, 0);
        mesh.wait_version(version, CONVERGENCE_LIMIT).await?;
    }
    let restore = mesh
        .client
        .post(format!("{}/admin/restore", mesh.store_url))
        .json(&snapshot);
    restore.send().await?.error_for_status()?;
    let mut profile = almanac();
    profile["routes"][0]["timeout_ms"] = json!(9_000);
    let output = mesh.publish(&profile, &["--timeout", "30"]).await?;
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(
        output.json()["version"],
        4,
        "the next free version: {output:?}"
    );
    mesh.wait_version(4, CONVERGENCE_LIMIT).await?;
    for node in &mesh.nodes {
        let text = node.process.log_text();
        let applied = applied_versions(&text);
        assert!(applied.is_sorted(), "{}: {applied:?}", node.name);
    }
    Ok(())
}

/// Guards against a candidate that blocks later publishes after its operator's command was killed.
#[tokio::test]
async fn killed_command() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    let profile = almanac();
    let publish = mesh.publish(&profile, &[]);
    // Dropping the future kills the command. Within 60 ms it can at most write the candidate.
    let _ = tokio::time::timeout(Duration::from_millis(60), publish).await;
    let output = mesh.publish(&almanac(), &[]).await?;
    assert!([0, 4].contains(&output.code), "{output:?}");
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    Ok(())
}

/// Guards against a relay whose slot and lease are lost when the store is restored, and that renews a
/// lease which the store has given to another holder since.
#[tokio::test]
async fn reissued_slot_lease() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    assert_eq!(mesh.publish(&almanac(), &[]).await?.code, 0);
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    let admin = |call: &str| format!("{}/admin/{call}", mesh.store_url);
    let mut snapshot = mesh.get_json(&admin("snapshot")).await;
    let slots = slot_leases(&snapshot);
    assert!(!slots.is_empty(), "no relay: {snapshot}");
    let entries = snapshot["kvs"].as_array_mut().expect("entries");
    entries.retain(|entry| !is_slot(entry));
    snapshot["leases"] = json!([]);
    let restore = mesh.client.post(admin("restore")).json(&snapshot);
    restore.send().await?.error_for_status()?;
    for lease in &slots {
        let url = format!("{}/v3/lease/grant", mesh.store_url);
        let grant = mesh
            .client
            .post(url)
            .json(&json!({"TTL": "60", "ID": lease}));
        grant.send().await?.error_for_status()?;
    }
    let end = tokio::time::Instant::now() + SLOT_LIMIT;
    loop {
        let held = slot_leases(&mesh.get_json(&admin("snapshot")).await).len();
        if held >= slots.len() {
            break;
        }
        let now = tokio::time::Instant::now();
        assert!(now < end, "{held} of {} slots are held again", slots.len());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}

/// Returns whether an entry of a snapshot is a relay slot.
fn is_slot(entry: &serde_json::Value) -> bool {
    let key = entry["key"].as_str().unwrap_or_default();
    let key = STANDARD.decode(key).unwrap_or_default();
    key.starts_with(b"/apricotfold/relays/")
}

/// Returns the leases of the relay slots in a snapshot.
fn slot_leases(snapshot: &serde_json::Value) -> Vec<String> {
    let entries = snapshot["kvs"].as_array().expect("entries").iter();
    let slots = entries.filter(|entry| is_slot(entry));
    slots
        .map(|entry| entry["lease"].as_str().unwrap_or_default().to_owned())
        .collect()
}
