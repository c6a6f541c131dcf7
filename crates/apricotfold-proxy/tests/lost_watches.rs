//! Watches whose answers are lost while the store answers all other calls.

mod support;

use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::InstanceRecord;
use apricotfold_policy::choose_monitors;
use support::store::MemoryStore;
use support::{TestNode, table, wait_within};

/// Time after which a new table must be active, as operators expect.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time within which a lost watch of the entries must be noticed: changes of entries are delivered up to
/// 2.5 s apart.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(6);

/// Time after a silence of the store from which on operators expect new tables to be active in time.
const CALM_TIMEOUT: Duration = Duration::from_secs(4);

/// Prefix of the nodes' entries and of all else that nodes write.
const ENTRIES: &str = "apricotfold/";

/// Prefix of what operators write: the table and rollout orders.
const ORDERS: &str = "tables/";

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

/// Guards against a table that a peer sent hiding that the node's own watch, which also brings the orders
/// of operators, is lost.
#[tokio::test(flavor = "multi_thread")]
async fn reopened_behind_peer() {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let _peer = start("a", &store.other_client()).await;
    let client = store.other_client();
    let node = start("b", &client).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let opened = client.opened_watches(ORDERS);
    client.lose_watches();
    store.publish(&named(2));
    wait_version(&node, 2).await;
    wait_within(CALM_TIMEOUT, "a new watch", || async {
        client.opened_watches(ORDERS) > opened
    })
    .await;
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

/// Three nodes in two data centres, each with a client of its own.
struct Fleet {
    nodes: Vec<TestNode>,
    clients: Vec<Arc<MemoryStore>>,
}

impl Fleet {
    async fn start(store: &MemoryStore) -> Self {
        store.publish(&named(1));
        let clients: Vec<_> = (0..3).map(|_| store.other_client()).collect();
        let nodes = vec![
            TestNode::start("a", &clients[0]).await,
            TestNode::start("b", &clients[1]).await,
            TestNode::start_in("poa-b", "c", &clients[2]).await,
        ];
        for node in &nodes {
            node.wait_for(|| serves(node, 1)).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        Self { nodes, clients }
    }

    fn lose_watches(&self) {
        for client in &self.clients {
            client.lose_watches();
        }
    }
}

/// Guards against a version whose delivery all nodes have lost, so that none is behind another one.
#[tokio::test(flavor = "multi_thread")]
async fn lost_everywhere() {
    let store = MemoryStore::default();
    let fleet = Fleet::start(&store).await;
    fleet.lose_watches();
    store.publish(&named(2));
    for node in &fleet.nodes {
        let what = format!("version 2 at {}", node.name);
        wait_within(CALM_TIMEOUT, &what, || serves(node, 2)).await;
    }
    store.publish(&named(3));
    for node in &fleet.nodes {
        wait_version(node, 3).await;
    }
}

/// Guards against orders, entries and records that all nodes have lost while the table stays the same.
#[tokio::test(flavor = "multi_thread")]
async fn all_watches_reopened() {
    let store = MemoryStore::default();
    let fleet = Fleet::start(&store).await;
    let opened = |prefix: &'static str| {
        let clients = fleet.clients.iter();
        clients.map(move |client| client.opened_watches(prefix))
    };
    let before: Vec<usize> = opened(ENTRIES).chain(opened(ORDERS)).collect();
    fleet.lose_watches();
    wait_within(ENTRY_TIMEOUT, "new watches", || async {
        let after = opened(ENTRIES).chain(opened(ORDERS));
        after.zip(&before).all(|(after, before)| after > *before)
    })
    .await;
}

/// Guards against a data centre whose monitor ends while all nodes lose a version.
#[tokio::test(flavor = "multi_thread")]
async fn monitor_killed() {
    let store = MemoryStore::default();
    store.publish(&named(1));
    let clients: Vec<_> = (0..3).map(|_| store.other_client()).collect();
    let mut nodes = Vec::new();
    for (name, client) in ["a", "b", "c"].iter().zip(&clients) {
        nodes.push(TestNode::start_killable(name, client).await);
    }
    for node in &nodes {
        node.announce(1, "ready").await;
        node.wait_for(|| serves(node, 1)).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let records: Vec<InstanceRecord> = nodes
        .iter()
        .filter_map(|node| store.read(&format!("apricotfold/nodes/{}", node.name)))
        .filter_map(|text| serde_json::from_str::<serde_json::Value>(&text).ok())
        .filter_map(|entry| serde_json::from_value(entry["record"].clone()).ok())
        .collect();
    let data_centre = records[0].data_centre.clone();
    let monitor = choose_monitors(&data_centre, |_| true, records.iter())[0].clone();
    for client in &clients {
        client.lose_watches();
    }
    store.publish(&named(2));
    for node in nodes.iter_mut().filter(|node| node.name == *monitor) {
        node.kill_process().await;
    }
    for node in nodes.iter().filter(|node| node.name != *monitor) {
        let what = format!("version 2 at {}", node.name);
        wait_within(CALM_TIMEOUT, &what, || serves(node, 2)).await;
    }
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
