//! Counter over a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of buckets per window. Counts leave the window one bucket at a time.
const BUCKETS: u32 = 20;

/// Counts events within a sliding window. Unlike a decaying sum it keeps the full count of each
/// event until the window has passed, so that it can enforce a limit that is checked over any
/// window of that length.
#[derive(Clone, Debug)]
pub(crate) struct WindowCount {
    bucket: Duration,
    /// Start and count of each bucket, the oldest first.
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
