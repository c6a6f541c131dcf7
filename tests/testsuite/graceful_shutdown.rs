//! A graceful shutdown interrupts no request in flight.

use std::time::Duration;

use apricotfold_testkit::MeshBuilder;
use reqwest::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::call_support::{
    CallMesh, CallRecord, ConstantLoad, PROCESS_LIMIT, record_call, start_calls,
};
use crate::support::{POA_A, POA_B};

/// Number of calls of each kind in flight when a process is terminated.
const CALLS: usize = 6;
/// Size and duration of the downloads.
const DOWNLOAD_BYTES: usize = 300_000;
const DOWNLOAD_MS: u64 = 1_500;
/// Size of the download of a slow caller, larger than the kernel's socket buffers.
const SLOW_BYTES: usize = 12_000_000;

async fn start_mesh() -> eyre::Result<CallMesh> {
    let slow = |plan: &mut apricotfold_testkit::NodePlan| {
        let target = plan.target.as_mut().expect("a target");
        target.settings.short_ms = 200;
    };
    let builder = MeshBuilder::new()
        .node(POA_A, "parish-desk", "almanac")
        .node_with(POA_A, "press-room", "almanac", slow)
        .node_with(POA_B, "press-room", "almanac", slow);
    start_calls(builder).await
}

/// Starts short calls, downloads and keyed orders through node 0 and waits until targets run them
/// all.
async fn start_work(mesh: &CallMesh) -> eyre::Result<Vec<JoinHandle<CallRecord>>> {
    let mut calls = Vec::new();
    let download = format!("/download?bytes={DOWNLOAD_BYTES}&ms={DOWNLOAD_MS}");
    for number in 0..CALLS {
        let ids = ["download", "order", "short"].map(|kind| format!("{kind}-{number}"));
        let [long, order, short] = &ids;
        let requests = [
            mesh.request(Method::GET, 0, &download, long),
            mesh.keyed(0, order),
            mesh.request(Method::POST, 0, "/work?ms=300", short),
        ];
        for (id, request) in ids.iter().zip(requests) {
            calls.push(tokio::spawn(record_call(id.clone(), request)));
        }
    }
    for number in 0..CALLS {
        for kind in ["download", "order", "short"] {
            let id = format!("{kind}-{number}");
            if let Err(error) = mesh.wait_started(&id).await {
                return Err(error.wrap_err(describe_calls(mesh, calls).await));
            }
        }
    }
    Ok(calls)
}

/// Describes the results of the calls and appends the log of their entry node.
async fn describe_calls(mesh: &CallMesh, calls: Vec<JoinHandle<CallRecord>>) -> String {
    let mut lines = Vec::new();
    for call in calls {
        let Ok(record) = call.await else {
            continue;
        };
        let reported = record.reply.as_ref();
        let reported = reported.map(|reply| (reply.status, &reply.outcome, &reply.reason));
        lines.push(format!(
            "{} {reported:?} after {:?}",
            record.id, record.elapsed
        ));
    }
    lines.push(mesh.nodes[0].process.log_text());
    lines.join("\n")
}

/// Checks that every call in flight got a complete response.
async fn check_work(calls: Vec<JoinHandle<CallRecord>>) -> eyre::Result<()> {
    for call in calls {
        let record = call.await?;
        let reply = record
            .reply
            .map_err(|error| eyre::eyre!("{}: {error}", record.id))?;
        assert_eq!(reply.outcome, "ran", "{}: {}", record.id, reply.reason);
        if record.id.starts_with("download") {
            assert!(reply.body.len() > DOWNLOAD_BYTES, "{}: cut", record.id);
        }
    }
    Ok(())
}

/// Checks that every call of the load got a response that was not cut off.
async fn check_load(load: ConstantLoad) -> eyre::Result<()> {
    for timed in load.stop().await? {
        let reported = timed.record.outcome();
        assert!(reported == "ran" || reported == "not-run", "cut: {timed:?}");
    }
    Ok(())
}

/// Processes that are terminated: a target, its node, or both.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stopped {
    Target,
    Node,
    Both,
}

async fn check_stop(stopped: Stopped) -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let load = ConstantLoad::start(&mesh, &[0], "/pages/today");
    let calls = start_work(&mesh).await?;
    let node = &mut mesh.nodes[1];
    if stopped != Stopped::Node {
        node.target.as_ref().expect("a target").terminate();
    }
    if stopped != Stopped::Target {
        node.process.terminate();
    }
    if stopped != Stopped::Node {
        let target = node.target.as_mut().expect("a target");
        let status = target.wait_exit(PROCESS_LIMIT).await?;
        assert_eq!(status.code(), Some(0), "target: {}", target.log_text());
    }
    if stopped != Stopped::Target {
        let status = node.process.wait_exit(PROCESS_LIMIT).await?;
        assert_eq!(status.code(), Some(0), "node: {}", node.process.log_text());
    }
    check_work(calls).await?;
    check_load(load).await
}

/// Guards against calls that are interrupted when a target shuts down.
#[tokio::test]
async fn target_stops() -> eyre::Result<()> {
    check_stop(Stopped::Target).await
}

/// Guards against calls that are interrupted when the node of their target shuts down.
#[tokio::test]
async fn node_stops() -> eyre::Result<()> {
    check_stop(Stopped::Node).await
}

/// Guards against calls that are interrupted when a target and its node shut down together.
#[tokio::test]
async fn both_stop() -> eyre::Result<()> {
    check_stop(Stopped::Both).await
}

/// Guards against calls that are interrupted when their entry node shuts down.
#[tokio::test]
async fn entry_stops() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let calls = start_work(&mesh).await?;
    mesh.nodes[0].process.terminate();
    let status = mesh.nodes[0].process.wait_exit(PROCESS_LIMIT).await?;
    assert_eq!(status.code(), Some(0));
    check_work(calls).await
}

/// Guards against a node that exits while the last bytes of a response are still buffered for a
/// caller that reads slowly.
#[tokio::test]
async fn slow_caller() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let address = mesh.nodes[0].caller_url.trim_start_matches("http://");
    let mut stream = TcpStream::connect(address).await?;
    let head = "host: node\r\nx-request-id: slow\r\nconnection: close\r\n";
    let request = format!("GET /download?bytes={SLOW_BYTES}&ms=0 HTTP/1.1\r\n{head}\r\n");
    stream.write_all(request.as_bytes()).await?;
    mesh.wait_started("slow").await?;
    mesh.nodes[0].process.terminate();
    let mut answer = Vec::new();
    let mut piece = vec![0; 64 * 1024];
    loop {
        let count = stream.read(&mut piece).await?;
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&piece[..count]);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    assert!(
        answer.len() > SLOW_BYTES,
        "cut after {} bytes",
        answer.len()
    );
    assert!(
        answer.ends_with(b"\r\n0\r\n\r\n"),
        "the final chunk is missing"
    );
    let status = mesh.nodes[0].process.wait_exit(PROCESS_LIMIT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}
