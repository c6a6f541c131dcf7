//! Times of day that jump, on instances and on targets.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::store::MemoryStore;
use support::target::TargetMode;
use support::{TestNode, table, wait_for, wait_within};

/// Jump that is longer than the time for which departures and crashes are remembered.
const LONG_JUMP: Duration = Duration::from_mins(11);

/// Jump of a few seconds.
const SHORT_JUMP: Duration = Duration::from_secs(5);

/// Time within which a target that announces itself must be in use.
const USE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time in which what a node knows has reached all others.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Interval of a target's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(800);

/// Path of a request that crashes targets and is not sent again.
const POISON: &str = "/orders/crash";

/// Starts a node whose target takes work and one that has none.
async fn start_pair() -> (Arc<MemoryStore>, TestNode, TestNode) {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start_killable("a", &store).await;
    let entry = TestNode::start_unannounced("b", &store.other_client()).await;
    entry.wait_serving().await;
    (store, node, entry)
}

async fn wait_in_use(entry: &TestNode, what: &str) {
    wait_within(USE_TIMEOUT, what, || async {
        let path = format!("/pages/{what}");
        entry.call("GET", &path, "500").await.status == 200
    })
    .await;
}

/// Waits until a node knows that no target takes work.
async fn wait_unused(entry: &TestNode) {
    let is_unused = || async {
        let answer = entry.call("GET", "/pages/unused", "300").await;
        answer.header("reason").as_deref() == Some("no-target")
    };
    entry.wait_for(is_unused).await;
}

/// Announces an incarnation of a node's target until it is in use.
async fn announce_until_used(node: &TestNode, entry: &TestNode, instance: &str, born: u64) {
    let announce = async {
        for number in 1.. {
            node.announce_as(instance, born, number, "ready").await;
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    };
    tokio::select! {
        () = announce => {}
        () = wait_in_use(entry, instance) => {}
    }
}

/// Guards against a target that is not used for minutes because its node was stopped and started
/// again, and its clock was set back meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn node_set_back() {
    let (store, mut node, entry) = start_pair().await;
    let key = "apricotfold/nodes/a";
    node.kill_process().await;
    // The entry as a process that is stopped leaves it.
    let ready = store.read(key).expect("an entry");
    let leaving = ready.replace("\"state\":\"ready\"", "\"state\":\"draining\"");
    store.write(key, &leaving);
    wait_unused(&entry).await;
    store.remove(key);
    node.clock.set_behind(LONG_JUMP);
    node.start_process(&store).await;
    announce_until_used(&node, &entry, "i-a", 1).await;
}

/// Guards against a target that is not used because its instance's clock was set back while it was
/// replaced, and against a departed one that is used again.
#[tokio::test(flavor = "multi_thread")]
async fn successor_set_back() {
    let (_store, node, entry) = start_pair().await;
    node.announce_as("i-a", 100, 1, "ready").await;
    node.announce_as("i-a", 100, 2, "draining").await;
    wait_unused(&entry).await;
    node.leave_as("i-a", 100).await;
    announce_until_used(&node, &entry, "i-next", 50).await;
    for number in 3..=4 {
        node.announce_as("i-a", 100, number, "ready").await;
    }
    let call = entry.call("GET", "/pages/i-next", "500").await;
    assert_eq!(call.status, 200, "{call:?}");
}

/// Guards against a target that is not used again under the id that it had, because its instance's
/// clock was set back meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn same_id_set_back() {
    let (_store, node, entry) = start_pair().await;
    node.announce_as("i-a", 100, 1, "ready").await;
    node.leave_as("i-a", 100).await;
    wait_unused(&entry).await;
    announce_until_used(&node, &entry, "i-a", 50).await;
}

/// Starts nodes with targets in one data centre.
async fn start_mesh(count: usize) -> Vec<TestNode> {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let mut nodes = Vec::new();
    for index in 0..count {
        let name = format!("n{index}");
        nodes.push(TestNode::start_killable(&name, &store.other_client()).await);
    }
    for node in &nodes {
        node.wait_serving().await;
    }
    nodes
}

/// Crashes a node's target and starts its next incarnation.
async fn crash(node: &TestNode) {
    let before = node.target.crashes();
    wait_for("crash", || async {
        node.call_target(POISON, 1_000).await;
        node.target.crashes() > before
    })
    .await;
    node.revive().await;
}

/// Returns why the node beside a target refuses the request, as far as it knows itself.
async fn refusal(node: &TestNode) -> String {
    let reason = node.call_target(POISON, 1_000).await;
    reason.unwrap_or_default()
}

/// Guards against marks of crashes that other nodes take for expired because the clock of the node
/// that noticed them is behind theirs.
#[tokio::test(flavor = "multi_thread")]
async fn marks_of_late_clocks() {
    let nodes = start_mesh(3).await;
    for node in &nodes[..2] {
        node.clock.set_behind(LONG_JUMP);
        crash(node).await;
    }
    tokio::time::sleep(SPREAD_TIME).await;
    assert_eq!(refusal(&nodes[2]).await, "poison-request");
}

/// Guards against a block that ends at once because clocks are set forward.
#[tokio::test(flavor = "multi_thread")]
async fn block_outlives_jump() {
    let nodes = start_mesh(3).await;
    for node in &nodes[..2] {
        crash(node).await;
    }
    tokio::time::sleep(SPREAD_TIME).await;
    for node in &nodes {
        node.clock.set_ahead(LONG_JUMP);
    }
    assert_eq!(refusal(&nodes[2]).await, "poison-request");
}

/// Guards against an answer that clears a request of later crashes, because the clocks of the nodes
/// that noticed them are behind.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer() {
    let nodes = start_mesh(4).await;
    let sound = &nodes[3].target;
    sound.set_mode(TargetMode::Sound);
    nodes[3].call_target(POISON, 1_000).await;
    sound.set_mode(TargetMode::Scripted);
    for node in &nodes[..3] {
        node.clock.set_behind(SHORT_JUMP);
        crash(node).await;
    }
    tokio::time::sleep(SPREAD_TIME).await;
    assert_eq!(refusal(&nodes[3]).await, "poison-request");
}
