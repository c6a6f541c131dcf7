//! Counts of calls and the rate limits.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;
use strum::IntoEnumIterator as _;

use super::call::CallKind;

/// Numbers of calls since the start or the last reset.
#[derive(Clone, Debug, Serialize)]
pub struct CallCounts {
    /// Calls by kind, refused ones included. A watch counts once, however long it waits.
    pub calls: BTreeMap<CallKind, u64>,
    /// All calls.
    pub total: u64,
    /// Calls that a rate limit refused.
    pub refused: u64,
    /// Watches that are open now. A reset leaves it as it is.
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
    /// Counts one call.
    pub fn add(&mut self, kind: CallKind) {
        *self.calls.entry(kind).or_default() += 1;
        self.total += 1;
    }

    /// Starts again from zero.
    pub fn reset(&mut self) {
        *self = Self {
            open_watches: self.open_watches,
            ..Self::default()
        };
    }
}

/// A token bucket that holds the calls of one second.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    /// Starts with a full bucket; a rate of zero means no limit.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: per_second.into(),
            tokens: per_second.into(),
            filled: now,
        }
    }

    /// Takes one token; returns false if there is none.
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
