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
    // Until about 6 s after their start, owners lease only a part of the limit.
    load(&nodes, "hot", 12, Duration::from_secs(8)).await;
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

/// Cuts a link, or ends that.
async fn set_cut(admin: SocketAddr, cut: bool) {
    let faults = serde_json::json!({"to_upstream": {"cut": cut}, "to_client": {"cut": cut}});
    let headers = [("content-type", "application/json")];
    let answer = exchange(admin, "PUT", "/admin/faults", &headers, &faults.to_string()).await;
    assert_eq!(answer.status, 200);
}

/// Guards against nodes that are cut off from each other, and two of them from the store, and then each
/// lease the whole limit; against ones that stop at once; and against a limit that is lost afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_nodes() {
    let store = MemoryStore::default().other_client();
    store.publish(&limited(1, &[("free", 0.0), ("hot", 20.0)]));
    let clients = [
        store.other_client(),
        store.other_client(),
        store.other_client(),
    ];
    let [first, second, third] = &clients;
    let ((a, link_a), (b, link_b), (c, link_c)) = tokio::join!(
        TestNode::start_behind_link("a", first),
        TestNode::start_behind_link("b", second),
        TestNode::start_behind_link("c", third),
    );
    let nodes = [&a, &b, &c];
    for node in nodes {
        wait_within(SETTLE_TIMEOUT, "a token", || async {
            status(node, "hot").await == 200
        })
        .await;
    }
    let (mut ran, _) = load(&nodes, "hot", 60, Duration::from_secs(6)).await;
    for admin in [link_a, link_b, link_c] {
        set_cut(admin, true).await;
    }
    first.set_unreachable(true);
    second.set_unreachable(true);
    let (cut_off, _) = load(&nodes, "hot", 60, Duration::from_secs(8)).await;
    assert!(cut_off.len() >= 60, "{}", cut_off.len());
    ran.extend(cut_off);
    for admin in [link_a, link_b, link_c] {
        set_cut(admin, false).await;
    }
    first.set_unreachable(false);
    second.set_unreachable(false);
    let (after, _) = load(&nodes, "hot", 60, Duration::from_secs(10)).await;
    assert!(after.len() >= 130, "{}", after.len());
    ran.extend(after);
    ran.sort_unstable();
    assert!(peak(&ran) <= 152, "{}", peak(&ran));
}

/// Guards against a node that is alone and waits for others, against messages that end it or change what
/// it grants, and against a token that is lost with a request that has not run.
#[tokio::test(flavor = "multi_thread")]
async fn bad_messages() {
    let store = MemoryStore::default().other_client();
    store.publish(&limited(1, &[("free", 0.0), ("one", 20.0)]));
    let node = start("a", &store).await;
    wait_within(SETTLE_TIMEOUT, "a token", || async {
        status(&node, "one").await == 200
    })
    .await;
    let bodies = [
        "",
        "[]",
        "{\"shares\":[]}",
        "{\"shares\":[\"b\",[1,1],[[\"tenant-one\",[-1,1],1,1,1]]]}",
        "{\"shares\":[\"b\",[1,2],[[\"tenant-one\",[1e300,1],1,1,1]]]}",
        "{\"shares\":[\"b\",[1,3],[[\"tenant-one\",[1,1],1,1e999,1]]]}",
        // A node's own name.
        "{\"shares\":[\"a\",[1,4],[[\"tenant-one\",[20,20],15000,20,20]]]}",
        "{\"unknown\":1}",
    ];
    for body in bodies {
        let headers = [("apricotfold-quota", "1")];
        let answer = exchange(node.config.peer_address, "POST", "/", &headers, body).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "[]"), "{body}");
    }
    let valid = "{\"shares\":[\"b\",[1,9],[[\"tenant-one\",[0,0],0,0,0],[\"other\",[0,0],0,1,1]]]}";
    for expected in ["[[[0.0,0.0],0.0,0,20.0],[null,0.0,0,0.0]]", "[]"] {
        // The second time, the message is not newer than the first.
        let headers = [("apricotfold-quota", "1")];
        let answer = exchange(node.config.peer_address, "POST", "/", &headers, valid).await;
        assert_eq!(answer.body, expected);
    }
    // Settled by now, the node alone has the whole limit.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (ran, refused) = load(&[&node], "one", 12, Duration::from_secs(4)).await;
    assert!(refused.is_empty(), "{refused:?}, {} ran", ran.len());
    // What the target refuses to run costs no tokens.
    for _ in 0..100 {
        let answer = send(node.config.caller_address, "one", "/orders/shed").await;
        let reason = answer.header("reason");
        assert_ne!(
            (answer.status, reason.as_deref()),
            (429, Some("over-quota"))
        );
        assert_ne!(answer.status, 200);
    }
}
