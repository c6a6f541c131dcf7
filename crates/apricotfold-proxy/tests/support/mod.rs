//! Proxies on loopback with an in-memory store and scripted targets.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

pub mod caller;
pub mod clock;
pub mod protocol;
pub mod store;
pub mod target;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::time::Duration;

use apricotfold_model::{
    CallPriority, LinkConfig, LinkImpairment, ProxyConfig, RawCallerLimits, RawRouteTable,
    RawTableRoute, RetrySafety, SharedRetryLimit, TableService, WeightedService, WorkClass,
};
use apricotfold_policy::CallStanding;
use apricotfold_proxy::{PlatformAdapters, run_proxy};
use apricotfold_standins::LinkServer;

use tokio::runtime::{Builder, Runtime};

use caller::exchange;
use clock::JumpingClock;
use protocol::{TestAnnouncements, TestCalls, TestRollouts, TestTables};
use store::{ClientLink, MemoryStore};
use target::ScriptedTarget;

pub const HOST: &str = "almanac.example";
pub const SERVICE: &str = "parish-desk";

/// Number of concurrent calls that overload one target, which has four slots.
const CONCURRENT_CALLS: usize = 12;

/// Timeout of a condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A proxy and its local target.
pub struct TestNode {
    pub name: String,
    pub config: ProxyConfig,
    pub target: ScriptedTarget,
    /// Time of day of the node's instance.
    pub clock: Arc<JumpingClock>,
    /// Version that the target announces.
    pub version: Option<String>,
    /// Start time of the target's current incarnation.
    born: AtomicU64,
    /// Runtime of a proxy that can be killed.
    process: Option<Runtime>,
}

/// Port of all addresses from [`free_address`]. It is below the system's range of ephemeral ports.
const PORT: u16 = 7_000;

/// Returns an unused address. Each has a loopback IP address of its own, which also differs between
/// test processes. A port found by binding and releasing it could be taken by another test's socket
/// before the proxy opens it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = u8::try_from(std::process::id() % 200).expect("below 200");
    SocketAddr::from(([127, 20 + process, high, low], PORT))
}

impl TestNode {
    /// Starts a proxy and its target, and announces the target as ready.
    pub async fn start(name: &str, store: &Arc<MemoryStore>) -> Self {
        let node = Self::start_unannounced(name, store).await;
        node.announce(1, "ready").await;
        node
    }

    /// Starts a proxy and its target in another data centre, and announces the target as ready.
    pub async fn start_in(data_centre: &str, name: &str, store: &Arc<MemoryStore>) -> Self {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let mut config = config(name, target.address);
        config.data_centre = data_centre.into();
        let node = Self::start_with(config, target, store).await;
        node.announce(1, "ready").await;
        node
    }

    /// Starts two proxies with their targets and waits until the first one uses both targets.
    pub async fn start_pair() -> (Self, Self) {
        let store = MemoryStore::default().other_client();
        store.publish(&table(1));
        let first = Self::start("a", &store).await;
        let second = Self::start("b", &store.other_client()).await;
        first.wait_serving().await;
        second.wait_serving().await;
        first
            .wait_for(|| async {
                // Single calls may always select the same target; concurrent ones fill its slots.
                let calls = (0..CONCURRENT_CALLS).map(|_| first.call("GET", "/pages/both", "1000"));
                futures_util::future::join_all(calls).await;
                !first.target.calls("both").is_empty() && !second.target.calls("both").is_empty()
            })
            .await;
        (first, second)
    }

    /// Starts a proxy whose target is not announced yet.
    pub async fn start_unannounced(name: &str, store: &Arc<MemoryStore>) -> Self {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let config = config(name, target.address);
        Self::start_with(config, target, store).await
    }

    /// Starts a proxy whose target is not announced yet and announces itself at another interval than
    /// usual.
    pub async fn start_announcing_every(
        interval: Duration,
        name: &str,
        store: &Arc<MemoryStore>,
    ) -> Self {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let mut config = config(name, target.address);
        config.announce_interval = interval;
        Self::start_with(config, target, store).await
    }

    /// Starts a proxy that learns how many requests its target takes at once, and announces the target.
    pub async fn start_paced(name: &str, store: &Arc<MemoryStore>) -> Self {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let mut config = config(name, target.address);
        config.pace_targets = true;
        let node = Self::start_with(config, target, store).await;
        node.announce(1, "ready").await;
        node
    }

    /// Starts a proxy whose instance has a link of `bandwidth` bytes per second, which carries what
    /// it receives from the store and what other proxies receive from it, and announces its target.
    pub async fn start_on_link(name: &str, store: &Arc<MemoryStore>, bandwidth: u64) -> Self {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let config = config(name, target.address);
        let narrow = LinkImpairment {
            bandwidth: Some(bandwidth),
            ..LinkImpairment::default()
        };
        let link_config = LinkConfig {
            address: free_address(),
            upstream: config.peer_address,
            admin_address: free_address(),
            to_upstream: LinkImpairment::default(),
            to_client: narrow,
            seed: 1,
        };
        let link = LinkServer::bind(&link_config).await.expect("a link");
        store.set_link(ClientLink {
            bandwidth: Some(bandwidth),
            public_address: Some((config.peer_address, link.address())),
        });
        tokio::spawn(link.run(std::future::pending()));
        let node = Self::start_with(config, target, store).await;
        node.announce(1, "ready").await;
        node
    }

    /// Starts a proxy that is told its instance's link carries `rate` bytes per second, and announces its
    /// target.
    pub async fn start_with_link_rate(name: &str, store: &Arc<MemoryStore>, rate: f64) -> Self {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let mut config = config(name, target.address);
        config.link_rate = Some(rate);
        let node = Self::start_with(config, target, store).await;
        node.announce(1, "ready").await;
        node
    }

    /// Starts a proxy that others reach over a link, and announces its target. Returns the address at which
    /// the link takes faults.
    pub async fn start_behind_link(name: &str, store: &Arc<MemoryStore>) -> (Self, SocketAddr) {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let config = config(name, target.address);
        let link_config = LinkConfig {
            address: free_address(),
            upstream: config.peer_address,
            admin_address: free_address(),
            to_upstream: LinkImpairment::default(),
            to_client: LinkImpairment::default(),
            seed: 1,
        };
        let link = LinkServer::bind(&link_config).await.expect("a link");
        store.set_link(ClientLink {
            bandwidth: None,
            public_address: Some((config.peer_address, link.address())),
        });
        tokio::spawn(link.run(std::future::pending()));
        let node = Self::start_with(config, target, store).await;
        node.announce(1, "ready").await;
        (node, link_config.admin_address)
    }

    async fn start_with(
        config: ProxyConfig,
        target: ScriptedTarget,
        store: &Arc<MemoryStore>,
    ) -> Self {
        let name = config.node.to_string();
        let clock = Arc::new(JumpingClock::default());
        tokio::spawn(serve(config.clone(), store.clone(), clock.clone()));
        let node = Self {
            name,
            config,
            target,
            clock,
            version: None,
            born: AtomicU64::new(1),
            process: None,
        };
        node.wait_listening().await;
        node
    }

    /// Starts a proxy that can be killed, and its target, and announces the target as ready.
    pub async fn start_killable(name: &str, store: &Arc<MemoryStore>) -> Self {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let mut node = Self {
            name: name.to_owned(),
            config: config(name, target.address),
            target,
            clock: Arc::default(),
            version: None,
            born: AtomicU64::new(1),
            process: None,
        };
        node.start_process(store).await;
        node.announce(1, "ready").await;
        node
    }

    /// Starts a proxy that can be killed with a target of a version.
    pub async fn start_version(name: &str, version: &str, store: &Arc<MemoryStore>) -> Self {
        let target = ScriptedTarget::start(&format!("i-{name}")).await;
        let mut node = Self {
            name: name.to_owned(),
            config: config(name, target.address),
            target,
            clock: Arc::default(),
            version: Some(version.to_owned()),
            born: AtomicU64::new(1),
            process: None,
        };
        node.start_process(store).await;
        node.announce(1, "ready").await;
        node
    }

    /// Starts the process of a proxy that was killed.
    pub async fn start_process(&mut self, store: &Arc<MemoryStore>) {
        let process = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let clock = self.clock.clone();
        process.spawn(serve(self.config.clone(), store.clone(), clock));
        self.process = Some(process);
        self.wait_listening().await;
    }

    /// Kills the proxy's process and waits until it has closed all its listeners, since its successor
    /// cannot open them before.
    pub async fn kill_process(&mut self) {
        self.process
            .take()
            .expect("a process")
            .shutdown_background();
        let config = &self.config;
        let addresses = [
            config.announce_address,
            config.ready_address,
            config.peer_address,
            config.caller_address,
        ];
        for address in addresses {
            self.wait_for(|| async { !TcpListenerProbe::open(address).await })
                .await;
        }
    }

    /// Returns the id of the target's current incarnation.
    fn instance(&self) -> String {
        match self.born.load(Ordering::Relaxed) {
            1 => self.target.instance.clone(),
            born => format!("{}-{born}", self.target.instance),
        }
    }

    /// Starts and announces the next incarnation of a crashed target.
    pub async fn revive(&self) {
        self.born.fetch_add(1, Ordering::Relaxed);
        self.target.revive();
        // A target announces itself once it accepts connections.
        while !TcpListenerProbe::open(self.target.address).await {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        self.announce_current().await;
    }

    /// Announces the target's current incarnation as ready.
    pub async fn announce_current(&self) {
        let (instance, born) = (self.instance(), self.born.load(Ordering::Relaxed));
        self.target.set_answering(&instance);
        // The second announcement confirms the first.
        for number in 1..=2 {
            self.announce_as(&instance, born, number, "ready").await;
        }
    }

    async fn wait_listening(&self) {
        // The proxy opens the caller address last.
        self.wait_for(|| async { TcpListenerProbe::open(self.config.caller_address).await })
            .await;
    }

    /// Announces the target with its own id and a start time of 1.
    pub async fn announce(&self, number: u64, state: &str) {
        let instance = self.target.instance.clone();
        self.announce_as(&instance, 1, number, state).await;
    }

    /// Announces the target with the given instance id and start time.
    pub async fn announce_as(&self, instance: &str, born: u64, number: u64, state: &str) {
        let body = serde_json::json!({
            "instance": instance, "born": born, "number": number,
            "service": SERVICE, "slots": 4, "state": state,
            "address": self.target.address, "version": self.version,
        });
        let answer = exchange(
            self.config.announce_address,
            "POST",
            "/announce",
            &[],
            &body.to_string(),
        )
        .await;
        assert_eq!(answer.status, 200);
    }

    /// Announces a new incarnation of the target with another id, which its answers bear from then on.
    pub async fn announce_successor(&self, instance: &str) {
        self.target.set_answering(instance);
        for number in 1..=2 {
            self.announce_as(instance, 2, number, "ready").await;
        }
    }

    /// Tells the proxy that the target leaves.
    pub async fn leave(&self) {
        assert_eq!(self.try_leave().await, 200);
    }

    /// Tells the proxy that the target leaves, and returns the status of its answer.
    pub async fn try_leave(&self) -> u16 {
        let body = serde_json::json!({"instance": self.instance()});
        let body = body.to_string();
        let address = self.config.announce_address;
        let answer = exchange(address, "POST", "/leave", &[], &body).await;
        answer.status
    }

    /// Tells the proxy that an incarnation of the target leaves.
    pub async fn leave_as(&self, instance: &str, born: u64) {
        let body = serde_json::json!({"instance": instance, "born": born}).to_string();
        let address = self.config.announce_address;
        let answer = exchange(address, "POST", "/leave", &[], &body).await;
        assert_eq!(answer.status, 200);
    }

    /// Waits until the proxy is ready and a call reaches a target.
    pub async fn wait_serving(&self) {
        self.wait_for(|| async {
            let answer = self.call("GET", "/pages/warm-up", "1000").await;
            answer.status == 200
        })
        .await;
    }

    /// Sends a call for this node's target as another proxy would, and returns the reason if it is
    /// refused.
    pub async fn call_target(&self, path: &str, timeout_ms: u64) -> Option<String> {
        let id = format!("r-{:016x}", rand_id());
        let context = serde_json::json!([
            timeout_ms,
            timeout_ms,
            self.instance(),
            SERVICE,
            WorkClass::Short,
            CallPriority::Normal,
            RetrySafety::AtMostOnce,
            CallStanding::New,
            false,
            0,
        ]);
        let context = context.to_string();
        let headers = [("request-id", id.as_str()), ("apricotfold-call", &context)];
        let answer = exchange(self.config.peer_address, "POST", path, &headers, "").await;
        let refusal = answer.header("apricotfold-refusal")?;
        let (_, reason, _): (String, String, bool) =
            serde_json::from_str(&refusal).expect("a refusal");
        Some(reason)
    }

    /// Sends a call with a unique request id on a new connection.
    pub async fn call(&self, method: &str, path: &str, timeout_ms: &str) -> caller::CallerResponse {
        let id = format!("r-{:016x}", rand_id());
        let headers = [("request-id", id.as_str()), ("timeout-ms", timeout_ms)];
        exchange(self.config.caller_address, method, path, &headers, "").await
    }

    /// Waits until a condition holds.
    pub async fn wait_for<F, R>(&self, condition: F)
    where
        F: Fn() -> R,
        R: Future<Output = bool>,
    {
        wait_for(&self.name, condition).await;
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        if let Some(process) = self.process.take() {
            process.shutdown_background();
        }
    }
}

/// Runs a proxy until it ends.
async fn serve(config: ProxyConfig, store: Arc<MemoryStore>, clock: Arc<JumpingClock>) {
    let adapters = PlatformAdapters {
        calls: Arc::new(TestCalls),
        announcements: Arc::new(TestAnnouncements),
        tables: Arc::new(TestTables),
        rollouts: Arc::new(TestRollouts),
        store,
        clock,
    };
    let name = config.node.clone();
    if let Err(error) = run_proxy(config, adapters, None).await {
        eprintln!("proxy {name} ended: {error:#}");
    }
}

/// Waits until a condition holds. Panics after [`WAIT_TIMEOUT`].
pub async fn wait_for<F, R>(what: &str, condition: F)
where
    F: Fn() -> R,
    R: Future<Output = bool>,
{
    wait_within(WAIT_TIMEOUT, what, condition).await;
}

/// Waits until a condition holds. Panics after `timeout`.
pub async fn wait_within<F, R>(timeout: Duration, what: &str, condition: F)
where
    F: Fn() -> R,
    R: Future<Output = bool>,
{
    let end = tokio::time::Instant::now() + timeout;
    while !condition().await {
        assert!(tokio::time::Instant::now() < end, "{what}: not in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

struct TcpListenerProbe;

impl TcpListenerProbe {
    async fn open(address: SocketAddr) -> bool {
        tokio::net::TcpStream::connect(address).await.is_ok()
    }
}

/// Returns a number that is unique within the process.
pub fn rand_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn config(name: &str, target_address: SocketAddr) -> ProxyConfig {
    ProxyConfig {
        node: name.into(),
        region: "rs-gaucho".into(),
        data_centre: "poa-a".into(),
        data_centres: [
            ("poa-a".into(), "rs-gaucho".into()),
            ("fln-a".into(), "sc-litoral".into()),
        ]
        .into(),
        caller_address: free_address(),
        peer_address: free_address(),
        announce_address: free_address(),
        ready_address: free_address(),
        metrics_address: None,
        target_address,
        service: SERVICE.into(),
        store_address: ([127, 0, 0, 1], 1).into(),
        lease_min: Duration::from_secs(1),
        link_rate: None,
        memory_mb: None,
        fd_limit: None,
        announce_interval: Duration::from_mins(1),
        grace: Duration::from_secs(2),
        retry_limit: SharedRetryLimit {
            share: 1.0,
            slack: 100,
            window: Duration::from_secs(10),
        },
        pace_targets: false,
        seed: 1,
    }
}

/// Returns a table with routes for pages (idempotent), orders (at most once) and proofs (long work)
/// to one service.
pub fn table(version: u64) -> RawRouteTable {
    let route = |name: &str, repeat, class, priority| RawTableRoute {
        name: name.into(),
        host: HOST.into(),
        prefix: format!("/{name}/").into(),
        parts: vec![WeightedService {
            service: SERVICE.into(),
            weight: 1,
        }],
        repeat,
        class,
        timeout_ms: 2_000,
        target_latency_ms: 400,
        priority,
        max_attempts: 2,
        public: false,
    };
    RawRouteTable {
        version,
        services: vec![TableService {
            name: SERVICE.into(),
            health_path: "/health".into(),
        }],
        routes: vec![
            route(
                "pages",
                RetrySafety::Idempotent,
                WorkClass::Short,
                CallPriority::Sheddable,
            ),
            route(
                "orders",
                RetrySafety::AtMostOnce,
                WorkClass::Short,
                CallPriority::Normal,
            ),
            route(
                "proofs",
                RetrySafety::Idempotent,
                WorkClass::Long,
                CallPriority::Sheddable,
            ),
        ],
        tenants: None,
        limits: RawCallerLimits {
            header_bytes: 8_192,
            body_bytes: 1_024,
            header_time_ms: 300,
            idle_time_ms: 1_000,
        },
    }
}
