//! A counter over a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts into which the window is divided. Counts leave it part by part.
const BUCKETS: u32 = 20;

/// Counts what happened within a window. Unlike a decaying sum it forgets nothing before the window
/// has passed, so that it can hold to a limit which is checked over any window of that length.
#[derive(Clone, Debug)]
pub(crate) struct WindowCount {
    bucket: Duration,
    /// Start and count of the parts, the oldest first.
    buckets: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl WindowCount {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            bucket: window / BUCKETS,
            buckets: VecDeque::new(),
            sum: 0.0,
        }
    }

    pub(crate) fn add(&mut self, now: Instant) {
        self.drop_old(now);
        let newest = self.buckets.back_mut();
        match newest {
            Some((start, count)) if now.saturating_duration_since(*start) < self.bucket => {
                *count += 1.0;
            }
            _ => self.buckets.push_back((now, 1.0)),
        }
        self.sum += 1.0;
    }

    pub(crate) fn value_at(&mut self, now: Instant) -> f64 {
        self.drop_old(now);
        self.sum
    }

    fn drop_old(&mut self, now: Instant) {
        let age = self.bucket * (BUCKETS + 1);
        while let Some((start, count)) = self.buckets.front()
            && now.saturating_duration_since(*start) >= age
        {
            self.sum -= count;
            self.buckets.pop_front();
        }
        if self.buckets.is_empty() {
            self.sum = 0.0;
        }
    }
}
