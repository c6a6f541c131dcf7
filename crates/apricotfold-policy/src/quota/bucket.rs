//! Token bucket whose rate and capacity change.

use std::time::{Duration, Instant};

/// Tolerance for rounding when a token is due.
const ROUNDING: f64 = 1e-6;

/// Tokens that are earned at a rate and kept up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            capacity: 0.0,
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Sets the rate and capacity from now on. Tokens above the capacity are lost.
    pub(super) fn set(&mut self, rate: f64, capacity: f64, now: Instant) {
        self.refill(now);
        self.rate = rate.max(0.0);
        self.capacity = capacity.max(0.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        // Tokens that were added above the capacity stay; only earned ones are bounded.
        let earned = self.tokens + elapsed * self.rate;
        self.tokens = earned.min(self.capacity.max(self.tokens));
    }

    /// Adds tokens, also above the capacity.
    pub(super) fn add(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Takes up to `wanted` whole tokens and returns their number.
    pub(super) fn take_up_to(&mut self, wanted: f64, now: Instant) -> f64 {
        self.refill(now);
        let taken = (self.tokens + ROUNDING).floor().min(wanted).max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Drops tokens above the capacity.
    pub(super) fn trim(&mut self) {
        self.tokens = self.tokens.min(self.capacity);
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the time until a token is due, as known when it was last refilled; `None` if none is.
    pub(super) fn due_in(&self) -> Option<Duration> {
        let missing = (1.0 - self.tokens).max(0.0);
        let reachable = self.capacity + ROUNDING >= 1.0 && self.rate > 0.0;
        reachable.then(|| Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX))
    }
}
