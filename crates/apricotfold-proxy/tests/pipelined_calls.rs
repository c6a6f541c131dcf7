//! Pipelined requests.

mod support;

use std::time::{Duration, Instant};

use support::caller::{CallerConnection, request};
use support::store::MemoryStore;
use support::{TestNode, table};

/// Guards against pipelined requests that wait for the work of earlier ones, and against responses
/// in another order than the requests.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_run_concurrently() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start("a", &store).await;
    node.wait_serving().await;
    let mut connection = CallerConnection::open(node.config.caller_address).await;
    let paths = ["/pages/slow/1", "/pages/slow/2", "/pages/quick/3"];
    let started = Instant::now();
    let mut text = String::new();
    for (index, path) in paths.iter().enumerate() {
        let id = format!("r-{index}");
        let headers = [("request-id", id.as_str()), ("timeout-ms", "1900")];
        text.push_str(&request("GET", path, &headers, ""));
    }
    connection.send(&text).await;
    for (index, path) in paths.iter().enumerate() {
        let answer = connection.read().await;
        assert_eq!(answer.status, 200, "{path}");
        assert!(answer.body.contains(path), "{path}: {}", answer.body);
        assert_eq!(answer.header("request-id"), Some(format!("r-{index}")));
    }
    // Each slow request takes 600 ms, so they cannot have run one after the other.
    assert!(started.elapsed() < Duration::from_millis(1_100));
    let quick = &node.target.calls("quick")[0];
    assert!(quick.at - started < Duration::from_millis(300));
}

/// Guards against a caller that closes the connection at its deadline and so loses the pipelined
/// responses behind: a request without a response must be refused before its caller's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn overdue_request_does_not_block_pipeline() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start("a", &store).await;
    node.wait_serving().await;
    let mut connection = CallerConnection::open(node.config.caller_address).await;
    let started = Instant::now();
    let first = [("request-id", "r-1"), ("timeout-ms", "700")];
    let second = [("request-id", "r-2"), ("timeout-ms", "900")];
    let text =
        request("GET", "/pages/hold/1", &first, "") + &request("GET", "/pages/2", &second, "");
    connection.send(&text).await;
    let answer = connection.read().await;
    assert_eq!(answer.header("outcome").as_deref(), Some("may-have-run"));
    assert!(started.elapsed() < Duration::from_millis(700));
    assert_eq!(connection.read().await.status, 200);
}
