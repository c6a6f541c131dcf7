//! Benchmark of the latency that the system adds to a call, and of the highest rate that one node
//! sustains on one core.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotfold_load::{CallRecord, LoadClient, LoadPhase, LoadResult, plan_calls};
use apricotfold_model::LoadBalancingPolicy;
use apricotfold_testkit::{Mesh, MeshBuilder};
use serde_json::json;

use crate::deployment::{POLICIES, load_client};
use crate::machine::load_average;
use crate::plot::latency_curve;
use crate::results::{BenchmarkResults, PlotData, ResultRow};

const LOCATION: (&str, &str) = ("rs-gaucho", "poa-a");
const FRONT_SERVICE: &str = "parish-desk";
const BACK_SERVICE: &str = "press-room";
const CALLS_PER_NODE: u32 = 170;
const SERVICE_MS: u32 = 2;
const SEED: u64 = 41;
const MAX_ADDED_MS: f64 = 1.7;
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);
const WARM_UP_TIME: Duration = Duration::from_secs(2);

/// Offered rates in calls per second, in the order of the search for the highest sustained rate.
const RATES: [u32; 9] = [500, 1_000, 1_500, 2_000, 2_500, 3_000, 4_000, 5_000, 6_000];
const RATE_STEP_TIME: Duration = Duration::from_secs(4);
/// A rate counts as carried when all calls are answered and their 99th percentile is at most this.
const CARRIED_P99_MS: f64 = 10.0;
/// The search ends at a higher 99th percentile, because calls then queue up without bound.
const OVERLOAD_P99_MS: f64 = 200.0;
/// Number of nodes of the service that the single entry node calls.
const BACK_NODES: usize = 3;

/// Runs the benchmark.
pub async fn measure(results: &mut BenchmarkResults, time: Duration) -> eyre::Result<()> {
    results.setup = format!(
        "Four nodes in one data centre, two of each service, one worker thread each. \
         {CALLS_PER_NODE} calls/s enter at each node and go to the other service, so each passes \
         two nodes. The same calls are then sent directly to the targets. The service time is constant \
         at {SERVICE_MS} ms. The highest rate is searched with one entry node in front of \
         {BACK_NODES} nodes in steps of {} s; a rate counts as carried when every call is answered \
         and p99 is at most {CARRIED_P99_MS} ms.",
        RATE_STEP_TIME.as_secs()
    );
    let mut curves = Vec::new();
    for policy in POLICIES {
        let (mesh, direct) = compare(policy, time).await?;
        if policy == LoadBalancingPolicy::LeastLatency {
            curves.push(("direct".to_owned(), latency_curve(direct.short())));
        }
        curves.push((policy.to_string(), latency_curve(mesh.short())));
        results.add_row(describe(policy, &mesh, &direct)?);
    }
    results.plots.push(PlotData {
        file: "added-time".to_owned(),
        title: "Calls through two nodes and straight to the target".to_owned(),
        x_label: "percentile".to_owned(),
        y_label: "latency in ms".to_owned(),
        curves,
    });
    let added = results.figure("four nodes", "least-latency", "added p99 ms");
    let target = "added time p99 at most 1.7 ms";
    results.check_at_most("four nodes", target, added, MAX_ADDED_MS);
    find_highest_rate(results).await
}

async fn start(front: usize, back: usize, policy: LoadBalancingPolicy) -> eyre::Result<Mesh> {
    let mut builder = MeshBuilder::new()
        .distribution("store-watch")
        .target_choice(policy.into());
    for (service, count) in [(FRONT_SERVICE, front), (BACK_SERVICE, back)] {
        for _ in 0..count {
            builder = builder.node_with(LOCATION, service, "bench", |plan| {
                if let Some(target) = &mut plan.target {
                    target.settings.short_ms = SERVICE_MS;
                    // Seed 0 makes the service time constant.
                    target.settings.seed = 0;
                }
            });
        }
    }
    let mesh = builder.start().await?;
    mesh.wait_members(front + back, FORMATION_TIMEOUT).await?;
    let route = |path: &str, cluster: &str| {
        json!({"name": cluster, "listener": "callers", "path_prefix": path, "cluster": cluster,
               "timeout_ms": 5000, "idempotent": true})
    };
    let profile = json!({
        "name": "bench",
        "listeners": ["callers"],
        "clusters": [
            {"name": "front", "service": FRONT_SERVICE},
            {"name": "back", "service": BACK_SERVICE}
        ],
        "routes": [route("/front", "front"), route("/back", "back")]
    });
    let output = mesh.publish(&profile, &[]).await?;
    eyre::ensure!(output.code == 0, "publish: {output:?}");
    mesh.wait_version(1, FORMATION_TIMEOUT).await?;
    Ok(mesh)
}

async fn compare(
    policy: LoadBalancingPolicy,
    time: Duration,
) -> eyre::Result<(LoadResult, LoadResult)> {
    let mesh = start(2, 2, policy).await?;
    let urls = |nodes: std::ops::Range<usize>| -> Vec<String> {
        let nodes = mesh.nodes[nodes].iter();
        nodes.map(|node| node.caller_url.clone()).collect()
    };
    let through = [
        load_client(&urls(0..2), "/back/phase")?,
        load_client(&urls(2..4), "/front/phase")?,
    ];
    let targets = mesh.nodes.iter().map(|node| node.target_url.clone());
    let targets: Vec<String> = targets.collect();
    let direct = [
        load_client(&targets[..2], "/phase")?,
        load_client(&targets[2..], "/phase")?,
    ];
    let mesh_result = send_both(&through, time).await;
    Ok((mesh_result, send_both(&direct, time).await))
}

/// Warms up and loads both halves of the mesh at the same time. Returns their combined result.
async fn send_both(clients: &[LoadClient; 2], time: Duration) -> LoadResult {
    for client in clients {
        client.warm_up().await;
    }
    let rate = 2 * CALLS_PER_NODE;
    let [first, second] = clients;
    tokio::join!(
        send(first, rate, WARM_UP_TIME, SEED),
        send(second, rate, WARM_UP_TIME, SEED + 1)
    );
    let (mut records, others) = tokio::join!(
        send(first, rate, time, SEED),
        send(second, rate, time, SEED + 1)
    );
    records.extend(others);
    LoadResult::new(&records, time)
}

async fn send(client: &LoadClient, rate: u32, duration: Duration, seed: u64) -> Vec<CallRecord> {
    let phase = LoadPhase {
        calls_per_second: rate,
        duration,
    };
    client.run(plan_calls(&[phase], 0, seed)).await
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls")]
fn describe(
    policy: LoadBalancingPolicy,
    mesh: &LoadResult,
    direct: &LoadResult,
) -> eyre::Result<ResultRow> {
    let (through, straight) = (mesh.short(), direct.short());
    let figures = [
        ("direct p50 ms", straight.p50_ms),
        ("direct p99 ms", straight.p99_ms),
        ("mesh p50 ms", through.p50_ms),
        ("mesh p99 ms", through.p99_ms),
        ("added p50 ms", through.p50_ms - straight.p50_ms),
        ("added p99 ms", through.p99_ms - straight.p99_ms),
        ("not answered", (mesh.offered - mesh.answered) as f64),
    ];
    Ok(ResultRow {
        deployment: "four nodes".to_owned(),
        variant: policy.to_string(),
        load_average: load_average()?,
        figures: figures.map(|(name, value)| (name.to_owned(), value)).into(),
        raw: BTreeMap::from([
            ("mesh".to_owned(), serde_json::to_value(mesh)?),
            ("direct".to_owned(), serde_json::to_value(direct)?),
        ]),
    })
}

/// Raises the rate at one entry node until calls queue up or the last rate has been measured.
async fn find_highest_rate(results: &mut BenchmarkResults) -> eyre::Result<()> {
    let mesh = start(1, BACK_NODES, LoadBalancingPolicy::LeastLatency).await?;
    let client = load_client(&[mesh.nodes[0].caller_url.clone()], "/back/phase")?;
    client.warm_up().await;
    send(&client, RATES[0], WARM_UP_TIME, SEED).await;
    let cpu_seconds = |node: usize| mesh.nodes[node].process.usage().cpu.as_secs_f64();
    for rate in RATES {
        let before = [0, 1].map(cpu_seconds);
        let records = send(&client, rate, RATE_STEP_TIME, SEED).await;
        let after = [0, 1].map(cpu_seconds);
        let result = LoadResult::new(&records, RATE_STEP_TIME);
        let entry_cores = (after[0] - before[0]) / RATE_STEP_TIME.as_secs_f64();
        let target_cores = (after[1] - before[1]) / RATE_STEP_TIME.as_secs_f64();
        let carried = result.answered == result.offered && result.short().p99_ms <= CARRIED_P99_MS;
        let figures = [
            ("calls/s", f64::from(rate)),
            ("p99 ms", result.short().p99_ms),
            ("entry node cores", entry_cores),
            ("target node cores", target_cores),
            ("carried", f64::from(u8::from(carried))),
        ];
        results.add_row(ResultRow {
            deployment: "one entry node".to_owned(),
            variant: format!("{rate} calls/s"),
            load_average: load_average()?,
            figures: figures.map(|(name, value)| (name.to_owned(), value)).into(),
            raw: BTreeMap::from([("load".to_owned(), serde_json::to_value(&result)?)]),
        });
        if result.short().p99_ms > OVERLOAD_P99_MS {
            break;
        }
    }
    Ok(())
}
