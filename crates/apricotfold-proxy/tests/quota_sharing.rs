//! Quotas of tenants that several nodes share.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{ApiKeyDigest, InstanceRecord, RawRouteTable, RawTenant};
use apricotfold_policy::choose_candidates;
use serde_json::Value;
use support::caller::{CallerResponse, exchange};
use support::store::MemoryStore;
use support::{TestNode, rand_id, table, wait_within};

/// Time within which a tenant must get its limit after nodes have started.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which the store turns a node away: its entry lapses after 6 s at the latest, others notice that within
/// 3.5 s, and a window of the limit follows.
const AWAY_TIME: Duration = Duration::from_secs(15);

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

/// Returns the node that owns the limit of a tenant, by the entries in the store.
fn owner(nodes: &[TestNode], store: &MemoryStore, tenant: &str) -> usize {
    let records: Vec<InstanceRecord> = nodes
        .iter()
        .map(|node| {
            let entry = store.read(&format!("apricotfold/nodes/{}", node.name));
            let entry: Value = serde_json::from_str(&entry.expect("an entry")).expect("JSON");
            serde_json::from_value(entry["record"].clone()).expect("a record")
        })
        .collect();
    let candidates = choose_candidates(records.iter());
    let owner = candidates.owner(tenant).expect("an owner");
    let owns = |node: &TestNode| node.name == owner.as_str();
    nodes.iter().position(owns).expect("a node")
}

/// Guards against a limit that has two owners: the store turns the first one away, and its entry lapses for
/// the others, while it goes on handing out what nobody holds. It must ask its successor instead.
#[tokio::test(flavor = "multi_thread")]
async fn owner_turned_away() {
    let store = MemoryStore::default().other_client();
    let mut table = limited(1, &[("free", 0.0), ("hot", 40.0)]);
    let tenants = table.tenants.iter_mut().flatten();
    tenants.for_each(|tenant| tenant.burst = tenant.burst.min(4.0));
    store.publish(&table);
    let mut clients = Vec::new();
    let mut nodes = Vec::new();
    // In small data centres, all nodes follow the store themselves.
    let places = [
        ("a", "poa-a"),
        ("b", "poa-a"),
        ("c", "poa-b"),
        ("d", "poa-b"),
        ("e", "fln-a"),
        ("f", "fln-a"),
    ];
    for (name, data_centre) in places {
        let client = store.other_client();
        nodes.push(TestNode::start_in(data_centre, name, &client).await);
        clients.push(client);
    }
    for node in &nodes {
        wait_within(SETTLE_TIMEOUT, "a token", || async {
            status(node, "hot").await == 200
        })
        .await;
    }
    // Half of the requests enter at the owner.
    let first = owner(&nodes, &store, "tenant-hot");
    let all: Vec<&TestNode> = nodes
        .iter()
        .flat_map(|node| [node, &nodes[first]])
        .collect();
    let (mut ran, _) = load(&all, "hot", 160, Duration::from_secs(10)).await;
    clients[first].set_unreachable(true);
    let (during, _) = load(&all, "hot", 160, AWAY_TIME).await;
    clients[first].set_unreachable(false);
    // Half of the limit at least, although another node takes over.
    assert!(during.len() >= 300, "{}", during.len());
    ran.extend(during);
    ran.extend(load(&all, "hot", 160, Duration::from_secs(6)).await.0);
    ran.sort_unstable();
    // (40 x 5 + 4) x 1.1 + 20
    assert!(peak(&ran) <= 244, "{}", peak(&ran));
}

/// Guards against a limit that nobody owns while the store answers no node: a tenant below its limit must
/// not be refused for that long.
#[tokio::test(flavor = "multi_thread")]
async fn store_away_for_all() {
    let store = MemoryStore::default().other_client();
    store.publish(&limited(1, &[("free", 0.0), ("hot", 20.0)]));
    let clients = [
        store.other_client(),
        store.other_client(),
        store.other_client(),
    ];
    let mut nodes = Vec::new();
    for (name, client) in ["a", "b", "c"].into_iter().zip(&clients) {
        nodes.push(TestNode::start(name, client).await);
    }
    for node in &nodes {
        wait_within(SETTLE_TIMEOUT, "a token", || async {
            status(node, "hot").await == 200
        })
        .await;
    }
    let all: Vec<&TestNode> = nodes.iter().collect();
    load(&all, "hot", 12, Duration::from_secs(8)).await;
    for client in &clients {
        client.set_unreachable(true);
    }
    let (ran, refused) = load(&all, "hot", 12, Duration::from_secs(12)).await;
    assert!(refused.is_empty(), "{refused:?}, {} ran", ran.len());
    // Demand that moves to one node finds what nobody holds, which only an owner hands out.
    let (ran, refused) = load(&all[..1], "hot", 12, Duration::from_secs(6)).await;
    assert!(refused.len() <= 6, "{refused:?}, {} ran", ran.len());
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
