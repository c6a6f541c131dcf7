//! Service instances, as announced to the mesh by the nodes that run alongside them.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use strum::{Display, EnumString, IntoStaticStr};

use crate::{DataCentreName, NodeId, ServiceName, VersionName};

/// Id of an instance. A restarted target usually gets a new id, but may reuse the old one.
pub type InstanceId = CompactString;
/// Start time of a target in milliseconds since the Unix epoch, by its own clock. It distinguishes
/// the processes that use the same id; it does not order them, because the clock may be set back
/// between two starts.
pub type StartTimeMillis = u64;
/// Number of a node's process, which is higher than that of any earlier process of the node. It
/// starts from a revision of the store and rises above what other nodes know.
pub type NodeEpoch = u64;
/// Number of a target's incarnation, counted by the node's process in the order in which it takes
/// them on.
pub type TargetLife = u32;
/// Sequence number of an announcement; increases from the start of a target until it exits.
pub type AnnouncementNumber = u64;

/// One start of a target. A target that restarts under its former id is another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetIncarnation {
    /// Id of the target.
    pub instance: InstanceId,
    /// Start time of the target.
    pub born: StartTimeMillis,
}

impl std::fmt::Display for TargetIncarnation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}@{}", self.instance, self.born)
    }
}

/// Whether a target accepts new requests.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// The target accepts new requests.
    Ready,
    /// The target completes the requests in flight and accepts no new ones.
    Draining,
    /// The target has left the mesh.
    Gone,
}

/// An announcement that a target sends to its local node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceAnnouncement {
    /// Id of the target.
    pub instance: InstanceId,
    /// Start time of the target.
    pub born: StartTimeMillis,
    /// Sequence number of this announcement.
    pub number: AnnouncementNumber,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address at which the local node connects to the target.
    pub address: SocketAddr,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: InstanceState,
    /// Remaining warm-up time, during which the target is slower than usual.
    pub cold: Duration,
    /// Version of the target's program, if it announces one.
    pub version: Option<VersionName>,
}

impl InstanceAnnouncement {
    /// Returns the incarnation that announces itself.
    #[must_use]
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            instance: self.instance.clone(),
            born: self.born,
        }
    }
}

/// An instance as known to other nodes, both as a store entry and in messages between nodes.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceRecord {
    /// Node that runs alongside the target.
    pub node: NodeId,
    /// Address at which the node accepts calls for the target.
    pub address: SocketAddr,
    /// Number of the node's process. A node that shuts down announces that its instance accepts no
    /// more calls; only a later process of the node can revoke that.
    #[serde(rename = "node-start")]
    pub node_epoch: NodeEpoch,
    /// Number of the target's incarnation within the node's process; 0 from earlier releases.
    #[serde(default)]
    pub life: TargetLife,
    /// Data centre of the node and the target.
    pub data_centre: DataCentreName,
    /// Id of the target.
    pub instance: InstanceId,
    /// Start time of the target.
    pub born: StartTimeMillis,
    /// Sequence number of the announcement that this record is based on.
    pub number: AnnouncementNumber,
    /// Service of the target.
    pub service: ServiceName,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: InstanceState,
    /// State that the target itself announced, which outlives the node's process; `None` from earlier
    /// releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub announced: Option<InstanceState>,
    /// Warm-up time in milliseconds that the target had left when the record was created.
    pub cold_ms: u64,
    /// Bandwidth of the instance's network link in Mbit/s; 0 if it is unknown.
    #[serde(default)]
    pub link_mbps: u32,
    /// Version of the target's program; `None` if it announces none, and from earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionName>,
}

impl InstanceRecord {
    /// Returns the incarnation of the target.
    #[must_use]
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            instance: self.instance.clone(),
            born: self.born,
        }
    }

    /// Returns the incarnation if the target itself has announced that it leaves or has left.
    #[must_use]
    pub fn departure(&self) -> Option<TargetIncarnation> {
        let leaves = self
            .announced
            .is_some_and(|state| state != InstanceState::Ready);
        leaves.then(|| self.incarnation())
    }

    /// Key by which the records of a node are ordered; the record with the highest key is in force.
    /// A later process of the node takes precedence over an earlier one, and then a later
    /// incarnation of the target. Within the same incarnation, the state only advances.
    #[must_use]
    pub fn order(&self) -> (NodeEpoch, TargetLife, InstanceState, AnnouncementNumber) {
        (self.node_epoch, self.life, self.state, self.number)
    }

    /// Returns the node's process and the target's incarnation within it, which together order the
    /// incarnations beside a node.
    #[must_use]
    pub fn life_order(&self) -> (NodeEpoch, TargetLife) {
        (self.node_epoch, self.life)
    }

    /// Returns whether two records are equivalent for target selection. Sequence number and warm-up
    /// time are ignored, since they change with every announcement.
    #[must_use]
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let renumbered = Self {
            number: other.number,
            cold_ms: other.cold_ms,
            ..self.clone()
        };
        renumbered == *other
    }
}
