//! Quotas of tenants that several nodes share.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{ApiKeyDigest, RawRouteTable, RawTenant};
use support::caller::{CallerResponse, exchange};
use support::store::MemoryStore;
use support::{TestNode, rand_id, table, wait_within};

/// Time within which a tenant must get its limit after nodes have started.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a table with one tenant for each key and rate; a burst is a second of the rate.
fn limited(version: u64, tenants: &[(&str, f64)]) -> RawRouteTable {
    let mut table = table(version);
    let tenant = |(key, rate): &(&str, f64)| RawTenant {
        name: format!("tenant-{key}").into(),
        keys: vec![ApiKeyDigest::of(key.as_bytes())],
        priority: None,
        rate: *rate,
        burst: *rate,
    };
    table.tenants = Some(tenants.iter().map(tenant).collect());
    table
}

async fn send(address: SocketAddr, key: &str, path: &str) -> CallerResponse {
    let id = format!("r-{:016x}", rand_id());
    let headers = [
        ("request-id", id.as_str()),
        ("timeout-ms", "1000"),
        ("api-key", key),
    ];
    exchange(address, "GET", path, &headers, "").await
}

async fn status(node: &TestNode, key: &str) -> u16 {
    send(node.config.caller_address, key, "/pages/x")
        .await
        .status
}

async fn start(name: &str, store: &Arc<MemoryStore>) -> TestNode {
    let node = TestNode::start(name, &store.other_client()).await;
    node.wait_for(|| async { status(&node, "free").await == 200 })
        .await;
    node
}

/// Sends requests of a tenant to nodes in turn, `rate` per second in all, and returns the times at which
/// those that ran were answered, and the reasons of the others.
async fn load(
    nodes: &[&TestNode],
    key: &'static str,
    rate: u32,
    time: Duration,
) -> (Vec<Instant>, Vec<String>) {
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    let end = Instant::now() + time;
    let mut calls = Vec::new();
    for node in nodes.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        ticks.tick().await;
        let address = node.config.caller_address;
        calls.push(tokio::spawn(async move {
            let answer = send(address, key, "/pages/x").await;
            (answer, Instant::now())
        }));
    }
    let mut ran = Vec::new();
    let mut refused = Vec::new();
    for call in calls {
        let (answer, at) = call.await.expect("no panic");
        match answer.status {
            200 => ran.push(at),
            status => refused.push(format!("{status} {:?}", answer.header("reason"))),
        }
    }
    (ran, refused)
}

/// Returns the most answers in a window of 5 s.
fn peak(times: &[Instant]) -> usize {
    let window = Duration::from_secs(5);
    let counts = times.iter().map(|start| {
        let inside = |at: &&Instant| **at >= *start && **at < *start + window;
        times.iter().filter(inside).count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against a tenant that gets the limit at each node, or less than the limit in all, and against a
/// refusal that does not tell when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_share_limit() {
    let store = MemoryStore::default().other_client();
    store.publish(&limited(1, &[("free", 0.0), ("hot", 20.0)]));
    let (a, b, c) = tokio::join!(start("a", &store), start("b", &store), start("c", &store));
    let nodes = [&a, &b, &c];
    for node in nodes {
        wait_within(SETTLE_TIMEOUT, "a token", || async {
            status(node, "hot").await == 200
        })
        .await;
    }
    load(&nodes, "hot", 16, Duration::from_secs(5)).await;
    // Below the limit.
    let (ran, refused) = load(&nodes, "hot", 12, Duration::from_secs(5)).await;
    assert!(refused.is_empty(), "{refused:?}, {} ran", ran.len());
    // Above it: (20 x 5 + 20) x 1.1 + 20 are allowed in a window.
    let (ran, refused) = load(&nodes, "hot", 80, Duration::from_secs(8)).await;
    assert!(peak(&ran) <= 152, "{}", peak(&ran));
    assert!(ran.len() >= 136, "{}", ran.len());
    assert!(refused.len() > 200, "{}", refused.len());
    let mut refusal = send(a.config.caller_address, "hot", "/pages/x").await;
    while refusal.status == 200 {
        refusal = send(a.config.caller_address, "hot", "/pages/x").await;
    }
    assert_eq!(refusal.status, 429);
    assert_eq!(refusal.header("reason").as_deref(), Some("over-quota"));
    assert!(refusal.header("retry-after-ms").is_some());
    assert_eq!(status(&a, "free").await, 200);
}
