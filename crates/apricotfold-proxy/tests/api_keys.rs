//! Requests with API keys in a mesh whose route table has tenants.

mod support;

use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::{ApiKeyDigest, RawRouteTable, RawTenant};
use support::caller::{CallerConnection, CallerResponse, exchange, request};
use support::store::MemoryStore;
use support::target::header;
use support::{TestNode, rand_id, table, wait_within};

/// Time after which a new table must be in force, as operators expect.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after which a node whose watch is lost must have learnt of a withdrawn key.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a table with a tenant for each key, named after it, and a public route for proofs.
fn keyed(version: u64, keys: &[&str]) -> RawRouteTable {
    let mut table = table(version);
    table.routes[2].public = true;
    let tenant = |key: &&str| RawTenant {
        name: format!("tenant-{key}").into(),
        keys: vec![ApiKeyDigest::of(key.as_bytes())],
        priority: None,
        rate: 0.0,
        burst: 0.0,
    };
    table.tenants = Some(keys.iter().map(tenant).collect());
    table
}

async fn send(node: &TestNode, path: &str, headers: &[(&str, &str)]) -> CallerResponse {
    let id = format!("r-{:016x}", rand_id());
    let mut all = vec![("request-id", id.as_str()), ("timeout-ms", "1000")];
    all.extend(headers);
    exchange(node.config.caller_address, "GET", path, &all, "").await
}

async fn start(name: &str, store: &Arc<MemoryStore>) -> TestNode {
    let node = TestNode::start(name, store).await;
    node.wait_for(|| async { send(&node, "/proofs/warm-up", &[]).await.status == 200 })
        .await;
    node
}

async fn status(node: &TestNode, key: &str) -> u16 {
    send(node, "/pages/x", &[("api-key", key)]).await.status
}

/// Guards against requests that run without a valid key, and against a tenant that a caller chose.
#[tokio::test(flavor = "multi_thread")]
async fn keys_identify_tenants() {
    let store = MemoryStore::default().other_client();
    store.publish(&keyed(1, &["one", "two"]));
    let node = start("a", &store).await;
    for key in ["three", "", "on", "onee"] {
        assert_eq!(status(&node, key).await, 401, "{key:?}");
    }
    assert_eq!(send(&node, "/pages/x", &[]).await.status, 401);
    assert_eq!(send(&node, "/nowhere/x", &[]).await.status, 503);
    assert!(node.target.calls("pages").is_empty());

    let forged = [
        ("api-key", "two"),
        ("tenant", "tenant-one"),
        ("TENANT", "other"),
        ("apricotfold-tenant", "\"tenant-one\""),
    ];
    assert_eq!(send(&node, "/pages/forged", &forged).await.status, 200);
    assert_eq!(
        send(&node, "/proofs/public", &forged[1..]).await.status,
        200
    );
    let call = node.target.calls("pages/forged").remove(0);
    assert_eq!(header(&call.head, "tenant").as_deref(), Some("tenant-two"));
    let public = node.target.calls("proofs/public").remove(0);
    assert_eq!(header(&public.head, "tenant"), None);
    for head in [call.head, public.head] {
        assert!(!head.to_lowercase().contains("api-key"), "{head}");
        assert!(!head.contains("tenant-one"), "{head}");
    }
}

/// Guards against a key that passes between nodes, and against a tenant that is lost on the way.
#[tokio::test(flavor = "multi_thread")]
async fn tenant_reaches_other_nodes() {
    let store = MemoryStore::default().other_client();
    store.publish(&keyed(1, &["one"]));
    let node = start("a", &store).await;
    let other = start("b", &store.other_client()).await;
    node.leave().await;
    wait_within(APPLY_TIMEOUT, "an answer of b", || async {
        status(&node, "one").await == 200
    })
    .await;
    let call = other.target.calls("pages/x").remove(0);
    assert_eq!(header(&call.head, "tenant").as_deref(), Some("tenant-one"));
    assert!(
        !call.head.to_lowercase().contains("api-key"),
        "{}",
        call.head
    );
}

/// Guards against a withdrawn key that goes on working on a connection that stays open, or at a node
/// whose watch has lost the answer.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_with_lost_watch() {
    let store = MemoryStore::default().other_client();
    store.publish(&keyed(1, &["one", "two"]));
    let _peer = start("b", &store.other_client()).await;
    let client = store.other_client();
    let node = start("a", &client).await;
    let mut kept = CallerConnection::open(node.config.caller_address).await;
    let text = request("GET", "/pages/x", &[("api-key", "two")], "");
    kept.send(&text).await;
    assert_eq!(kept.read().await.status, 200);
    client.lose_watches();
    store.publish(&keyed(2, &["one"]));
    wait_within(REVOKE_TIMEOUT, "the key is withdrawn", || async {
        status(&node, "two").await == 401
    })
    .await;
    kept.send(&text).await;
    assert_eq!(kept.read().await.status, 401);
    assert_eq!(status(&node, "one").await, 200);
}

/// Guards against a withdrawn key that works again after a restart, because the store came back from
/// an older copy.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_over_restart() {
    let store = MemoryStore::default().other_client();
    store.publish(&keyed(1, &["one", "two"]));
    let _peer = start("b", &store.other_client()).await;
    let copy = store.take_copy();
    store.publish(&keyed(2, &["one"]));
    let mut node = TestNode::start_killable("a", &store.other_client()).await;
    node.wait_for(|| async { status(&node, "two").await == 401 })
        .await;
    store.restore(&copy);
    node.kill_process().await;
    node.start_process(&store.other_client()).await;
    node.announce_current().await;
    node.wait_for(|| async { status(&node, "one").await == 200 })
        .await;
    wait_within(APPLY_TIMEOUT, "the key stays withdrawn", || async {
        status(&node, "two").await == 401
    })
    .await;
}

/// Guards against a node that calls a key unknown although it may only have an older table.
#[tokio::test(flavor = "multi_thread")]
async fn unverified_without_store() {
    let store = MemoryStore::default().other_client();
    store.publish(&keyed(1, &["one"]));
    let node = start("a", &store).await;
    assert_eq!(status(&node, "two").await, 401);
    store.set_unreachable(true);
    node.wait_for(|| async { status(&node, "two").await == 503 })
        .await;
    assert_eq!(status(&node, "one").await, 200);
    store.set_unreachable(false);
    node.wait_for(|| async { status(&node, "two").await == 401 })
        .await;
}

/// Guards against calls of running requests that are refused because they carry no key, and against
/// callers that pretend to be such a call.
#[tokio::test(flavor = "multi_thread")]
async fn nested_calls_need_none() {
    let store = MemoryStore::default().other_client();
    store.publish(&keyed(1, &["one"]));
    let node = start("a", &store).await;
    let address = node.config.caller_address;
    let parent = tokio::spawn(async move {
        let headers = [
            ("request-id", "r-parent"),
            ("timeout-ms", "1500"),
            ("api-key", "one"),
        ];
        exchange(address, "GET", "/pages/slow", &headers, "").await
    });
    node.wait_for(|| async { !node.target.calls("pages/slow").is_empty() })
        .await;
    let nested = [("request-id", "r-parent/1"), ("timeout-ms", "500")];
    let answer = exchange(address, "GET", "/pages/nested", &nested, "").await;
    assert_eq!(answer.status, 200);
    let forged = [("request-id", "r-unknown/1"), ("timeout-ms", "500")];
    let answer = exchange(address, "GET", "/pages/forged", &forged, "").await;
    assert_eq!(answer.status, 503);
    assert!(node.target.calls("pages/forged").is_empty());
    assert_eq!(parent.await.expect("no panic").status, 200);
}
