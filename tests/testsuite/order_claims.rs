//! Orders with an idempotency key run at most once under any single fault.

use std::time::{Duration, Instant};

use apricotfold_model::headers;
use apricotfold_schema::settings::StoreFault;
use apricotfold_testkit::MeshBuilder;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::Method;

use crate::call_support::{
    CallMesh, CallRecord, PROCESS_LIMIT, check_records, record_call, start_calls,
};
use crate::support::{FLN_A, POA_A, POA_B};

/// Interval at which a caller resends its order.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Duration of a relay's lease, from section 3 of the design.
const RELAY_LEASE: Duration = Duration::from_secs(5);
/// Time that a target takes for an order. Failures are injected within about this time.
const ORDER_MS: u32 = 60;
/// Key prefix of claims in the store.
const CLAIM_PREFIX: &str = "/apricotfold/claims/";
/// End of a fault that the test clears explicitly, later than any test runs.
const UNTIL_CLEARED_MS: u32 = 600_000;

/// Starts a mesh in which nodes 1 and 2, in different data centres, have a target of press-room,
/// and nodes 0 and 3 do not.
async fn start_mesh() -> eyre::Result<CallMesh> {
    let slow = |plan: &mut apricotfold_testkit::NodePlan| {
        let target = plan.target.as_mut().expect("a target");
        target.settings.short_ms = ORDER_MS;
    };
    let builder = MeshBuilder::new()
        .node(POA_A, "parish-desk", "almanac")
        .node_with(POA_A, "press-room", "almanac", slow)
        .node_with(POA_B, "press-room", "almanac", slow)
        .node(FLN_A, "parish-desk", "almanac");
    start_calls(builder).await
}

async fn order(mesh: &CallMesh, node: usize, key: &str) -> CallRecord {
    record_call(key.to_owned(), mesh.keyed(node, key)).await
}

fn start_order(mesh: &CallMesh, node: usize, key: &str) -> tokio::task::JoinHandle<CallRecord> {
    tokio::spawn(record_call(key.to_owned(), mesh.keyed(node, key)))
}

/// Resends an order through a node until the outcome is `ran`.
async fn resend_until_ran(mesh: &CallMesh, node: usize, key: &str) -> eyre::Result<CallRecord> {
    let end = Instant::now() + PROCESS_LIMIT;
    loop {
        let record = order(mesh, node, key).await;
        if record.outcome() == "ran" {
            return Ok(record);
        }
        eyre::ensure!(
            Instant::now() < end,
            "not run within {PROCESS_LIMIT:?}: {record:?}"
        );
        tokio::time::sleep(RESEND_INTERVAL).await;
    }
}

/// Checks that no order ran twice and that the orders with these keys ran.
fn check_runs(mesh: &CallMesh, keys: &[String]) {
    let runs = mesh.runs_by_key();
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    let lost: Vec<_> = keys.iter().filter(|key| !runs.contains_key(*key)).collect();
    assert!(lost.is_empty(), "did not run: {lost:?}");
}

fn store_fault(kind: &str, count: u32) -> StoreFault {
    StoreFault {
        kind: kind.to_owned(),
        until_ms: UNTIL_CLEARED_MS,
        count,
        ..StoreFault::default()
    }
}

/// Guards against an order that runs again, or whose response is lost, when it is resent through
/// other nodes and data centres, both concurrently and sequentially.
#[tokio::test]
async fn repeats() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let keys: Vec<_> = (0..10).map(|number| format!("repeat-{number}")).collect();
    for key in &keys {
        let calls: Vec<_> = (0..8)
            .map(|caller| start_order(&mesh, caller % 4, key))
            .collect();
        let mut records = Vec::new();
        for call in calls {
            records.push(call.await?);
        }
        for node in 0..4 {
            records.push(resend_until_ran(&mesh, node, key).await?);
        }
        let answers = records
            .iter()
            .filter_map(|record| record.reply.as_ref().ok());
        let ran: Vec<_> = answers.filter(|reply| reply.outcome == "ran").collect();
        assert!(ran.iter().all(|reply| reply.body == ran[0].body), "{ran:?}");
    }
    check_runs(&mesh, &keys);
    Ok(())
}

/// Process that is killed while an order is in progress.
#[derive(Clone, Copy)]
enum KilledProcess {
    Entry,
    TargetNode,
    Target,
}

/// Kills a process at a random moment of each order. The caller then resends the order through node
/// 3 until it ran or its response is reported as lost.
async fn check_kill(killed: KilledProcess, seed: u64) -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let mut random = StdRng::seed_from_u64(seed);
    let mut keys = Vec::new();
    for round in 0..5 {
        let key = format!("kill-{seed}-{round}");
        let first = start_order(&mesh, 0, &key);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..120))).await;
        let node = random.random_range(1..=2);
        match killed {
            KilledProcess::Entry => mesh.nodes[0].process.kill(),
            KilledProcess::TargetNode => mesh.nodes[node].process.kill(),
            KilledProcess::Target => mesh.nodes[node].target.as_mut().expect("a target").kill(),
        }
        let mut record = first.await?;
        let end = Instant::now() + PROCESS_LIMIT;
        while record.outcome() != "ran" && !is_lost(&record) {
            eyre::ensure!(Instant::now() < end, "not resolved: {record:?}");
            tokio::time::sleep(RESEND_INTERVAL).await;
            record = order(&mesh, 3, &key).await;
        }
        if matches!(killed, KilledProcess::Entry) {
            assert_eq!(
                record.outcome(),
                "ran",
                "target and its node are running: {record:?}"
            );
        }
        if record.outcome() == "ran" {
            keys.push(key);
        }
        match killed {
            KilledProcess::Entry => mesh.nodes[0].process.restart()?,
            KilledProcess::TargetNode => mesh.nodes[node].process.restart()?,
            KilledProcess::Target => mesh.restart_target(node, 0).await?,
        }
        let ready =
            |status: &serde_json::Value| status["ready"] == true && status["applied_version"] == 1;
        mesh.wait_status(0, PROCESS_LIMIT, ready).await?;
        mesh.wait_targets(0, "press-room", 2).await?;
        mesh.wait_targets(3, "press-room", 2).await?;
    }
    check_runs(&mesh, &keys);
    Ok(())
}

/// Whether a response reports that the order may have run and that its response is lost for good.
fn is_lost(record: &CallRecord) -> bool {
    let Ok(reply) = &record.reply else {
        return false;
    };
    let body = String::from_utf8_lossy(&reply.body);
    reply.reason == "already-claimed" && body.contains("its answer is lost")
}

/// Guards against a duplicate run, and against an order that stays unresolved, when the entry node
/// is killed while the order is being claimed or executed.
#[tokio::test]
async fn killed_entry() -> eyre::Result<()> {
    check_kill(KilledProcess::Entry, 1).await
}

/// Guards against a duplicate run when the node that claimed the order is killed.
#[tokio::test]
async fn killed_target_node() -> eyre::Result<()> {
    check_kill(KilledProcess::TargetNode, 2).await
}

/// Guards against a duplicate run when the target is killed while it executes the order.
#[tokio::test]
async fn killed_target() -> eyre::Result<()> {
    check_kill(KilledProcess::Target, 3).await
}

/// Guards against an order that never runs, or runs without a claim, after its caller timed out
/// while the claim was being written.
#[tokio::test]
async fn caller_timeout() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let mut fault = store_fault("slow", 0);
    fault.delay_ms = 300;
    mesh.store_faults(&[fault]).await?;
    let keys: Vec<_> = (0..3).map(|number| format!("left-{number}")).collect();
    for key in &keys {
        for entry in [0, 1, 2, 3] {
            let request = mesh.keyed(entry, key).timeout(Duration::from_millis(150));
            let record = record_call(key.clone(), request).await;
            assert_ne!(
                record.outcome(),
                "ran",
                "the claim takes longer: {record:?}"
            );
        }
    }
    mesh.clear_store_faults().await?;
    for key in &keys {
        resend_until_ran(&mesh, 0, key).await?;
    }
    check_runs(&mesh, &keys);
    Ok(())
}

/// Guards against an order that runs without a claim during a store outage, and against one that
/// never runs, or runs twice, after the store has recovered.
#[tokio::test]
async fn store_outage() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let keys: Vec<_> = (0..4).map(|number| format!("outage-{number}")).collect();
    mesh.store_faults(&[store_fault("outage", 0)]).await?;
    for round in 0..3 {
        let numbered = keys.iter().enumerate();
        let calls: Vec<_> = numbered
            .map(|(number, key)| start_order(&mesh, (number + round) % 4, key))
            .collect();
        for call in calls {
            let record = call.await?;
            assert_eq!(record.outcome(), "not-run", "{record:?}");
        }
    }
    assert!(mesh.runs_by_key().is_empty(), "ran without a claim");
    mesh.clear_store_faults().await?;
    for (number, key) in keys.iter().enumerate() {
        resend_until_ran(&mesh, number % 4, key).await?;
    }
    check_runs(&mesh, &keys);
    Ok(())
}

/// Guards against an order that never runs, or runs twice, when its claim takes effect after the
/// node has timed out waiting for the store.
#[tokio::test]
async fn slow_store() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let keys: Vec<_> = (0..4).map(|number| format!("slow-{number}")).collect();
    // The first claim also acquires the lease. Otherwise the slow store would delay the lease
    // instead of the claims.
    resend_until_ran(&mesh, 0, "first").await?;
    let mut fault = store_fault("slow", 0);
    fault.delay_ms = 1_200;
    CLAIM_PREFIX.clone_into(&mut fault.key_prefix);
    mesh.store_faults(&[fault]).await?;
    for round in 0..3 {
        let numbered = keys.iter().enumerate();
        let calls: Vec<_> = numbered
            .map(|(number, key)| start_order(&mesh, (number + round) % 4, key))
            .collect();
        for call in calls {
            call.await?;
        }
    }
    mesh.clear_store_faults().await?;
    for (number, key) in keys.iter().enumerate() {
        resend_until_ran(&mesh, number % 4, key).await?;
    }
    check_runs(&mesh, &keys);
    Ok(())
}

/// Makes the store lose the responses to the next `count` writes of claims.
async fn lose_answers(mesh: &CallMesh, count: u32) -> eyre::Result<()> {
    let mut fault = store_fault("lost-answer", count);
    CLAIM_PREFIX.clone_into(&mut fault.key_prefix);
    mesh.store_faults(&[fault]).await
}

/// Guards against an order that never runs, or runs twice, when its claim is written but the
/// store's responses are lost.
#[tokio::test]
async fn lost_answers() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let keys: Vec<_> = (0..12).map(|number| format!("answer-{number}")).collect();
    for (number, key) in keys.iter().enumerate() {
        lose_answers(&mesh, 1 + u32::try_from(number % 6)?).await?;
        let entries = if number < 6 { 0..0 } else { 1..4 };
        let others: Vec<_> = entries.map(|node| start_order(&mesh, node, key)).collect();
        resend_until_ran(&mesh, 0, key).await?;
        for other in others {
            other.await?;
        }
        mesh.clear_store_faults().await?;
    }
    check_runs(&mesh, &keys);
    Ok(())
}

/// Guards against claims that a relay writes after it was paused for longer than its lease: an
/// order that ran through a newer relay must not run again.
#[tokio::test]
async fn paused_relay() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let mut relay = None;
    for node in [0, 1] {
        if mesh.status(node).await["relay"] == true {
            relay.get_or_insert(node);
        }
    }
    let relay = relay.ok_or_else(|| eyre::eyre!("poa-a has no relay"))?;
    let keys: Vec<_> = (0..6).map(|number| format!("paused-{number}")).collect();
    let before: Vec<_> = keys.iter().map(|key| start_order(&mesh, 3, key)).collect();
    mesh.nodes[relay].process.pause();
    let paused = Instant::now();
    for key in &keys {
        resend_until_ran(&mesh, 3, key).await?;
    }
    tokio::time::sleep((RELAY_LEASE * 2).saturating_sub(paused.elapsed())).await;
    mesh.nodes[relay].process.resume();
    for call in before {
        call.await?;
    }
    for key in &keys {
        resend_until_ran(&mesh, 2, key).await?;
    }
    check_runs(&mesh, &keys);
    Ok(())
}

/// Guards against an order that runs without an idempotency key, or with one that is not valid as
/// part of a store key.
#[tokio::test]
async fn bad_keys() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let long = "k".repeat(129);
    let keys = [
        None,
        Some(""),
        Some("a/b"),
        Some("a b"),
        Some(long.as_str()),
    ];
    for key in keys {
        let mut request = mesh.request(Method::POST, 0, "/orders/print", "bad-key");
        if let Some(key) = key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        let record = record_call("bad-key".to_owned(), request).await;
        let reply = record.reply.map_err(|error| eyre::eyre!(error))?;
        let reported = (reply.status, reply.outcome.as_str(), reply.reason.as_str());
        assert_eq!(reported, (400, "not-run", "key-missing"), "{key:?}");
    }
    assert!(mesh.starts().is_empty(), "an order without a key ran");
    Ok(())
}

/// Guards against a retry of a request without an idempotency key after it may have run.
#[tokio::test]
async fn unkeyed_requests() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let mut records = Vec::new();
    for round in 0..4 {
        let id = format!("unkeyed-{round}");
        // Each path is unique: a request that is in flight during two crashes is refused.
        let path = format!("/work?ms=100&round={round}");
        let request = mesh.request(Method::POST, 0, &path, &id);
        let call = tokio::spawn(record_call(id.clone(), request));
        let node = mesh.wait_started(&id).await?;
        mesh.nodes[node].target.as_mut().expect("a target").kill();
        let record = call.await?;
        assert_eq!(record.outcome(), "may-have-run", "{record:?}");
        records.push(record);
        mesh.restart_target(node, 0).await?;
    }
    check_records(&mesh, &records, false);
    Ok(())
}
