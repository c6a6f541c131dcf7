//! Delayed view of the load, which simulates the delay of load reports. Performs no I/O and reads no
//! clock.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Changes of the load, back to the one that is currently reported.
#[derive(Debug)]
pub struct LoadHistory {
    delay: Duration,
    changes: VecDeque<(Instant, u32)>,
}

impl LoadHistory {
    /// Creates an empty history that reports the load as it was `delay` ago.
    #[must_use]
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            changes: VecDeque::new(),
        }
    }

    /// Records a change of the load.
    pub fn record(&mut self, load: u32, now: Instant) {
        self.changes.push_back((now, load));
        self.prune(now);
    }

    /// Load to report at `now`; 0 until the first change is older than the delay.
    #[must_use]
    pub fn reported(&self, now: Instant) -> u32 {
        self.changes
            .iter()
            .take_while(|(time, _)| self.is_reportable(*time, now))
            .last()
            .map_or(0, |(_, load)| *load)
    }

    fn is_reportable(&self, time: Instant, now: Instant) -> bool {
        time + self.delay <= now
    }

    /// Drops all changes before the one that is currently reported.
    fn prune(&mut self, now: Instant) {
        while self
            .changes
            .get(1)
            .is_some_and(|(time, _)| self.is_reportable(*time, now))
        {
            self.changes.pop_front();
        }
    }
}
