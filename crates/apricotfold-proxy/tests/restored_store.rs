//! A store that comes back from an older copy.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::store::{MemoryStore, StoreState};
use support::{TestNode, table, wait_within};

/// Time within which the nodes must have the store's state right after its return: operators expect a
/// table to be active after 2.5 s, and other nodes use a lapsed instance for as long.
const RETURN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time in which nodes have written their entries.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time in which the nodes have heard of a change in the store.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Time after a node's start after which it no longer asks peers for a newer table.
const LATE_START: Duration = Duration::from_secs(6);

/// Returns a table whose first route serves a prefix that names the version.
fn named(version: u64) -> apricotfold_model::RawRouteTable {
    let mut table = table(version);
    table.routes[0].prefix = format!("/pages-{version}/").into();
    table
}

async fn start(name: &str, store: &Arc<MemoryStore>) -> TestNode {
    TestNode::start(name, &store.other_client()).await
}

/// Starts a node with version 1, and takes a copy of the store once the node has written its entry.
async fn settled_node() -> (Arc<MemoryStore>, TestNode, StoreState) {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let node = start("a", &store).await;
    node.wait_for(|| serves(&node, 1)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let copy = store.take_copy();
    (store, node, copy)
}

async fn serves(node: &TestNode, version: u64) -> bool {
    let path = format!("/pages-{version}/x");
    node.call("GET", &path, "1000").await.status == 200
}

async fn wait_version(node: &TestNode, version: u64) {
    let what = format!("version {version} at {}", node.name);
    wait_within(RETURN_TIMEOUT, &what, || serves(node, version)).await;
}

/// Returns whether a node's entry names this state.
fn is_announced(store: &MemoryStore, node: &str, state: &str) -> bool {
    let entry = store.read(&format!("apricotfold/nodes/{node}"));
    let text = format!("\"state\":\"{state}\"");
    entry.is_some_and(|entry| entry.contains(&text))
}

/// Guards against a watch that goes on from a revision of the lost history and misses a table that was
/// written before the store had given out that revision again.
#[tokio::test(flavor = "multi_thread")]
async fn reissued_revisions() {
    let (store, node, copy) = settled_node().await;
    for version in 2..=6 {
        store.publish(&named(version));
    }
    node.wait_for(|| serves(&node, 6)).await;
    store.restore(&copy);
    store.publish(&named(7));
    wait_version(&node, 7).await;
}

/// Guards against a process that serves an older table because it starts just after the return, while
/// its peers have a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn start_after_return() {
    let (store, node, copy) = settled_node().await;
    store.publish(&named(2));
    node.wait_for(|| serves(&node, 2)).await;
    store.restore(&copy);
    let starting = start("b", &store).await;
    wait_version(&starting, 2).await;
}

/// Guards against an instance that counts as ready again because its entry went back, and whose node
/// takes the lost state for written.
#[tokio::test(flavor = "multi_thread")]
async fn lost_departure() {
    let (store, node, copy) = settled_node().await;
    node.announce(2, "draining").await;
    node.wait_for(|| async { is_announced(&store, "a", "draining") })
        .await;
    store.restore(&copy);
    assert!(is_announced(&store, "a", "ready"));
    // Takes the id of the lease that the node has had for the lost state.
    let _other = start("b", &store).await;
    wait_within(RETURN_TIMEOUT, "written again", || async {
        is_announced(&store, "a", "draining")
    })
    .await;
}

/// Guards against marks of crashes that are lost although the node's lease has outlived the return.
#[tokio::test(flavor = "multi_thread")]
async fn lost_marks() {
    let (store, node, copy) = settled_node().await;
    let is_marked = || async {
        let entry = store.read("apricotfold/nodes/a");
        entry.is_some_and(|entry| entry.contains("observed"))
    };
    node.call_target("/orders/crash", 1_000).await;
    node.wait_for(is_marked).await;
    store.restore(&copy);
    assert!(!is_marked().await);
    wait_within(RETURN_TIMEOUT, "written again", is_marked).await;
}

/// Guards against a node whose entry and lease are lost and that renews a lease which the store has
/// given to another node since.
#[tokio::test(flavor = "multi_thread")]
async fn reissued_lease() {
    let (store, _first, copy) = settled_node().await;
    let second = start("b", &store).await;
    second.wait_for(|| serves(&second, 1)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    store.restore(&copy);
    assert!(!is_announced(&store, "b", "ready"));
    // Takes the lease id that the second node has had.
    let _third = start("c", &store).await;
    wait_within(RETURN_TIMEOUT, "written again", || async {
        is_announced(&store, "b", "ready")
    })
    .await;
}

/// Guards against a target that is not used for minutes because its node was started again after the
/// return and numbers its process from a revision that is given out again, also if the target announces
/// itself late.
#[tokio::test(flavor = "multi_thread")]
async fn refuted_epoch() {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let entry = start("b", &store).await;
    let copy = store.take_copy();
    for version in 2..=9 {
        store.publish(&named(version));
    }
    let client = store.other_client();
    let mut node = TestNode::start_killable("a", &client).await;
    entry.wait_for(|| serves(&entry, 9)).await;
    node.announce(2, "draining").await;
    entry
        .wait_for(|| async { is_announced(&store, "a", "draining") })
        .await;
    tokio::time::sleep(WATCH_TIME).await;
    node.kill_process().await;
    store.restore(&copy);
    node.start_process(&client).await;
    tokio::time::sleep(LATE_START).await;
    // The store has lost that the target drains; peers have not.
    node.announce(3, "ready").await;
    tokio::time::sleep(WATCH_TIME).await;
    overload(&entry, "/pages-9/drained").await;
    assert!(node.target.calls("drained").is_empty());
    node.revive().await;
    wait_within(2 * RETURN_TIMEOUT, "in use", || async {
        overload(&entry, "/pages-9/again").await;
        !node.target.calls("again").is_empty()
    })
    .await;
}

/// Sends more calls at once than one target takes; single calls may all go to the same target.
async fn overload(node: &TestNode, path: &str) {
    let calls = (0..12).map(|_| node.call("GET", path, "1000"));
    futures_util::future::join_all(calls).await;
}
