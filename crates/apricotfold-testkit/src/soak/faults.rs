//! Generates the faults of a seed and injects them from outside the processes.

use std::time::{Duration, Instant};

use apricotfold_schema::settings::{LinkFault, StoreFault};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::soak_profile;
use crate::{Mesh, MeshLink};

/// Mean time between the starts of two faults. Faults last longer than this on average, so that
/// they overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// Range of fault durations in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4_000;

/// Longest wait for a node to exit after SIGTERM; covers the drain notice and grace period of the
/// soak's profile.
const STOP_TIMEOUT: Duration = Duration::from_secs(11);

/// Number of responses that the store drops in one fault.
const LOST_RESPONSES: u32 = 3;

/// Kind of fault. Node and target faults hold the index of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Kills a node with SIGKILL and restarts it at the end.
    KillNode(usize),
    /// Stops a node with SIGTERM and restarts it at the end.
    StopNode(usize),
    /// Suspends a node's process.
    PauseNode(usize),
    /// Kills a target with SIGKILL and restarts it at the end.
    KillTarget(usize),
    /// Suspends a target's process.
    PauseTarget(usize),
    /// Closes all connections to a node and refuses new ones.
    CutNode(usize),
    /// Holds back all data on connections to a node, in both directions.
    StallNode(usize),
    /// Drops data from a node to its peers after some bytes on each connection, without closing it.
    HalfOpenNode(usize),
    /// Delays data on connections to a node, in both directions.
    DelayNode(usize),
    /// The store does not respond.
    StoreAway,
    /// The store responds with a delay.
    StoreSlow,
    /// The store commits writes but drops the responses.
    StoreLosesAnswers,
    /// Closes all connections between the nodes and the store and refuses new ones.
    StoreCut,
    /// Publishes a new version of the profile with this timeout of the short routes, in
    /// milliseconds.
    Publish(u64),
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// Start of the fault, relative to the start of the injection.
    pub start: Duration,
    /// End of the fault, relative to the start of the injection.
    pub end: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Schedule of faults, ordered by start.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// Faults in the order in which they start; they may overlap.
    pub spans: Vec<FaultSpan>,
}

impl FaultPlan {
    /// Draws faults that begin within `length` for a mesh of `nodes` nodes. The same arguments give
    /// the same plan.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, nodes: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut spans = Vec::new();
        let mut start = Duration::ZERO;
        loop {
            start += MEAN_FAULT_INTERVAL.mul_f64(random.random_range(0.1..1.9));
            if start >= length {
                return Self { spans };
            }
            let span = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
            let kind = draw_kind(&mut random, nodes);
            let end = start + span;
            spans.push(FaultSpan { start, end, kind });
        }
    }

    /// Injects all faults and waits until each has ended. Returns the newest version for which a
    /// publish command reported success; 1 if there is none.
    pub async fn inject(&self, mesh: &mut Mesh) -> u64 {
        let started = Instant::now();
        let mut steps: Vec<(Duration, bool, FaultKind)> = Vec::new();
        for span in &self.spans {
            steps.push((span.start, true, span.kind));
            steps.push((span.end, false, span.kind));
        }
        steps.sort_by_key(|(at, ..)| *at);
        let mut accepted = 1;
        for (at, begins, kind) in steps {
            tokio::time::sleep_until((started + at).into()).await;
            log::info!("{at:?} {} {kind:?}", if begins { "begins" } else { "ends" });
            let version = if begins {
                begin_fault(mesh, kind).await
            } else {
                end_fault(mesh, kind).await
            };
            match version {
                Ok(version) => accepted = accepted.max(version),
                // A stand-in that is restarting does not accept faults; the fault is skipped.
                Err(error) => log::warn!("{kind:?}: {error}"),
            }
        }
        self.restart_stopped(mesh).await;
        accepted
    }

    /// Restarts nodes that received SIGTERM and were still draining at the end of their fault.
    async fn restart_stopped(&self, mesh: &mut Mesh) {
        for span in &self.spans {
            let FaultKind::StopNode(node) = span.kind else {
                continue;
            };
            let process = &mut mesh.nodes[node].process;
            // A process that has been restarted since then keeps running and does not exit.
            let ended = process.wait_exit(STOP_TIMEOUT).await.is_ok();
            if ended && let Err(error) = process.restart() {
                log::warn!("node {node} could not be restarted: {error}");
            }
        }
    }

    /// Returns whether a fault of a node's process or links overlaps a time span. The node may
    /// still be recovering for `margin` after the end of a fault, which counts as part of the
    /// fault.
    #[must_use]
    pub fn affects_node(
        &self,
        node: usize,
        from: Duration,
        until: Duration,
        margin: Duration,
    ) -> bool {
        self.spans.iter().any(|span| {
            span.kind.node() == Some(node) && span.start <= until && from <= span.end + margin
        })
    }
}

impl FaultKind {
    /// Returns the node whose process or links the fault affects; `None` for faults of targets and
    /// of the store, and for publishes.
    fn node(self) -> Option<usize> {
        match self {
            Self::KillNode(node)
            | Self::StopNode(node)
            | Self::PauseNode(node)
            | Self::CutNode(node)
            | Self::StallNode(node)
            | Self::HalfOpenNode(node)
            | Self::DelayNode(node) => Some(node),
            _ => None,
        }
    }
}

fn draw_kind(random: &mut StdRng, nodes: usize) -> FaultKind {
    let node = random.random_range(0..nodes);
    match random.random_range(0..14) {
        0 => FaultKind::KillNode(node),
        1 => FaultKind::StopNode(node),
        2 => FaultKind::PauseNode(node),
        3 => FaultKind::KillTarget(node),
        4 => FaultKind::PauseTarget(node),
        5 => FaultKind::CutNode(node),
        6 => FaultKind::StallNode(node),
        7 => FaultKind::HalfOpenNode(node),
        8 => FaultKind::DelayNode(node),
        9 => FaultKind::StoreAway,
        10 => FaultKind::StoreSlow,
        11 => FaultKind::StoreLosesAnswers,
        12 => FaultKind::StoreCut,
        _ => FaultKind::Publish(random.random_range(1_500..2_500)),
    }
}

/// Begins a fault. Returns the version if the fault is a publish that succeeded, and 0 otherwise.
async fn begin_fault(mesh: &mut Mesh, kind: FaultKind) -> eyre::Result<u64> {
    match kind {
        FaultKind::KillNode(node) => mesh.nodes[node].process.kill(),
        FaultKind::StopNode(node) => mesh.nodes[node].process.terminate(),
        FaultKind::PauseNode(node) => mesh.nodes[node].process.pause(),
        FaultKind::KillTarget(node) => {
            if let Some(target) = &mut mesh.nodes[node].target {
                target.kill();
            }
        }
        FaultKind::PauseTarget(node) => {
            if let Some(target) = &mesh.nodes[node].target {
                target.pause();
            }
        }
        FaultKind::StoreAway => store_fault(mesh, "outage", 0).await?,
        FaultKind::StoreSlow => store_fault(mesh, "slow", 0).await?,
        FaultKind::StoreLosesAnswers => store_fault(mesh, "lost-answer", LOST_RESPONSES).await?,
        FaultKind::Publish(timeout_ms) => return publish(mesh, timeout_ms).await,
        _ => set_links(mesh, kind, true).await?,
    }
    Ok(0)
}

async fn end_fault(mesh: &mut Mesh, kind: FaultKind) -> eyre::Result<u64> {
    match kind {
        FaultKind::KillNode(node) | FaultKind::StopNode(node) | FaultKind::PauseNode(node) => {
            let process = &mut mesh.nodes[node].process;
            process.resume();
            if !process.is_running() {
                process.restart()?;
            }
        }
        FaultKind::KillTarget(node) | FaultKind::PauseTarget(node) => {
            if let Some(target) = &mut mesh.nodes[node].target {
                target.resume();
                if !target.is_running() {
                    target.restart()?;
                }
            }
        }
        FaultKind::StoreAway | FaultKind::StoreSlow | FaultKind::StoreLosesAnswers => {
            mesh.clear_store_faults().await?;
        }
        FaultKind::Publish(_) => {}
        _ => set_links(mesh, kind, false).await?,
    }
    Ok(0)
}

async fn store_fault(mesh: &Mesh, kind: &str, count: u32) -> eyre::Result<()> {
    let fault = StoreFault {
        kind: kind.to_owned(),
        until_ms: 60_000,
        delay_ms: 300,
        count,
        ..StoreFault::default()
    };
    mesh.store_faults(&[fault]).await
}

async fn publish(mesh: &Mesh, timeout_ms: u64) -> eyre::Result<u64> {
    let output = mesh.publish(&soak_profile(timeout_ms), &[]).await?;
    if output.code != 0 {
        return Ok(0);
    }
    Ok(output.json()["version"].as_u64().unwrap_or_default())
}

async fn set_links(mesh: &Mesh, kind: FaultKind, active: bool) -> eyre::Result<()> {
    let mut to_upstream = LinkFault::default();
    let mut to_client = LinkFault::default();
    let mut links: Vec<&MeshLink> = Vec::new();
    match kind {
        FaultKind::StoreCut => links.extend(&mesh.links),
        other => links.extend(
            other
                .node()
                .map(|node| &mesh.nodes[node].links)
                .into_iter()
                .flatten(),
        ),
    }
    if active {
        match kind {
            FaultKind::StallNode(_) => (to_upstream.stall, to_client.stall) = (true, true),
            FaultKind::HalfOpenNode(_) => to_client.half_open_after = 2_000,
            FaultKind::DelayNode(_) => {
                (to_upstream.delay_ms, to_client.delay_ms) = (150, 150);
                to_client.jitter_ms = 100;
            }
            _ => (to_upstream.cut, to_client.cut) = (true, true),
        }
    }
    for link in links {
        mesh.link_faults(link, &to_upstream, &to_client).await?;
    }
    Ok(())
}
