//! Route tables in a large data centre whose instances have narrow links.

mod support;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use apricotfold_model::RawRouteTable;
use support::store::MemoryStore;
use support::{TestNode, table};
use tokio::task::JoinSet;

/// Instances of the data centre.
const NODES: usize = 21;

/// Bandwidth of each instance's link: 7 Mbit/s in bytes per second.
const BANDWIDTH: u64 = 875_000;

/// Routes of the table, whose names have little in common.
const ROUTES: u64 = 2_250;

/// Time within which operators of such a mesh expect a new table to be active.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between successive versions.
const VERSION_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between versions of which a narrow link does not carry each one.
const STORM_INTERVAL: Duration = Duration::from_millis(180);

/// Last version of such a series.
const LAST_VERSION: u64 = 28;

/// Time from a node's start after which it has settled and one of the nodes monitors the watches.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Returns a table with `routes` more routes, and one route for each version from 2 on.
fn large_table(version: u64, routes: u64) -> RawRouteTable {
    let mut table = table(version);
    let template = table.routes[0].clone();
    let mut add = |name: String| {
        let mut route = template.clone();
        route.prefix = format!("/{name}/").into();
        route.name = name.into();
        table.routes.push(route);
    };
    for index in 0..routes {
        let mut hasher = DefaultHasher::new();
        index.hash(&mut hasher);
        add(format!("r-{:016x}", hasher.finish()));
    }
    for version in 2..=version {
        add(format!("v{version}"));
    }
    table
}

/// Waits until a node serves the route that a version added, and returns the time since `published`.
async fn activation_time(node: &TestNode, version: u64, published: Instant) -> Duration {
    let path = format!("/v{version}/x");
    while node.call("GET", &path, "1000").await.status != 200 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    published.elapsed()
}

/// Guards against a follower of the store that gives up answers because they take longer than its doubts,
/// and begins them anew with all versions since: long after its start, one of two followers has a narrow
/// link, and versions follow each other faster than it carries one.
#[tokio::test(flavor = "multi_thread")]
async fn overtaken_transfer() {
    let store = MemoryStore::default().other_client();
    store.publish(&large_table(1, ROUTES));
    let wide = TestNode::start("a", &store.other_client()).await;
    let narrow = TestNode::start_on_link("b", &store.other_client(), BANDWIDTH).await;
    wide.wait_serving().await;
    narrow.wait_serving().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let mut published = Instant::now();
    for version in 2..=LAST_VERSION {
        tokio::time::sleep(STORM_INTERVAL).await;
        published = Instant::now();
        store.publish(&large_table(version, ROUTES));
    }
    for node in [&wide, &narrow] {
        let activation = activation_time(node, LAST_VERSION, published);
        let activation = tokio::time::timeout(ACTIVATION_TIMEOUT * 4, activation).await;
        let in_time = activation
            .as_ref()
            .is_ok_and(|elapsed| *elapsed <= ACTIVATION_TIMEOUT);
        assert!(in_time, "{} after {activation:?}", node.name);
    }
}

/// Guards against tables that arrive late because relays send them to all nodes of their data centre
/// over narrow links, and because transfers that take long are dropped and begun anew.
#[tokio::test(flavor = "multi_thread")]
async fn successive_tables() {
    let store = MemoryStore::default().other_client();
    store.publish(&large_table(1, 0));
    let mut clients = Vec::new();
    let mut starting = JoinSet::new();
    for index in 0..NODES {
        let client = store.other_client();
        clients.push(client.clone());
        starting.spawn(async move {
            TestNode::start_on_link(&format!("n{index}"), &client, BANDWIDTH).await
        });
    }
    let nodes: Vec<&'static TestNode> = starting
        .join_all()
        .await
        .into_iter()
        .map(|node| &*Box::leak(Box::new(node)))
        .collect();
    let watching = || clients.iter().filter(|client| client.watches() > 0).count();
    let timeout = Duration::from_secs(20);
    support::wait_within(timeout, "two relays", || async { watching() == 2 }).await;
    let mut waiting = JoinSet::new();
    for version in 2..=8 {
        let published = Instant::now();
        store.publish(&large_table(version, ROUTES));
        for node in &nodes {
            let node = *node;
            waiting.spawn(async move {
                let elapsed = activation_time(node, version, published).await;
                (version, node.name.clone(), elapsed)
            });
        }
        tokio::time::sleep(VERSION_INTERVAL).await;
    }
    let mut late = Vec::new();
    let mut slowest = Duration::ZERO;
    for (version, node, elapsed) in waiting.join_all().await {
        slowest = slowest.max(elapsed);
        if elapsed > ACTIVATION_TIMEOUT {
            late.push(format!("version {version} at {node} after {elapsed:?}"));
        }
    }
    late.sort();
    println!("slowest activation: {slowest:?}");
    assert!(late.is_empty(), "{late:#?}");
}
