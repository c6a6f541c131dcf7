//! Randomized soak test: injects overlapping faults into real processes on loopback addresses under
//! load and checks the product's guarantees. See `docs/proofs.md`.
//!
//! All random values derive from the seed, but the interleaving of processes does not. Reproducing
//! a failure may take several runs with the same seed and length.

mod checks;
mod faults;
mod load;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub use checks::{RunCounts, applied_versions, check_records, count_runs};
pub use faults::{FaultKind, FaultPlan, FaultSpan};
pub use load::{LoadKind, LoadRecord, SoakLoad};

use crate::{Mesh, MeshBuilder};

/// Region, data centre and service of each node. The callers call `press-room`; the first two nodes
/// have no target of it.
const PLACEMENTS: [(&str, &str, &str); 6] = [
    ("rs-gaucho", "poa-a", "parish-desk"),
    ("sc-litoral", "fln-a", "parish-desk"),
    ("rs-gaucho", "poa-a", "press-room"),
    ("rs-gaucho", "poa-b", "press-room"),
    ("sc-litoral", "fln-a", "press-room"),
    ("sc-litoral", "fln-b", "press-room"),
];

/// Indices of the nodes through which callers send.
pub const ENTRY_NODES: [usize; 2] = [0, 1];

/// Longest wait for the mesh to form; not a guarantee of the product.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the last fault within which the mesh must serve calls and have the newest version on
/// every node: the target of 5 s for a change, plus 10 s for leases and quarantines to expire.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Parameters of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct SoakRun {
    /// Seed of the faults; also part of the request ids.
    pub seed: u64,
    /// Time within which faults begin; faults may end later.
    pub length: Duration,
}

/// Results of a soak run.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Number of planned faults.
    pub faults: usize,
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of requests whose outcome is `ran`.
    pub answered: usize,
    /// Descriptions of violated guarantees; empty when the run passed.
    pub violations: Vec<String>,
    /// Folder with settings, logs and journals; kept only when there are violations.
    pub folder: Option<PathBuf>,
}

impl SoakRun {
    /// Starts a mesh, injects the faults of the seed and checks the guarantees.
    ///
    /// # Errors
    ///
    /// Returns an error when the mesh cannot be started or a caller panics; neither counts as a
    /// violation.
    pub async fn run(self) -> eyre::Result<SoakReport> {
        let mut mesh = start_mesh().await?;
        let plan = FaultPlan::draw(self.seed, self.length, mesh.nodes.len());
        let load = SoakLoad::start(&mesh, self.seed);
        let accepted = plan.inject(&mut mesh).await;
        let mut violations = check_recovery(&mesh, accepted).await;
        let records = load.stop().await?;
        violations.extend(check_records(&count_runs(&mesh), &plan, &records));
        for node in &mesh.nodes {
            let applied = applied_versions(&node.process.log_text());
            if !applied.is_sorted() {
                violations.push(format!(
                    "{} applied an older version: {applied:?}",
                    node.name
                ));
            }
        }
        let answered = records.iter().filter(|record| record.outcome == "ran");
        Ok(SoakReport {
            faults: plan.spans.len(),
            requests: records.len(),
            answered: answered.count(),
            folder: (!violations.is_empty()).then(|| mesh.keep_files()),
            violations,
        })
    }
}

async fn start_mesh() -> eyre::Result<Mesh> {
    let mut builder = MeshBuilder::new().distribution("peers").store_link();
    for (region, data_centre, service) in PLACEMENTS {
        builder = builder.node_with((region, data_centre), service, "almanac", |plan| {
            plan.linked = true;
            if let Some(target) = &mut plan.target {
                target.settings.short_ms = 20;
            }
        });
    }
    let mesh = builder.start().await?;
    mesh.wait_members(PLACEMENTS.len(), FORMATION_TIMEOUT)
        .await?;
    let output = mesh.publish(&soak_profile(2_000), &[]).await?;
    eyre::ensure!(output.code == 0, "{output:?}");
    mesh.wait_version(1, FORMATION_TIMEOUT).await?;
    Ok(mesh)
}

/// Returns the soak's profile. Its versions differ in the timeout of the short routes.
pub(crate) fn soak_profile(timeout_ms: u64) -> Value {
    json!({
        "name": "almanac",
        "listeners": ["callers"],
        "secrets": ["mesh-token"],
        "clusters": [
            {"name": "desk", "service": "parish-desk"},
            {"name": "press", "service": "press-room"}
        ],
        "routes": [
            {"name": "orders", "listener": "callers", "path_prefix": "/orders",
             "methods": ["POST"], "cluster": "press", "timeout_ms": timeout_ms, "require_key": true},
            {"name": "downloads", "listener": "callers", "path_prefix": "/download",
             "cluster": "press", "class": "long", "timeout_ms": load::DOWNLOAD_TIMEOUT.as_millis(),
             "idempotent": true},
            {"name": "pages", "listener": "callers", "path_prefix": "/pages",
             "cluster": "press", "timeout_ms": timeout_ms, "idempotent": true},
            {"name": "work", "listener": "callers", "path_prefix": "/",
             "cluster": "press", "timeout_ms": timeout_ms}
        ],
        "retries": {"max_attempts": 3, "budget_percent": 20},
        "drain": {"notice_ms": 500, "grace_ms": 10_000}
    })
}

/// Checks that the mesh, after the last fault, serves calls through each entry node and has applied
/// the newest accepted version. Returns the violations.
async fn check_recovery(mesh: &Mesh, accepted: u64) -> Vec<String> {
    let started = Instant::now();
    let mut violations = Vec::new();
    for entry in ENTRY_NODES {
        while !serves_calls(mesh, entry).await {
            if started.elapsed() > RECOVERY_TIMEOUT {
                violations.push(format!(
                    "entry node {entry} does not serve calls after the faults"
                ));
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let left = RECOVERY_TIMEOUT.saturating_sub(started.elapsed());
    if let Err(error) = mesh.wait_version(accepted, left).await {
        violations.push(format!(
            "version {accepted} is not applied on every node: {error}"
        ));
    }
    violations
}

async fn serves_calls(mesh: &Mesh, entry: usize) -> bool {
    let reply = mesh.call(entry, "/pages/recovered").await;
    reply.is_ok_and(|reply| reply.outcome == "ran")
}
