//! Recognises equal requests that were lost in the same crash of a target whose incarnations are not
//! known. See `docs/design.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::RequestFingerprint;

/// Time for which a crash is remembered as counted. Requests that were in flight at the same crash
/// are lost within a short time of each other.
const COUNTED_LIFETIME: Duration = Duration::from_mins(1);

/// Maximum number of requests whose loss is remembered.
const MAX_COUNTED: usize = 4_096;

/// Remembers when requests were last counted as lost.
#[derive(Clone, Debug, Default)]
pub struct CountedLosses {
    latest: HashMap<RequestFingerprint, Instant>,
}

impl CountedLosses {
    /// Returns whether a request that was sent to the target at `started` and is lost now counts. It
    /// does not if an equal request that was in flight at the same time has already been counted,
    /// because one crash counts once.
    pub fn record_loss(
        &mut self,
        fingerprint: &RequestFingerprint,
        started: Instant,
        now: Instant,
    ) -> bool {
        let counted = self.latest.get(fingerprint);
        if counted.is_some_and(|counted| *counted >= started) {
            return false;
        }
        if self.latest.len() >= MAX_COUNTED {
            self.make_room(now);
        }
        self.latest.insert(fingerprint.clone(), now);
        true
    }

    /// Drops losses that can have no equal one any more, or else the oldest one.
    fn make_room(&mut self, now: Instant) {
        self.latest
            .retain(|_, counted| now.saturating_duration_since(*counted) < COUNTED_LIFETIME);
        if self.latest.len() < MAX_COUNTED {
            return;
        }
        let oldest = self.latest.iter().min_by_key(|(_, counted)| **counted);
        let oldest = oldest.map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = oldest {
            self.latest.remove(&fingerprint);
        }
    }

    /// Number of requests whose loss is remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Returns whether no loss is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}
