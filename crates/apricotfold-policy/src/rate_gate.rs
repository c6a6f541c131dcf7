//! Request rate of a target that states a limit. See `docs/platform.md`, section 6.

use std::time::{Duration, Instant};

use apricotfold_model::RateLimit;

/// Time whose requests may start at once after a pause. A node that restarts begins without any, so
/// that the requests before and after its restart keep to the limit together.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Lowest rate in requests per second. A target that states a limit of 0 still gets a request now and
/// then, because only its answers can say that the limit has ended.
const MIN_RATE: f64 = 0.25;

/// Tolerance for rounding when a request is due.
const ROUNDING: f64 = 1e-6;

/// Token bucket that spaces the requests to a target.
#[derive(Clone, Copy, Debug)]
pub struct RateGate {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateGate {
    /// Creates a gate without any tokens.
    #[must_use]
    pub fn new(limit: RateLimit, now: Instant) -> Self {
        Self {
            rate: limit.per_second().max(MIN_RATE),
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Changes the rate and keeps the tokens, up to the new capacity.
    pub fn set_limit(&mut self, limit: RateLimit, now: Instant) {
        self.refill(now);
        self.rate = limit.per_second().max(MIN_RATE);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the requests per second that pass the gate.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns whether a request may pass now.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        self.tokens_at(now) >= 1.0 - ROUNDING
    }

    /// Returns whether the gate was closed when it was last refilled.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tokens < 1.0 - ROUNDING
    }

    /// Counts a request, also one that passed while the gate was closed.
    pub fn pass(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(-self.capacity());
    }

    /// Returns the time at which the gate opens, as known when it was last refilled.
    #[must_use]
    pub fn opens_at(&self) -> Instant {
        self.refilled + self.time_for(1.0 - self.tokens)
    }

    /// Returns the time until `requests` more can have passed.
    #[must_use]
    pub fn wait(&self, requests: u32, now: Instant) -> Duration {
        self.time_for(f64::from(requests) - self.tokens_at(now))
    }

    fn time_for(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.rate)
    }

    /// Adds the tokens of the time that has passed.
    pub fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled = self.refilled.max(now);
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        (self.tokens + elapsed * self.rate).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(1.0)
    }
}
