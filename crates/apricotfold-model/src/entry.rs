//! JSON values kept in the store, and their keys. See `docs/design.md`, section 3.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{
    BundleDigest, DataCentreName, NodeId, ProfileName, ProfileVersion, PublishId, RegionName,
};

/// Whether the current version of a profile is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HeadState {
    /// The profile applies to the services that select it.
    Published,
    /// The built-in default applies to the services that select the profile.
    Withdrawn,
}

/// The head of a profile: its currently accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadEntry {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Accepted version of the profile.
    pub version: ProfileVersion,
    /// Digest of the bundle; empty if the profile is withdrawn.
    pub digest: BundleDigest,
    /// Whether the profile is published or withdrawn.
    pub state: HeadState,
    /// Publish operation that created this head.
    pub publish_id: PublishId,
    /// Name of the operator, as given on the command line.
    pub operator: CompactString,
}

/// A proposed version that the nodes have yet to vote on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CandidateEntry {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Version that the profile gets if the candidate is accepted.
    pub version: ProfileVersion,
    /// Digest of the bundle; empty for a withdrawal.
    pub digest: BundleDigest,
    /// State that the head gets if the candidate is accepted.
    pub state: HeadState,
    /// Publish operation that created this candidate.
    pub publish_id: PublishId,
    /// Name of the operator, as given on the command line.
    pub operator: CompactString,
    /// Store revision of the head that the candidate replaces; 0 if there is no head.
    pub base_revision: i64,
}

/// A node's rejection of a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRefusal {
    /// Node that rejected the candidate.
    pub node: NodeId,
    /// Reason for the rejection.
    pub reason: CompactString,
}

/// The aggregated votes of one data centre on a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoteEntry {
    /// Publish operation that the votes refer to.
    pub publish_id: PublishId,
    /// Number of nodes that are able to apply the version.
    pub prepared: u32,
    /// Number of live nodes that are expected to vote.
    pub expected: u32,
    /// The first rejections; a single one rejects the candidate.
    pub refusals: Vec<NodeRefusal>,
    /// Fencing token of the relay that wrote the entry.
    pub fence: i64,
}

/// The result of a publish operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeEntry {
    /// Publish operation that has ended.
    pub publish_id: PublishId,
    /// Version that was proposed.
    pub version: ProfileVersion,
    /// True if the version became the head.
    pub accepted: bool,
    /// Number of nodes that were able to apply the version.
    pub prepared: u32,
    /// Reasons for the rejection; empty if the version was accepted.
    pub refusals: Vec<NodeRefusal>,
}

/// The current holder of a relay slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayEntry {
    /// Node that holds the slot.
    pub node: NodeId,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Region of the node.
    pub region: RegionName,
    /// Address of the node's control service.
    pub control_address: CompactString,
}

/// The claim on an idempotency key, recorded before the request that carries the key is run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimEntry {
    /// Unique id of the attempt that holds the claim.
    pub claim_id: CompactString,
    /// Node whose target runs the request.
    pub node: NodeId,
    /// Incarnation of the node when it claimed the key.
    pub incarnation: u64,
}

/// Store keys of the entries.
pub mod keys {
    use std::fmt::Display;

    /// Prefix of all keys that the system uses in the store.
    pub const ROOT: &str = "/apricotfold/";
    /// Prefix of all heads.
    pub const HEADS: &str = "/apricotfold/heads/";
    /// Prefix of all candidates.
    pub const CANDIDATES: &str = "/apricotfold/candidates/";
    /// Prefix of all holders of relay slots.
    pub const RELAYS: &str = "/apricotfold/relays/";
    /// Prefix of all votes.
    pub const VOTES: &str = "/apricotfold/votes/";

    /// Key of a profile's head.
    #[must_use]
    pub fn head(profile: &str) -> String {
        format!("{HEADS}{profile}")
    }

    /// Key of the bundle with a digest.
    #[must_use]
    pub fn bundle(digest: &str) -> String {
        format!("{ROOT}bundles/{digest}")
    }

    /// Key of a profile's candidate.
    #[must_use]
    pub fn candidate(profile: &str) -> String {
        format!("{CANDIDATES}{profile}")
    }

    /// Prefix of all votes on a version.
    #[must_use]
    pub fn votes(profile: &str, version: u64) -> String {
        format!("{VOTES}{profile}/{version}/")
    }

    /// Key of a data centre's votes on a version.
    #[must_use]
    pub fn vote(profile: &str, version: u64, data_centre: &str) -> String {
        format!("{VOTES}{profile}/{version}/{data_centre}")
    }

    /// Key of the result of a profile's most recent publish operation.
    #[must_use]
    pub fn outcome(profile: &str) -> String {
        format!("{ROOT}outcomes/{profile}")
    }

    /// Key of the holder of a relay slot.
    pub fn relay(data_centre: &str, slot: impl Display) -> String {
        format!("{RELAYS}{data_centre}/{slot}")
    }

    /// Key of the claim on a service's idempotency key.
    #[must_use]
    pub fn claim(service: &str, key: &str) -> String {
        format!("{ROOT}claims/{service}/{key}")
    }
}
