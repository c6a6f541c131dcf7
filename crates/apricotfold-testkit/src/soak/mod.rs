//! A randomized soak: real processes on loopback addresses, faults that overlap, and callers that
//! check the promises of the product while it runs. See `docs/proofs.md`.
//!
//! Everything random comes from the seed; the interleaving of processes does not, so a failing seed
//! may have to be run again with the same length.

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

/// Places of the nodes; the first two have no target of the service that is called.
const PLACEMENTS: [(&str, &str, &str); 6] = [
    ("rs-gaucho", "poa-a", "parish-desk"),
    ("sc-litoral", "fln-a", "parish-desk"),
    ("rs-gaucho", "poa-a", "press-room"),
    ("rs-gaucho", "poa-b", "press-room"),
    ("sc-litoral", "fln-a", "press-room"),
    ("sc-litoral", "fln-b", "press-room"),
];

/// Nodes through which callers send.
pub const ENTRY_NODES: [usize; 2] = [0, 1];

/// Time that a mesh gets to form; not a promise of the product.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time within which a repaired mesh serves again and has the newest version everywhere. Five
/// seconds are the target for a change; ten more cover leases and exclusions that must lapse.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// One run of the soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakRun {
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Time during which faults begin.
    pub length: Duration,
}

/// What a run saw.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Faults that were injected.
    pub faults: usize,
    /// Requests that were sent.
    pub requests: usize,
    /// Requests that were answered by a target.
    pub answered: usize,
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Folder with settings, logs and journals, kept when a promise was broken.
    pub folder: Option<PathBuf>,
}

impl SoakRun {
    /// Starts a mesh, injects the faults of the seed and checks the promises.
    ///
    /// # Errors
    ///
    /// Returns an error when the mesh cannot be started, which says nothing about the product.
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
                violations.push(format!("{} went back: {applied:?}", node.name));
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

/// Profile with the timeout of the short routes, by which versions differ.
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

/// Checks that the repaired mesh serves through each entry and has the newest accepted version.
async fn check_recovery(mesh: &Mesh, accepted: u64) -> Vec<String> {
    let started = Instant::now();
    let mut violations = Vec::new();
    for entry in ENTRY_NODES {
        while !serves_calls(mesh, entry).await {
            if started.elapsed() > RECOVERY_TIMEOUT {
                violations.push(format!("entry {entry} does not serve after the repair"));
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let left = RECOVERY_TIMEOUT.saturating_sub(started.elapsed());
    if let Err(error) = mesh.wait_version(accepted, left).await {
        violations.push(format!("version {accepted} is not in force: {error}"));
    }
    violations
}

async fn serves_calls(mesh: &Mesh, entry: usize) -> bool {
    let reply = mesh.call(entry, "/pages/recovered").await;
    reply.is_ok_and(|reply| reply.outcome == "ran")
}
