//! Targets that are replaced while the store is unreachable.

mod support;

use support::store::MemoryStore;
use support::{TestNode, table};

/// Guards against calls that are refused until the store reports a restarted target, and against
/// excluding a node because of refusals for its former target. After a power failure, all nodes
/// know only the targets from before it.
#[tokio::test(flavor = "multi_thread")]
async fn restart_learned_from_refusal() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let restarted = TestNode::start("a", &store).await;
    let entry_store = store.other_client();
    let entry = TestNode::start_unannounced("b", &entry_store).await;
    entry.wait_serving().await;
    entry_store.set_unreachable(true);
    restarted.target.set_answering("i-next");
    for number in [1, 2] {
        restarted.announce_as("i-next", 2, number, "ready").await;
    }
    for turn in 0..5 {
        let path = format!("/pages/again/{turn}");
        let answer = entry.call("GET", &path, "1000").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
