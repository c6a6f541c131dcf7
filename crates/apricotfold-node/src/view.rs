//! The call path's view of other nodes. A view is immutable and replaced as a whole.

use std::collections::{BTreeMap, BTreeSet};

use apricotfold_model::{DataCentreName, NodeId, ProfileName, RegionName, ServiceName};
use compact_str::CompactString;

/// A node and its target.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
#[derive(Default)]
pub struct EndpointInfo {
    /// Id of the node.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Address for calls to the node's target; empty until an endpoint is known.
    pub mesh_address: CompactString,
    /// Address of the node's control service.
    pub control_address: CompactString,
    /// Service of the target; empty without a target.
    pub service: ServiceName,
    /// Profile that the target selected.
    pub profile: ProfileName,
    /// Number of requests that the target runs concurrently; 0 without a target.
    pub slots: u32,
    /// True once the node or its target drains.
    pub draining: bool,
    /// False until an endpoint is known, and once the node is considered gone.
    pub live: bool,
    /// Address of the node's admin endpoints.
    pub admin_address: CompactString,
    /// Applied version of the selected profile; known only for nodes of the same data centre.
    pub applied_version: Option<u64>,
    /// Why the applied version is older than the head version; empty if it is not.
    pub lag_reason: CompactString,
}

/// All known nodes and their targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MeshView {
    /// The nodes, by id.
    pub members: BTreeMap<NodeId, EndpointInfo>,
}

impl MeshView {
    /// Returns the services with at least one live target.
    pub fn services(&self) -> BTreeSet<ServiceName> {
        let has_target = |member: &&EndpointInfo| member.live && !member.service.is_empty();
        let with_target = self.members.values().filter(has_target);
        with_target.map(|member| member.service.clone()).collect()
    }

    /// Returns the live nodes whose target belongs to `service`.
    pub fn targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointInfo> {
        let belongs = move |member: &&EndpointInfo| member.live && member.service == service;
        self.members.values().filter(belongs)
    }
}
