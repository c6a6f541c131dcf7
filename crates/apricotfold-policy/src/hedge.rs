//! Delay after which a call is hedged. See `docs/design.md`, section 6.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of samples. 1,000 samples give ten above the 99th percentile.
const MAX_SAMPLES: usize = 1_000;

/// Age at which a sample is dropped, so that the percentile follows the current load.
const SAMPLE_WINDOW: Duration = Duration::from_secs(30);

/// Minimum number of samples for a hedge, since a high percentile of a few samples is their
/// maximum.
const MIN_SAMPLES: usize = 50;

/// Number of new samples after which the percentile is computed again. It avoids a selection over
/// all samples on every call.
const REFRESH_EVERY: usize = 32;

/// Time after which the percentile is computed again, whatever the number of new samples.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Computes the hedge delay: a percentile of the recent latencies of one service and work class.
#[derive(Clone, Debug)]
pub struct HedgeTimer {
    percentile: u32,
    samples: VecDeque<(Instant, Duration)>,
    new_samples: usize,
    computed: Option<(Instant, Option<Duration>)>,
}

impl HedgeTimer {
    /// Creates a timer for a percentile from 1 to 99; other values are clamped.
    #[must_use]
    pub fn new(percentile: u32) -> Self {
        Self {
            percentile: percentile.clamp(1, 99),
            samples: VecDeque::new(),
            new_samples: 0,
            computed: None,
        }
    }

    /// Adds the latency of an attempt. A cancelled or timed-out attempt counts with the time that
    /// it has taken; if it were left out, the percentile would fall with every hedge that answers
    /// first.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, latency));
        self.new_samples += 1;
    }

    /// Returns the hedge delay, or `None` if there are too few recent samples.
    pub fn delay(&mut self, now: Instant) -> Option<Duration> {
        if let Some((at, delay)) = self.computed {
            let fresh = now.saturating_duration_since(at) < REFRESH_INTERVAL;
            if fresh && self.new_samples < REFRESH_EVERY {
                return delay;
            }
        }
        let delay = self.compute(now);
        self.computed = Some((now, delay));
        self.new_samples = 0;
        delay
    }

    fn compute(&mut self, now: Instant) -> Option<Duration> {
        while let Some((at, _)) = self.samples.front()
            && now.saturating_duration_since(*at) > SAMPLE_WINDOW
        {
            self.samples.pop_front();
        }
        let count = self.samples.len();
        if count < MIN_SAMPLES {
            return None;
        }
        let mut latencies: Vec<Duration> = self.samples.iter().map(|sample| sample.1).collect();
        let rank = (count * self.percentile as usize).div_ceil(100) - 1;
        let (_, latency, _) = latencies.select_nth_unstable(rank);
        Some(*latency)
    }
}
