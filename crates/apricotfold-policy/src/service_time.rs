//! Learned service times of the requests at a target. See `docs/design/overload.md`, section 3.

use std::collections::VecDeque;
use std::time::Duration;

use apricotfold_model::{RetrySafety, WorkClass};

/// Weight of a new sample in the moving average of service times, which follows a change within
/// about ten requests.
const ESTIMATE_WEIGHT: f64 = 0.1;

/// Number of latest service times from which the long one is taken. If 3 % of all requests are slow,
/// more than [`LONGER_DIVISOR`] leaves out are almost always among them; with 128, a quarter of the
/// time they were not.
const SAMPLES: usize = 256;

/// Divisor of the number of samples that gives how many may be longer than the long service time, so
/// that one or two requests without an end do not decide it.
const LONGER_DIVISOR: usize = 100;

/// Service times of one kind of requests.
#[derive(Clone, Debug, Default)]
struct ServiceEstimate {
    mean: Option<Duration>,
    latest: VecDeque<Duration>,
    /// Time that all but about one in a hundred requests take at most.
    long: Duration,
}

impl ServiceEstimate {
    fn record(&mut self, service: Duration) {
        self.mean = Some(blend(self.mean, service));
        if self.latest.len() == SAMPLES {
            self.latest.pop_front();
        }
        self.latest.push_back(service);
        let mut sorted: Vec<Duration> = self.latest.iter().copied().collect();
        let index = sorted.len() - 1 - sorted.len() / LONGER_DIVISOR;
        self.long = *sorted.select_nth_unstable(index).1;
    }
}

fn blend(known: Option<Duration>, service: Duration) -> Duration {
    known.map_or(service, |known| {
        known.mul_f64(1.0 - ESTIMATE_WEIGHT) + service.mul_f64(ESTIMATE_WEIGHT)
    })
}

/// Service times by work class, and those of requests that must not run twice on their own: their
/// spread decides when it is too late to start one.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    means: [Option<Duration>; 2],
    once: [ServiceEstimate; 2],
}

impl ServiceTimes {
    pub(crate) fn record(&mut self, class: WorkClass, repeat: RetrySafety, service: Duration) {
        let mean = &mut self.means[class_index(class)];
        *mean = Some(blend(*mean, service));
        if repeat == RetrySafety::AtMostOnce {
            self.once[class_index(class)].record(service);
        }
    }

    /// Returns the mean service time of a class; zero before the first measurement.
    pub(crate) fn mean(&self, class: WorkClass) -> Duration {
        self.means[class_index(class)].unwrap_or_default()
    }

    /// Returns the mean service time of requests of a class that may or must not be repeated.
    pub(crate) fn mean_of(&self, class: WorkClass, repeat: RetrySafety) -> Duration {
        let own = match repeat {
            RetrySafety::Idempotent => None,
            RetrySafety::AtMostOnce => self.once[class_index(class)].mean,
        };
        own.unwrap_or_else(|| self.mean(class))
    }

    /// Returns the time that must be left before the deadline when a queued request starts. For a
    /// request that can be repeated that is the mean.
    pub(crate) fn reserve(&self, class: WorkClass, repeat: RetrySafety) -> Duration {
        let mean = self.mean_of(class, repeat);
        match repeat {
            RetrySafety::Idempotent => mean,
            RetrySafety::AtMostOnce => self.once[class_index(class)].long.max(mean),
        }
    }
}

fn class_index(class: WorkClass) -> usize {
    match class {
        WorkClass::Short => 0,
        WorkClass::Long => 1,
    }
}
