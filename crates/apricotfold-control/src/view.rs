//! What the daemon reads from the core for its snapshot and its status page.

use apricotfold_model::{
    DataCentreName, NodeId, ProfileName, ProfileVersion, RegionName, ServiceName,
};
use compact_str::CompactString;
use strum::Display;

/// A target that calls can be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveEndpoint {
    /// Its node.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Address of its node for calls.
    pub mesh_address: CompactString,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True while it accepts no new work.
    pub draining: bool,
    /// Incarnation of its node.
    pub incarnation: u64,
}

/// A node that this node knows of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// The node.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Address of its control service.
    pub control_address: CompactString,
    /// Address of its admin endpoints.
    pub admin_address: CompactString,
    /// Its service; empty without a target.
    pub service: ServiceName,
    /// Profile that the service picked; empty for the built-in default.
    pub profile: ProfileName,
    /// Version in force there; known for nodes of the own data centre only.
    pub applied_version: Option<ProfileVersion>,
    /// Why that version is older than the head; empty when it is not.
    pub lag_reason: CompactString,
    /// True while it drains.
    pub draining: bool,
    /// False once it is considered gone or its data centre lost.
    pub live: bool,
}

/// A holder of a relay slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayInfo {
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its region.
    pub region: RegionName,
    /// The slot.
    pub slot: u32,
    /// The node.
    pub node: NodeId,
    /// Address of its control service.
    pub control_address: CompactString,
    /// Fencing number of the slot.
    pub fence: u64,
    /// False once its heartbeat has been silent for too long.
    pub live: bool,
    /// True for the relay that acts for its data centre.
    pub acting: bool,
    /// True for the gateway of its region.
    pub gateway: bool,
}

/// Why this node has not applied a profile version since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// Neither peers nor the store have answered.
    NoSource,
    /// One peer has answered and a second one or the store is awaited.
    SecondSource,
    /// The target has not announced itself.
    NoTarget,
    /// The picked profile has no head.
    NoHead,
    /// The head is known and is being applied, or cannot be applied here.
    NotApplied,
}
