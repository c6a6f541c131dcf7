//! Simulated service times. Performs no I/O and reads no clock.

use std::time::{Duration, Instant};

use apricotfold_model::{TargetStandinConfig, WorkClass};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Range of random service times, in percent of the configured one.
const RANDOM_PERCENT: std::ops::RangeInclusive<u32> = 50..=150;
/// Maximum factor on service times, so that a mistyped one does not overflow a duration.
pub const MAX_FACTOR: u32 = 10_000;

/// Generator of the service times of a target.
#[derive(Debug)]
pub struct ServiceTimes {
    short: Duration,
    long: Duration,
    cold_until: Instant,
    cold_factor: u32,
    slow_factor: u32,
    random: Option<StdRng>,
}

impl ServiceTimes {
    /// Starts the cold phase at `now`. Service times are random if the settings have a seed, and
    /// otherwise constant.
    #[must_use]
    pub fn new(config: &TargetStandinConfig, now: Instant) -> Self {
        Self {
            short: config.short,
            long: config.long,
            cold_until: now + config.cold_start,
            cold_factor: config.cold_factor.min(MAX_FACTOR),
            slow_factor: config.slow_factor.min(MAX_FACTOR),
            random: (config.seed > 0).then(|| StdRng::seed_from_u64(config.seed)),
        }
    }

    /// Factor on all service times, which simulates a straggler.
    #[must_use]
    pub fn slow_factor(&self) -> u32 {
        self.slow_factor
    }

    /// Sets the factor for later calls of [`ServiceTimes::sample`] and [`ServiceTimes::scale`].
    pub fn set_slow_factor(&mut self, factor: u32) {
        self.slow_factor = factor;
    }

    /// Service time of a new request of a class.
    pub fn sample(&mut self, class: WorkClass, now: Instant) -> Duration {
        let mean = match class {
            WorkClass::Short => self.short,
            WorkClass::Long => self.long,
        };
        let percent = match &mut self.random {
            Some(random) => random.random_range(RANDOM_PERCENT),
            None => 100,
        };
        self.scale(mean * percent / 100, now)
    }

    /// Service time of work that takes `base` on a warm target without slowdown.
    #[must_use]
    pub fn scale(&self, base: Duration, now: Instant) -> Duration {
        let cold = if now < self.cold_until {
            self.cold_factor
        } else {
            1
        };
        base.saturating_mul(cold).saturating_mul(self.slow_factor)
    }
}
