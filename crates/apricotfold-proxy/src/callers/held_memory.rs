//! The node's memory budget, shared by its listeners.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use apricotfold_model::log_event;
use apricotfold_policy::{HeldBytes, HoldDecision, HolderId};
use tokio::sync::Notify;

use crate::telemetry;
use crate::throttled_log::ThrottledLog;

/// The body cannot be held; its request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExceeded;

struct HeldState {
    bytes: HeldBytes,
    /// Signals of the holders, by which they learn that they are given up.
    signals: HashMap<HolderId, Arc<Notify>>,
}

/// Counts what strangers make the node hold, and gives up bodies over the budget.
pub struct HeldMemory {
    state: Mutex<HeldState>,
    log: ThrottledLog,
}

impl HeldMemory {
    /// Creates a count with a budget in bytes.
    pub fn new(budget: usize) -> Self {
        Self {
            state: Mutex::new(HeldState {
                bytes: HeldBytes::new(budget),
                signals: HashMap::new(),
            }),
            log: ThrottledLog::default(),
        }
    }

    /// Adds a body that begins to arrive.
    pub fn begin(self: &Arc<Self>) -> BodyMemory {
        let signal = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.bytes.add(Instant::now());
        state.signals.insert(id, signal.clone());
        BodyMemory {
            memory: self.clone(),
            id,
            occupied: 0,
            signal,
        }
    }

    /// Counts memory that is never given up.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> RunningMemory {
        self.lock().bytes.reserve(bytes);
        RunningMemory {
            memory: self.clone(),
            bytes,
        }
    }

    /// Records that a limit was reached.
    pub fn record_limit(&self, limit: &'static str, text: impl FnOnce() -> String) {
        telemetry::count_limit(limit);
        if let Some(more) = self.log.admit(limit) {
            log_event!(
                warn,
                LimitReached,
                "{limit}: {}, {more} more before",
                text()
            );
        }
    }

    /// Returns the number of bytes that are counted.
    pub fn total(&self) -> usize {
        self.lock().bytes.total()
    }

    fn hold(&self, id: HolderId, bytes: usize) -> Result<(), MemoryExceeded> {
        loop {
            let mut state = self.lock();
            let given_up = match state.bytes.hold(id, bytes, Instant::now()) {
                HoldDecision::Granted => return Ok(()),
                HoldDecision::GiveUp(given_up) => given_up,
            };
            let held = state.bytes.remove(given_up);
            if let Some(signal) = state.signals.remove(&given_up) {
                signal.notify_one();
            }
            drop(state);
            self.record_limit("memory", || format!("a body with {held} bytes is given up"));
            if given_up == id {
                return Err(MemoryExceeded);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HeldState> {
        self.state.lock().expect("no panic while locked")
    }
}

/// Memory of a body that is arriving.
pub struct BodyMemory {
    memory: Arc<HeldMemory>,
    id: HolderId,
    occupied: usize,
    signal: Arc<Notify>,
}

impl BodyMemory {
    /// Counts `occupied` bytes in all.
    ///
    /// # Errors
    ///
    /// Returns an error if the body must be given up.
    pub fn hold(&mut self, occupied: usize) -> Result<(), MemoryExceeded> {
        if occupied == self.occupied {
            return Ok(());
        }
        self.occupied = occupied;
        self.memory.hold(self.id, occupied)
    }

    /// Waits until the body must be given up for another one.
    pub async fn given_up(&self) {
        self.signal.notified().await;
    }

    /// Ends the possibility to give the body up, because its request is about to run.
    pub fn pass_on(self) -> RunningMemory {
        let bytes = self.memory.lock().bytes.pass_on(self.id);
        RunningMemory {
            memory: self.memory.clone(),
            bytes,
        }
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.bytes.remove(self.id);
        state.signals.remove(&self.id);
    }
}

/// Memory that is not given up, counted until it is dropped.
pub struct RunningMemory {
    memory: Arc<HeldMemory>,
    bytes: usize,
}

impl std::fmt::Debug for RunningMemory {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} bytes", self.bytes)
    }
}

impl Drop for RunningMemory {
    fn drop(&mut self) {
        self.memory.lock().bytes.release(self.bytes);
    }
}
