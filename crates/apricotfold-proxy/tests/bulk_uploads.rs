//! Bulk request bodies that pass between nodes over narrow links.

mod support;

use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::RawRouteTable;
use support::caller::{CallerResponse, exchange};
use support::store::MemoryStore;
use support::{TestNode, rand_id, table, wait_within};

/// Size of an upload, above that from which on transfers are scheduled.
const UPLOAD_BYTES: usize = 60 * 1024;

/// Time within which a node learns of another.
const LEARN_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a table that allows bodies of the size of an upload.
fn uploads(version: u64) -> RawRouteTable {
    let mut table = table(version);
    table.limits.body_bytes = 1024 * 1024;
    table
}

async fn upload(node: &TestNode, path: &str, timeout_ms: &str) -> CallerResponse {
    let id = format!("r-{:016x}", rand_id());
    let headers = [("request-id", id.as_str()), ("timeout-ms", timeout_ms)];
    let body = "u".repeat(UPLOAD_BYTES);
    exchange(node.config.caller_address, "POST", path, &headers, &body).await
}

/// Starts a node whose own target has left, so that its calls go to the other one.
async fn start_entry(store: &Arc<MemoryStore>) -> TestNode {
    let entry = TestNode::start("a", store).await;
    entry.wait_serving().await;
    entry.leave().await;
    entry
}

/// Guards against uploads that arrive incomplete, changed or more than once.
#[tokio::test(flavor = "multi_thread")]
async fn arrive_whole() {
    let store = MemoryStore::default().other_client();
    store.publish(&uploads(1));
    let entry = start_entry(&store).await;
    let node = TestNode::start("b", &store.other_client()).await;
    wait_within(LEARN_TIMEOUT, "calls reach b", || async {
        entry.call("GET", "/pages/learn", "1000").await.status == 200
    })
    .await;
    let sent = (0..8).map(|_| upload(&entry, "/orders/whole", "1500"));
    for answer in futures_util::future::join_all(sent).await {
        assert_eq!(answer.status, 200);
    }
    let calls = node.target.calls("orders/whole");
    assert_eq!(calls.len(), 8);
    for call in calls {
        assert_eq!(call.body, "u".repeat(UPLOAD_BYTES).into_bytes());
        assert!(
            !call.head.to_lowercase().contains("expect:"),
            "{}",
            call.head
        );
    }
}

/// Guards against an upload that is transferred although the target's node refuses it, and against a
/// refusal that does not say that the upload has not run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_before_body() {
    let store = MemoryStore::default().other_client();
    store.publish(&uploads(1));
    let entry = start_entry(&store).await;
    // At 0.2 Mbit/s, an upload takes seconds, so that no further one can be in time.
    let node = TestNode::start_with_link_rate("b", &store.other_client(), 25_000.0).await;
    wait_within(LEARN_TIMEOUT, "calls reach b", || async {
        entry.call("GET", "/pages/learn", "1000").await.status == 200
    })
    .await;
    let sent = (0..8).map(|_| upload(&entry, "/orders/late", "1500"));
    let answers = futures_util::future::join_all(sent).await;
    let refused = answers.iter().filter(|answer| answer.status == 503);
    let refused = refused.map(|answer| answer.header("outcome"));
    let refused: Vec<_> = refused.collect();
    assert!(refused.len() >= 6, "{answers:?}");
    assert!(
        refused
            .iter()
            .all(|outcome| outcome.as_deref() == Some("not-run"))
    );
    // Short calls do not wait behind uploads.
    assert_eq!(entry.call("GET", "/pages/short", "1000").await.status, 200);
    assert!(node.target.calls("orders/late").len() <= answers.len() - refused.len());
}
