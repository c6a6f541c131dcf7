//! Requests that crash every target that runs them, sent again through any proxy.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use support::store::MemoryStore;
use support::target::TargetMode;
use support::{TestNode, table, wait_for};

/// Number of nodes, enough in one data centre for relays to be used.
const NODES: usize = 12;

/// Number of nodes of which most do not exchange state with each other within some seconds.
const MANY_NODES: usize = 40;

/// Number of other crashing requests, more than a node reports as such.
const OTHER_REQUESTS: usize = 40;

/// Time after the third crash from which on a request that crashes targets must be known.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Sends of such a request that may still reach a target after that, over all proxies.
const MAX_LATE_SENDS: usize = 3;

/// Time for which a crashed target stays down.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Time after which the entry of a node that has ended is no longer in the store.
const LAPSE_TIME: Duration = Duration::from_millis(6_500);

/// Timeout of calls in milliseconds.
const TIMEOUT: &str = "1500";

/// Time within which all nodes know each other.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Proxies with their targets, and their views of the store.
struct CrashMesh {
    nodes: Vec<TestNode>,
    clients: Vec<Arc<MemoryStore>>,
}

impl CrashMesh {
    /// Starts nodes of one data centre and waits until they serve.
    async fn start(count: usize) -> Self {
        let store = MemoryStore::default().other_client();
        store.publish(&table(1));
        let mut mesh = Self {
            nodes: Vec::new(),
            clients: Vec::new(),
        };
        for _ in 0..count {
            mesh.add_node(&store.other_client()).await;
        }
        for node in &mesh.nodes {
            node.wait_serving().await;
        }
        mesh
    }

    async fn add_node(&mut self, client: &Arc<MemoryStore>) {
        let name = format!("n{}", self.nodes.len());
        let node = TestNode::start_killable(&name, client).await;
        self.nodes.push(node);
        self.clients.push(client.clone());
    }

    /// Sends a request that is not retried through a node, and returns the reason of its refusal.
    async fn send(&self, node: usize, path: &str) -> String {
        let answer = self.nodes[node].call("POST", path, TIMEOUT).await;
        answer.header("reason").unwrap_or_default()
    }

    /// Crashes the target of a node with a request and starts its next incarnation.
    async fn crash(&self, node: usize, path: &str) {
        let node = &self.nodes[node];
        let before = node.target.crashes();
        let crashed = || async {
            // A full target's proxy refuses it, so it may take several sends.
            node.call_target(path, 1_000).await;
            node.target.crashes() > before
        };
        wait_for("crash", crashed).await;
        tokio::time::sleep(DOWN_TIME).await;
        node.revive().await;
    }

    /// Crashes the targets of two nodes with a request, and that of a third one if the request is not
    /// refused there.
    async fn crash_thrice(&self, nodes: &[usize], path: &str) {
        for node in &nodes[..2] {
            self.crash(*node, path).await;
        }
        let third = &self.nodes[nodes[2]];
        third.call_target(path, 1_000).await;
        tokio::time::sleep(DOWN_TIME).await;
        if third.target.crashes() > 0 {
            third.revive().await;
        }
    }

    /// Sends a request to the targets of nodes after the time within which it must be known, and
    /// returns how many of these sends reached a target.
    async fn late_sends(&self, nodes: &[usize], path: &str) -> usize {
        tokio::time::sleep(STABLE_WINDOW).await;
        let before = self.runs(path);
        for node in nodes {
            self.nodes[*node].call_target(path, 1_000).await;
        }
        self.runs(path) - before
    }

    /// Returns how often the targets have received a path.
    fn runs(&self, path: &str) -> usize {
        let calls = self.nodes.iter().flat_map(|node| node.target.calls(path));
        calls.filter(|call| call.path == path).count()
    }

    fn set_store_away(&self, away: bool) {
        for client in &self.clients {
            client.set_unreachable(away);
        }
    }

    /// Waits until only relays watch the store, and returns the other nodes.
    async fn wait_relays(&self) -> Vec<usize> {
        support::wait_within(START_TIMEOUT, "relays", || async {
            let watching = |client: &&Arc<MemoryStore>| client.watches() > 0;
            self.clients.iter().filter(watching).count() <= 2
        })
        .await;
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|index| self.clients[*index].watches() == 0)
            .collect()
    }
}

/// Guards against crashes that only the nodes hear of at whose targets they happened, so that each
/// target that is reached crashes once.
#[tokio::test(flavor = "multi_thread")]
async fn known_everywhere() {
    let mesh = CrashMesh::start(NODES).await;
    let nodes = mesh.wait_relays().await;
    let (crashed, others) = nodes.split_at(3);
    mesh.crash_thrice(crashed, "/orders/crash").await;
    let late = mesh.late_sends(others, "/orders/crash").await;
    assert!(late <= MAX_LATE_SENDS, "{late} sends reached a target");
    assert_eq!(
        mesh.send(NODES - 1, "/orders/crash").await,
        "poison-request"
    );
}

/// Guards against crashes that do not spread while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn known_without_store() {
    let mesh = CrashMesh::start(MANY_NODES).await;
    let nodes = mesh.wait_relays().await;
    mesh.set_store_away(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (crashed, others) = nodes.split_at(3);
    mesh.crash_thrice(crashed, "/orders/crash").await;
    let late = mesh.late_sends(others, "/orders/crash").await;
    assert!(late <= MAX_LATE_SENDS, "{late} sends reached a target");
}

/// Guards against a full target's rejection that clears a request of the crashes counted so far.
#[tokio::test(flavor = "multi_thread")]
async fn rejection_clears_nothing() {
    let mesh = CrashMesh::start(3).await;
    let full = &mesh.nodes[2];
    full.target.set_mode(TargetMode::Full);
    mesh.crash(0, "/orders/crash").await;
    tokio::time::sleep(STABLE_WINDOW).await;
    full.call_target("/orders/crash", 1_000).await;
    full.target.set_mode(TargetMode::Scripted);
    mesh.crash(1, "/orders/crash").await;
    let late = mesh.late_sends(&[2], "/orders/crash").await;
    assert_eq!(late, 0, "sends reached a target");
}

/// Guards against a failed answer that clears a request: a target can fail a request before it
/// begins to run it.
#[tokio::test(flavor = "multi_thread")]
async fn failure_clears_nothing() {
    let mesh = CrashMesh::start(3).await;
    let failing = &mesh.nodes[2];
    failing.target.set_mode(TargetMode::Failing);
    mesh.crash(0, "/orders/crash").await;
    tokio::time::sleep(STABLE_WINDOW).await;
    failing.call_target("/orders/crash", 1_000).await;
    failing.target.set_mode(TargetMode::Scripted);
    mesh.crash(1, "/orders/crash").await;
    let late = mesh.late_sends(&[2], "/orders/crash").await;
    assert_eq!(late, 0, "sends reached a target");
}

/// Guards against crashes that are lost because the node that counted them has restarted since, and
/// against a restarted node that knows none of those before.
#[tokio::test(flavor = "multi_thread")]
async fn forgotten_by_restart() {
    let mut mesh = CrashMesh::start(3).await;
    mesh.crash(0, "/orders/crash").await;
    let client = mesh.clients[0].clone();
    mesh.nodes[0].kill_process().await;
    tokio::time::sleep(LAPSE_TIME).await;
    mesh.nodes[0].start_process(&client).await;
    mesh.nodes[0].announce_current().await;
    mesh.crash(0, "/orders/crash").await;
    let late = mesh.late_sends(&[0, 1, 2], "/orders/crash").await;
    assert_eq!(late, 0, "sends reached a target");
    let client = mesh.clients[1].clone();
    mesh.nodes[1].kill_process().await;
    mesh.nodes[1].start_process(&client).await;
    mesh.nodes[1].announce_current().await;
    let late = mesh.late_sends(&[1], "/orders/crash").await;
    assert_eq!(late, 0, "sends reached a target");
}

/// Checks that two crashes by a path of this kind block it everywhere. The path has no retries.
async fn check_blocked(path: &str) {
    let mesh = CrashMesh::start(3).await;
    mesh.crash(0, path).await;
    mesh.crash(1, path).await;
    let late = mesh.late_sends(&[0, 1, 2], path).await;
    assert_eq!(late, 0, "sends reached a target");
}

/// Guards against a crash that is not counted because the response had begun.
#[tokio::test(flavor = "multi_thread")]
async fn crash_after_head() {
    check_blocked("/orders/crash-after-head").await;
}

/// Guards against a crash that is not counted because the next incarnation already listens.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_at_once() {
    check_blocked("/orders/crash-replaced").await;
}

/// Guards against a crash that is not counted because the target falls silent instead of closing
/// its connections.
#[tokio::test(flavor = "multi_thread")]
async fn silent_target() {
    check_blocked("/orders/crash-silently").await;
}

/// Guards against a crash that is not counted because the caller had left or timed out before.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_call() {
    let path = "/orders/crash-later";
    let mesh = CrashMesh::start(3).await;
    for node in &mesh.nodes[..2] {
        // The caller disconnects while the request runs.
        let call = node.call_target(path, 1_000);
        let _ = tokio::time::timeout(Duration::from_millis(100), call).await;
        wait_for("crash", || async { node.target.crashes() > 0 }).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        node.revive().await;
    }
    let late = mesh.late_sends(&[0, 1, 2], path).await;
    assert_eq!(late, 0, "sends reached a target");
}

/// Guards against a crash that nobody counts because the node ended together with its target.
#[tokio::test(flavor = "multi_thread")]
async fn node_lost_with_target() {
    let path = "/orders/hold";
    let mut mesh = CrashMesh::start(3).await;
    mesh.nodes[2].leave().await;
    for (lost, other) in [(0, 1), (1, 0)] {
        // Only the node that is lost next has a target that takes work.
        mesh.nodes[other].leave().await;
        let before = mesh.nodes[lost].target.calls("hold").len();
        let [entry, node] = [2, lost].map(|index| &mesh.nodes[index]);
        entry
            .wait_for(|| async {
                let call = entry.call("POST", path, "1500");
                let _ = tokio::time::timeout(Duration::from_millis(100), call).await;
                node.target.calls("hold").len() > before
            })
            .await;
        mesh.nodes[lost].target.kill();
        let client = mesh.clients[lost].clone();
        mesh.nodes[lost].kill_process().await;
        mesh.nodes[lost].start_process(&client).await;
        for node in &mesh.nodes[..2] {
            node.revive().await;
        }
    }
    tokio::time::sleep(STABLE_WINDOW).await;
    assert_eq!(mesh.send(2, path).await, "poison-request");
}

/// Guards against an entry node that sends a blocked request on to one target after another.
#[tokio::test(flavor = "multi_thread")]
async fn refused_at_entry() {
    let mut mesh = CrashMesh::start(3).await;
    mesh.crash(0, "/orders/crash").await;
    mesh.crash(1, "/orders/crash").await;
    tokio::time::sleep(STABLE_WINDOW).await;
    mesh.nodes[2].leave().await;
    mesh.nodes[0].kill_process().await;
    mesh.nodes[1].kill_process().await;
    // No target can be reached, so the reason must come from the entry node itself.
    assert_eq!(mesh.send(2, "/orders/crash").await, "poison-request");
}

/// Guards against a request whose crashes are not counted because it was answered shortly before.
#[tokio::test(flavor = "multi_thread")]
async fn answered_before() {
    let mesh = CrashMesh::start(4).await;
    for node in &mesh.nodes {
        node.target.set_mode(TargetMode::Sound);
        node.call_target("/orders/crash", 1_000).await;
    }
    for (index, node) in mesh.nodes.iter().enumerate() {
        node.target.set_mode(TargetMode::Scripted);
        if index < 3 {
            mesh.crash(index, "/orders/crash").await;
        }
    }
    let late = mesh.late_sends(&[0, 1, 2, 3], "/orders/crash").await;
    assert_eq!(late, 0, "sends reached a target");
}

/// Guards against many crashes after which nodes that join do not hear of an earlier one.
#[tokio::test(flavor = "multi_thread")]
async fn many_crashes() {
    let mut mesh = CrashMesh::start(2).await;
    for node in 0..2 {
        mesh.crash(node, "/orders/crash").await;
    }
    for index in 0..OTHER_REQUESTS {
        let paths = [0, 1].map(|node| format!("/orders/crash-other/{node}/{index}"));
        let crashes = paths.iter().enumerate();
        join_all(crashes.map(|(node, path)| mesh.crash(node, path))).await;
    }
    let client = mesh.clients[0].other_client();
    mesh.add_node(&client).await;
    let late = mesh.late_sends(&[2], "/orders/crash").await;
    assert_eq!(late, 0, "sends reached a target");
}

/// Guards against popular requests that are refused because they are in flight at most crashes.
#[tokio::test(flavor = "multi_thread")]
async fn popular_requests() {
    let mesh = CrashMesh::start(4).await;
    let popular = "/pages/slow/popular";
    let load = async {
        let mut refused = Vec::new();
        for _ in 0..12 {
            let calls = mesh
                .nodes
                .iter()
                .map(|node| node.call("GET", popular, TIMEOUT));
            let answers = join_all(calls).await;
            refused.extend(
                answers
                    .into_iter()
                    .filter(|answer| answer.header("reason").as_deref() == Some("poison-request")),
            );
        }
        refused
    };
    let crashes = async {
        for round in 0..2 {
            for node in 0..3 {
                tokio::time::sleep(Duration::from_millis(700)).await;
                let path = format!("/orders/crash/{round}/{node}");
                mesh.crash(node, &path).await;
            }
        }
    };
    let (refused, ()) = tokio::join!(load, crashes);
    assert!(
        refused.is_empty(),
        "{} refused: {:?}",
        refused.len(),
        refused.first()
    );
    let after = mesh.nodes[0].call("GET", popular, TIMEOUT).await;
    assert_eq!(after.status, 200);
}
