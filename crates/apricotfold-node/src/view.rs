//! What the call path knows of other nodes: an immutable view, replaced as a whole.

use std::collections::{BTreeMap, BTreeSet};

use apricotfold_model::{DataCentreName, NodeId, ProfileName, RegionName, ServiceName};
use compact_str::CompactString;

/// One node with its target.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
#[derive(Default)]
pub struct EndpointInfo {
    /// The node.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Address for calls to its target.
    pub mesh_address: CompactString,
    /// Address of its control service.
    pub control_address: CompactString,
    /// Service of its target; empty without a target.
    pub service: ServiceName,
    /// Profile that the service picked.
    pub profile: ProfileName,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// True once the node is leaving.
    pub draining: bool,
    /// False once the node is considered gone.
    pub live: bool,
    /// Address of its admin endpoints.
    pub admin_address: CompactString,
    /// Applied version of the picked profile; known for nodes of the own data centre only.
    pub applied_version: Option<u64>,
    /// Why the node lags behind the head; empty when it does not.
    pub lag_reason: CompactString,
}

/// All known nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MeshView {
    /// Every node, by id.
    pub members: BTreeMap<NodeId, EndpointInfo>,
}

impl MeshView {
    /// Services that have at least one target.
    pub fn services(&self) -> BTreeSet<ServiceName> {
        let has_target = |member: &&EndpointInfo| member.live && !member.service.is_empty();
        let with_target = self.members.values().filter(has_target);
        with_target.map(|member| member.service.clone()).collect()
    }

    /// Nodes whose target belongs to a service.
    pub fn targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointInfo> {
        let belongs = move |member: &&EndpointInfo| member.live && member.service == service;
        self.members.values().filter(belongs)
    }
}
