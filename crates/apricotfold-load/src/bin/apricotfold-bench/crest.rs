//! Overload benchmark: five times the capacity for ten seconds.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use apricotfold_load::{CallRecord, LoadPhase, LoadResult, plan_calls};
use apricotfold_model::LoadBalancingPolicy;

use crate::deployment::{DEPLOYMENTS, Deployment, POLICIES, load_client};
use crate::machine::load_average;
use crate::results::{BenchmarkResults, PlotData, ResultRow};

/// Higher than usual for short work, so that one machine can offer five times the capacity.
const SERVICE_MS: u32 = 100;
const PEAK_FACTOR: u32 = 5;
const PRE_PEAK_TIME: Duration = Duration::from_secs(4);
const PEAK_TIME: Duration = Duration::from_secs(10);
const SEED: u64 = 31;
const MIN_GOODPUT: f64 = 0.9;
const MAX_REFUSAL_MS: f64 = 50.0;
/// Time at the start of the peak during which targets do not count as overloaded yet.
const PEAK_ONSET: Duration = Duration::from_millis(150);
const MAX_RECOVERY_S: f64 = 2.0;

/// Runs the benchmark. `after` is the duration of the load after the peak.
pub async fn measure(results: &mut BenchmarkResults, after: Duration) -> eyre::Result<()> {
    results.setup = format!(
        "Short calls to the service with 7 or 8 targets at half of capacity for {} s, {PEAK_FACTOR} \
         times capacity for {} s, then half of capacity again. Capacity is all slots divided by the \
         mean service time of {SERVICE_MS} ms; with a few ms, five times capacity would be more than \
         100,000 calls/s. Calls enter at every node. There are no links, because a link cannot \
         tell callers apart. Recovery is the time from the end of the peak to the last later arrival \
         that was not answered. Goodput counts answers that ended during the peak.",
        PRE_PEAK_TIME.as_secs(),
        PEAK_TIME.as_secs()
    );
    for deployment in DEPLOYMENTS {
        let capacity = capacity_of(&deployment);
        let mut curves = Vec::new();
        for policy in POLICIES {
            let records = run(&deployment, policy, capacity, after).await?;
            let result = LoadResult::new(&records, PRE_PEAK_TIME + PEAK_TIME + after);
            curves.push((policy.to_string(), goodput_curve(&result)));
            results.add_row(describe(&deployment, policy, capacity, &records, &result)?);
        }
        check_targets(results, deployment.name);
        results.plots.push(PlotData {
            file: format!("crest-{}", deployment.name),
            title: format!("Goodput, {}, capacity {capacity}/s", deployment.name),
            x_label: "second".to_owned(),
            y_label: "answers per second".to_owned(),
            curves,
        });
    }
    Ok(())
}

/// Returns the calls per second that all slots of the service can answer together.
fn capacity_of(deployment: &Deployment) -> u32 {
    let targets = u32::try_from(deployment.root_service_targets()).unwrap_or(u32::MAX);
    targets * deployment.slots * 1_000 / SERVICE_MS
}

fn check_targets(results: &mut BenchmarkResults, deployment: &str) {
    let figure =
        |results: &BenchmarkResults, name: &str| results.figure(deployment, "least-latency", name);
    let share = figure(results, "goodput share");
    let goodput = "goodput at the peak at least 90 % of capacity";
    results.check_at_least(deployment, goodput, share, MIN_GOODPUT);
    let slowest = figure(results, "refusal max ms");
    let refusal = "every refused call told within 50 ms";
    results.check_at_most(deployment, refusal, slowest, MAX_REFUSAL_MS);
    let recovery = figure(results, "recovery s");
    let service = "full service again within 2 s after the peak";
    results.check_at_most(deployment, service, recovery, MAX_RECOVERY_S);
}

async fn run(
    deployment: &Deployment,
    policy: LoadBalancingPolicy,
    capacity: u32,
    after: Duration,
) -> eyre::Result<Vec<CallRecord>> {
    let mesh = deployment
        .start(policy, false, |target| target.short_ms = SERVICE_MS)
        .await?;
    let client = load_client(&deployment.entries(&mesh, true), "/pages/march")?;
    client.warm_up().await;
    let phase = |calls_per_second, duration| LoadPhase {
        calls_per_second,
        duration,
    };
    let phases = [
        phase(capacity / 2, PRE_PEAK_TIME),
        phase(capacity * PEAK_FACTOR, PEAK_TIME),
        phase(capacity / 2, after),
    ];
    Ok(client.run(plan_calls(&phases, 0, SEED)).await)
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls")]
fn describe(
    deployment: &Deployment,
    policy: LoadBalancingPolicy,
    capacity: u32,
    records: &[CallRecord],
    result: &LoadResult,
) -> eyre::Result<ResultRow> {
    let peak = PRE_PEAK_TIME..PRE_PEAK_TIME + PEAK_TIME;
    let in_peak = |call: &&CallRecord| call.is_answered() && peak.contains(&call.ended());
    let answered = records.iter().filter(in_peak).count() as f64;
    let share = answered / PEAK_TIME.as_secs_f64() / f64::from(capacity);
    let lost_later = records
        .iter()
        .filter(|call| call.planned >= peak.end && !call.is_answered());
    let last_lost = lost_later.map(|call| call.planned).max();
    let recovery = last_lost.map_or(0.0, |last| last.saturating_sub(peak.end).as_secs_f64());
    let late = |planned: Range<Duration>| {
        let late = records.iter().filter(|call| {
            let slow = call.latency.as_secs_f64() * 1_000.0 > MAX_REFUSAL_MS;
            call.is_refused() && slow && planned.contains(&call.planned)
        });
        late.count() as f64
    };
    let figures = [
        ("goodput share", share),
        ("refusal p99 ms", result.refusal_latency.p99_ms),
        ("refusal max ms", result.refusal_latency.max_ms),
        ("recovery s", recovery),
        ("answered p99 ms", result.short().p99_ms),
        ("late refusals", late(Duration::ZERO..Duration::MAX)),
        (
            "late refusals at onset",
            late(peak.start..peak.start + PEAK_ONSET),
        ),
        ("not answered", (result.offered - result.answered) as f64),
        ("send lag max ms", result.send_lag.max_ms),
    ];
    Ok(ResultRow {
        deployment: deployment.name.to_owned(),
        variant: policy.to_string(),
        load_average: load_average()?,
        figures: figures.map(|(name, value)| (name.to_owned(), value)).into(),
        raw: BTreeMap::from([("load".to_owned(), serde_json::to_value(result)?)]),
    })
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls")]
fn goodput_curve(result: &LoadResult) -> Vec<(f64, f64)> {
    let seconds = result.goodput_by_second.iter().enumerate();
    seconds
        .map(|(second, count)| (second as f64, *count as f64))
        .collect()
}
