//! Callers that close their connection before the response.

mod support;

use std::time::{Duration, Instant};

use support::caller::{CallerConnection, request};
use support::store::MemoryStore;
use support::{TestNode, table, wait_for};

/// Longest time for which work may continue after its caller has disconnected.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

async fn leave(node: &TestNode, worker: &TestNode, text: &str) {
    let mut connection = CallerConnection::open(node.config.caller_address).await;
    connection.send(text).await;
    wait_for("arrival", || async {
        !worker.target.calls("hold").is_empty()
    })
    .await;
    drop(connection);
    let left = Instant::now();
    let cancelled = || {
        let calls = worker.target.calls("hold");
        calls.iter().all(|call| call.cancelled.is_some())
    };
    wait_for("cancellation", || async { cancelled() }).await;
    assert!(left.elapsed() < CANCEL_TIMEOUT, "{:?}", left.elapsed());
}

/// Guards against work that continues at the local target after its caller has disconnected, also
/// with a pipelined request behind it.
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_cancels_local_work() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start("a", &store).await;
    node.wait_serving().await;
    let headers = [("request-id", "r-1"), ("timeout-ms", "1900")];
    let one = request("GET", "/pages/hold/1", &headers, "");
    leave(&node, &node, &one).await;
    let two = format!("{one}{}", request("GET", "/pages/hold/2", &headers, ""));
    leave(&node, &node, &two).await;
}

/// Guards against work that continues at another instance's target after its caller has
/// disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_cancels_remote_work() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let worker = TestNode::start("a", &store).await;
    let entry = TestNode::start_unannounced("b", &store.other_client()).await;
    entry.wait_serving().await;
    let headers = [("request-id", "r-1"), ("timeout-ms", "1900")];
    let text = request("GET", "/pages/hold/1", &headers, "");
    leave(&entry, &worker, &text).await;
}
