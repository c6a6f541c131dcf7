//! Values that the store holds, as JSON. See `docs/design.md`, section 3.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{
    BundleDigest, DataCentreName, NodeId, ProfileName, ProfileVersion, PublishId, RegionName,
};

/// Whether the head of a profile is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HeadState {
    /// Services that picked the profile run under it.
    Published,
    /// Services that picked the profile run under the built-in default.
    Withdrawn,
}

/// The accepted version of a profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadEntry {
    /// The profile.
    pub profile: ProfileName,
    /// Its accepted version.
    pub version: ProfileVersion,
    /// Digest of the bundle; empty when withdrawn.
    pub digest: BundleDigest,
    /// Published or withdrawn.
    pub state: HeadState,
    /// The publish that made this head.
    pub publish_id: PublishId,
    /// Who published it, as given on the command line.
    pub operator: CompactString,
}

/// A version that waits for the nodes' votes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CandidateEntry {
    /// The profile.
    pub profile: ProfileName,
    /// The version that it will have when accepted.
    pub version: ProfileVersion,
    /// Digest of the bundle; empty for a withdrawal.
    pub digest: BundleDigest,
    /// State that the head will have.
    pub state: HeadState,
    /// The publish that made this candidate.
    pub publish_id: PublishId,
    /// Who publishes, as given on the command line.
    pub operator: CompactString,
    /// Store revision of the head that the candidate replaces; 0 when there is none.
    pub base_revision: i64,
}

/// One node's reason against a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRefusal {
    /// The node that refused.
    pub node: NodeId,
    /// Its reason.
    pub reason: CompactString,
}

/// The votes of one data centre on a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoteEntry {
    /// The publish that the votes are about.
    pub publish_id: PublishId,
    /// Number of nodes that prepared the version.
    pub prepared: u32,
    /// Number of live nodes that should have answered.
    pub expected: u32,
    /// The first refusals; one is enough to reject.
    pub refusals: Vec<NodeRefusal>,
    /// Fencing number of the relay that wrote the entry.
    pub fence: i64,
}

/// How a publish ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeEntry {
    /// The publish.
    pub publish_id: PublishId,
    /// Its version.
    pub version: ProfileVersion,
    /// True when the version became the head.
    pub accepted: bool,
    /// Number of nodes that prepared the version.
    pub prepared: u32,
    /// Why it was rejected; empty when accepted.
    pub refusals: Vec<NodeRefusal>,
}

/// Holder of a relay slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayEntry {
    /// The node that holds the slot.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its region.
    pub region: RegionName,
    /// Address of its control service.
    pub control_address: CompactString,
}

/// Claim of a keyed order, made before it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimEntry {
    /// Identifies the attempt that holds the claim.
    pub claim_id: CompactString,
    /// Node whose target runs the order.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: u64,
}

/// Keys under which the entries stand.
pub mod keys {
    use std::fmt::Display;

    /// Everything that the system keeps in the store stands under this prefix.
    pub const ROOT: &str = "/apricotfold/";
    /// Prefix of all heads.
    pub const HEADS: &str = "/apricotfold/heads/";
    /// Prefix of all candidates.
    pub const CANDIDATES: &str = "/apricotfold/candidates/";
    /// Prefix of all relay slots.
    pub const RELAYS: &str = "/apricotfold/relays/";
    /// Prefix of all votes.
    pub const VOTES: &str = "/apricotfold/votes/";

    /// Key of a profile's head.
    #[must_use]
    pub fn head(profile: &str) -> String {
        format!("{HEADS}{profile}")
    }

    /// Key of a bundle.
    #[must_use]
    pub fn bundle(digest: &str) -> String {
        format!("{ROOT}bundles/{digest}")
    }

    /// Key of a profile's candidate.
    #[must_use]
    pub fn candidate(profile: &str) -> String {
        format!("{CANDIDATES}{profile}")
    }

    /// Prefix of the votes on one version.
    #[must_use]
    pub fn votes(profile: &str, version: u64) -> String {
        format!("{VOTES}{profile}/{version}/")
    }

    /// Key of one data centre's votes on one version.
    #[must_use]
    pub fn vote(profile: &str, version: u64, data_centre: &str) -> String {
        format!("{VOTES}{profile}/{version}/{data_centre}")
    }

    /// Key of the outcome of a profile's latest publish.
    #[must_use]
    pub fn outcome(profile: &str) -> String {
        format!("{ROOT}outcomes/{profile}")
    }

    /// Key of a relay slot.
    pub fn relay(data_centre: &str, slot: impl Display) -> String {
        format!("{RELAYS}{data_centre}/{slot}")
    }

    /// Key of the claim of a keyed order.
    #[must_use]
    pub fn claim(service: &str, key: &str) -> String {
        format!("{ROOT}claims/{service}/{key}")
    }
}
