//! Canary rollouts with real proxies: good and bad versions, and deciders that die.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use apricotfold_model::NodeId;
use apricotfold_policy::decider_rank;
use support::store::MemoryStore;
use support::target::TargetMode;
use support::{SERVICE, TestNode, table};

const DURATION: Duration = Duration::from_secs(10);

/// Time within which a version is stopped that fails from the start.
const EARLY: Duration = Duration::from_secs(6);

/// Pause between the calls of one caller; each node has one.
const CALL_PAUSE: Duration = Duration::from_millis(15);

struct Mesh {
    store: Arc<MemoryStore>,
    nodes: Vec<TestNode>,
}

impl Mesh {
    /// Starts three nodes with the old version and one with the new one.
    async fn start() -> Self {
        Self::start_nodes(&[("a", "v1"), ("b", "v1"), ("c", "v1"), ("d", "v2")]).await
    }

    async fn start_nodes(versions: &[(&str, &str)]) -> Self {
        let store = MemoryStore::default().other_client();
        store.publish(&table(1));
        let mut nodes = Vec::new();
        for (name, version) in versions {
            let client = store.other_client();
            nodes.push(TestNode::start_version(name, version, &client).await);
        }
        for node in &nodes {
            node.wait_serving().await;
        }
        Self { store, nodes }
    }

    fn order(&self) {
        let text = serde_json::json!({
            "service": SERVICE, "target-version": "v2", "duration-s": DURATION.as_secs_f64(),
        });
        let key = format!("tables/rollouts/{SERVICE}");
        self.store.write(&key, &text.to_string());
    }

    fn status(&self) -> Option<String> {
        self.store.read(&format!("status/{SERVICE}"))
    }

    /// Returns the name of the node that decides.
    fn decider(&self) -> Option<String> {
        let record = self
            .store
            .read(&format!("apricotfold/rollouts/{SERVICE}"))?;
        let record: serde_json::Value = serde_json::from_str(&record).ok()?;
        Some(record["decider"].as_str()?.to_owned())
    }

    async fn wait_status(&self, status: &str) {
        while self.status().as_deref() != Some(status) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends calls to all nodes that are alive until the status is final. Returns their number.
    async fn load(&self, limit: Duration) -> u32 {
        let ended = AtomicBool::new(false);
        let sent = AtomicU32::new(0);
        let started = Instant::now();
        let callers = self.nodes.iter().map(|node| async {
            while !ended.load(Ordering::Relaxed) && started.elapsed() < limit {
                if tokio::net::TcpStream::connect(node.config.caller_address)
                    .await
                    .is_ok()
                {
                    sent.fetch_add(1, Ordering::Relaxed);
                    node.call("GET", "/orders/x", "1000").await;
                }
                tokio::time::sleep(CALL_PAUSE).await;
            }
        });
        let watch = async {
            let is_final = |status: &String| !status.contains("active");
            while !self.status().is_some_and(|status| is_final(&status))
                && started.elapsed() < limit
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            // Nodes learn of the end meanwhile.
            tokio::time::sleep(Duration::from_millis(500)).await;
            ended.store(true, Ordering::Relaxed);
        };
        tokio::join!(futures_util::future::join_all(callers), watch);
        sent.into_inner()
    }
}

/// Guards against a good version that is not completed in time, against more requests to it than the
/// bound allows, and against old targets that get requests after the end.
#[tokio::test(flavor = "multi_thread")]
async fn good_version() {
    let mesh = Mesh::start().await;
    let before = mesh.nodes[3].target.calls("orders").len();
    let ordered = Instant::now();
    mesh.order();
    let sent = mesh.load(DURATION).await;
    assert!(ordered.elapsed() < DURATION);
    assert_eq!(mesh.status().as_deref(), Some("v2 completed"));
    // Requests after the end may all go to the new version.
    let count = |node: &TestNode, until: Duration| {
        let calls = node.target.calls("orders");
        let calls = calls.iter().filter(|call| call.at < ordered + until);
        u32::try_from(calls.count()).expect("few")
    };
    let new = count(&mesh.nodes[3], DURATION.mul_f64(0.78)) - u32::try_from(before).expect("few");
    assert!(new >= 8 && new <= sent / 10 + 50, "{new} of {sent}");
    let olds = || -> usize {
        let olds = mesh.nodes[..3].iter();
        olds.map(|node| node.target.calls("late").len()).sum()
    };
    for node in &mesh.nodes {
        assert_eq!(node.call("GET", "/orders/late", "1000").await.status, 200);
    }
    assert_eq!(olds(), 0, "requests to replaced targets");
}

/// Guards against a bad version that goes on getting requests.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version() {
    let mesh = Mesh::start().await;
    mesh.nodes[3].target.set_mode(TargetMode::Failing);
    let before = mesh.nodes[3].target.calls("orders").len();
    let ordered = Instant::now();
    mesh.order();
    mesh.load(DURATION).await;
    assert_eq!(mesh.status().as_deref(), Some("v2 rolled-back"));
    assert!(ordered.elapsed() < EARLY, "noticed only at the end");
    let bad = mesh.nodes[3].target.calls("orders").len() - before;
    assert!(bad <= 50, "{bad} requests to the bad version");
    for node in &mesh.nodes {
        assert_eq!(node.call("GET", "/orders/late", "1000").await.status, 200);
    }
    assert!(mesh.nodes[3].target.calls("late").is_empty());
}

/// Guards against nodes that poll relays and don't learn of the order, the decider or the end.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_rollout() {
    let olds = ["a", "b", "c", "e", "f", "g"].map(|name| (name, "v1"));
    let versions = [&olds[..], &[("d", "v2")]].concat();
    let mesh = Mesh::start_nodes(&versions).await;
    let target = &mesh.nodes[6].target;
    // Until then, the nodes follow the store because they have just started.
    tokio::time::sleep(Duration::from_secs(4)).await;
    target.set_mode(TargetMode::Failing);
    let before = target.calls("orders").len();
    let ordered = Instant::now();
    mesh.order();
    let sent = mesh.load(DURATION).await;
    assert_eq!(mesh.status().as_deref(), Some("v2 rolled-back"));
    assert!(ordered.elapsed() < EARLY, "noticed only at the end");
    let bad = target.calls("orders").len() - before;
    assert!(bad <= 50, "{bad} of {sent} requests to the bad version");
    for node in &mesh.nodes {
        assert_eq!(node.call("GET", "/orders/late", "1000").await.status, 200);
    }
    assert!(target.calls("late").is_empty());
}

/// Guards against a rollout that stands still because its decider dies before it has written the first
/// status.
#[tokio::test(flavor = "multi_thread")]
async fn dead_first_candidate() {
    let mut mesh = Mesh::start().await;
    let names: Vec<NodeId> = mesh.nodes.iter().map(|node| (&*node.name).into()).collect();
    let service = SERVICE.into();
    // Of the nodes with the old version, one of which may be lost.
    let first = (0..3).min_by_key(|index| decider_rank(&service, &names[*index], names.iter()));
    mesh.order();
    mesh.nodes[first.expect("a node")].kill_process().await;
    mesh.load(DURATION).await;
    assert_eq!(mesh.status().as_deref(), Some("v2 completed"));
}

/// Guards against a rollout that stands still, or is decided twice, because its decider dies after the
/// first status.
#[tokio::test(flavor = "multi_thread")]
async fn dying_deciders() {
    for (mode, expected) in [
        (TargetMode::Sound, "v2 completed"),
        (TargetMode::Failing, "v2 rolled-back"),
    ] {
        let mut mesh = Mesh::start().await;
        mesh.nodes[3].target.set_mode(mode);
        mesh.order();
        mesh.wait_status("v2 active").await;
        let decider = mesh.decider().expect("a decider");
        // The new version's only target has to stay.
        let index = mesh.nodes.iter().position(|node| node.name == decider);
        let index = index.expect("a node");
        mesh.nodes[index].kill_process().await;
        if index == 3 {
            let client = mesh.store.other_client();
            mesh.nodes[3].start_process(&client).await;
            mesh.nodes[3].announce(2, "ready").await;
        }
        mesh.load(DURATION).await;
        assert_eq!(mesh.status().as_deref(), Some(expected), "{decider} died");
        assert!(
            mesh.decider()
                .is_some_and(|next| next != decider || index == 3)
        );
    }
}

/// Guards against an order that is missed or taken for an old one because tables follow each other
/// quickly, so that the node reads instead of watching.
#[tokio::test(flavor = "multi_thread")]
async fn order_among_tables() {
    let mesh = Mesh::start().await;
    let publish = async {
        for version in 2..14 {
            mesh.store.publish(&table(version));
            if version == 7 {
                mesh.order();
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let ordered = Instant::now();
    tokio::join!(publish, mesh.load(DURATION + Duration::from_secs(1)));
    assert_eq!(mesh.status().as_deref(), Some("v2 completed"));
    assert!(ordered.elapsed() < DURATION + Duration::from_secs(1));
    for node in &mesh.nodes {
        assert_eq!(node.call("GET", "/orders/late", "1000").await.status, 200);
    }
    let olds = mesh.nodes[..3].iter();
    let late: usize = olds.map(|node| node.target.calls("late").len()).sum();
    assert_eq!(late, 0, "requests to replaced targets");
}
