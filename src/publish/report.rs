//! Requests and results of a publish.

use std::time::Duration;

use apricotfold_model::{
    BundleDigest, HeadState, ProfileBundle, ProfileName, ProfileVersion, PublishId,
};
use compact_str::CompactString;
use serde::Serialize;

use super::decision::RaceWinner;
use crate::Difference;

/// Content that is to become the head.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishContent {
    /// Publishes a new version with this bundle.
    Bundle(Box<ProfileBundle>),
    /// Withdraws the profile: its services fall back to the built-in default.
    Withdrawal,
}

impl PublishContent {
    /// State of the head once the publish is accepted.
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

    /// Canonical JSON of the bundle; `None` for a withdrawal.
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
    /// Profile that is changed.
    pub profile: ProfileName,
    /// Operator recorded in the candidate and the head.
    pub operator: CompactString,
    /// New content of the profile.
    pub content: PublishContent,
}

/// Time limits and retries of a publish.
#[derive(Clone, Copy, Debug)]
pub struct PublishTimeouts {
    /// Maximum time to wait for the relays' decision.
    pub decision: Duration,
    /// Time during which calls to an unavailable store are retried.
    pub wait: Duration,
    /// Attempts of each store call that are made even when `wait` has passed.
    pub min_attempts: u32,
}

/// Outcome of a successful publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PublishOutcome {
    /// The version was accepted and is the new head.
    Accepted,
    /// The head already had the requested content; nothing was written.
    Unchanged,
}

/// Result of a successful publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PublishReport {
    /// Profile that was published or withdrawn.
    pub profile: ProfileName,
    /// Whether a new version was accepted or the head already had the content.
    pub outcome: PublishOutcome,
    /// Version of the head after the publish.
    pub version: ProfileVersion,
    /// Whether the head is published or withdrawn.
    pub state: HeadState,
    /// Digest of the bundle; empty for a withdrawal.
    pub digest: BundleDigest,
    /// Id of the publish that wrote the head.
    pub publish_id: PublishId,
    /// Number of nodes that prepared the version; `None` when nothing changed, or when a later
    /// publish has already replaced the outcome.
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

/// Details of a publish that lost a race against another one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RaceReport {
    /// Winning publish; `None` when the head was removed.
    pub winner: Option<RaceWinner>,
    /// Differences from the winner's content (left) to the requested content (right); `None` when
    /// the winner's bundle could not be read.
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
