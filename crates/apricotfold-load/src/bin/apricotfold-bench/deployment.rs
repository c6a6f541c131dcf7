//! The deployments of `docs/design.md`, section 1.1, as meshes on one machine.

use std::time::Duration;

use apricotfold_load::LoadClient;
use apricotfold_model::{LoadBalancingPolicy, LoadConfig};
use apricotfold_schema::settings::{LinkFault, TargetStandinSettings};
use apricotfold_testkit::{Mesh, MeshBuilder};
use serde_json::{Value, json};

/// Every choice that is compared; the first is the product's.
pub const POLICIES: [LoadBalancingPolicy; 4] = [
    LoadBalancingPolicy::LeastLatency,
    LoadBalancingPolicy::RoundRobin,
    LoadBalancingPolicy::Random,
    LoadBalancingPolicy::LeastReportedLoad,
];

const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// One-way delay between regions.
const REGION_DELAY_MS: u32 = 30;
/// 30 Mbit/s in bytes per second.
const REGION_BANDWIDTH: u64 = 3_750_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Region and data centre.
type Location = (&'static str, &'static str);

/// A user's services and where they run.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Short name.
    pub name: &'static str,
    /// Data centres; the first two are in the region with the store.
    locations: [Location; 4],
    /// Service that is reached below `/` and its number of targets.
    root_service: (&'static str, usize),
    /// Service that is reached below `/press` and `/download` and its number of targets.
    press_service: (&'static str, usize),
    /// Slots of each target.
    pub slots: u32,
    connections: u32,
}

/// Calendário Ecumênico Sulino and Distribuidora Frutícola Lo Valledor Sur.
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
    /// Number of targets of the service below `/`.
    pub fn root_service_targets(&self) -> usize {
        self.root_service.1
    }

    /// Starts the mesh and publishes its profile. With `linked`, the nodes of the second region are
    /// reached through links with the delay and bandwidth of the link between regions; a link cannot
    /// tell callers apart, so calls must then enter in the first region.
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

    /// URLs of the nodes at which calls enter: all, or those of the first region.
    pub fn entries(&self, mesh: &Mesh, all: bool) -> Vec<String> {
        let nodes = mesh.nodes.iter();
        let entries = nodes.filter(|node| all || node.region == self.locations[0].0);
        entries.map(|node| node.caller_url.clone()).collect()
    }
}

/// Attempts of a path that nodes have sent to another region, from their logs.
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

/// A client that makes calls of one path at some URLs.
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
