//! Builder that configures a mesh and starts its processes.

use std::path::PathBuf;

use apricotfold_schema::settings::{
    LinkFault, LinkSettings, ListenerSettings, NodeSettings, SecretSettings, StoreSettings,
    StoreStandinSettings, TargetAnnouncement, TargetStandinSettings,
};
use serde::Serialize;

use crate::announcer::TargetAnnouncer;
use crate::mesh::{Mesh, MeshNode};
use crate::network::{
    ADMIN_PORT, CALLER_PORT, CONTROL_PORT, LINK_PORT, MESH_PORT, MeshNetwork, STORE_PORT,
    TARGET_PORT,
};
use crate::process::MeshProcess;

/// Maximum number of contacts in a node's settings. A node that reaches no other node waits for the
/// store; at least two contacts per node make that rare.
const MAX_CONTACTS: usize = 3;

/// Plan of a node's target.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Target settings. The builder sets the addresses and the journal file.
    pub settings: TargetStandinSettings,
    /// Whether a target process is started. When false, the target is only announced.
    pub process: bool,
}

/// Plan of a node and its target.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Node settings. The builder sets the addresses, listeners, store, contacts, distribution and
    /// target choice.
    pub settings: NodeSettings,
    /// Target of the node, if any.
    pub target: Option<TargetPlan>,
    /// Whether peers reach the control and mesh addresses through fault-injecting links.
    pub linked: bool,
}

/// Configures and starts a mesh.
#[derive(Debug)]
pub struct MeshBuilder {
    store: StoreStandinSettings,
    store_linked: bool,
    nodes: Vec<NodePlan>,
    distribution: String,
    target_choice: String,
}

impl Default for MeshBuilder {
    fn default() -> Self {
        Self::new()
    }
}

impl MeshBuilder {
    /// Creates a builder for a mesh with a store and no nodes.
    #[must_use]
    pub fn new() -> Self {
        Self {
            store: StoreStandinSettings {
                answer_ms: 1,
                ..StoreStandinSettings::default()
            },
            store_linked: false,
            nodes: Vec::new(),
            distribution: String::new(),
            target_choice: String::new(),
        }
    }

    /// Sets `distribution` of all nodes: how configuration reaches them.
    #[must_use]
    pub fn distribution(mut self, distribution: &str) -> Self {
        distribution.clone_into(&mut self.distribution);
        self
    }

    /// Sets `target_choice` of all nodes: their load-balancing policy.
    #[must_use]
    pub fn target_choice(mut self, choice: &str) -> Self {
        choice.clone_into(&mut self.target_choice);
        self
    }

    /// Changes the settings of the store.
    #[must_use]
    pub fn store(mut self, change: impl FnOnce(&mut StoreStandinSettings)) -> Self {
        change(&mut self.store);
        self
    }

    /// Puts a fault-injecting link between the nodes and the store.
    #[must_use]
    pub fn store_link(mut self) -> Self {
        self.store_linked = true;
        self
    }

    /// Adds a node with a target process at a location, which is a region and a data centre.
    #[must_use]
    pub fn node(self, location: (&str, &str), service: &str, profile: &str) -> Self {
        self.node_with(location, service, profile, |_| {})
    }

    /// Adds a node with a target process and lets `change` modify its plan.
    #[must_use]
    pub fn node_with(
        mut self,
        (region, data_centre): (&str, &str),
        service: &str,
        profile: &str,
        change: impl FnOnce(&mut NodePlan),
    ) -> Self {
        let number = self.nodes.len();
        let seed = number as u64 + 1;
        let settings = NodeSettings {
            node: format!("{data_centre}-{number}"),
            region: region.to_owned(),
            data_centre: data_centre.to_owned(),
            secrets: vec![SecretSettings {
                name: "mesh-token".to_owned(),
                value: "local".to_owned(),
            }],
            worker_threads: 1,
            seed,
            ..NodeSettings::default()
        };
        let target = TargetStandinSettings {
            service: service.to_owned(),
            profile: profile.to_owned(),
            slots: 12,
            connections: 110,
            short_ms: 2,
            long_ms: 200,
            cold_factor: 1,
            slow_factor: 1,
            seed,
            ..TargetStandinSettings::default()
        };
        let mut plan = NodePlan {
            settings,
            target: Some(TargetPlan {
                settings: target,
                process: true,
            }),
            linked: false,
        };
        change(&mut plan);
        self.nodes.push(plan);
        self
    }

    /// Starts the processes and waits until the store and the admin endpoints of all nodes accept
    /// connections.
    ///
    /// # Errors
    ///
    /// Returns an error when a process cannot be started or does not accept connections in time.
    pub async fn start(self) -> eyre::Result<Mesh> {
        let folder = tempfile::Builder::new().prefix("apricotfold-").tempdir()?;
        let network = MeshNetwork::allocate();
        let starter = MeshStarter {
            folder: folder.path().to_owned(),
            network,
        };
        let store_address = network.socket(0, STORE_PORT);
        let store_settings = StoreStandinSettings {
            address: store_address.to_string(),
            ..self.store.clone()
        };
        let store = starter.start("store", "apricotfold-store-standin", &store_settings)?;
        let mut links = Vec::new();
        let mut store_url = format!("http://{store_address}");
        if self.store_linked {
            let link = starter.link("store-link", 0, LINK_PORT, STORE_PORT)?;
            store_url = format!("http://{}", link.address);
            links.push(link);
        }
        let mut mesh = Mesh::new(folder, network, store, format!("http://{store_address}"));
        mesh.wait_for_listener(store_address).await?;
        let contacts = self.contacts(network);
        for (index, plan) in self.nodes.iter().enumerate() {
            let node = self.start_node(&starter, index, plan, &store_url, &contacts)?;
            mesh.nodes.push(node);
        }
        mesh.links = links;
        mesh.wait_for_nodes().await?;
        mesh.announcer = Some(self.announce(network));
        Ok(mesh)
    }

    /// Returns the data centre and the reachable control address of each node.
    fn contacts(&self, network: MeshNetwork) -> Vec<(String, String)> {
        let address = |(index, plan): (usize, &NodePlan)| {
            let port = if plan.linked { LINK_PORT } else { CONTROL_PORT };
            (
                plan.settings.data_centre.clone(),
                network.socket(index + 1, port).to_string(),
            )
        };
        self.nodes.iter().enumerate().map(address).collect()
    }

    fn start_node(
        &self,
        starter: &MeshStarter,
        index: usize,
        plan: &NodePlan,
        store_url: &str,
        contacts: &[(String, String)],
    ) -> eyre::Result<MeshNode> {
        let host = index + 1;
        let socket = |port| starter.network.socket(host, port).to_string();
        let own = contacts[index].1.as_str();
        let local_contacts = contacts.iter().filter(|(data_centre, address)| {
            *data_centre == plan.settings.data_centre && address != own
        });
        let mut settings = NodeSettings {
            control_address: socket(CONTROL_PORT),
            mesh_address: socket(MESH_PORT),
            admin_address: socket(ADMIN_PORT),
            listeners: vec![ListenerSettings {
                name: "callers".to_owned(),
                address: socket(CALLER_PORT),
            }],
            store: Some(StoreSettings {
                endpoints: vec![store_url.to_owned()],
                timeout_ms: 1_000,
            }),
            contacts: local_contacts
                .take(MAX_CONTACTS)
                .map(|(_, address)| address.clone())
                .collect(),
            distribution: self.distribution.clone(),
            target_choice: self.target_choice.clone(),
            ..plan.settings.clone()
        };
        let name = settings.node.clone();
        let mut links = Vec::new();
        if plan.linked {
            let control =
                starter.link(&format!("{name}-control"), host, LINK_PORT, CONTROL_PORT)?;
            let mesh = starter.link(&format!("{name}-mesh"), host, LINK_PORT + 1, MESH_PORT)?;
            settings
                .advertised_control_address
                .clone_from(&control.address);
            settings.advertised_mesh_address.clone_from(&mesh.address);
            links.extend([control, mesh]);
        }
        let process = starter.start(&name, "apricotfold-node", &settings)?;
        let journal = starter.folder.join(format!("{name}-target.journal"));
        let target = plan.target.as_ref().filter(|target| target.process);
        let target = target
            .map(|target| {
                let settings = TargetStandinSettings {
                    address: socket(TARGET_PORT),
                    node_url: format!("http://{}", socket(ADMIN_PORT)),
                    journal_file: journal.to_string_lossy().into_owned(),
                    ..target.settings.clone()
                };
                starter.start(
                    &format!("{name}-target"),
                    "apricotfold-target-standin",
                    &settings,
                )
            })
            .transpose()?;
        Ok(MeshNode {
            name,
            data_centre: plan.settings.data_centre.clone(),
            region: plan.settings.region.clone(),
            caller_url: format!("http://{}", socket(CALLER_PORT)),
            admin_url: format!("http://{}", socket(ADMIN_PORT)),
            target_url: format!("http://{}", socket(TARGET_PORT)),
            process,
            target,
            journal,
            links,
        })
    }

    fn announce(&self, network: MeshNetwork) -> TargetAnnouncer {
        let mut targets = Vec::new();
        for (index, plan) in self.nodes.iter().enumerate() {
            let Some(target) = plan.target.as_ref().filter(|target| !target.process) else {
                continue;
            };
            let url = format!("http://{}", network.socket(index + 1, ADMIN_PORT));
            let announcement = TargetAnnouncement {
                service: target.settings.service.clone(),
                profile: target.settings.profile.clone(),
                address: network.socket(index + 1, TARGET_PORT).to_string(),
                slots: target.settings.slots,
                connections: target.settings.connections,
                ..TargetAnnouncement::default()
            };
            targets.push((url, announcement));
        }
        TargetAnnouncer::start(targets)
    }
}

/// A fault-injecting link in front of one address.
#[derive(Debug)]
pub struct MeshLink {
    /// Address on which the link accepts connections.
    pub address: String,
    /// Base URL of the link's admin endpoints.
    pub admin_url: String,
    /// Process of the link.
    pub process: MeshProcess,
}

struct MeshStarter {
    folder: PathBuf,
    network: MeshNetwork,
}

impl MeshStarter {
    fn start(
        &self,
        name: &str,
        binary: &str,
        settings: &impl Serialize,
    ) -> eyre::Result<MeshProcess> {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_string_pretty(settings)?)?;
        MeshProcess::start(name, binary, &path)
    }

    fn link(&self, name: &str, host: usize, port: u16, upstream: u16) -> eyre::Result<MeshLink> {
        let address = self.network.socket(host, port).to_string();
        let admin = self.network.socket(host, port + 1_000).to_string();
        let settings = LinkSettings {
            address: address.clone(),
            upstream: self.network.socket(host, upstream).to_string(),
            admin_address: admin.clone(),
            to_upstream: Some(LinkFault::default()),
            to_client: Some(LinkFault::default()),
            seed: u64::from(port),
        };
        let process = self.start(name, "apricotfold-link", &settings)?;
        Ok(MeshLink {
            address,
            admin_url: format!("http://{admin}"),
            process,
        })
    }
}
