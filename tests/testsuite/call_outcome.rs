//! Outcome that a caller gets when a process or a connection on the path of its request fails.

use std::time::Duration;

use apricotfold_schema::settings::LinkFault;
use apricotfold_testkit::MeshBuilder;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::Method;

use crate::call_support::{
    CallMesh, CallRecord, PROCESS_LIMIT, check_records, count_outcome, linked, record_call,
    start_calls,
};
use crate::support::{POA_A, POA_B};

/// Number of calls in flight at each failure.
const CALLS: usize = 4;
/// Duration of each call, in milliseconds. Failures occur within it or up to 20 ms later.
const WORK_MS: u64 = 60;

/// Failure that is injected while calls are in flight.
#[derive(Clone, Copy)]
enum Failure {
    Target,
    TargetNode,
    EntryNode,
    Cut,
    Stall,
    FrozenTarget,
}

async fn start_mesh() -> eyre::Result<CallMesh> {
    let builder = MeshBuilder::new()
        .node(POA_A, "parish-desk", "almanac")
        .node_with(POA_A, "press-room", "almanac", linked)
        .node_with(POA_B, "press-room", "almanac", linked);
    start_calls(builder).await
}

impl Failure {
    /// Returns the number of rounds, each with one failure. Slow recoveries get fewer rounds: it
    /// takes seconds until the other nodes know a restarted node again.
    fn rounds(self) -> usize {
        match self {
            Self::TargetNode | Self::EntryNode | Self::FrozenTarget => 4,
            Self::Target | Self::Cut | Self::Stall => 8,
        }
    }

    async fn start(self, mesh: &mut CallMesh, node: usize) -> eyre::Result<()> {
        match self {
            Self::Target => mesh.nodes[node].target.as_mut().expect("a target").kill(),
            Self::TargetNode => mesh.nodes[node].process.kill(),
            Self::EntryNode => mesh.nodes[0].process.kill(),
            Self::FrozenTarget => mesh.nodes[node].target.as_ref().expect("a target").pause(),
            Self::Cut => set_mesh_link(mesh, node, |fault| fault.cut = true).await?,
            Self::Stall => set_mesh_link(mesh, node, |fault| fault.stall = true).await?,
        }
        Ok(())
    }

    async fn end(self, mesh: &mut CallMesh, node: usize) -> eyre::Result<()> {
        match self {
            Self::Target => mesh.restart_target(node, 0).await?,
            Self::TargetNode => mesh.nodes[node].process.restart()?,
            Self::EntryNode => mesh.nodes[0].process.restart()?,
            Self::FrozenTarget => mesh.nodes[node].target.as_ref().expect("a target").resume(),
            Self::Cut | Self::Stall => set_mesh_link(mesh, node, |_| {}).await?,
        }
        let applied =
            |status: &serde_json::Value| status["ready"] == true && status["applied_version"] == 1;
        for node in 0..mesh.nodes.len() {
            mesh.wait_status(node, PROCESS_LIMIT, applied).await?;
        }
        mesh.wait_targets(0, "press-room", 2).await?;
        Ok(())
    }
}

async fn set_mesh_link(
    mesh: &CallMesh,
    node: usize,
    change: impl FnOnce(&mut LinkFault),
) -> eyre::Result<()> {
    let mut fault = LinkFault::default();
    change(&mut fault);
    let link = &mesh.nodes[node].links[1];
    mesh.link_faults(link, &fault, &fault).await
}

/// Injects the failure at a random moment of each round and returns the results of all calls.
async fn run_rounds(
    mesh: &mut CallMesh,
    failure: Failure,
    path: &str,
    seed: u64,
) -> eyre::Result<Vec<CallRecord>> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut records = Vec::new();
    for round in 0..failure.rounds() {
        let node = random.random_range(1..=2);
        let calls: Vec<_> = (0..CALLS)
            .map(|call| {
                let id = format!("{seed}-{round}-{call}");
                // Each path is unique: a request that is in flight during two crashes is refused.
                let path = format!("{path}&call={id}");
                let request = mesh.request(Method::POST, 0, &path, &id);
                tokio::spawn(record_call(id, request))
            })
            .collect();
        let delay = Duration::from_millis(random.random_range(0..WORK_MS + 20));
        tokio::time::sleep(delay).await;
        failure.start(mesh, node).await?;
        for call in calls {
            records.push(call.await?);
        }
        failure.end(mesh, node).await?;
    }
    Ok(records)
}

async fn check_failure(failure: Failure, seed: u64) -> eyre::Result<Vec<CallRecord>> {
    let mut mesh = start_mesh().await?;
    let work = format!("/work?ms={WORK_MS}");
    let once = run_rounds(&mut mesh, failure, &work, seed).await?;
    let pages = run_rounds(&mut mesh, failure, "/pages?day=1", seed + 1).await?;
    check_records(&mesh, &once, false);
    check_records(&mesh, &pages, true);
    Ok(once)
}

/// Guards against a wrong outcome, a duplicate execution or a caller without a response when
/// targets are killed before, during and after a request.
#[tokio::test]
async fn killed_target() -> eyre::Result<()> {
    let records = check_failure(Failure::Target, 100).await?;
    assert_eq!(
        count_outcome(&records, ""),
        0,
        "the entry node is running: {records:?}"
    );
    Ok(())
}

/// Guards against a wrong outcome, a duplicate execution or a caller without a response when the
/// target's node is killed.
#[tokio::test]
async fn killed_target_node() -> eyre::Result<()> {
    let records = check_failure(Failure::TargetNode, 200).await?;
    assert_eq!(
        count_outcome(&records, ""),
        0,
        "the entry node is running: {records:?}"
    );
    Ok(())
}

/// Guards against a caller that waits without end, or a duplicate execution, when the entry node is
/// killed.
#[tokio::test]
async fn killed_entry_node() -> eyre::Result<()> {
    check_failure(Failure::EntryNode, 300).await?;
    Ok(())
}

/// Guards against `not-run` for a request that had crossed the link between two nodes before the
/// link was cut.
#[tokio::test]
async fn cut_link() -> eyre::Result<()> {
    let records = check_failure(Failure::Cut, 400).await?;
    assert_eq!(
        count_outcome(&records, ""),
        0,
        "the entry node is running: {records:?}"
    );
    Ok(())
}

/// Guards against a caller that waits beyond its route's timeout when a link stalls all data, and
/// against `not-run` for a request that the link delivers later.
#[tokio::test]
async fn stalled_link() -> eyre::Result<()> {
    let records = check_failure(Failure::Stall, 500).await?;
    assert_eq!(
        count_outcome(&records, ""),
        0,
        "the entry node is running: {records:?}"
    );
    Ok(())
}

/// Guards against a caller that waits beyond its route's timeout for a frozen target, and against
/// `not-run` for a request that the target executes once it resumes.
#[tokio::test]
async fn frozen_target() -> eyre::Result<()> {
    let records = check_failure(Failure::FrozenTarget, 600).await?;
    assert_eq!(
        count_outcome(&records, ""),
        0,
        "the entry node is running: {records:?}"
    );
    Ok(())
}
