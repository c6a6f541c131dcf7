//! Which node decides on a rollout, and under which condition it writes.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, RolloutState, ServiceName};

use crate::EntryRevision;

/// Time by which each further candidate waits longer before it offers to decide, so that one write is
/// enough if the first candidate is alive.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Candidates that offer to decide; with all of them lost, the next ones are ranked first.
const MAX_RANK: u32 = 7;

/// Age of the last renewal from which on the lease may have ended, so that the node grants nothing and
/// leaves the decision to a successor. It is below the lease's duration of 2 s.
const LEASE_DOUBT: Duration = Duration::from_millis(1_500);

/// Returns the place of a node among the candidates for the decider of a service; `None` if it is not
/// among the first ones.
pub fn decider_rank<'a>(
    service: &ServiceName,
    own: &NodeId,
    candidates: impl Iterator<Item = &'a NodeId>,
) -> Option<u32> {
    let weight = |node: &NodeId| {
        let mut hasher = DefaultHasher::new();
        (service, node).hash(&mut hasher);
        hasher.finish()
    };
    let own_weight = weight(own);
    let above = candidates.filter(|node| *node != own && weight(node) > own_weight);
    let rank = u32::try_from(above.count()).unwrap_or(u32::MAX);
    (rank <= MAX_RANK).then_some(rank)
}

/// What a candidate does next in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Nothing.
    Wait,
    /// Write the record and the status, if the record still has this revision (0: none) and the order
    /// its own.
    Write {
        /// State to write.
        state: RolloutState,
        /// Revision that the record must have.
        expected: EntryRevision,
    },
}

/// A node's claim to decide on one order.
#[derive(Clone, Debug, Default)]
pub struct DeciderClaim {
    /// Revision of the node's own record, while it holds it.
    held: Option<EntryRevision>,
    renewed: Option<Instant>,
    /// Whether the result of the last write is unknown, so that the record must be read first.
    uncertain: bool,
    ended: bool,
}

impl DeciderClaim {
    /// Returns whether the node decides.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.held.is_some() && !self.ended
    }

    /// Returns whether the node decides and its lease is certain to last.
    #[must_use]
    pub fn is_certain(&self, now: Instant) -> bool {
        let renewed = self.renewed;
        let fresh =
            renewed.is_some_and(|renewed| now.saturating_duration_since(renewed) < LEASE_DOUBT);
        self.holds() && fresh
    }

    /// Returns whether the effect of the last write has to be determined by reading the record.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Decides what to write. `found` is the revision of the record as far as the node knows (0: none),
    /// `vacant` the time since when the order has had no decider (`None`: it has one), `decision` the
    /// final state if it is time for it.
    #[must_use]
    pub fn next(
        &self,
        rank: Option<u32>,
        found: EntryRevision,
        vacant: Option<Instant>,
        decision: Option<RolloutState>,
        now: Instant,
    ) -> ClaimAction {
        if self.ended || self.uncertain {
            return ClaimAction::Wait;
        }
        if let Some(expected) = self.held {
            return match decision {
                Some(state) => ClaimAction::Write { state, expected },
                None => ClaimAction::Wait,
            };
        }
        let (Some(rank), Some(since)) = (rank, vacant) else {
            return ClaimAction::Wait;
        };
        if now.saturating_duration_since(since) < RANK_DELAY * rank {
            return ClaimAction::Wait;
        }
        ClaimAction::Write {
            state: RolloutState::Active,
            expected: found,
        }
    }

    /// Records a write that took effect.
    pub fn record_written(&mut self, state: RolloutState, revision: EntryRevision, sent: Instant) {
        self.uncertain = false;
        self.ended = state.is_final();
        self.held = Some(revision);
        self.renewed = Some(sent);
    }

    /// Records a renewal of the lease that was sent at `sent`.
    pub fn record_renewal(&mut self, sent: Instant) {
        self.renewed = Some(sent);
    }

    /// Records a write or renewal without an answer: it may still take effect.
    pub fn record_unknown(&mut self) {
        self.uncertain = true;
    }

    /// Records that the record is not the node's own, or that its lease has ended.
    pub fn release(&mut self) {
        *self = Self::default();
    }
}
