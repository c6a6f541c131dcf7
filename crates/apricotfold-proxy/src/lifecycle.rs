//! Lifecycle phases of the process, and the requests in progress. See `docs/platform.md`, section
//! 7.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use strum::Display;
use tokio::sync::watch;

/// Phase of the process, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ProcessPhase {
    /// The process accepts requests.
    Serving,
    /// The process is not ready but still serves callers, and asks them to close their connections.
    Draining,
    /// The process closes idle connections and finishes the requests in progress.
    Closing,
}

/// Shared phase and count of requests in progress.
#[derive(Clone)]
pub struct Lifecycle {
    phase: Arc<watch::Sender<ProcessPhase>>,
    in_flight: Arc<AtomicUsize>,
}

/// Counts one request as in progress until it is dropped.
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Lifecycle {
    /// Starts in [`ProcessPhase::Serving`].
    pub fn new() -> Self {
        Self {
            phase: Arc::new(watch::Sender::new(ProcessPhase::Serving)),
            in_flight: Arc::default(),
        }
    }

    /// Enters a phase and notifies the subscribers.
    pub fn enter(&self, phase: ProcessPhase) {
        self.phase.send_replace(phase);
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ProcessPhase {
        *self.phase.borrow()
    }

    /// Subscribes to changes of the phase.
    pub fn watch(&self) -> watch::Receiver<ProcessPhase> {
        self.phase.subscribe()
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.in_flight.clone())
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}
