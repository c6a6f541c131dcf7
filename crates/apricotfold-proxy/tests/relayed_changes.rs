//! Changes that reach most nodes of a data centre through relays.

mod support;

use std::time::{Duration, Instant};

use support::store::MemoryStore;
use support::{TestNode, table};

/// Nodes of the data centre: enough for relays.
const NODES: usize = 7;

/// Time within which operators expect a table in force.
const IN_FORCE: Duration = Duration::from_millis(2_500);

async fn wait_in_force(nodes: &[TestNode], version: u64, limit: Duration) {
    let started = Instant::now();
    for node in nodes {
        let path = format!("/v{version}/x");
        node.wait_for(|| async { node.call("GET", &path, "1000").await.status == 200 })
            .await;
    }
    let elapsed = started.elapsed();
    assert!(elapsed < limit, "version {version} after {elapsed:?}");
}

fn named(version: u64) -> apricotfold_model::RawRouteTable {
    let mut table = table(version);
    let mut route = table.routes[0].clone();
    route.name = format!("v{version}").into();
    route.prefix = format!("/v{version}/").into();
    table.routes.push(route);
    table
}

/// Guards against store calls that grow with the nodes of a data centre, against tables that come
/// late through relays, and against followers that stay behind when the store turns the relays away.
#[tokio::test(flavor = "multi_thread")]
async fn through_relays() {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let mut nodes = Vec::new();
    let mut clients = Vec::new();
    for index in 0..NODES {
        let client = store.other_client();
        nodes.push(TestNode::start(&format!("n{index}"), &client).await);
        clients.push(client);
    }
    wait_in_force(&nodes, 1, Duration::from_secs(10)).await;
    let watching = || clients.iter().filter(|client| client.watches() > 0).count();
    let timeout = Duration::from_secs(20);
    support::wait_within(timeout, "two relays", || async { watching() == 2 }).await;
    store.publish(&named(5));
    wait_in_force(&nodes, 5, IN_FORCE).await;
    let relays: Vec<_> = clients
        .iter()
        .filter(|client| client.watches() > 0)
        .collect();
    for relay in relays {
        relay.set_away(true);
    }
    store.publish(&named(9));
    // The relays' last word must first be older than their renewals are apart.
    wait_in_force(&nodes, 9, IN_FORCE + Duration::from_secs(5)).await;
}

/// Guards against nodes that all turn to the store when it has been away from everybody: at its
/// return they would read whole tables at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn store_away_for_all() {
    let store = MemoryStore::default().other_client();
    store.publish(&named(1));
    let mut nodes = Vec::new();
    let mut clients = Vec::new();
    for index in 0..NODES {
        let client = store.other_client();
        nodes.push(TestNode::start(&format!("n{index}"), &client).await);
        clients.push(client);
    }
    let watching = || clients.iter().filter(|client| client.watches() > 0).count();
    let timeout = Duration::from_secs(20);
    support::wait_within(timeout, "two relays", || async { watching() == 2 }).await;
    for client in &clients {
        client.set_away(true);
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    for client in &clients {
        client.set_away(false);
    }
    store.publish(&named(5));
    wait_in_force(&nodes, 5, IN_FORCE).await;
    assert!(watching() <= 2, "{} nodes follow the store", watching());
}
