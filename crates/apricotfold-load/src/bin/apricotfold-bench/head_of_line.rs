//! Benchmark of head-of-line blocking: short calls with and without concurrent downloads that
//! saturate the long slots of the same targets.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotfold_load::{LoadClient, LoadPhase, LoadResult, plan_calls};
use apricotfold_model::LoadBalancingPolicy;

use crate::deployment::{DEPLOYMENTS, Deployment, POLICIES, count_remote_attempts, load_client};
use crate::machine::load_average;
use crate::plot::latency_curve;
use crate::results::{BenchmarkResults, PlotData, ResultRow};

const SHORT_PER_SECOND: u32 = 200;
/// About twice the rate that the long slots of four targets can serve.
const DOWNLOADS_PER_SECOND: u32 = 50;
const SHORT_PATH: &str = "/press/proof";
const DOWNLOAD_PATH: &str = "/download?bytes=200000&ms=1000";
/// Time during which downloads fill the long slots and queues before short calls are measured.
const FILL_TIME: Duration = Duration::from_secs(3);
const SHORT_SEED: u64 = 11;
const DOWNLOAD_SEED: u64 = 12;
const MAX_RATIO: f64 = 1.2;

/// Results of one deployment and policy.
struct HeadOfLineResults {
    /// Short calls without concurrent downloads.
    without_downloads: LoadResult,
    /// Short calls with concurrent downloads.
    with_downloads: LoadResult,
    downloads: LoadResult,
    /// Attempts of short calls in the other region, without concurrent downloads.
    remote_without_downloads: f64,
    /// Attempts of short calls in the other region, with concurrent downloads.
    remote_with_downloads: f64,
}

/// Runs the benchmark.
pub async fn measure(results: &mut BenchmarkResults, time: Duration) -> eyre::Result<()> {
    results.setup = format!(
        "{SHORT_PER_SECOND} short calls/s to the service with 4 targets, 2 ms mean service time, \
         without and then with {DOWNLOADS_PER_SECOND} downloads/s of 200 kB that take 1 s each. \
         Calls enter in the first region; the nodes of the second are behind links of 30 ms and \
         30 Mbit/s each."
    );
    for deployment in DEPLOYMENTS {
        let mut curves = Vec::new();
        for policy in POLICIES {
            let figures = run(&deployment, policy, time).await?;
            let HeadOfLineResults {
                without_downloads,
                with_downloads,
                ..
            } = &figures;
            if policy == LoadBalancingPolicy::LeastLatency {
                curves.push((
                    "without downloads".to_owned(),
                    latency_curve(without_downloads.short()),
                ));
                curves.push((
                    "with downloads".to_owned(),
                    latency_curve(with_downloads.short()),
                ));
            }
            results.add_row(describe(&deployment, policy, &figures)?);
        }
        let ratio = results.figure(deployment.name, "least-latency", "p99 ratio");
        let target = "p99 of short calls with downloads at most 1.2 times the p99 without";
        results.check_at_most(deployment.name, target, ratio, MAX_RATIO);
        results.plots.push(PlotData {
            file: format!("head-of-line-{}", deployment.name),
            title: format!("Short calls, {}, least-latency", deployment.name),
            x_label: "percentile".to_owned(),
            y_label: "latency in ms".to_owned(),
            curves,
        });
    }
    Ok(())
}

async fn run(
    deployment: &Deployment,
    policy: LoadBalancingPolicy,
    time: Duration,
) -> eyre::Result<HeadOfLineResults> {
    let mesh = deployment.start(policy, true, |_| {}).await?;
    let entries = deployment.entries(&mesh, false);
    let short = load_client(&entries, SHORT_PATH)?;
    short.warm_up().await;
    send(&short, SHORT_PER_SECOND, FILL_TIME, SHORT_SEED).await;
    let remote_before = count_remote_attempts(&mesh, SHORT_PATH);
    let without_downloads = send(&short, SHORT_PER_SECOND, time, SHORT_SEED).await;
    let remote_between = count_remote_attempts(&mesh, SHORT_PATH);
    let long = load_client(&entries, DOWNLOAD_PATH)?;
    let downloads = tokio::spawn(async move {
        send(&long, DOWNLOADS_PER_SECOND, FILL_TIME + time, DOWNLOAD_SEED).await
    });
    tokio::time::sleep(FILL_TIME).await;
    let with_downloads = send(&short, SHORT_PER_SECOND, time, SHORT_SEED).await;
    let remote_after = count_remote_attempts(&mesh, SHORT_PATH);
    Ok(HeadOfLineResults {
        without_downloads,
        with_downloads,
        downloads: downloads.await?,
        remote_without_downloads: remote_between - remote_before,
        remote_with_downloads: remote_after - remote_between,
    })
}

async fn send(client: &LoadClient, rate: u32, duration: Duration, seed: u64) -> LoadResult {
    let phase = LoadPhase {
        calls_per_second: rate,
        duration,
    };
    let records = client.run(plan_calls(&[phase], 0, seed)).await;
    LoadResult::new(&records, duration)
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls")]
fn describe(
    deployment: &Deployment,
    policy: LoadBalancingPolicy,
    figures: &HeadOfLineResults,
) -> eyre::Result<ResultRow> {
    let HeadOfLineResults {
        without_downloads,
        with_downloads,
        downloads,
        ..
    } = figures;
    let figures = [
        ("remote without", figures.remote_without_downloads),
        ("remote with", figures.remote_with_downloads),
        ("p99 without ms", without_downloads.short().p99_ms),
        ("p99 with ms", with_downloads.short().p99_ms),
        (
            "p99 ratio",
            with_downloads.short().p99_ms / without_downloads.short().p99_ms,
        ),
        (
            "short not answered",
            (with_downloads.offered - with_downloads.answered) as f64,
        ),
        ("downloads answered", downloads.answered as f64),
        ("downloads refused", downloads.refused as f64),
    ];
    Ok(ResultRow {
        deployment: deployment.name.to_owned(),
        variant: policy.to_string(),
        load_average: load_average()?,
        figures: figures.map(|(name, value)| (name.to_owned(), value)).into(),
        raw: BTreeMap::from([
            (
                "without".to_owned(),
                serde_json::to_value(without_downloads)?,
            ),
            ("with".to_owned(), serde_json::to_value(with_downloads)?),
            ("downloads".to_owned(), serde_json::to_value(downloads)?),
        ]),
    })
}
