//! Canary rollouts: which version a request may use, and when a new version has replaced the old one.
//! See `docs/design/rollouts.md`.

mod decider;
mod election;
mod evidence;
mod verdict;
mod view;

use std::net::SocketAddr;

use apricotfold_model::{NodeId, RolloutOrder, RolloutState, ServiceName, VersionName};

use crate::EntryRevision;

pub use decider::{CANARY_DECISION_SHARE, RolloutDecider, RolloutGrant, RolloutReport};
pub use election::{ClaimAction, DeciderClaim, decider_rank};
pub use evidence::{AnswerSample, RolloutCounts, RouteCounts, VersionCounts};
pub use verdict::{VersionVerdict, compare_versions};
pub use view::{GRANT_LIFETIME, OrderAge, RolloutView, VersionGroup};

/// Record of a rollout in the store, which names the node that decides on it. It is leased until the
/// rollout has ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutRecord {
    /// Service of the order.
    pub service: ServiceName,
    /// Version of the order.
    pub target_version: VersionName,
    /// Revision of the order in the store, which tells orders of one service apart.
    pub order_revision: EntryRevision,
    /// How far the rollout has come.
    pub state: RolloutState,
    /// Node that decides.
    pub decider: NodeId,
    /// Address at which the deciding node accepts messages of other nodes.
    pub address: SocketAddr,
}

/// An order with its record, as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KnownRollout {
    /// The order; `None` if only the record of a former one is known.
    pub order: Option<RolloutOrder>,
    /// Revision of the order in the store; 0 without one.
    pub revision: EntryRevision,
    /// Time in milliseconds since the order, as far as the sender knows.
    pub age_ms: u64,
    /// Record with its revision in the store.
    pub record: Option<(EntryRevision, RolloutRecord)>,
}
