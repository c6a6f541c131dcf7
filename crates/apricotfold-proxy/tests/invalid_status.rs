//! Targets whose answers have no valid status.

mod support;

use support::store::MemoryStore;
use support::{TestNode, table};

/// Statuses that are none, as a target writes them; `+` stands for a space.
const INVALID: [&str; 10] = [
    "000+None",
    "101+Switching",
    "99+Low",
    "099+Low",
    "600+High",
    "999+High",
    "1000+Long",
    "abc+Text",
    "+OK",
    "",
];

async fn start() -> TestNode {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start("a", &store).await;
    node.wait_serving().await;
    node
}

async fn assert_refused(node: &TestNode, path: &str) {
    let answer = node.call("POST", path, "1500").await;
    assert_eq!(answer.status, 502, "{path}: {answer:?}");
    let outcome = answer.header("outcome");
    assert_eq!(outcome.as_deref(), Some("may-have-run"), "{path}");
    let reason = answer.header("reason");
    assert_eq!(reason.as_deref(), Some("connection-lost"), "{path}");
    assert_eq!(answer.header("instance"), None, "{path}");
    assert_eq!(node.target.calls(path).len(), 1, "{path}");
}

/// Guards against callers that get a status that their parsers refuse, or none.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_statuses() {
    let node = start().await;
    for status in INVALID {
        assert_refused(&node, &format!("/orders/status-{status}/1")).await;
    }
    assert_eq!(node.call("POST", "/orders/after", "1500").await.status, 200);
}

/// Guards against a second status line that is taken for a header.
#[tokio::test(flavor = "multi_thread")]
async fn second_status_line() {
    let node = start().await;
    assert_refused(&node, "/orders/two-lines/1").await;
}

/// Guards against a request that is held until its deadline by informational answers without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim() {
    let node = start().await;
    assert_refused(&node, "/orders/endless-interim/1").await;
}
