//! What a publish request says and what its result tells.

use std::time::Duration;

use apricotfold_model::{
    BundleDigest, HeadState, ProfileBundle, ProfileName, ProfileVersion, PublishId,
};
use compact_str::CompactString;
use serde::Serialize;

use super::decision::RaceWinner;
use crate::Difference;

/// What becomes the head.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishContent {
    /// A new version with this bundle.
    Bundle(Box<ProfileBundle>),
    /// No content: the services run under the built-in default.
    Withdrawal,
}

impl PublishContent {
    /// State of the head.
    #[must_use]
    pub fn state(&self) -> HeadState {
        match self {
            Self::Bundle(_) => HeadState::Published,
            Self::Withdrawal => HeadState::Withdrawn,
        }
    }

    /// Digest of the bundle; empty for a withdrawal.
    #[must_use]
    pub fn digest(&self) -> BundleDigest {
        match self {
            Self::Bundle(bundle) => bundle.digest.clone(),
            Self::Withdrawal => BundleDigest::default(),
        }
    }

    /// Canonical JSON of the bundle.
    #[must_use]
    pub fn json(&self) -> Option<&str> {
        match self {
            Self::Bundle(bundle) => Some(&bundle.json),
            Self::Withdrawal => None,
        }
    }
}

/// One change of one profile.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishRequest {
    /// The profile.
    pub profile: ProfileName,
    /// Who publishes.
    pub operator: CompactString,
    /// What is published.
    pub content: PublishContent,
}

/// How long a publish may take.
#[derive(Clone, Copy, Debug)]
pub struct PublishTimeouts {
    /// Longest wait for the relays' decision.
    pub decision: Duration,
    /// How long an unavailable store is asked again.
    pub wait: Duration,
    /// Tries of each store call that are made in any case.
    pub min_attempts: u32,
}

/// How a publish succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PublishOutcome {
    /// The nodes accepted the version.
    Accepted,
    /// The head already was like this.
    Unchanged,
}

/// Result of a successful publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PublishReport {
    /// The profile.
    pub profile: ProfileName,
    /// Accepted, or unchanged.
    pub outcome: PublishOutcome,
    /// The version that is the head now.
    pub version: ProfileVersion,
    /// Published or withdrawn.
    pub state: HeadState,
    /// Digest of the bundle; empty for a withdrawal.
    pub digest: BundleDigest,
    /// The publish that made the head.
    pub publish_id: PublishId,
    /// Nodes that prepared the version; `None` when nothing changed, or when a later publish has
    /// already replaced the outcome.
    pub prepared: Option<u32>,
}

impl std::fmt::Display for PublishReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            profile,
            version,
            state,
            ..
        } = self;
        if self.outcome == PublishOutcome::Unchanged {
            let same = match state {
                HeadState::Published => "already has this content",
                HeadState::Withdrawn => "is already withdrawn",
            };
            return write!(
                formatter,
                "{profile}: version {version} {same}; nothing changed"
            );
        }
        writeln!(formatter, "{profile}: version {version} {state}")?;
        match self.prepared {
            Some(count) => write!(formatter, "prepared: {count} nodes"),
            None => write!(
                formatter,
                "prepared: unknown, a later publish replaced the outcome"
            ),
        }
    }
}

/// Why a publish lost against another one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RaceReport {
    /// The publish that won; `None` when the head was removed.
    pub winner: Option<RaceWinner>,
    /// Differences from the winner's content (left) to ours (right); `None` when the winner's
    /// bundle could not be read.
    pub differences: Option<Vec<Difference>>,
}

impl std::fmt::Display for RaceReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.differences {
            None => write!(
                formatter,
                "\ndifferences: unknown, the other content cannot be read"
            ),
            Some(list) if list.is_empty() => write!(formatter, "\ndifferences: none"),
            Some(list) => list
                .iter()
                .try_for_each(|difference| write!(formatter, "\ntheirs to ours: {difference}")),
        }
    }
}
