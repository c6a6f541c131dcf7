//! Load as it was some time ago, since targets report it late. Does no input or output and reads no
//! clock.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Changes of the load, back to the age that is reported.
#[derive(Debug)]
pub struct LoadHistory {
    delay: Duration,
    changes: VecDeque<(Instant, u32)>,
}

impl LoadHistory {
    /// Reports the load as it was `delay` ago.
    #[must_use]
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            changes: VecDeque::new(),
        }
    }

    /// Notes a change of the load.
    pub fn record(&mut self, load: u32, now: Instant) {
        self.changes.push_back((now, load));
        self.prune(now);
    }

    /// The load that is reported at `now`; zero before the first change was old enough.
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

    /// Keeps one change that is old enough and all later ones.
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
