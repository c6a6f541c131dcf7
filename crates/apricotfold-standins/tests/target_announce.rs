//! Announcements of the target to its node, and its shutdown.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{HttpEndpoint, Program, start_target, target_settings, wait_until};

/// Requests received by a node: path, body and time.
type ReceivedPosts = Arc<Mutex<Vec<(String, Value, Instant)>>>;

struct NodeHandler(ReceivedPosts);

#[async_trait]
impl Handler for NodeHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        _response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let path = request.uri().path().to_owned();
        let body = request.payload().await.expect("a body");
        let body = serde_json::from_slice(body).expect("JSON");
        let mut received = self.0.lock().expect("a lock");
        received.push((path, body, Instant::now()));
    }
}

async fn start_node() -> (String, ReceivedPosts) {
    let received = ReceivedPosts::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let router = Router::with_path("{**path}").post(NodeHandler(Arc::clone(&received)));
    let server = Server::new(TcpAcceptor::try_from(listener).expect("an acceptor"));
    tokio::spawn(server.serve(router));
    (url, received)
}

fn last_post(received: &ReceivedPosts) -> Option<(String, Value)> {
    let received = received.lock().expect("a lock");
    received
        .last()
        .map(|(path, body, _)| (path.clone(), body.clone()))
}

fn post_count(received: &ReceivedPosts) -> usize {
    received.lock().expect("a lock").len()
}

/// Guards against incorrect or infrequent announcements, and against load reports without the delay
/// that those of the platform have.
#[tokio::test]
async fn load_is_reported_late() {
    let (node_url, received) = start_node().await;
    let settings = json!({"node_url": node_url, "profile": "night", "report_delay_ms": 1500});
    let target = start_target(settings).await;
    let call = target.client.get(target.url("/work?ms=60000")).send();
    let call = tokio::spawn(call);
    let start = Instant::now();
    wait_until("the load is reported", async || {
        last_post(&received).is_some_and(|(_, body)| body["reported_load"] == 1)
    })
    .await;
    let late = start.elapsed();
    assert!(
        late >= Duration::from_millis(1_450),
        "reported after {late:?}"
    );
    assert!(
        post_count(&received) >= 3,
        "{} announcements in {late:?}",
        post_count(&received)
    );
    let (path, body) = last_post(&received).expect("an announcement");
    assert_eq!(path, "/v1/announce");
    let expected = json!({
        "service": "precios", "profile": "night", "address": target.address.to_string(),
        "slots": 2, "connections": 50, "reported_load": 1, "draining": false,
    });
    assert_eq!(body, expected);

    target
        .post_ok("/admin/pause-reports", json!({"paused": true}))
        .await;
    let before = post_count(&received);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(
        post_count(&received) <= before + 1,
        "announced while paused"
    );
    call.abort();
}

/// Guards against a target that aborts requests in flight on SIGTERM, or stops without announcing the
/// drain and deregistering.
#[tokio::test]
async fn sigterm_drains_before_leaving() {
    let (node_url, received) = start_node().await;
    let settings = target_settings(&json!({"node_url": node_url}));
    let mut program = Program::start(env!("CARGO_BIN_EXE_apricotfold-target-standin"), &settings);
    let target = HttpEndpoint::new(program.address());
    // A connection without a request must not delay the exit.
    let _idle = TcpStream::connect(target.address).await.expect("connected");
    let download = tokio::spawn({
        let target = target.clone();
        async move { target.get("/download?bytes=100&ms=800").await }
    });
    wait_until("the download runs", async || {
        target.json("/admin/status").await["in_flight"] == 1
    })
    .await;
    let start = Instant::now();
    program.terminate();
    wait_until("the drain is announced", async || {
        last_post(&received).is_some_and(|(_, body)| body["draining"] == true)
    })
    .await;
    assert!(
        start.elapsed() < Duration::from_millis(400),
        "drain announced late"
    );
    assert_eq!(
        last_post(&received).map(|(path, _)| path).as_deref(),
        Some("/v1/announce")
    );
    assert!(
        download.await.expect("a task").contains("sha256:"),
        "download truncated"
    );
    assert!(program.wait_for_exit().await.success());
    assert!(start.elapsed() < Duration::from_secs(4), "exited late");
    let received = received.lock().expect("a lock");
    let leaves = received.iter().filter(|(path, _, _)| path == "/v1/leave");
    let left: Vec<_> = leaves.map(|(_, _, time)| *time - start).collect();
    assert_eq!(left.len(), 1);
    assert!(
        left[0] > Duration::from_millis(400),
        "deregistered before the work was finished"
    );
}
