//! Views of the control state for the daemon's snapshot and status page.

use apricotfold_model::{
    DataCentreName, NodeId, ProfileName, ProfileVersion, RegionName, ServiceName,
};
use compact_str::CompactString;
use strum::Display;

/// A live target, as used for routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveEndpoint {
    /// Node that the target runs behind.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Address at which the node accepts calls from other nodes.
    pub mesh_address: CompactString,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// True while the target or its node accepts no new work.
    pub draining: bool,
    /// Incarnation of the node's endpoint record.
    pub incarnation: u64,
}

/// A known node of the mesh, live or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// Node id.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Address of the node's control service.
    pub control_address: CompactString,
    /// Address of the node's admin endpoints.
    pub admin_address: CompactString,
    /// Service of the node's target; empty without a target.
    pub service: ServiceName,
    /// Profile selected by the target; empty for the built-in default.
    pub profile: ProfileName,
    /// Version in force on the node; known only for nodes of the local data centre.
    pub applied_version: Option<ProfileVersion>,
    /// Why the applied version is older than the head; empty if it is not.
    pub lag_reason: CompactString,
    /// True while the node or its target drains.
    pub draining: bool,
    /// False once the node is considered gone or its data centre lost.
    pub live: bool,
}

/// A relay slot and its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayInfo {
    /// Data centre that the slot belongs to.
    pub data_centre: DataCentreName,
    /// Region of the relay.
    pub region: RegionName,
    /// Slot number within the data centre, from 0.
    pub slot: u32,
    /// Node that holds the slot.
    pub node: NodeId,
    /// Address of the relay's control service.
    pub control_address: CompactString,
    /// Fencing number of the slot; 0 for a relay without a lease.
    pub fence: u64,
    /// False once no heartbeat has arrived for too long.
    pub live: bool,
    /// True if the relay acts for its data centre.
    pub acting: bool,
    /// True if the relay is the gateway of its region.
    pub gateway: bool,
}

/// Why this node has not applied a profile version since it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// Neither peers nor the store have answered.
    NoSource,
    /// One peer has answered, and a second one or the store is needed.
    SecondSource,
    /// The target has not announced itself.
    NoTarget,
    /// The selected profile has no head.
    NoHead,
    /// The head is known, but it is still being applied or cannot be applied on this node.
    NotApplied,
}
