//! Answers that are overdue because a target lost them.

mod support;

use std::time::{Duration, Instant};

use support::store::MemoryStore;
use support::{TestNode, table};

/// Guards against a page that waits for its whole deadline for a lost answer, and against an order
/// that is sent a second time because its answer is overdue.
#[tokio::test(flavor = "multi_thread")]
async fn second_attempt() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let first = TestNode::start("a", &store).await;
    let second = TestNode::start("b", &store.other_client()).await;
    first.wait_serving().await;
    second.wait_serving().await;
    first
        .wait_for(|| async {
            first.call("GET", "/pages/both", "1000").await;
            !first.target.calls("both").is_empty() && !second.target.calls("both").is_empty()
        })
        .await;
    let started = Instant::now();
    let page = first.call("GET", "/pages/hold-first/1", "1900").await;
    assert_eq!(page.status, 200, "{page:?}");
    assert!(started.elapsed() < Duration::from_millis(900));
    let order = first.call("POST", "/orders/hold-first/1", "700").await;
    assert_eq!(order.header("outcome").as_deref(), Some("may-have-run"));
    let arrivals = |word: &str| first.target.calls(word).len() + second.target.calls(word).len();
    assert_eq!(arrivals("orders/hold"), 1);
    assert_eq!(arrivals("pages/hold"), 2);
}
