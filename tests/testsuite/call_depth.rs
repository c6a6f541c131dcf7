//! Retries in a deep call tree stay within the retry budget, and the depth of calls is limited.

use std::time::Instant;

use apricotfold_model::headers;
use apricotfold_testkit::{MeshBuilder, NodePlan};
use reqwest::Method;
use serde_json::json;

use crate::call_support::{CallMesh, call_profile, record_call, start_profile};
use crate::support::{FLN_A, POA_A, POA_B};

/// Depth of the call tree, from section 1.2 of the design. The stand-in targets make no calls, so
/// the test makes the calls of each level itself, with the hop count that the levels above would
/// have added.
const DEPTH: usize = 9;
/// Calls per level.
const CALLS: usize = 100;
/// Retry budget of the profile, in percent of the calls.
const BUDGET_PERCENT: usize = 20;
/// Window of the retry budget, in seconds.
const BUDGET_WINDOW: f64 = 10.0;
/// Maximum number of nodes that a chain of calls may pass.
const MAX_HOPS: usize = 18;

/// Starts a mesh in which nodes 0 to 8 make the calls of one level each. The two targets of
/// press-room are announced but not running, so that every leaf fails.
async fn start_mesh() -> eyre::Result<CallMesh> {
    let announced = |plan: &mut NodePlan| {
        plan.target.as_mut().expect("a target").process = false;
    };
    let mut builder = MeshBuilder::new();
    for level in 0..DEPTH {
        let place = [POA_A, POA_B, FLN_A][level % 3];
        builder = builder.node_with(place, "parish-desk", "almanac", announced);
    }
    builder = builder
        .node_with(POA_A, "press-room", "almanac", announced)
        .node_with(POA_B, "press-room", "almanac", announced);
    let mut profile = call_profile();
    profile["retries"] = json!({"max_attempts": 3, "budget_percent": BUDGET_PERCENT});
    start_profile(builder, &profile).await
}

/// Counts the attempts that a node has made.
fn count_attempts(mesh: &CallMesh, node: usize) -> usize {
    let log = mesh.nodes[node].process.log_text();
    log.matches("AF3001 call routed: GET /pages/deep").count()
}

async fn call_level(mesh: &CallMesh, node: usize, hops: usize) -> eyre::Result<(String, String)> {
    let request = mesh.request(Method::GET, node, "/pages/deep", "deep");
    let request = request.header(headers::HOPS, hops);
    let record = record_call("deep".to_owned(), request).await;
    let reply = record.reply.map_err(|error| eyre::eyre!(error))?;
    Ok((reply.outcome, reply.reason))
}

/// Guards against retries that multiply across the levels of a call tree, or exceed the budget of a
/// level, when a leaf fails.
#[tokio::test]
async fn failing_leaf() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let started = Instant::now();
    let levels = (0..DEPTH).map(async |level| {
        for _ in 0..CALLS {
            let (outcome, _) = call_level(&mesh, level, 2 * level).await?;
            assert_eq!(outcome, "not-run", "no target runs");
        }
        eyre::Ok(())
    });
    for level in futures_util::future::join_all(levels).await {
        level?;
    }
    let windows = 1.0 + started.elapsed().as_secs_f64() / BUDGET_WINDOW;
    let budget = f64::from(u32::try_from(CALLS * BUDGET_PERCENT / 100)?) * windows;
    for level in 0..DEPTH {
        let retries = count_attempts(&mesh, level).saturating_sub(CALLS);
        let retries = f64::from(u32::try_from(retries)?);
        assert!(retries > 0.0, "level {level} made no retry");
        assert!(retries <= budget, "level {level}: {retries} above {budget}");
    }
    Ok(())
}

/// Guards against an endless call loop: a call at the hop limit must be refused without an attempt.
#[tokio::test]
async fn endless_loop() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let reported = call_level(&mesh, 0, MAX_HOPS).await?;
    assert_eq!(reported, ("not-run".to_owned(), "too-deep".to_owned()));
    assert_eq!(count_attempts(&mesh, 0), 0, "no attempt at the hop limit");
    let (_, reason) = call_level(&mesh, 0, MAX_HOPS - 1).await?;
    assert_ne!(reason, "too-deep", "within the limit");
    Ok(())
}
