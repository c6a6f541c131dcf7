//! A target that leaves, or whose node leaves, receives no new work after a few seconds.

use std::time::Instant;

use apricotfold_schema::settings::LinkFault;
use apricotfold_testkit::MeshBuilder;
use reqwest::Method;
use tokio::task::JoinHandle;

use crate::call_support::{
    ANSWER_LIMIT, CallMesh, CallRecord, ConstantLoad, DRAIN_LIMIT, TimedRecord, linked,
    record_call, start_calls, wall_clock_ms,
};
use crate::support::{FLN_A, POA_A, POA_B};

/// Time of the downloads that keep the leaving target alive beyond the limit. The route allows 5 s.
const DOWNLOAD_PATH: &str = "/download?bytes=50000&ms=4500";
/// Long work that the target of the entry node's data centre runs at once.
const DOWNLOADS: usize = 4;
/// Entry nodes of the load.
const ENTRIES: [usize; 2] = [0, 3];

async fn start_mesh() -> eyre::Result<CallMesh> {
    let builder = MeshBuilder::new()
        .node_with(POA_A, "parish-desk", "almanac", linked)
        .node_with(POA_A, "press-room", "almanac", linked)
        .node_with(POA_B, "press-room", "almanac", linked)
        .node_with(FLN_A, "parish-desk", "almanac", linked);
    start_calls(builder).await
}

/// Starts downloads and returns the node of a target that runs one of them.
async fn occupy_target(mesh: &CallMesh) -> eyre::Result<(usize, Vec<JoinHandle<CallRecord>>)> {
    let start = |number| {
        let id = format!("download-{number}");
        let request = mesh.request(Method::GET, 0, DOWNLOAD_PATH, &id);
        tokio::spawn(record_call(id, request))
    };
    let downloads = (0..DOWNLOADS).map(start).collect();
    Ok((mesh.wait_started("download-0").await?, downloads))
}

/// Whether calls that are sent after the limit must run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Service {
    Continues,
    MayStop,
}

/// Waits out the limit under load, then checks that the target got no new work after it and that
/// every caller had a true answer in time.
async fn check_drain(
    mesh: &CallMesh,
    node: usize,
    left_ms: u64,
    load: ConstantLoad,
    service: Service,
) -> eyre::Result<()> {
    let left = Instant::now();
    tokio::time::sleep(DRAIN_LIMIT * 2).await;
    let records = load.stop().await?;
    let limit_ms = left_ms + u64::try_from(DRAIN_LIMIT.as_millis())?;
    let lines = mesh.journal_lines(node);
    let starts = lines.iter().filter(|line| line["event"] == "started");
    let late: Vec<_> = starts
        .filter(|line| line["at_ms"].as_u64() > Some(limit_ms))
        .collect();
    assert!(late.is_empty(), "new work: {late:?}");
    let started = mesh.started();
    for TimedRecord { sent, record } in &records {
        assert!(record.elapsed < ANSWER_LIMIT, "left waiting: {record:?}");
        assert_ne!(record.outcome(), "", "no answer: {record:?}");
        let untrue = record.outcome() == "not-run" && started.contains_key(&record.id);
        assert!(!untrue, "it ran: {record:?}");
        let late = sent.duration_since(left) > DRAIN_LIMIT;
        if late && service == Service::Continues {
            assert_eq!(record.outcome(), "ran", "{record:?}");
        }
    }
    Ok(())
}

/// Checks that the downloads that were in flight have ended whole.
async fn check_downloads(downloads: Vec<JoinHandle<CallRecord>>) -> eyre::Result<()> {
    for download in downloads {
        let record = download.await?;
        let reply = record.reply.map_err(|error| eyre::eyre!(error))?;
        assert_eq!(reply.outcome, "ran", "{}: {}", record.id, reply.reason);
        assert!(reply.body.len() > 50_000, "{}: cut", record.id);
    }
    Ok(())
}

/// Guards against new work for a target that was told to leave and still finishes a download.
#[tokio::test]
async fn leaving_target() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let load = ConstantLoad::start(&mesh, &ENTRIES, "/pages/today");
    let (node, downloads) = occupy_target(&mesh).await?;
    mesh.nodes[node]
        .target
        .as_ref()
        .expect("a target")
        .terminate();
    check_drain(&mesh, node, wall_clock_ms(), load, Service::Continues).await?;
    check_downloads(downloads).await
}

/// Guards against callers that wait for a target that was killed, and against calls that are lost
/// long after it.
#[tokio::test]
async fn killed_target() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let load = ConstantLoad::start(&mesh, &ENTRIES, "/pages/today");
    mesh.wait_started("load-20").await?;
    mesh.nodes[1].target.as_mut().expect("a target").kill();
    check_drain(&mesh, 1, wall_clock_ms(), load, Service::Continues).await
}

/// Guards against new work for a target whose node was told to drain.
#[tokio::test]
async fn drained_node() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let load = ConstantLoad::start(&mesh, &ENTRIES, "/pages/today");
    let (node, downloads) = occupy_target(&mesh).await?;
    let url = format!("{}/v1/drain", mesh.nodes[node].admin_url);
    mesh.client.post(url).send().await?.error_for_status()?;
    check_drain(&mesh, node, wall_clock_ms(), load, Service::Continues).await?;
    check_downloads(downloads).await
}

async fn check_lost_update(cut: &[usize], service: Service) -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let load = ConstantLoad::start(&mesh, &ENTRIES, "/pages/today");
    let (node, downloads) = occupy_target(&mesh).await?;
    let fault = LinkFault {
        cut: true,
        ..LinkFault::default()
    };
    for node in cut {
        let link = &mesh.nodes[*node].links[0];
        mesh.link_faults(link, &fault, &fault).await?;
    }
    mesh.nodes[node]
        .target
        .as_ref()
        .expect("a target")
        .terminate();
    check_drain(&mesh, node, wall_clock_ms(), load, service).await?;
    check_downloads(downloads).await
}

/// Guards against new work for a leaving target when the control link of an entry node is cut.
#[tokio::test]
async fn cut_entry_link() -> eyre::Result<()> {
    check_lost_update(&[3], Service::MayStop).await
}

/// Guards against new work for a leaving target when no node hears that it leaves.
#[tokio::test]
async fn cut_control_links() -> eyre::Result<()> {
    check_lost_update(&[0, 1, 2, 3], Service::MayStop).await
}
