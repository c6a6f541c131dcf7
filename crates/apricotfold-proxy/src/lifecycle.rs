//! Phases of the process and the requests that are in progress. See `docs/platform.md`, section 7.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use strum::Display;
use tokio::sync::watch;

/// Phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ProcessPhase {
    /// It serves.
    Serving,
    /// It serves callers that still come, and asks them to leave.
    Draining,
    /// It closes idle connections and finishes what is in progress.
    Closing,
}

/// Shared view of the phase and of the work in progress.
#[derive(Clone)]
pub struct Lifecycle {
    phase: Arc<watch::Sender<ProcessPhase>>,
    in_flight: Arc<AtomicUsize>,
}

/// Counts one request until it is dropped.
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

    /// Enters a phase.
    pub fn enter(&self, phase: ProcessPhase) {
        self.phase.send_replace(phase);
    }

    /// The present phase.
    pub fn phase(&self) -> ProcessPhase {
        *self.phase.borrow()
    }

    /// Follows the phases.
    pub fn watch(&self) -> watch::Receiver<ProcessPhase> {
        self.phase.subscribe()
    }

    /// Counts a request that begins.
    pub fn begin_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.in_flight.clone())
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}
