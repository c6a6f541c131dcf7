//! How long work takes. Does no input or output and reads no clock.

use std::time::{Duration, Instant};

use apricotfold_model::{TargetStandinConfig, WorkClass};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Random service times lie between these percentages of the configured one.
const RANDOM_PERCENT: std::ops::RangeInclusive<u32> = 50..=150;
/// Largest factor, so that a mistyped one does not overflow a duration.
pub const MAX_FACTOR: u32 = 10_000;

/// Service times of a target.
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
    /// Starts cold at `now`. Service times are random if the settings have a seed.
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

    /// The factor that stands for a straggler.
    #[must_use]
    pub fn slow_factor(&self) -> u32 {
        self.slow_factor
    }

    /// Changes the factor for work that starts from now on.
    pub fn set_slow_factor(&mut self, factor: u32) {
        self.slow_factor = factor;
    }

    /// Time of one request of a class.
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

    /// Time of work that would take `base` on a warm and healthy target.
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
