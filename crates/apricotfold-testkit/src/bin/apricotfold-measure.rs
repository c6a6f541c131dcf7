//! Measures the cost of the control plane at several mesh sizes and fits a line through the
//! results. See `docs/CAPACITY.md`.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use apricotfold_testkit::{Mesh, MeshBuilder, MeshNode};
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::{Value, json};

const HELP: &str = "\
Measures the cost of the control plane with real nodes in 7 data centres of 3 regions.

Usage: apricotfold-measure [--sizes N,N,...] [--seconds N] [--publishes N] [--baseline]

Options:
  --sizes N,N,...  mesh sizes in nodes, default 14,28,56,112
  --seconds N      length of the steady-state measurement, default 15
  --publishes N    publishes per size, default 10
  --baseline       also measure meshes in which every node watches the store
  --help           print this text
  --version        print the version

The results are printed as JSON. Build with --release first.";

/// Region and data centre of the nodes, assigned in turn. The store is in the first region.
const LOCATIONS: [(&str, &str); 7] = [
    ("region-a", "a-1"),
    ("region-a", "a-2"),
    ("region-a", "a-3"),
    ("region-b", "b-1"),
    ("region-b", "b-2"),
    ("region-c", "c-1"),
    ("region-c", "c-2"),
];
/// Number of nodes per service and profile, as in the size that the design assumes.
const TARGETS_PER_SERVICE: usize = 10;
/// Profile that is published during the measurement. The nodes of the first service use it.
const PROFILE: &str = "profile-0";
const SETTLE_TIME: Duration = Duration::from_secs(5);
const FORMATION_TIMEOUT: Duration = Duration::from_mins(1);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct MeasureArgs {
    sizes: Vec<usize>,
    steady: Duration,
    publishes: u64,
    baseline: bool,
}

/// Results for one mesh size.
#[derive(Debug, Serialize)]
struct SizeResult {
    distribution: String,
    nodes: usize,
    formation_ms: u64,
    /// Control traffic per node in bytes per second, sent and received.
    control_bytes: f64,
    /// Mean CPU time per node as a percentage of one core.
    cpu_percent: f64,
    /// Largest resident memory of a node in MB.
    resident_max_mb: f64,
    /// Mean resident memory of a node in MB.
    resident_mean_mb: f64,
    /// Calls to the store per second from all nodes together, excluding open watches.
    store_calls: f64,
    /// Number of open watches at the store.
    store_watches: f64,
    /// Times from the start of the publish command until every node that uses the profile has
    /// applied the version, one per publish.
    publish_ms: Vec<u64>,
    /// Bytes sent between regions per publish, above the steady-state rate.
    remote_bytes: f64,
    /// Size of the compressed profile bundle in bytes.
    bundle_bytes: f64,
}

fn main() -> ExitCode {
    env_logger::init();
    let args = match read_args() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-measure: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Runtime::new().map_err(eyre::Report::from);
    match runtime.and_then(|runtime| runtime.block_on(run(&args))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-measure: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_args() -> eyre::Result<Option<MeasureArgs>> {
    use lexopt::prelude::*;
    let mut args = MeasureArgs {
        sizes: vec![14, 28, 56, 112],
        steady: Duration::from_secs(15),
        publishes: 10,
        baseline: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("sizes") => {
                let list = parser.value()?.string()?;
                args.sizes = list.split(',').map(str::parse).collect::<Result<_, _>>()?;
            }
            Long("seconds") => args.steady = Duration::from_secs(parser.value()?.parse()?),
            Long("publishes") => args.publishes = parser.value()?.parse()?,
            Long("baseline") => args.baseline = true,
            Long("help") | Short('h') => {
                println!("{HELP}");
                return Ok(None);
            }
            Long("version") | Short('V') => {
                println!("apricotfold-measure {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

async fn run(args: &MeasureArgs) -> eyre::Result<()> {
    let mut results = Vec::new();
    for &nodes in &args.sizes {
        results.push(measure_size(args, "peers", nodes).await?);
        if args.baseline {
            results.push(measure_size(args, "store-watch", nodes).await?);
        }
    }
    let peers: Vec<&SizeResult> = results
        .iter()
        .filter(|result| result.distribution == "peers")
        .collect();
    let fits = json!({
        "control_bytes": fit_line(&peers, |result| result.control_bytes),
        "cpu_percent": fit_line(&peers, |result| result.cpu_percent),
        "resident_mean_mb": fit_line(&peers, |result| result.resident_mean_mb),
        "store_calls": fit_line(&peers, |result| result.store_calls),
        "remote_bytes": fit_line(&peers, |result| result.remote_bytes),
    });
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({"results": results, "fits": fits}))?
    );
    Ok(())
}

async fn measure_size(
    args: &MeasureArgs,
    distribution: &str,
    nodes: usize,
) -> eyre::Result<SizeResult> {
    let started = Instant::now();
    let mesh = start_mesh(distribution, nodes).await?;
    mesh.wait_members(nodes, FORMATION_TIMEOUT).await?;
    let formation = started.elapsed();
    tokio::time::sleep(SETTLE_TIME).await;
    let before = MeshCounts::read(&mesh).await;
    tokio::time::sleep(args.steady).await;
    let steady = MeshCounts::read(&mesh).await.since(&before);
    let mut publish_ms = Vec::new();
    let at_publish = MeshCounts::read(&mesh).await;
    for version in 1..=args.publishes {
        publish_ms.push(publish(&mesh, version).await?);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let published = MeshCounts::read(&mesh).await.since(&at_publish);
    let (mean, max) = resident_mb(&mesh);
    let per_node = 1.0 / count(nodes);
    let steady_remote = steady.remote / steady.seconds * published.seconds;
    let remote_bytes = (published.remote - steady_remote) / count_u64(args.publishes);
    let result = SizeResult {
        distribution: distribution.to_owned(),
        nodes,
        formation_ms: millis(formation),
        control_bytes: steady.control / steady.seconds * per_node,
        cpu_percent: steady.cpu / steady.seconds * per_node * 100.0,
        resident_max_mb: max,
        resident_mean_mb: mean,
        store_calls: steady.store / steady.seconds,
        store_watches: steady.watches,
        publish_ms,
        remote_bytes,
        bundle_bytes: count(compressed_size(args.publishes)?),
    };
    eprintln!("{}", serde_json::to_string(&result)?);
    Ok(result)
}

async fn start_mesh(distribution: &str, nodes: usize) -> eyre::Result<Mesh> {
    let mut builder = MeshBuilder::new().distribution(distribution);
    for number in 0..nodes {
        let location = LOCATIONS[number % LOCATIONS.len()];
        let group = number / TARGETS_PER_SERVICE;
        let (service, profile) = (format!("service-{group}"), format!("profile-{group}"));
        builder = builder.node_with(location, &service, &profile, |plan| {
            if let Some(target) = &mut plan.target {
                target.process = false;
            }
        });
    }
    builder.start().await
}

/// Publishes a version. Returns the milliseconds until every node that uses the profile has applied
/// it.
async fn publish(mesh: &Mesh, version: u64) -> eyre::Result<u64> {
    let started = Instant::now();
    let profile = profile_text(version);
    let command = mesh.publish(&profile, &[]);
    let (output, convergence) = tokio::join!(command, wait_until_applied(mesh, version, started));
    let output = output?;
    eyre::ensure!(output.code == 0, "publish {version}: {output:?}");
    convergence
}

async fn wait_until_applied(mesh: &Mesh, version: u64, started: Instant) -> eyre::Result<u64> {
    let url = |node: &MeshNode| format!("{}/v1/version", node.admin_url);
    let profile_nodes = mesh.nodes.iter().take(TARGETS_PER_SERVICE);
    let mut waiting: Vec<String> = profile_nodes.map(url).collect();
    while !waiting.is_empty() {
        eyre::ensure!(
            started.elapsed() < CONVERGENCE_TIMEOUT,
            "{} nodes have not applied version {version} in time",
            waiting.len()
        );
        let responses = join_all(waiting.iter().map(|url| mesh.get_json(url))).await;
        let mut lagging = Vec::new();
        for (url, response) in waiting.into_iter().zip(responses) {
            if response["applied_version"].as_u64() < Some(version) {
                lagging.push(url);
            }
        }
        waiting = lagging;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(millis(started.elapsed()))
}

/// Returns a profile of a typical size: eight routes to eight clusters.
fn profile_text(version: u64) -> Value {
    let clusters: Vec<Value> = (0..8)
        .map(|number| json!({"name": format!("cluster-{number}"), "service": format!("service-{number}")}))
        .collect();
    let routes: Vec<Value> = (0..8)
        .map(|number| {
            json!({
                "name": format!("route-{number}"), "listener": "callers",
                "path_prefix": format!("/part-{number}"), "cluster": format!("cluster-{number}"),
                "timeout_ms": 1_000 + version, "idempotent": true,
            })
        })
        .collect();
    json!({"name": PROFILE, "listeners": ["callers"], "clusters": clusters, "routes": routes})
}

fn compressed_size(version: u64) -> eyre::Result<usize> {
    let bundle = apricotfold_model::ProfileBundle::parse(&profile_text(version).to_string())?;
    Ok(bundle.compress().len())
}

/// Counters summed over all nodes at one point in time, or their increase over `seconds`.
#[derive(Clone, Copy, Debug)]
struct MeshCounts {
    at: Instant,
    seconds: f64,
    control: f64,
    remote: f64,
    cpu: f64,
    store: f64,
    watches: f64,
}

impl MeshCounts {
    async fn read(mesh: &Mesh) -> Self {
        let mut counts = Self {
            at: Instant::now(),
            seconds: 0.0,
            control: 0.0,
            remote: 0.0,
            cpu: 0.0,
            store: 0.0,
            watches: 0.0,
        };
        for node in &mesh.nodes {
            counts.cpu += node.process.usage().cpu.as_secs_f64();
            let request = mesh
                .client
                .get(format!("{}/metrics", node.admin_url))
                .send()
                .await;
            let text = match request {
                Ok(response) => response.text().await.unwrap_or_default(),
                Err(_) => continue,
            };
            counts.control += sum_metric(&text, "apricotfold_control_bytes_total", "");
            let sent = sum_metric(&text, "apricotfold_control_bytes_total", "link=\"remote\"");
            // Each byte is counted by the sender and by the receiver.
            counts.remote += sent / 2.0;
        }
        let store = mesh.store_counts().await;
        counts.store = sum_numbers(&store["calls"]);
        counts.watches = store["open_watches"].as_f64().unwrap_or_default();
        counts
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            control: self.control - earlier.control,
            remote: self.remote - earlier.remote,
            cpu: self.cpu - earlier.cpu,
            store: self.store - earlier.store,
            ..*self
        }
    }
}

fn sum_metric(text: &str, name: &str, label: &str) -> f64 {
    let lines = text
        .lines()
        .filter(|line| line.starts_with(name) && line.contains(label));
    let value = |line: &str| line.rsplit(' ').next()?.parse::<f64>().ok();
    lines.filter_map(value).sum()
}

fn sum_numbers(value: &Value) -> f64 {
    let Some(counts) = value.as_object() else {
        return 0.0;
    };
    counts.values().filter_map(Value::as_f64).sum()
}

fn resident_mb(mesh: &Mesh) -> (f64, f64) {
    let sizes: Vec<f64> = mesh
        .nodes
        .iter()
        .map(|node| count_u64(node.process.usage().resident) / 1e6)
        .collect();
    let mean = sizes.iter().sum::<f64>() / count(sizes.len());
    (mean, sizes.into_iter().fold(0.0, f64::max))
}

/// Fits a least-squares line through a figure of all sizes.
fn fit_line(results: &[&SizeResult], figure: impl Fn(&SizeResult) -> f64) -> Value {
    let points: Vec<(f64, f64)> = results
        .iter()
        .map(|result| (count(result.nodes), figure(result)))
        .collect();
    let number = count(points.len());
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / number;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / number;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let covariance: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let slope = if spread > 0.0 {
        covariance / spread
    } else {
        0.0
    };
    let intercept = mean_y - slope * mean_x;
    let residual = points
        .iter()
        .map(|point| (point.1 - intercept - slope * point.0).abs())
        .fold(0.0, f64::max);
    json!({"intercept": intercept, "slope_per_node": slope, "largest_residual": residual})
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn count(number: usize) -> f64 {
    number as f64
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn count_u64(number: u64) -> f64 {
    number as f64
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
