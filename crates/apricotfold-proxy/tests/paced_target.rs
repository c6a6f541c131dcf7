//! Concurrency at a target that is learned from its answers.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use support::store::MemoryStore;
use support::{TestNode, rand_id, table};

/// Sends five slow calls and returns how many the target has after half of their time.
async fn started_at_once(node: &TestNode) -> usize {
    let path = format!("/pages/slow-{}", rand_id());
    let path = path.as_str();
    let calls = join_all((0..5).map(|_| node.call("GET", path, "5000")));
    let look = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        node.target.calls(path.trim_start_matches("/pages/")).len()
    };
    let (_, started) = tokio::join!(calls, look);
    started
}

/// Guards against a setting that does not reach the queue, and answers that do not reach the limit.
#[tokio::test(flavor = "multi_thread")]
async fn learns_slots() {
    // The first call, with which the test waits for the node, doubles the limit of 1.
    for (paced, first) in [(true, 2), (false, 4)] {
        let store = MemoryStore::default().other_client();
        store.publish(&table(1));
        let node = if paced {
            TestNode::start_paced("a", &store).await
        } else {
            TestNode::start("a", &store).await
        };
        node.wait_serving().await;
        assert_eq!(started_at_once(&node).await, first);
        node.wait_for(|| async { started_at_once(&node).await == 4 })
            .await;
    }
}
