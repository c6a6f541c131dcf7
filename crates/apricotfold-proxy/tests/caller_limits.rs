//! Limits on the size and duration of callers' requests.

mod support;

use std::time::{Duration, Instant};

use support::caller::{CallerConnection, request};
use support::store::MemoryStore;
use support::{TestNode, table};

async fn start() -> TestNode {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start("a", &store).await;
    node.wait_serving().await;
    node
}

async fn status(node: &TestNode, text: &str) -> u16 {
    let mut connection = CallerConnection::open(node.config.caller_address).await;
    connection.send(text).await;
    connection.read().await.status
}

/// Guards against requests above the size limits that reach a target or exhaust memory.
#[tokio::test(flavor = "multi_thread")]
async fn size_limits() {
    let node = start().await;
    let long = "x".repeat(9_000);
    let headers = [("request-id", "r-1"), ("x-long", long.as_str())];
    assert_eq!(
        status(&node, &request("GET", "/pages/1", &headers, "")).await,
        431
    );
    let body = "x".repeat(2_000);
    let large = request("POST", "/orders/1", &[("request-id", "r-1")], &body);
    assert_eq!(status(&node, &large).await, 413);
    assert_eq!(status(&node, "GET\r\n\r\n").await, 400);
    assert!(node.target.calls("orders").is_empty());
    assert!(node.target.calls("pages/1").is_empty());
}

/// Guards against connections that stay open with an incomplete head, and against persistent
/// connections that are closed too early or never.
#[tokio::test(flavor = "multi_thread")]
async fn timeouts() {
    let node = start().await;
    let started = Instant::now();
    let mut slow = CallerConnection::open(node.config.caller_address).await;
    slow.send("GET /pages/1 HTTP/1.1\r\nHost:").await;
    assert_eq!(slow.read().await.status, 408);
    let held = started.elapsed();
    assert!(held > Duration::from_millis(250) && held < Duration::from_millis(900));
    let mut kept = CallerConnection::open(node.config.caller_address).await;
    for turn in 0..2 {
        let id = format!("r-kept-{turn}");
        let headers = [("request-id", id.as_str()), ("timeout-ms", "1000")];
        kept.send(&request("GET", "/pages/2", &headers, "")).await;
        assert_eq!(kept.read().await.status, 200);
        // Four fifths of the idle timeout.
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    let idle = Instant::now();
    assert!(kept.read_to_end().await.is_empty());
    assert!(idle.elapsed() < Duration::from_millis(900));
}

/// Guards against a request that reaches a target although its body never arrives.
#[tokio::test(flavor = "multi_thread")]
async fn missing_body() {
    let node = start().await;
    let mut connection = CallerConnection::open(node.config.caller_address).await;
    let head = "POST /orders/1 HTTP/1.1\r\nHost: almanac.example\r\nrequest-id: r-1\r\n\
        timeout-ms: 400\r\nContent-Length: 10\r\n\r\nhalf";
    connection.send(head).await;
    let answer = connection.read().await;
    assert_eq!(answer.header("reason").as_deref(), Some("body-late"));
    assert_eq!(answer.header("outcome").as_deref(), Some("not-run"));
    assert!(node.target.calls("orders").is_empty());
}

/// Guards against a caller that waits for `100 Continue` and never receives it.
#[tokio::test(flavor = "multi_thread")]
async fn expect_continue() {
    let node = start().await;
    let mut connection = CallerConnection::open(node.config.caller_address).await;
    let head = "POST /orders/2 HTTP/1.1\r\nHost: almanac.example\r\nrequest-id: r-2\r\n\
        Expect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    connection.send(head).await;
    assert_eq!(connection.read().await.status, 100);
    connection.send("body").await;
    assert_eq!(connection.read().await.status, 200);
    assert_eq!(node.target.calls("orders/2")[0].body, b"body");
}

/// Guards against a request that a caller may send, but that fails if its target is beside another
/// proxy, because the headers of the mesh take it over a limit there.
#[tokio::test(flavor = "multi_thread")]
async fn many_fields_to_a_peer() {
    let (first, second) = TestNode::start_pair().await;
    first.announce(2, "draining").await;
    let mut headers = vec![("request-id", "r-fields"), ("timeout-ms", "1000")];
    // The host is the last of the 128 fields that a head may have.
    headers.resize(127, ("a", "b"));
    let text = request("GET", "/pages/fields", &headers, "");
    assert_eq!(status(&first, &text).await, 200);
    assert_eq!(second.target.calls("fields").len(), 1);
}
