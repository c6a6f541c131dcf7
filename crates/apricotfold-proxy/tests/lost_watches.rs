//! Watches whose answers are lost while the store answers all other calls.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::store::MemoryStore;
use support::{TestNode, table, wait_within};

/// Time after which a new table must be active, as operators expect.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time within which a lost watch of the entries must be noticed: changes of entries are delivered up to
/// 2.5 s apart.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(6);

/// Prefix of the nodes' entries and of all else that nodes write.
const ENTRIES: &str = "apricotfold/";

/// Time from a node's start after which it no longer asks peers because it has just started.
const SETTLE_TIME: Duration = Duration::from_secs(7);

/// Returns a table whose first route serves a prefix that names the version.
fn named(version: u64) -> apricotfold_model::RawRouteTable {
    let mut table = table(version);
    table.routes[0].prefix = format!("/pages-{version}/").into();
    table
}

async fn start(name: &str, store: &Arc<MemoryStore>) -> TestNode {
    let node = TestNode::start(name, store).await;
    node.wait_for(|| serves(&node, 1)).await;
    node
}

async fn serves(node: &TestNode, version: u64) -> bool {
    let path = format!("/pages-{version}/x");
    node.call("GET", &path, "1000").await.status == 200
}

async fn wait_version(node: &TestNode, version: u64) {
    let what = format!("version {version} at {}", node.name);
    wait_within(APPLY_TIMEOUT, &what, || serves(node, version)).await;
}

/// Guards against a node that goes on with an old table because its watch never gets an answer,
/// although the store renews its lease and its peers have the new table.
#[tokio::test(flavor = "multi_thread")]
async fn one_lost_watch() {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let _peer = start("b", &store.other_client()).await;
    let client = store.other_client();
    let node = start("a", &client).await;
    tokio::time::sleep(SETTLE_TIME).await;
    for version in [2, 3] {
        client.lose_watches();
        store.publish(&named(version));
        wait_version(&node, version).await;
    }
}

/// Guards against a node without peers that takes the answers to its renewals for a sign that its
/// watch is open.
#[tokio::test(flavor = "multi_thread")]
async fn lost_watch_without_peers() {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let client = store.other_client();
    let node = start("a", &client).await;
    tokio::time::sleep(SETTLE_TIME).await;
    client.lose_watches();
    store.publish(&named(2));
    wait_version(&node, 2).await;
}

/// Guards against a lost watch of the entries while the table does not change.
#[tokio::test(flavor = "multi_thread")]
async fn lost_entry_watch() {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let _peer = start("b", &store.other_client()).await;
    let client = store.other_client();
    let node = start("a", &client).await;
    tokio::time::sleep(SETTLE_TIME).await;
    client.lose_watches();
    let opened = client.opened_watches(ENTRIES);
    let _joined = start("c", &store.other_client()).await;
    wait_within(ENTRY_TIMEOUT, "a new watch", || async {
        client.opened_watches(ENTRIES) > opened
    })
    .await;
    assert!(serves(&node, 1).await);
}

/// Guards against watches that are opened anew although their answers arrive: each one is a call that
/// the store counts.
#[tokio::test(flavor = "multi_thread")]
async fn sound_watches_stay_open() {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let _peer = start("b", &store.other_client()).await;
    let client = store.other_client();
    let node = start("a", &client).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let opened = client.opened_watches(ENTRIES);
    for version in 2..=4 {
        store.publish(&named(version));
        wait_version(&node, version).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    assert_eq!(client.opened_watches(ENTRIES), opened);
}
