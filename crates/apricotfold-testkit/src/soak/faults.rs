//! The faults of one seed, and how they are injected from outside the processes.

use std::time::{Duration, Instant};

use apricotfold_schema::settings::{LinkFault, StoreFault};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::soak_profile;
use crate::{Mesh, MeshLink};

/// Mean time between the starts of two faults; each lasts longer than that on average, so that
/// they overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// Bounds of the time that a fault lasts, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4_000;

/// Time within which a node that was told to stop has ended: the profile's drain grace and notice.
const STOP_TIMEOUT: Duration = Duration::from_secs(11);

/// Answers that the store loses in one fault.
const LOST_RESPONSES: u32 = 3;

/// What is injected. Numbers are those of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A node's process is killed, and started again at the end.
    KillNode(usize),
    /// A node's process is told to stop, and started again at the end.
    StopNode(usize),
    /// A node's process is frozen.
    PauseNode(usize),
    /// A target's process is killed, and started again at the end.
    KillTarget(usize),
    /// A target's process is frozen.
    PauseTarget(usize),
    /// Connections to a node are reset and refused.
    CutNode(usize),
    /// Connections to a node go silent.
    StallNode(usize),
    /// Bytes to a node are lost after some, without a reset, in one direction.
    HalfOpenNode(usize),
    /// Bytes to and from a node are late.
    DelayNode(usize),
    /// The store answers nobody.
    StoreAway,
    /// The store answers late.
    StoreSlow,
    /// The store carries writes out and loses the answers.
    StoreLosesAnswers,
    /// The store cannot be reached by the nodes.
    StoreCut,
    /// The operator publishes another version.
    Publish(u64),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// Time from the start of the faults to this one.
    pub start: Duration,
    /// Time from the start of the faults to the end of this one.
    pub end: Duration,
    /// What is injected.
    pub kind: FaultKind,
}

/// The faults of one seed in the order of their starts.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// The faults.
    pub spans: Vec<FaultSpan>,
}

impl FaultPlan {
    /// Draws the faults that begin within `length`.
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

    /// Injects and ends all faults. Returns the newest version that a publish was told to be
    /// accepted.
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
                // A stand-in that is being restarted cannot be told; the fault is then left out.
                Err(error) => log::warn!("{kind:?}: {error}"),
            }
        }
        self.restart_stopped(mesh).await;
        accepted
    }

    /// Starts nodes again that were told to stop and were still finishing their work at the end of
    /// the fault.
    async fn restart_stopped(&self, mesh: &mut Mesh) {
        for span in &self.spans {
            let FaultKind::StopNode(node) = span.kind else {
                continue;
            };
            let process = &mut mesh.nodes[node].process;
            // A process that was started again since then goes on running.
            let ended = process.wait_exit(STOP_TIMEOUT).await.is_ok();
            if ended && let Err(error) = process.restart() {
                log::warn!("node {node} is not started again: {error}");
            }
        }
    }

    /// Tells whether a fault of the process or the links of a node touches a span of time, with a
    /// margin after its end in which the node may still be recovering.
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
    /// The node whose process or links the fault concerns.
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

/// Begins a fault. Returns the version that a publish was told to be accepted, or 0.
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
