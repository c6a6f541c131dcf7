//! Benchmark of a straggler: one target becomes ten times slower while load reports are late.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotfold_load::{LatencySummary, LoadPhase, LoadResult, plan_calls};
use apricotfold_model::LoadBalancingPolicy;
use serde_json::json;

use crate::deployment::{DEPLOYMENTS, Deployment, POLICIES, load_client};
use crate::machine::load_average;
use crate::plot::latency_curve;
use crate::results::{BenchmarkResults, PlotData, ResultRow};

const CALLS_PER_SECOND: u32 = 400;
const SERVICE_MS: u32 = 5;
const SLOW_FACTOR: u32 = 10;
const REPORT_DELAY_MS: u32 = 2_000;
/// Time at the start that is not measured. The burst of calls that opens connections fills the
/// targets, and nodes that learn of it send calls to the other region for the next
/// 1 to 2 s.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time before the target becomes slow.
const HEALTHY_TIME: Duration = Duration::from_secs(9);
const SEED: u64 = 21;
const MAX_SHARE: f64 = 0.5;

/// Runs the benchmark. `time` is the duration of the load after the target has become slow.
pub async fn measure(results: &mut BenchmarkResults, time: Duration) -> eyre::Result<()> {
    results.setup = format!(
        "{CALLS_PER_SECOND} short calls/s to the service with 7 or 8 targets, {SERVICE_MS} ms mean \
         service time. Calls enter in the first region, which has 4 of the targets; the others are \
         behind links of 30 ms. After {} s, one target in the first data centre becomes \
         {SLOW_FACTOR} times slower. All calls planned after that count, including those before the \
         first slow answer. Targets report their load {REPORT_DELAY_MS} ms late. No hedging.",
        HEALTHY_TIME.as_secs()
    );
    for deployment in DEPLOYMENTS {
        let mut curves = Vec::new();
        for policy in POLICIES {
            let (result, healthy) = run(&deployment, policy, time).await?;
            curves.push((policy.to_string(), latency_curve(result.short())));
            results.add_row(describe(&deployment, policy, &result, healthy)?);
        }
        check_targets(results, &deployment);
        results.plots.push(PlotData {
            file: format!("stragglers-{}", deployment.name),
            title: format!("One slow target, {}", deployment.name),
            x_label: "percentile".to_owned(),
            y_label: "latency in ms".to_owned(),
            curves,
        });
    }
    Ok(())
}

fn check_targets(results: &mut BenchmarkResults, deployment: &Deployment) {
    let p99 = |policy: &LoadBalancingPolicy| {
        results.figure(deployment.name, &policy.to_string(), "p99 ms")
    };
    let best = POLICIES[1..].iter().map(p99).fold(f64::MAX, f64::min);
    let share = p99(&POLICIES[0]) / best;
    let target = "p99 at most half of the best baseline's";
    results.check_at_most(deployment.name, target, share, MAX_SHARE);
}

async fn run(
    deployment: &Deployment,
    policy: LoadBalancingPolicy,
    time: Duration,
) -> eyre::Result<(LoadResult, LatencySummary)> {
    let change = |target: &mut apricotfold_schema::settings::TargetStandinSettings| {
        target.short_ms = SERVICE_MS;
        target.report_delay_ms = REPORT_DELAY_MS;
    };
    let mesh = deployment.start(policy, true, change).await?;
    let client = load_client(&deployment.entries(&mesh, false), "/moon-phase")?;
    client.warm_up().await;
    let phase = LoadPhase {
        calls_per_second: CALLS_PER_SECOND,
        duration: HEALTHY_TIME + time,
    };
    let calls = plan_calls(&[phase], 0, SEED);
    let load = tokio::spawn(async move { client.run(calls).await });
    tokio::time::sleep(HEALTHY_TIME).await;
    let url = format!("{}/admin/slow", mesh.nodes[0].target_url);
    let slow = mesh.client.post(url).json(&json!({"factor": SLOW_FACTOR}));
    slow.send().await?.error_for_status()?;
    let records = load.await?;
    let (before, after): (Vec<_>, Vec<_>) = records
        .into_iter()
        .partition(|call| call.planned < HEALTHY_TIME);
    let settled = before.iter().filter(|call| call.planned >= SETTLE_TIME);
    let healthy = LatencySummary::new(settled.map(|call| call.latency));
    Ok((LoadResult::new(&after, time), healthy))
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls")]
fn describe(
    deployment: &Deployment,
    policy: LoadBalancingPolicy,
    result: &LoadResult,
    healthy: LatencySummary,
) -> eyre::Result<ResultRow> {
    let short = result.short();
    let figures = [
        ("p50 ms", short.p50_ms),
        ("p90 ms", short.p90_ms),
        ("p99 ms", short.p99_ms),
        ("p99.9 ms", short.p999_ms),
        ("healthy p99 ms", healthy.p99_ms),
        ("not answered", (result.offered - result.answered) as f64),
    ];
    Ok(ResultRow {
        deployment: deployment.name.to_owned(),
        variant: policy.to_string(),
        load_average: load_average()?,
        figures: figures.map(|(name, value)| (name.to_owned(), value)).into(),
        raw: BTreeMap::from([
            ("slow".to_owned(), serde_json::to_value(result)?),
            ("healthy".to_owned(), serde_json::to_value(healthy)?),
        ]),
    })
}
