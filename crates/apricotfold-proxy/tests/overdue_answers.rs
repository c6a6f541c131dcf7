//! Responses that are overdue because a target lost them.

mod support;

use std::time::{Duration, Instant};

use support::TestNode;

/// Guards against an idempotent request that waits until its deadline for a lost response, and
/// against an at-most-once request that is sent twice because its response is overdue.
#[tokio::test(flavor = "multi_thread")]
async fn overdue_page_is_hedged() {
    let (first, second) = TestNode::start_pair().await;
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
