//! Relays of a data centre that end while others rely on them.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::store::{ClientLink, MemoryStore};
use support::{TestNode, table};

/// Number of nodes in the data centre, enough for relays to be used.
const NODES: usize = 9;

/// Number of nodes that follow the store for a data centre.
const RELAYS: usize = 2;

/// Time within which nodes take the roles that they should have.
const ROLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time within which operators expect a new table to be active.
const ACTIVATION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a process goes on after its instance has left, within which others take its place.
const STOP_TIME: Duration = Duration::from_secs(2);

/// Time that successors with slow links take to read the table.
const SLOW_READ: Duration = Duration::from_secs(4);

/// Number and interval of changes after which the store's watches deliver entries with the longest pauses.
const CHANGES: u32 = 20;
const CHANGE_INTERVAL: Duration = Duration::from_millis(350);

/// Nodes of one data centre with their views of the store.
struct KillableMesh {
    store: Arc<MemoryStore>,
    nodes: Vec<(TestNode, Arc<MemoryStore>)>,
    /// Latest version that was published.
    version: u64,
}

impl KillableMesh {
    /// Starts the nodes with table 1 and waits until only the relays follow the store.
    async fn start() -> Self {
        let store = MemoryStore::default().other_client();
        store.publish(&named(1));
        let mut nodes = Vec::new();
        for index in 0..NODES {
            let client = store.other_client();
            let node = TestNode::start_killable(&format!("n{index}"), &client).await;
            nodes.push((node, client));
        }
        let mesh = Self {
            store,
            nodes,
            version: 1,
        };
        support::wait_within(ROLE_TIMEOUT, "two relays", || async {
            mesh.following().len() == RELAYS
        })
        .await;
        mesh
    }

    /// Returns the names of the nodes that follow the store.
    fn following(&self) -> Vec<&str> {
        let following = self.nodes.iter().filter(|(_, client)| client.watches() > 0);
        following.map(|(node, _)| node.name.as_str()).collect()
    }

    /// Takes the relays out of the mesh.
    fn take_relays(&mut self) -> Vec<TestNode> {
        let nodes = std::mem::take(&mut self.nodes);
        let (relays, others) = nodes
            .into_iter()
            .partition(|(_, client)| client.watches() > 0);
        self.nodes = others;
        let relays: Vec<_> = relays;
        relays.into_iter().map(|(node, _)| node).collect()
    }

    /// Publishes versions for some time, and checks that all nodes have each in time and that no more of
    /// them follow the store than take the relays' place.
    async fn check_versions(&mut self, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time {
            self.check_version(ACTIVATION_TIMEOUT).await;
            let following = self.following();
            let age = started.elapsed();
            assert!(following.len() <= RELAYS, "{following:?} after {age:?}");
        }
    }

    /// Publishes a version and checks that all nodes have it in time.
    async fn check_version(&mut self, limit: Duration) {
        self.version += 1;
        let (version, published) = (self.version, Instant::now());
        self.store.publish(&named(version));
        let path = format!("/v{version}/x");
        for (node, _) in &self.nodes {
            node.wait_for(|| async { node.call("GET", &path, "1000").await.status == 200 })
                .await;
        }
        let elapsed = published.elapsed();
        assert!(elapsed < limit, "version {version} after {elapsed:?}");
    }
}

fn named(version: u64) -> apricotfold_model::RawRouteTable {
    let mut table = table(version);
    let mut route = table.routes[0].clone();
    route.name = format!("v{version}").into();
    route.prefix = format!("/v{version}/").into();
    table.routes.push(route);
    table
}

/// Writes an entry of another data centre again and again.
async fn change_entries(store: Arc<MemoryStore>) {
    for number in 1.. {
        let record = serde_json::json!({"record": {
            "node": "elsewhere", "address": "127.0.0.1:1", "node-start": 1, "data-centre": "fln-a",
            "instance": "i-elsewhere", "born": 1, "number": number, "service": "other", "slots": number,
            "state": "ready", "cold-ms": 0,
        }});
        store.write("apricotfold/nodes/elsewhere", &record.to_string());
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

/// Guards against nodes that learn from closed connections alone that their relays leave, and then all read
/// the store: both relays leave at once, and their watches deliver entries with long pauses.
#[tokio::test(flavor = "multi_thread")]
async fn relays_leave_together() {
    let mut mesh = KillableMesh::start().await;
    tokio::spawn(change_entries(mesh.store.clone()));
    tokio::time::sleep(CHANGE_INTERVAL * CHANGES).await;
    let mut relays = mesh.take_relays();
    let stop = tokio::time::sleep(STOP_TIME);
    for relay in &relays {
        relay.leave().await;
    }
    support::wait_within(STOP_TIME, "successors", || async {
        mesh.following().len() == RELAYS
    })
    .await;
    stop.await;
    for relay in &mut relays {
        relay.kill_process().await;
    }
    mesh.check_versions(Duration::from_secs(6)).await;
}

/// Guards against nodes that all read the store when their relays end without a word, and against versions
/// that arrive late because they wait for each other.
#[tokio::test(flavor = "multi_thread")]
async fn relays_killed_together() {
    let mut mesh = KillableMesh::start().await;
    for relay in &mut mesh.take_relays() {
        relay.kill_process().await;
    }
    mesh.check_versions(Duration::from_secs(6)).await;
}

/// Guards against the same where those that take the relays' place end, too.
#[tokio::test(flavor = "multi_thread")]
async fn successors_killed() {
    let mut mesh = KillableMesh::start().await;
    for _ in 0..2 {
        for relay in &mut mesh.take_relays() {
            relay.kill_process().await;
        }
        mesh.check_versions(Duration::from_secs(1)).await;
    }
    mesh.check_versions(Duration::from_secs(4)).await;
}

/// Guards against versions that arrive late because a relay is replaced by one that takes long to read the
/// table: until it has, others rely on the former relays.
#[tokio::test(flavor = "multi_thread")]
async fn slow_successors() {
    let mut mesh = KillableMesh::start().await;
    let relays = mesh.take_relays();
    let bytes = serde_json::to_string(&named(mesh.version))
        .expect("a table")
        .len();
    for (_, client) in &mesh.nodes {
        client.set_link(ClientLink {
            bandwidth: Some(bytes as u64 / SLOW_READ.as_secs()),
            public_address: None,
        });
    }
    for relay in &relays {
        relay.leave().await;
    }
    let publishing = Instant::now();
    while publishing.elapsed() < STOP_TIME {
        mesh.check_version(SLOW_READ / 2).await;
    }
}
