//! Announcements and departures that another program on the instance sends.

mod support;

use std::time::Duration;

use apricotfold_model::TableService;
use serde_json::{Value, json};
use support::caller::exchange;
use support::store::MemoryStore;
use support::{SERVICE, TestNode, table};

/// Number of messages in a flood.
const FLOOD: u64 = 300;

/// Largest number of health checks that a flood may cause.
const MAX_CHECKS: usize = 20;

/// Returns what another program announces, as well-formed as the target's own announcements.
fn foreign(node: &TestNode, number: u64) -> Value {
    json!({
        "instance": "x-1", "born": 1_000_000 + number, "number": number, "service": SERVICE,
        "slots": 4, "state": "ready", "address": node.target.address, "version": null,
    })
}

async fn send(node: &TestNode, path: &str, body: &str) {
    let address = node.config.announce_address;
    let answer = exchange(address, "POST", path, &[], body).await;
    assert_eq!(answer.status, 200, "{body}");
}

async fn announce(node: &TestNode, body: &Value) {
    send(node, "/announce", &body.to_string()).await;
}

async fn assert_served(node: &TestNode, what: &str) {
    let answer = node.call("GET", "/pages/kept", "1000").await;
    assert_eq!(answer.status, 200, "after {what}: {answer:?}");
}

async fn start() -> (std::sync::Arc<MemoryStore>, TestNode) {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start("a", &store).await;
    node.wait_serving().await;
    (store, node)
}

fn entry(store: &MemoryStore) -> Value {
    let entry = store.read("apricotfold/nodes/a").expect("an entry");
    serde_json::from_str(&entry).expect("JSON")
}

/// Guards against a program that takes the place of the target, which then counts as crashed.
#[tokio::test(flavor = "multi_thread")]
async fn other_service() {
    let (store, node) = start().await;
    for number in 1..=20 {
        let mut body = foreign(&node, number);
        body["service"] = "agenda".into();
        announce(&node, &body).await;
        assert_served(&node, "another service").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(entry(&store)["record"]["instance"], "i-a");
    assert_eq!(entry(&store)["crash-marks"], json!({}));
}

/// Guards against a message that changes the known target, or whose number hides its next announcements.
#[tokio::test(flavor = "multi_thread")]
async fn known_id() {
    let (store, node) = start().await;
    let fields = [
        ("service", json!("agenda")),
        ("address", json!("127.0.0.1:9")),
        ("slots", json!(0)),
        ("slots", json!("many")),
        ("state", json!("asleep")),
        ("state", Value::Null),
    ];
    for (field, value) in fields {
        let mut body = foreign(&node, 1_000);
        body["instance"] = "i-a".into();
        body["born"] = 1.into();
        body[field] = value;
        announce(&node, &body).await;
        assert_served(&node, field).await;
    }
    send(&node, "/announce", "\u{1}not JSON").await;
    node.announce(2, "draining").await;
    assert_eq!(entry(&store)["record"]["state"], "draining");
}

/// Guards against a flood of new ids that becomes a flood of health checks, or displaces the target.
#[tokio::test(flavor = "multi_thread")]
async fn many_ids() {
    let (_store, node) = start().await;
    let before = node.target.health_checks();
    for number in 1..=FLOOD {
        let mut body = foreign(&node, number);
        body["instance"] = format!("x-{}", number / 2).into();
        announce(&node, &body).await;
    }
    let checks = node.target.health_checks() - before;
    assert!(checks <= MAX_CHECKS, "{checks} health checks");
    assert_served(&node, "a flood").await;
}

/// Guards against departures of unknown targets that are written to the store, replace the target's own,
/// or make the node forget it.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_departures() {
    let (store, node) = start().await;
    for number in 1..=20 {
        node.leave_as(&format!("x-{number}"), number).await;
    }
    assert_served(&node, "departures").await;
    node.leave().await;
    for number in 1..=20 {
        node.leave_as(&format!("x-{number}"), 1_000_000 + number)
            .await;
    }
    node.announce(9, "ready").await;
    node.announce(10, "ready").await;
    let entry = entry(&store);
    assert_eq!(entry["record"]["instance"], "i-a");
    assert_eq!(entry["record"]["state"], "gone");
}

/// Guards against a process that believes any announcement before it has its first table, which names the path
/// of the health check.
#[tokio::test(flavor = "multi_thread")]
async fn before_first_table() {
    let store = MemoryStore::default().other_client();
    let node = TestNode::start_unannounced("a", &store).await;
    announce(&node, &foreign(&node, 1)).await;
    node.announce(1, "ready").await;
    store.publish(&table(1));
    let ready = || exchange(node.config.ready_address, "GET", "/ready", &[], "");
    node.wait_for(|| async { ready().await.status == 200 })
        .await;
    announce(&node, &foreign(&node, 2)).await;
    node.announce(2, "ready").await;
    node.wait_serving().await;
    assert_eq!(entry(&store)["record"]["instance"], "i-a");
}

/// Guards against a target that is refused because no table names its service yet.
#[tokio::test(flavor = "multi_thread")]
async fn service_named_later() {
    let store = MemoryStore::default().other_client();
    let mut first = table(1);
    first.routes.clear();
    first.services = vec![TableService {
        name: "agenda".into(),
        health_path: "/health".into(),
    }];
    store.publish(&first);
    let node = TestNode::start("a", &store).await;
    store.publish(&table(2));
    node.wait_serving().await;
}
