//! Where a publish stands, judged from what the store holds.

use apricotfold_model::{
    BundleDigest, CandidateEntry, HeadEntry, HeadState, NodeRefusal, ProfileVersion, PublishId,
};
use apricotfold_store::Revision;
use compact_str::CompactString;
use serde::Serialize;

use crate::{HeadRecord, ProfileView};

/// Start of the reason with which nodes refuse a version that they already know.
const STALE_PREFIX: &str = "stale-version: known ";

/// The candidate that this command wrote, or tried to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnCandidate {
    /// Identifies the candidate.
    pub publish_id: PublishId,
    /// Its version.
    pub version: ProfileVersion,
    /// Revision of the head that it replaces; 0 for none.
    pub base_revision: Revision,
}

/// The publish that won against ours.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RaceWinner {
    /// Who published.
    pub operator: CompactString,
    /// The publish.
    pub publish_id: PublishId,
    /// Its version.
    pub version: ProfileVersion,
    /// Published or withdrawn.
    pub state: HeadState,
    /// Digest of its bundle; empty for a withdrawal.
    pub digest: BundleDigest,
    /// True while the nodes have not decided about it.
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

/// Where our publish stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CandidateStatus {
    /// Our candidate waits for votes.
    Pending {
        /// Revision at which it was written.
        revision: Revision,
    },
    /// Our version is or was the head.
    Accepted {
        /// Nodes that prepared it; unknown when a later publish has replaced the outcome.
        prepared: Option<u32>,
    },
    /// Nodes refused our version.
    Rejected {
        /// Nodes that prepared it.
        prepared: u32,
        /// The reasons.
        refusals: Vec<NodeRefusal>,
    },
    /// Another publish came first. The winner is unknown when the head was removed.
    Lost(Option<RaceWinner>),
    /// Neither our candidate nor another one is there, and the head has not moved.
    Absent,
}

/// Judges our publish from the entries of its profile, as [`read_view`](crate::read_view) reads them. The
/// publish id decides: after a lost answer it tells our own entries from those of somebody else.
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

/// The version of the next candidate: one above the head and above every version that nodes are
/// known to have seen.
#[must_use]
pub fn next_version(head: Option<&HeadRecord>, known: ProfileVersion) -> ProfileVersion {
    head.map_or(0, |head| head.entry.version)
        .max(known)
        .saturating_add(1)
}

/// The highest version that the refusing nodes know, when all of them refused because of that.
/// This happens after the store was restored to an older state.
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
