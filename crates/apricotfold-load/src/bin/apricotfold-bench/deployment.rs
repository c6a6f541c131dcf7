//! Starts the deployments of `docs/design.md`, section 1.1, as meshes on one machine.

use std::time::Duration;

use apricotfold_load::LoadClient;
use apricotfold_model::{LoadBalancingPolicy, LoadConfig};
use apricotfold_schema::settings::{LinkFault, TargetStandinSettings};
use apricotfold_testkit::{Mesh, MeshBuilder};
use serde_json::{Value, json};

/// Load-balancing policies that are compared. The first is the product's; the others are baselines.
pub const POLICIES: [LoadBalancingPolicy; 4] = [
    LoadBalancingPolicy::LeastLatency,
    LoadBalancingPolicy::RoundRobin,
    LoadBalancingPolicy::Random,
    LoadBalancingPolicy::LeastReportedLoad,
];

const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between regions in each direction.
const REGION_DELAY_MS: u32 = 30;
/// Bandwidth between regions in bytes per second; equals 30 Mbit/s.
const REGION_BANDWIDTH: u64 = 3_750_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Region and data centre.
type Location = (&'static str, &'static str);

/// The services of a user organisation and their locations.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in results and file names.
    pub name: &'static str,
    /// Locations of the nodes, assigned in turn. The first two are in the region with the store.
    locations: [Location; 4],
    /// Service of the route `/` and its number of targets.
    root_service: (&'static str, usize),
    /// Service of the routes `/press` and `/download` and its number of targets.
    press_service: (&'static str, usize),
    /// Number of slots of each target.
    pub slots: u32,
    connections: u32,
}

/// The deployments of Calendário Ecumênico Sulino and Distribuidora Frutícola Lo Valledor Sur.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "calendar",
        locations: [
            ("rs-gaucho", "poa-a"),
            ("rs-gaucho", "poa-b"),
            ("sc-litoral", "fln-a"),
            ("sc-litoral", "fln-b"),
        ],
        root_service: ("parish-desk", 7),
        press_service: ("press-room", 4),
        slots: 12,
        connections: 110,
    },
    Deployment {
        name: "wholesaler",
        locations: [
            ("santiago", "stgo-norte"),
            ("santiago", "stgo-sur"),
            ("valparaiso", "valpo-puerto"),
            ("valparaiso", "vina-centro"),
        ],
        root_service: ("precios", 8),
        press_service: ("despacho", 4),
        slots: 9,
        connections: 120,
    },
];

impl Deployment {
    /// Returns the number of targets of the service of the route `/`.
    pub fn root_service_targets(&self) -> usize {
        self.root_service.1
    }

    /// Starts the mesh and publishes its profile. With `linked`, the nodes of the second region are
    /// behind links with the delay and bandwidth between regions. A link impairs all connections,
    /// whatever their source, so calls must then enter in the first region.
    pub async fn start(
        &self,
        policy: LoadBalancingPolicy,
        linked: bool,
        change: impl Fn(&mut TargetStandinSettings),
    ) -> eyre::Result<Mesh> {
        let mut builder = MeshBuilder::new()
            .distribution("store-watch")
            .target_choice(policy.into());
        for (service, count) in [self.root_service, self.press_service] {
            for index in 0..count {
                let location = self.locations[index % self.locations.len()];
                builder = builder.node_with(location, service, "bench", |plan| {
                    plan.linked = linked && location.0 != self.locations[0].0;
                    if let Some(target) = &mut plan.target {
                        target.settings.slots = self.slots;
                        target.settings.connections = self.connections;
                        change(&mut target.settings);
                    }
                });
            }
        }
        let mesh = builder.start().await?;
        mesh.wait_members(
            self.root_service.1 + self.press_service.1,
            FORMATION_TIMEOUT,
        )
        .await?;
        let output = mesh.publish(&self.profile(), &[]).await?;
        eyre::ensure!(output.code == 0, "publish: {output:?}");
        mesh.wait_version(1, PUBLISH_TIMEOUT).await?;
        impair_region_links(&mesh).await?;
        Ok(mesh)
    }

    fn profile(&self) -> Value {
        json!({
            "name": "bench",
            "listeners": ["callers"],
            "clusters": [
                {"name": "desk", "service": self.root_service.0},
                {"name": "press", "service": self.press_service.0}
            ],
            "routes": [
                {"name": "downloads", "listener": "callers", "path_prefix": "/download",
                 "cluster": "press", "class": "long", "timeout_ms": 30000, "idempotent": true},
                {"name": "press", "listener": "callers", "path_prefix": "/press",
                 "cluster": "press", "timeout_ms": 5000, "idempotent": true},
                {"name": "pages", "listener": "callers", "path_prefix": "/",
                 "cluster": "desk", "timeout_ms": 5000, "idempotent": true}
            ],
            "retries": {"max_attempts": 3, "budget_percent": 20}
        })
    }

    /// Returns the URLs of the nodes through which calls enter: all nodes or those of the first
    /// region.
    pub fn entries(&self, mesh: &Mesh, all: bool) -> Vec<String> {
        let nodes = mesh.nodes.iter();
        let entries = nodes.filter(|node| all || node.region == self.locations[0].0);
        entries.map(|node| node.caller_url.clone()).collect()
    }
}

/// Counts the attempts of GET requests with a path that nodes have sent to another region, from the
/// logs of the nodes.
#[expect(clippy::cast_precision_loss, reason = "a count of calls")]
pub fn count_remote_attempts(mesh: &Mesh, path: &str) -> f64 {
    let routed = format!("AF3001 call routed: GET {path} ");
    let is_remote = |line: &&str| line.contains(&routed) && line.contains(" (remote, ");
    let logs = mesh.nodes.iter().map(|node| node.process.log_text());
    logs.map(|text| text.lines().filter(is_remote).count())
        .sum::<usize>() as f64
}

async fn impair_region_links(mesh: &Mesh) -> eyre::Result<()> {
    let fault = LinkFault {
        delay_ms: REGION_DELAY_MS,
        bandwidth: REGION_BANDWIDTH,
        ..LinkFault::default()
    };
    for link in mesh.nodes.iter().flat_map(|node| &node.links) {
        mesh.link_faults(link, &fault, &fault).await?;
    }
    Ok(())
}

/// Creates a client that calls one path at the given URLs. Its rate and duration are set by the
/// plans that it runs.
pub fn load_client(urls: &[String], path: &str) -> eyre::Result<LoadClient> {
    LoadClient::new(&LoadConfig {
        urls: urls.iter().map(Into::into).collect(),
        calls_per_second: 1,
        duration: Duration::ZERO,
        timeout: CALL_TIMEOUT,
        long_percent: 0,
        short_path: path.into(),
        long_path: path.into(),
        seed: 0,
    })
}
