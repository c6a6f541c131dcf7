//! Each caller gets the complete response to its own request, or an error.

use std::time::Duration;

use apricotfold_schema::settings::LinkFault;
use apricotfold_testkit::MeshBuilder;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::call_support::{
    ANSWER_LIMIT, CallMesh, CallRecord, DOWNLOAD_TIMEOUT, PROCESS_LIMIT, count_outcome, linked,
    record_call, start_calls, wait_until,
};
use crate::support::{POA_A, POA_B};

/// Number of concurrent callers.
const CALLERS: usize = 40;
/// Size of a download and the time in which the target sends it.
const DOWNLOAD_BYTES: usize = 400_000;
const DOWNLOAD_MS: u64 = 800;
/// Period of the byte pattern that the target stand-in sends.
const CONTENT_PERIOD: usize = 251;
/// Length of the checksum line after the content.
const CHECKSUM_BYTES: usize = "\nsha256:\n".len() + 64;

async fn start_mesh() -> eyre::Result<CallMesh> {
    let builder = MeshBuilder::new()
        .node(POA_A, "parish-desk", "almanac")
        .node_with(POA_A, "press-room", "almanac", linked)
        .node_with(POA_B, "press-room", "almanac", linked);
    start_calls(builder).await
}

fn download_path(bytes: usize, time: u64) -> String {
    format!("/download?bytes={bytes}&ms={time}")
}

/// Checks that a body is the complete content of a download of `bytes`.
fn check_download(body: &[u8], bytes: usize) {
    assert_eq!(body.len(), bytes + CHECKSUM_BYTES, "incomplete response");
    let (content, checksum) = body.split_at(bytes);
    let right = |(index, byte): (usize, &u8)| usize::from(*byte) == index % CONTENT_PERIOD;
    assert!(content.iter().enumerate().all(right), "corrupted content");
    assert!(checksum.starts_with(b"\nsha256:"), "{checksum:?}");
}

/// Starts downloads through node 0.
fn start_downloads(mesh: &CallMesh, count: usize) -> Vec<tokio::task::JoinHandle<CallRecord>> {
    let path = download_path(DOWNLOAD_BYTES, DOWNLOAD_MS);
    let start = |number| {
        let id = format!("download-{number}");
        let request = mesh.request(Method::GET, 0, &path, &id);
        tokio::spawn(record_call(id, request))
    };
    (0..count).map(start).collect()
}

/// Waits for downloads and checks that each is complete or failed within the route's timeout.
async fn check_downloads(
    calls: Vec<tokio::task::JoinHandle<CallRecord>>,
) -> eyre::Result<Vec<CallRecord>> {
    let mut records = Vec::new();
    for call in calls {
        let record = call.await?;
        let limit = DOWNLOAD_TIMEOUT + ANSWER_LIMIT / 2;
        assert!(record.elapsed < limit, "{:?}", record.elapsed);
        if let Ok(reply) = &record.reply
            && reply.outcome == "ran"
        {
            check_download(&reply.body, DOWNLOAD_BYTES);
        }
        records.push(record);
    }
    Ok(records)
}

/// Guards against responses that are swapped between callers or truncated when many are in flight
/// and complete out of order.
#[tokio::test]
async fn many_callers() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let mut random = StdRng::seed_from_u64(11);
    for round in 0..5 {
        let calls: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let body = format!("{round}-{caller};").repeat(random.random_range(1..20_000));
                let request = mesh.client.post(mesh.url(0, "/echo"));
                let request = request.body(body.clone());
                let id = format!("echo-{round}-{caller}");
                let call = record_call(id, request);
                tokio::spawn(async move { (body, call.await) })
            })
            .collect();
        let bytes = random.random_range(1..DOWNLOAD_BYTES);
        let path = download_path(bytes, 50);
        let download = mesh.request(Method::GET, 0, &path, "mixed");
        let download = tokio::spawn(record_call("mixed".to_owned(), download));
        for call in calls {
            let (body, record) = call.await?;
            let reply = record.reply.map_err(|error| eyre::eyre!(error))?;
            assert_eq!(reply.outcome, "ran", "{}", reply.reason);
            assert!(
                reply.body == body.as_bytes(),
                "{}: wrong response",
                record.id
            );
        }
        let reply = download.await?.reply.map_err(|error| eyre::eyre!(error))?;
        check_download(&reply.body, bytes);
    }
    Ok(())
}

/// Guards against a truncated download that looks complete after its target was killed.
#[tokio::test]
async fn killed_target() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let calls = start_downloads(&mesh, 8);
    let node = mesh.wait_started("download-0").await?;
    tokio::time::sleep(Duration::from_millis(DOWNLOAD_MS / 2)).await;
    mesh.nodes[node].target.as_mut().expect("a target").kill();
    let records = check_downloads(calls).await?;
    assert!(count_outcome(&records, "") > 0, "no download was cut");
    Ok(())
}

async fn fail_links(change: impl Fn(&mut LinkFault)) -> eyre::Result<Vec<CallRecord>> {
    let mesh = start_mesh().await?;
    let calls = start_downloads(&mesh, 8);
    mesh.wait_started("download-0").await?;
    tokio::time::sleep(Duration::from_millis(DOWNLOAD_MS / 2)).await;
    let mut fault = LinkFault::default();
    change(&mut fault);
    for node in [1, 2] {
        let link = &mesh.nodes[node].links[1];
        mesh.link_faults(link, &LinkFault::default(), &fault)
            .await?;
    }
    check_downloads(calls).await
}

/// Guards against a truncated download that looks complete when the connection between two nodes is
/// cut.
#[tokio::test]
async fn cut_link() -> eyre::Result<()> {
    let records = fail_links(|fault| fault.cut = true).await?;
    assert!(count_outcome(&records, "") > 0, "no download was cut");
    Ok(())
}

/// Guards against a caller that waits beyond its route's timeout for the rest of a response, or
/// gets a truncated one that looks complete, when the connection between two nodes is half-open: it
/// stays open and delivers nothing.
#[tokio::test]
async fn half_open_link() -> eyre::Result<()> {
    let records = fail_links(|fault| fault.half_open_after = 1).await?;
    assert!(count_outcome(&records, "") > 0, "no download was cut");
    Ok(())
}

/// Sends raw bytes to node 0, closes the sending side if `close` is set, and returns the response.
/// It is empty when the connection ends without one.
async fn send_raw(mesh: &CallMesh, text: &str, close: bool) -> eyre::Result<String> {
    let address = mesh.nodes[0].caller_url.trim_start_matches("http://");
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(text.as_bytes()).await?;
    if close {
        stream.shutdown().await?;
    }
    let mut answer = vec![0; 4096];
    let read = tokio::time::timeout(ANSWER_LIMIT, stream.read(&mut answer)).await;
    let count = read.map_err(|_| eyre::eyre!("no answer to {text:?}"))?;
    // A connection reset counts as an end without a response.
    answer.truncate(count.unwrap_or(0));
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Guards against a malformed or truncated request that is executed or reported as executed, and
/// against a caller that gets neither an error nor a closed connection.
#[tokio::test]
async fn broken_requests() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let head = "host: node\r\nx-request-id: broken\r\n";
    let requests = [
        format!("POST /echo HTTP/1.1\r\n{head}content-length: 1000\r\n\r\nshort"),
        format!("POST /echo HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n"),
        format!("POST /echo HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\nzz\r\nshort\r\n"),
        format!("POST /echo HTTP/1.1\r\n{head}content-length: 5\r\ncontent-length: 6\r\n\r\nshort"),
        format!("POST /echo HTTP/1.1\r\n{head}content-length: five\r\n\r\nshort"),
        format!("POST /echo HTTP/9.9\r\n{head}\r\n"),
        format!("POST echo\r\n{head}\r\n"),
    ];
    for request in &requests {
        let answer = send_raw(&mesh, request, true).await?;
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(refused, "{request:?}: {answer}");
        let claims_run = answer.contains("apricotfold-outcome: ran");
        assert!(!claims_run, "{request:?}: {answer}");
    }
    let reply = mesh.call(0, "/echo").await?;
    assert_eq!(reply.outcome, "ran", "the node still serves");
    assert!(
        !mesh.started().contains_key("broken"),
        "a broken request ran"
    );
    Ok(())
}

/// Guards against a request that waits without end for the rest of its body, which would also block
/// the drain of its node.
#[tokio::test]
async fn stalled_body() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let head = "host: node\r\nx-request-id: stalled\r\ncontent-length: 1000\r\n";
    let request = format!("POST /echo HTTP/1.1\r\n{head}\r\nshort");
    let answer = send_raw(&mesh, &request, false).await?;
    assert!(
        answer.contains("apricotfold-outcome: not-run"),
        "{answer:?}"
    );
    assert!(!mesh.started().contains_key("stalled"), "it ran");
    Ok(())
}

/// Guards against a target slot that is held without end by a caller that stopped reading.
#[tokio::test]
async fn stalled_caller() -> eyre::Result<()> {
    let mesh = start_mesh().await?;
    let address = mesh.nodes[0].caller_url.trim_start_matches("http://");
    let mut stream = TcpStream::connect(address).await?;
    let path = download_path(64_000_000, 0);
    let request = format!("GET {path} HTTP/1.1\r\nhost: node\r\nx-request-id: stuck\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let node = mesh.wait_started("stuck").await?;
    let limit = DOWNLOAD_TIMEOUT + ANSWER_LIMIT / 2;
    wait_until(limit, "the slot is free", async || {
        let lines = mesh.journal_lines(node);
        lines.iter().any(|line| line["event"] == "ended")
    })
    .await?;
    for node in [0, node] {
        let idle = |status: &serde_json::Value| status["in_flight"] == 0;
        mesh.wait_status(node, PROCESS_LIMIT, idle).await?;
    }
    drop(stream);
    Ok(())
}
