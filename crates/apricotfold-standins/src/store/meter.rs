//! Call counters and rate limits.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;
use strum::IntoEnumIterator as _;

use super::call::CallKind;

/// Number of calls since the start or the last reset.
#[derive(Clone, Debug, Serialize)]
pub struct CallCounts {
    /// Calls by kind, including rejected ones. A watch counts once, regardless of its duration.
    pub calls: BTreeMap<CallKind, u64>,
    /// Calls of all kinds.
    pub total: u64,
    /// Calls rejected by a rate limit.
    pub refused: u64,
    /// Currently open watches; not affected by a reset.
    pub open_watches: u64,
}

impl Default for CallCounts {
    fn default() -> Self {
        Self {
            calls: CallKind::iter().map(|kind| (kind, 0)).collect(),
            total: 0,
            refused: 0,
            open_watches: 0,
        }
    }
}

impl CallCounts {
    /// Counts a call under its kind and in the total.
    pub fn add(&mut self, kind: CallKind) {
        *self.calls.entry(kind).or_default() += 1;
        self.total += 1;
    }

    /// Resets all counters except the open watches.
    pub fn reset(&mut self) {
        *self = Self {
            open_watches: self.open_watches,
            ..Self::default()
        };
    }
}

/// Token bucket with a capacity of one second's worth of calls.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    /// Creates a full bucket; a rate of 0 means unlimited.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: per_second.into(),
            tokens: per_second.into(),
            filled: now,
        }
    }

    /// Takes a token; returns false if none is available.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
