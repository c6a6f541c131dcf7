//! Changes that reach most nodes of a data centre through relays.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::store::MemoryStore;
use support::{TestNode, table};
use tokio::net::TcpListener;

/// Number of nodes in the data centre, enough for relays to be used.
const NODES: usize = 7;

/// Number of nodes in the other data centre of tests that need one.
const REMOTE_NODES: usize = 3;

/// Time within which nodes take the roles that they should have.
const ROLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time within which operators expect a new table to be active.
const ACTIVATION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A node and its view of the store.
type NodeView<'a> = (&'a TestNode, &'a Arc<MemoryStore>);

/// Nodes of one data centre, of which two follow the store.
struct RelayedMesh {
    store: Arc<MemoryStore>,
    nodes: Vec<TestNode>,
    /// The nodes' views of the store.
    clients: Vec<Arc<MemoryStore>>,
}

impl RelayedMesh {
    /// Starts the nodes with table 1 and waits until only the relays follow the store.
    async fn start() -> Self {
        Self::start_on(MemoryStore::default().other_client()).await
    }

    /// Starts the mesh beside a few nodes of another data centre.
    async fn start_beside_remote() -> (Self, Vec<TestNode>) {
        let store = MemoryStore::default().other_client();
        let mut remote = Vec::new();
        for index in 0..REMOTE_NODES {
            let client = store.other_client();
            remote.push(TestNode::start_in("fln-a", &format!("r{index}"), &client).await);
        }
        (Self::start_on(store).await, remote)
    }

    async fn start_on(store: Arc<MemoryStore>) -> Self {
        store.publish(&named(1));
        let mut nodes = Vec::new();
        let mut clients = Vec::new();
        for index in 0..NODES {
            let client = store.other_client();
            nodes.push(TestNode::start(&format!("n{index}"), &client).await);
            clients.push(client);
        }
        let mesh = Self {
            store,
            nodes,
            clients,
        };
        wait_active(&mesh.nodes, 1, Duration::from_secs(10)).await;
        mesh.wait_relays().await;
        mesh
    }

    /// Returns the relays and the other nodes with their views of the store.
    fn by_role(&self) -> (Vec<NodeView<'_>>, Vec<NodeView<'_>>) {
        let views = self.nodes.iter().zip(&self.clients);
        views.partition(|(_, client)| client.watches() > 0)
    }

    /// Returns the number of nodes that follow the store.
    fn watching(&self) -> usize {
        let watching = |client: &&Arc<MemoryStore>| client.watches() > 0;
        self.clients.iter().filter(watching).count()
    }

    async fn wait_relays(&self) {
        support::wait_within(ROLE_TIMEOUT, "two relays", || async {
            self.watching() == 2
        })
        .await;
    }
}

async fn wait_active(nodes: impl IntoIterator<Item = &TestNode>, version: u64, limit: Duration) {
    let started = Instant::now();
    for node in nodes {
        let path = format!("/v{version}/x");
        node.wait_for(|| async { node.call("GET", &path, "1000").await.status == 200 })
            .await;
    }
    let elapsed = started.elapsed();
    println!("version {version} after {elapsed:?}");
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

/// Guards against store load that grows with the number of nodes of a data centre, against tables
/// that arrive late through relays, and against nodes that stay behind when the store rejects their
/// relays.
#[tokio::test(flavor = "multi_thread")]
async fn changes_through_relays() {
    let RelayedMesh {
        store,
        nodes,
        clients,
    } = RelayedMesh::start().await;
    store.publish(&named(5));
    wait_active(&nodes, 5, ACTIVATION_TIMEOUT).await;
    for relay in clients.iter().filter(|client| client.watches() > 0) {
        relay.set_unreachable(true);
    }
    store.publish(&named(9));
    // Nodes give up on the relays only once the relays' last response from the store is older than
    // the renewal interval.
    wait_active(&nodes, 9, ACTIVATION_TIMEOUT + Duration::from_secs(5)).await;
}

/// Returns the answer of a node to a poll of another node that knows table 1.
async fn poll(node: &TestNode) -> serde_json::Value {
    let request = serde_json::json!({
        "node": "other", "table-version": 1, "digest": 0, "record": null, "crashes": {},
    });
    let headers = [("apricotfold-exchange", "1")];
    let peer = node.config.peer_address;
    let answer = support::caller::exchange(peer, "POST", "/", &headers, &request.to_string()).await;
    serde_json::from_str(&answer.body).expect("an answer")
}

/// Guards against tables that arrive late while relays change: a former relay stops following the
/// store while nodes that have not heard of the new relays still poll it.
#[tokio::test(flavor = "multi_thread")]
async fn former_relay() {
    let mut mesh = RelayedMesh::start().await;
    let former: Vec<_> = (0..NODES)
        .filter(|index| mesh.clients[*index].watches() > 0)
        .collect();
    // Their names rank before all others, so they become the relays.
    for name in ["m0", "m1"] {
        let node = TestNode::start(name, &mesh.store.other_client()).await;
        mesh.nodes.push(node);
    }
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(4) {
        for index in &former {
            let relay = &mesh.nodes[*index];
            let answer = poll(relay).await;
            let elapsed = started.elapsed();
            assert_eq!(
                answer["follows-store"], true,
                "{} after {elapsed:?}",
                relay.name
            );
        }
        tokio::time::sleep(Duration::from_millis(450)).await;
    }
}

/// Guards against nodes that give up on their relays because they may be late, and then accept old
/// data from the store.
#[tokio::test(flavor = "multi_thread")]
async fn fresh_reads() {
    let mesh = RelayedMesh::start().await;
    let (relays, others): (Vec<_>, Vec<_>) =
        mesh.clients.iter().partition(|client| client.watches() > 0);
    for relay in relays {
        relay.set_unreachable(true);
    }
    // Only some of the others take the relays' place. When these lose the store as well, the next ones do.
    let mut waiting = others;
    while !waiting.is_empty() {
        support::wait_within(ROLE_TIMEOUT, "another one follows the store", || async {
            waiting.iter().any(|client| client.watches() > 0)
        })
        .await;
        let following;
        (following, waiting) = waiting.into_iter().partition(|client| client.watches() > 0);
        let following: Vec<_> = following;
        for client in following {
            assert_eq!(client.stale_reads(), 1, "only the first read of a process");
            client.set_unreachable(true);
        }
    }
}

/// Guards against tables that arrive late at nodes whose relays have just lost the store: the relays
/// still answer, and what they last heard of the store looks recent.
#[tokio::test(flavor = "multi_thread")]
async fn relays_lose_store() {
    let mesh = RelayedMesh::start().await;
    for version in [2, 3] {
        let (relays, others) = mesh.by_role();
        for (_, client) in &relays {
            client.set_unreachable(true);
        }
        mesh.store.publish(&named(version));
        let nodes = others.iter().map(|(node, _)| *node);
        wait_active(nodes, version, ACTIVATION_TIMEOUT).await;
        for (_, client) in &relays {
            client.set_unreachable(false);
        }
        mesh.wait_relays().await;
    }
}

/// Guards against tables that arrive late at nodes that the store turns away together with their
/// relays, although nodes of other data centres have them.
#[tokio::test(flavor = "multi_thread")]
async fn remote_relays() {
    let (mesh, _remote) = RelayedMesh::start_beside_remote().await;
    let (_, others) = mesh.by_role();
    for client in &mesh.clients {
        client.set_unreachable(true);
    }
    mesh.store.publish(&named(2));
    let nodes = others.iter().map(|(node, _)| *node);
    wait_active(nodes, 2, ACTIVATION_TIMEOUT).await;
}

/// Publishes versions for some time, and checks that the nodes have each in time without following the
/// store.
async fn check_without_store(store: &MemoryStore, nodes: &[NodeView<'_>], time: Duration) {
    let started = Instant::now();
    let mut version = 2;
    while started.elapsed() < time {
        store.publish(&named(version));
        wait_active(
            nodes.iter().map(|(node, _)| *node),
            version,
            ACTIVATION_TIMEOUT,
        )
        .await;
        let reading = nodes.iter().filter(|(_, client)| client.watches() > 0);
        let reading: Vec<_> = reading.map(|(node, _)| &node.name).collect();
        let elapsed = started.elapsed();
        assert!(reading.is_empty(), "{reading:?} after {elapsed:?}");
        version += 1;
    }
}

/// Guards against nodes that all read whole tables from the store when their relays have lost it,
/// which fills the link between regions, although relays of other data centres could send them what has
/// changed.
#[tokio::test(flavor = "multi_thread")]
async fn no_herd_without_relays() {
    let (mesh, _remote) = RelayedMesh::start_beside_remote().await;
    let (relays, others) = mesh.by_role();
    for (_, client) in &relays {
        client.set_unreachable(true);
    }
    check_without_store(&mesh.store, &others, Duration::from_secs(5)).await;
}

/// Guards against the same when both relays fall silent at once, as when they lose power.
#[tokio::test(flavor = "multi_thread")]
async fn no_herd_beside_silent_relays() {
    let (mesh, _remote) = RelayedMesh::start_beside_remote().await;
    let (_, others) = mesh.by_role();
    // Their names rank before all others, so they become the relays.
    for name in ["m0", "m1"] {
        let address = support::free_address();
        let listener = TcpListener::bind(address).await.expect("a listener");
        tokio::spawn(async move {
            let mut connections = Vec::new();
            while let Ok((connection, _)) = listener.accept().await {
                connections.push(connection);
            }
        });
        let record = serde_json::json!({"record": {
            "node": name, "address": address, "node-start": 1, "data-centre": "poa-a",
            "instance": format!("i-{name}"), "born": 1, "number": 1, "service": "silent",
            "slots": 4, "state": "ready", "cold-ms": 0,
        }});
        let key = format!("apricotfold/nodes/{name}");
        mesh.store.write(&key, &record.to_string());
    }
    check_without_store(&mesh.store, &others, Duration::from_secs(8)).await;
}

/// Guards against nodes that all switch to the store after an outage for everybody: when it
/// recovers, they would all read whole tables at once.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_for_all_nodes() {
    let mesh = RelayedMesh::start().await;
    for client in &mesh.clients {
        client.set_unreachable(true);
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    for client in &mesh.clients {
        client.set_unreachable(false);
    }
    mesh.store.publish(&named(5));
    wait_active(&mesh.nodes, 5, ACTIVATION_TIMEOUT).await;
    let watching = mesh.watching();
    assert!(watching <= 2, "{watching} nodes follow the store");
}
