//! Time for which a node may own quotas without an answer of the store. See `docs/design/quotas.md`.

use std::time::{Duration, Instant};

/// Time before the end of the entry from which on an answer of the store to another node shows that the
/// store is not away for all. When it is, the last renewals are of about the same time, and no entry ends
/// sooner after them.
const SHARED_SILENCE: Duration = Duration::from_secs(2);

/// Time for which the report of another node counts. Two random ones are asked every 0.7 s.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// What a node knows of its right to own quotas, which rests on its entry in the store.
///
/// Another node owns a quota once the store has told it that the entry of the owner has ended. A node that
/// the store does not answer can be sure that this has not happened until its lease can have ended, and after
/// that only while the store answers nobody.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerTerm {
    /// Time before which the entry cannot end.
    entry_until: Option<Instant>,
    /// When another node last reported.
    heard: Option<Instant>,
    /// When the store last answered any of them, as far as they have reported.
    others_answered: Option<Instant>,
}

impl OwnerTerm {
    /// Records that the entry cannot end before `until`: the lease runs from the arrival of the renewal, so it
    /// counts from when that was sent.
    pub fn record_entry(&mut self, until: Instant) {
        self.entry_until = Some(until);
    }

    /// Records the report of another node: when the store last answered it, if it has.
    pub fn record_report(&mut self, answered: Option<Instant>, now: Instant) {
        self.heard = Some(now);
        self.others_answered = self.others_answered.max(answered);
    }

    /// Returns whether another node may own the quotas of this one. `alone` tells that no other node is known.
    #[must_use]
    pub fn may_have_ended(&self, alone: bool, now: Instant) -> bool {
        let Some(until) = self.entry_until.filter(|until| now >= *until && !alone) else {
            return false;
        };
        let answered = self.others_answered;
        if answered.is_some_and(|answered| answered + SHARED_SILENCE >= until) {
            return true;
        }
        let heard = self.heard;
        heard.is_none_or(|heard| now.saturating_duration_since(heard) >= REPORT_LIFETIME)
    }
}
