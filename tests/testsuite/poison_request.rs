//! A request that crashes its targets is blocked after two crashes.

use std::time::Instant;

use apricotfold_testkit::MeshBuilder;
use reqwest::Method;

use crate::call_support::{
    CallMesh, CallRecord, ConstantLoad, PROCESS_LIMIT, record_call, start_calls,
};
use crate::support::{CONVERGENCE_LIMIT, FLN_A, POA_A, POA_B};

/// Number of times that the caller sends the crashing request.
const REPEATS: usize = 8;
/// Number of unrelated calls that must succeed after the last crash.
const CALLS_AFTER: usize = 10;
/// Maximum number of crashes that one request may cause, from section 6 of the design.
const MAX_CRASHES: usize = 2;
/// Nodes with a target of press-room.
const TARGET_NODES: [usize; 3] = [1, 2, 3];
/// Nodes without a target of press-room, through which requests are sent.
const ENTRY_NODES: [usize; 2] = [0, 4];

/// Time that a target takes for a request, long enough that several unrelated requests are in
/// flight at each crash.
const SHORT_MS: u32 = 60;

async fn start_mesh() -> eyre::Result<CallMesh> {
    let slow = |plan: &mut apricotfold_testkit::NodePlan| {
        let target = plan.target.as_mut().expect("a target");
        target.settings.short_ms = SHORT_MS;
    };
    let builder = MeshBuilder::new()
        .node(POA_A, "parish-desk", "almanac")
        .node_with(POA_A, "press-room", "almanac", slow)
        .node_with(POA_B, "press-room", "almanac", slow)
        .node_with(POA_B, "press-room", "almanac", slow)
        .node(FLN_A, "parish-desk", "almanac");
    start_calls(builder).await
}

async fn crash(mesh: &CallMesh, node: usize, method: Method, path: &str) -> CallRecord {
    let request = mesh.request(method, node, path, "poison");
    let request = request.header("x-crash", "1");
    record_call("poison".to_owned(), request).await
}

/// Restarts the crashed targets.
async fn restart_crashed(mesh: &mut CallMesh) -> eyre::Result<()> {
    for node in TARGET_NODES {
        let target = mesh.nodes[node].target.as_mut().expect("a target");
        if !target.is_running() {
            mesh.restart_target(node, 0).await?;
        }
    }
    Ok(())
}

/// Checks that the request crashed at most two targets and is now refused, and that a frequent
/// unrelated request, which was in flight during the crashes, is not blocked.
async fn check_stopped(mesh: &CallMesh, last: &CallRecord, load: ConstantLoad) -> eyre::Result<()> {
    let runs = mesh.started().get("poison").copied().unwrap_or_default();
    assert!(runs <= MAX_CRASHES, "crashed {runs} targets");
    let reply = last
        .reply
        .as_ref()
        .map_err(|error| eyre::eyre!("{error}"))?;
    let reported = (reply.outcome.as_str(), reply.reason.as_str());
    assert_eq!(reported, ("not-run", "poison-request"));
    let records = load.stop().await?;
    for timed in &records {
        let reply = timed.record.reply.as_ref();
        let blocked = reply.is_ok_and(|reply| reply.reason == "poison-request");
        assert!(!blocked, "an unrelated request was blocked: {timed:?}");
    }
    for _ in 0..CALLS_AFTER {
        let reply = mesh.call(0, "/pages/popular").await?;
        assert_eq!(reply.outcome, "ran", "{}", reply.reason);
    }
    Ok(())
}

async fn check_poison(method: Method, path: &str) -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let load = ConstantLoad::start(&mesh, &ENTRY_NODES, "/pages/popular");
    mesh.wait_started("load-20").await?;
    let mut last = None;
    for repeat in 0..REPEATS {
        let entry = ENTRY_NODES[repeat % ENTRY_NODES.len()];
        let record = crash(&mesh, entry, method.clone(), path).await;
        restart_crashed(&mut mesh).await?;
        if record.outcome() != "not-run" {
            // Crash records reach every node within this time.
            tokio::time::sleep(CONVERGENCE_LIMIT).await;
        }
        last = Some(record);
    }
    let last = last.ok_or_else(|| eyre::eyre!("nothing was sent"))?;
    check_stopped(&mesh, &last, load).await
}

/// Guards against a third crash when a caller resends a request that is not idempotent.
#[tokio::test]
async fn repeated_request() -> eyre::Result<()> {
    check_poison(Method::POST, "/work?ms=20").await
}

/// Guards against a third crash when the entry node retries an idempotent request before the crash
/// records can have reached it, and the caller resends the request as well.
#[tokio::test]
async fn retried_request() -> eyre::Result<()> {
    check_poison(Method::GET, "/pages/poison").await
}

/// Guards against a third crash when targets crash after the head of the response, so that the
/// beginning of an answer clears the request of the crash.
#[tokio::test]
async fn broken_body() -> eyre::Result<()> {
    check_poison(Method::POST, "/download?bytes=200000&ms=200").await
}

/// Guards against a third crash when a caller resends its request immediately through other nodes,
/// before the crash records have reached them.
#[tokio::test]
async fn quick_repeats() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let load = ConstantLoad::start(&mesh, &ENTRY_NODES, "/pages/popular");
    mesh.wait_started("load-20").await?;
    let end = Instant::now() + PROCESS_LIMIT;
    let mut repeat = 0;
    let last = loop {
        let entry = ENTRY_NODES[repeat % ENTRY_NODES.len()];
        let record = crash(&mesh, entry, Method::POST, "/work?ms=20").await;
        let reply = record.reply.as_ref();
        if reply.is_ok_and(|reply| reply.reason == "poison-request") {
            break record;
        }
        eyre::ensure!(Instant::now() < end, "not blocked: {record:?}");
        repeat += 1;
    };
    restart_crashed(&mut mesh).await?;
    check_stopped(&mesh, &last, load).await
}
