//! Targets that are replaced while the store cannot tell.

mod support;

use support::store::MemoryStore;
use support::{TestNode, table};

/// Guards against callers that are refused until the store tells of a restarted target, and against
/// a node that is left out for what its former target refused: after a loss of power, all nodes
/// know only targets of before.
#[tokio::test(flavor = "multi_thread")]
async fn told_by_refusal() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let restarted = TestNode::start("a", &store).await;
    let entry_store = store.other_client();
    let entry = TestNode::start_silent("b", &entry_store).await;
    entry.wait_serving().await;
    entry_store.set_away(true);
    for number in [1, 2] {
        restarted.announce_life("i-next", 2, number, "ready").await;
    }
    for turn in 0..5 {
        let path = format!("/pages/again/{turn}");
        let answer = entry.call("GET", &path, "1000").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
