//! Instances of services as the nodes beside them announce them to the mesh.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use strum::{Display, EnumString, IntoStaticStr};

use crate::{DataCentreName, NodeId, ServiceName};

/// Identifies one start of a target; a restarted target mostly has another one.
pub type InstanceId = CompactString;
/// Start of a target in milliseconds since the epoch; orders the lives of an id or address.
pub type StartTimeMillis = u64;
/// Number of an announcement within one life of a target.
pub type AnnouncementNumber = u64;

/// Whether a target takes new work.
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
    /// It takes new work.
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It has left.
    Gone,
}

/// What a target says of itself to the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceAnnouncement {
    /// The target's id.
    pub instance: InstanceId,
    /// Its start.
    pub born: StartTimeMillis,
    /// Number of this announcement.
    pub number: AnnouncementNumber,
    /// Its service.
    pub service: ServiceName,
    /// Address at which its node reaches it.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Time for which it is still slow after its start.
    pub cold: Duration,
}

/// An instance as other nodes know it: a store entry and a message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceRecord {
    /// Node beside the target.
    pub node: NodeId,
    /// Address at which that node takes calls for the target.
    pub address: SocketAddr,
    /// Start of that node's process in milliseconds since the epoch. A node that is stopped says
    /// that its instance takes no calls; only a later process of the node can take that back.
    pub node_start: u64,
    /// Data centre of both.
    pub data_centre: DataCentreName,
    /// The target's id.
    pub instance: InstanceId,
    /// The target's start.
    pub born: StartTimeMillis,
    /// Number of the announcement that this record was made from.
    pub number: AnnouncementNumber,
    /// The target's service.
    pub service: ServiceName,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Time in milliseconds for which the target was still slow when the record was made.
    pub cold_ms: u64,
}

impl InstanceRecord {
    /// Orders the records of one node: a later life of the target goes before an earlier one, and
    /// a later process of the node before an earlier one. Within both, a state never turns back.
    #[must_use]
    pub fn order(&self) -> (StartTimeMillis, u64, InstanceState, AnnouncementNumber) {
        (self.born, self.node_start, self.state, self.number)
    }

    /// Tells whether two records say the same to those who choose targets. The number of the
    /// announcement grows all the time and the cold time shrinks without being news.
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
