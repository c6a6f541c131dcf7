//! Sum with exponential decay.

use std::time::{Duration, Instant};

/// A sum that decays exponentially. At a steady rate of `r` per second it converges to `r` times
/// the window in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    window: Duration,
    value: f64,
    updated: Option<Instant>,
}

impl DecayingSum {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            value: 0.0,
            updated: None,
        }
    }

    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.value_at(now) + amount;
        self.updated = Some(now);
    }

    pub(crate) fn value_at(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        self.value * remaining_share(now.saturating_duration_since(updated), self.window)
    }
}

/// Returns the share of a quantity that is left after `age` if it decays exponentially with the
/// time constant `window`.
pub(crate) fn remaining_share(age: Duration, window: Duration) -> f64 {
    (-age.as_secs_f64() / window.as_secs_f64()).exp()
}
