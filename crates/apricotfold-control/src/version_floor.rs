//! Prevents a profile from returning to an older version. See `docs/design.md`, sections 4.3 and
//! 4.4.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use apricotfold_model::{NodeId, ProfileName, ProfileVersion};
use compact_str::{CompactString, format_compact};

use crate::{RecordKey, WaitReason};

/// Time after startup from which the restart rule accepts the answer of a single peer, if the store
/// has not answered either.
const ONE_PEER_AFTER: Duration = Duration::from_secs(2);

/// Reason for refusing a version that is not above the known one. The operator's command parses the
/// number and retries with a higher version.
#[must_use]
pub(crate) fn stale_reason(known: ProfileVersion) -> CompactString {
    format_compact!("stale-version: known {known}")
}

/// Decides which heads this node may apply: only versions above those applied before, and after a
/// restart only once the restart rule is satisfied.
#[derive(Debug)]
pub struct VersionFloor {
    started: Instant,
    applied: BTreeMap<ProfileName, ProfileVersion>,
    offered: BTreeMap<ProfileName, ProfileVersion>,
    /// Profile that was selected again, with the version applied earlier on this node.
    reapply: Option<(ProfileName, ProfileVersion)>,
    /// Heads, candidates and endpoints that a peer listed in its answer and that have not arrived
    /// yet. The endpoints show how many peers exist.
    awaited: BTreeMap<NodeId, BTreeSet<RecordKey>>,
    answered: BTreeSet<NodeId>,
    settled: Option<Instant>,
}

impl VersionFloor {
    /// Creates the state of a node that started at the given time and has applied nothing.
    #[must_use]
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            applied: BTreeMap::new(),
            offered: BTreeMap::new(),
            reapply: None,
            awaited: BTreeMap::new(),
            answered: BTreeSet::new(),
            settled: None,
        }
    }

    /// Returns true once the restart rule allows heads to be applied.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled.is_some()
    }

    /// Returns true once the restart rule has been satisfied for the given time.
    #[must_use]
    pub fn settled_for(&self, time: Duration, now: Instant) -> bool {
        self.settled
            .is_some_and(|since| now.saturating_duration_since(since) >= time)
    }

    /// Records the answer of a settled peer of the local data centre, with the heads, candidates
    /// and endpoints that the peer has and this node lacks.
    pub fn peer_answered(&mut self, peer: &NodeId, missing: BTreeSet<RecordKey>) {
        if self.is_settled() {
            return;
        }
        if missing.is_empty() {
            self.awaited.remove(peer);
            self.answered.insert(peer.clone());
        } else {
            self.awaited.insert(peer.clone(), missing);
        }
    }

    /// Records that a record has arrived, from any source.
    pub fn record_arrived(&mut self, key: &RecordKey) {
        for missing in self.awaited.values_mut() {
            missing.remove(key);
        }
        let complete = self
            .awaited
            .extract_if(.., |_, missing| missing.is_empty())
            .map(|(peer, _)| peer);
        self.answered.extend(complete);
    }

    /// Satisfies the restart rule, because all needed heads of the store are known.
    pub fn store_answered(&mut self, now: Instant) {
        self.settle(now);
    }

    /// Checks the restart rule: answers of two peers are needed, or of the only other member, or of
    /// one peer from 2 s after startup. Returns true if the rule has just become satisfied.
    pub fn check(&mut self, other_members: usize, now: Instant) -> bool {
        if self.is_settled() {
            return false;
        }
        let is_late = now.saturating_duration_since(self.started) >= ONE_PEER_AFTER;
        let needed = if is_late || other_members == 1 { 1 } else { 2 };
        if self.answered.len() < needed {
            return false;
        }
        self.settle(now);
        true
    }

    fn settle(&mut self, now: Instant) {
        self.settled = self.settled.or(Some(now));
        self.awaited.clear();
        self.answered.clear();
    }

    /// Returns which source the node waits for; `None` once the restart rule is satisfied.
    #[must_use]
    pub fn waiting_for(&self) -> Option<WaitReason> {
        if self.is_settled() {
            return None;
        }
        if self.answered.is_empty() {
            return Some(WaitReason::NoSource);
        }
        Some(WaitReason::SecondSource)
    }

    /// Returns the highest version that this node has applied since it started; 0 if none.
    #[must_use]
    pub fn applied(&self, profile: &str) -> ProfileVersion {
        self.applied.get(profile).copied().unwrap_or_default()
    }

    /// Returns true if a head may be applied now, and marks it as offered. Each version is offered
    /// once.
    pub fn offer(&mut self, profile: &str, version: ProfileVersion) -> bool {
        if !self.is_settled() {
            return false;
        }
        let reapply = self
            .reapply
            .take_if(|(name, applied)| name == profile && *applied > 0 && version >= *applied);
        let offered = self.offered.get(profile).copied().unwrap_or_default();
        let floor = offered.max(self.applied(profile));
        if reapply.is_none() && version <= floor {
            return false;
        }
        self.offered.insert(profile.into(), version);
        true
    }

    /// Allows the applied version to be offered once more, because the node ran another profile in
    /// between. Lower versions are still refused.
    pub fn allow_reapply(&mut self, profile: &str) {
        let applied = self.applied(profile);
        self.offered.insert(profile.into(), applied);
        self.reapply = Some((profile.into(), applied));
    }

    /// Records that a version is in force.
    pub fn confirm(&mut self, profile: &str, version: ProfileVersion) {
        let applied = self.applied.entry(profile.into()).or_default();
        *applied = version.max(*applied);
    }

    /// Checks a candidate against the highest version that this node knows of.
    ///
    /// # Errors
    ///
    /// Returns the refusal reason, which contains the known version, if the candidate is not above
    /// it.
    pub fn check_candidate(
        &self,
        profile: &str,
        version: ProfileVersion,
        head: ProfileVersion,
    ) -> Result<(), CompactString> {
        let offered = self.offered.get(profile).copied().unwrap_or_default();
        let known = head.max(offered).max(self.applied(profile));
        if version <= known {
            return Err(stale_reason(known));
        }
        Ok(())
    }
}
