//! Derives the status of a publish from the entries in the store.

use apricotfold_model::{
    BundleDigest, CandidateEntry, HeadEntry, HeadState, NodeRefusal, ProfileVersion, PublishId,
};
use apricotfold_store::Revision;
use compact_str::CompactString;
use serde::Serialize;

use crate::{HeadRecord, ProfileView};

/// Prefix of the reason that nodes give when they refuse a version that is not above the one they
/// already know.
const STALE_PREFIX: &str = "stale-version: known ";

/// The candidate that this command wrote, or whose write may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnCandidate {
    /// Random id that tells this candidate from those of other operators.
    pub publish_id: PublishId,
    /// Version that the profile gets when the candidate is accepted.
    pub version: ProfileVersion,
    /// Revision of the head that the candidate replaces; 0 when the profile has no head.
    pub base_revision: Revision,
}

/// The publish that won a race against this command's publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RaceWinner {
    /// Operator named in the winning entry.
    pub operator: CompactString,
    /// Id of the winning publish.
    pub publish_id: PublishId,
    /// Version of the winning publish.
    pub version: ProfileVersion,
    /// Whether the winner published or withdrew the profile.
    pub state: HeadState,
    /// Digest of the winning bundle; empty for a withdrawal.
    pub digest: BundleDigest,
    /// Whether the winner is still a candidate that the relays have not decided on.
    pub pending: bool,
}

impl From<&HeadEntry> for RaceWinner {
    fn from(head: &HeadEntry) -> Self {
        Self {
            operator: head.operator.clone(),
            publish_id: head.publish_id.clone(),
            version: head.version,
            state: head.state,
            digest: head.digest.clone(),
            pending: false,
        }
    }
}

impl From<&CandidateEntry> for RaceWinner {
    fn from(candidate: &CandidateEntry) -> Self {
        Self {
            operator: candidate.operator.clone(),
            publish_id: candidate.publish_id.clone(),
            version: candidate.version,
            state: candidate.state,
            digest: candidate.digest.clone(),
            pending: true,
        }
    }
}

/// Status of this command's candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CandidateStatus {
    /// The candidate is in the store and waits for votes.
    Pending {
        /// Revision at which the candidate was written.
        revision: Revision,
    },
    /// The version is the head, or was the head until a later publish replaced it.
    Accepted {
        /// Number of nodes that prepared the version; `None` when a later publish has replaced the
        /// outcome.
        prepared: Option<u32>,
    },
    /// At least one node refused the version.
    Rejected {
        /// Number of nodes that prepared the version.
        prepared: u32,
        /// The refusing nodes with their reasons.
        refusals: Vec<NodeRefusal>,
    },
    /// Another publish won. The winner is `None` when the head was removed.
    Lost(Option<RaceWinner>),
    /// The profile has no candidate, and its head is still the one that the candidate was based on.
    Absent,
}

/// Derives the status of a candidate from the entries of its profile, as
/// [`read_view`](crate::read_view) returns them. Entries are attributed by publish id, so that this
/// command's entries are recognised even when the response to their write was lost.
#[must_use]
pub fn candidate_status(view: &ProfileView, own: &OwnCandidate) -> CandidateStatus {
    let outcome = view.outcome.as_ref();
    if let Some(outcome) = outcome.filter(|outcome| outcome.publish_id == own.publish_id) {
        if outcome.accepted {
            return CandidateStatus::Accepted {
                prepared: Some(outcome.prepared),
            };
        }
        return CandidateStatus::Rejected {
            prepared: outcome.prepared,
            refusals: outcome.refusals.clone(),
        };
    }
    if view.head_is_from(&own.publish_id) {
        return CandidateStatus::Accepted { prepared: None };
    }
    let candidate = view.candidate.as_ref();
    if candidate.is_some_and(|candidate| candidate.publish_id == own.publish_id) {
        return CandidateStatus::Pending {
            revision: view.candidate_revision,
        };
    }
    if view.head_revision() != own.base_revision {
        let head = view.head.as_ref();
        return CandidateStatus::Lost(head.map(|head| RaceWinner::from(&head.entry)));
    }
    candidate.map_or(CandidateStatus::Absent, |candidate| {
        CandidateStatus::Lost(Some(candidate.into()))
    })
}

/// Returns the version of the next candidate: one above the head's version and `known`, the highest
/// version that nodes are known to have seen.
#[must_use]
pub fn next_version(head: Option<&HeadRecord>, known: ProfileVersion) -> ProfileVersion {
    head.map_or(0, |head| head.entry.version)
        .max(known)
        .saturating_add(1)
}

/// Returns the highest version that the refusing nodes know; `None` when any of them refused for a
/// reason other than a stale version. Stale versions occur after the store was restored from an
/// older snapshot.
#[must_use]
pub fn highest_known_version(refusals: &[NodeRefusal]) -> Option<ProfileVersion> {
    let known: Option<Vec<ProfileVersion>> = refusals
        .iter()
        .map(|refusal| {
            refusal
                .reason
                .strip_prefix(STALE_PREFIX)?
                .trim()
                .parse()
                .ok()
        })
        .collect();
    known?.into_iter().max()
}
