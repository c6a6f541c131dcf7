//! Announcements of the target to its node.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{Peer, Program, start_target, target_settings, wait_until};

/// What a node was told: path, body and time.
type Told = Arc<Mutex<Vec<(String, Value, Instant)>>>;

struct NodeHandler(Told);

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
        let mut told = self.0.lock().expect("a lock");
        told.push((path, body, Instant::now()));
    }
}

async fn start_node() -> (String, Told) {
    let told = Told::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let router = Router::with_path("{**path}").post(NodeHandler(Arc::clone(&told)));
    let server = Server::new(TcpAcceptor::try_from(listener).expect("an acceptor"));
    tokio::spawn(server.serve(router));
    (url, told)
}

fn last(told: &Told) -> Option<(String, Value)> {
    let told = told.lock().expect("a lock");
    told.last()
        .map(|(path, body, _)| (path.clone(), body.clone()))
}

fn count(told: &Told) -> usize {
    told.lock().expect("a lock").len()
}

/// Guards against wrong or rare announcements, and against load reports that are fresh although the
/// platform's are late.
#[tokio::test]
async fn load_is_reported_late() {
    let (node_url, told) = start_node().await;
    let settings = json!({"node_url": node_url, "profile": "night", "report_delay_ms": 1500});
    let target = start_target(settings).await;
    let call = target.client.get(target.url("/work?ms=60000")).send();
    let call = tokio::spawn(call);
    let start = Instant::now();
    wait_until("the load is reported", async || {
        last(&told).is_some_and(|(_, body)| body["reported_load"] == 1)
    })
    .await;
    let late = start.elapsed();
    assert!(
        late >= Duration::from_millis(1_450),
        "reported after {late:?}"
    );
    assert!(
        count(&told) >= 3,
        "{} announcements in {late:?}",
        count(&told)
    );
    let (path, body) = last(&told).expect("an announcement");
    assert_eq!(path, "/v1/announce");
    let expected = json!({
        "service": "precios", "profile": "night", "address": target.address.to_string(),
        "slots": 2, "connections": 50, "reported_load": 1, "draining": false,
    });
    assert_eq!(body, expected);

    target
        .ok("/admin/pause-reports", json!({"paused": true}))
        .await;
    let before = count(&told);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(count(&told) <= before + 1, "announced while paused");
    call.abort();
}

/// Guards against a target that cuts off work when it is told to stop, or leaves without notice.
#[tokio::test]
async fn sigterm_drains_before_leaving() {
    let (node_url, told) = start_node().await;
    let settings = target_settings(&json!({"node_url": node_url}));
    let mut program = Program::start(env!("CARGO_BIN_EXE_apricotfold-target-standin"), &settings);
    let target = Peer::new(program.address());
    // A connection without a request must not hold up the exit.
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
        last(&told).is_some_and(|(_, body)| body["draining"] == true)
    })
    .await;
    assert!(
        start.elapsed() < Duration::from_millis(400),
        "announced late"
    );
    assert_eq!(
        last(&told).map(|(path, _)| path).as_deref(),
        Some("/v1/announce")
    );
    assert!(
        download.await.expect("a task").contains("sha256:"),
        "cut off"
    );
    assert!(program.exit().await.success());
    assert!(start.elapsed() < Duration::from_secs(4), "exited late");
    let told = told.lock().expect("a lock");
    let leaves = told.iter().filter(|(path, _, _)| path == "/v1/leave");
    let left: Vec<_> = leaves.map(|(_, _, time)| *time - start).collect();
    assert_eq!(left.len(), 1);
    assert!(
        left[0] > Duration::from_millis(400),
        "left before the work was finished"
    );
}
