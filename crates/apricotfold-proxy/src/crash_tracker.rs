//! Finds requests that crash their targets. See `docs/platform.md`, section 6.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use apricotfold_model::{NodeId, log_event};
use apricotfold_policy::{CrashGuard, RequestFingerprint};

/// Crash counts of one node that are told to others; the newest replace the oldest.
const MAX_SHARED: usize = 32;

/// Counts by request, as told to other nodes.
pub type CrashCounts = BTreeMap<RequestFingerprint, u32>;

struct TrackerState {
    guard: CrashGuard,
    shared: Vec<(RequestFingerprint, u32)>,
}

/// Shares the crash guard among tasks and keeps what this node tells of it.
pub struct CrashTracker(Mutex<TrackerState>);

impl CrashTracker {
    /// Creates a watch for the node `own`.
    pub fn new(own: NodeId) -> Self {
        Self(Mutex::new(TrackerState {
            guard: CrashGuard::new(own),
            shared: Vec::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, TrackerState> {
        self.0.lock().expect("no panic while locked")
    }

    /// Tells whether a request must be refused.
    pub fn is_blocked(&self, fingerprint: &RequestFingerprint) -> bool {
        self.lock().guard.is_blocked(fingerprint, Instant::now())
    }

    /// Notes that the target answered a request.
    pub fn record_answer(&self, fingerprint: &RequestFingerprint) {
        self.lock().guard.record_answer(fingerprint, Instant::now());
    }

    /// Counts a request that was in flight when the target crashed. Returns whether the counts
    /// that other nodes should know have changed.
    pub fn record_crash(&self, fingerprint: &RequestFingerprint, started: Instant) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        if !state.guard.is_suspect(fingerprint, started, now) {
            return false;
        }
        let Some(count) = state.guard.record_crash(fingerprint, now) else {
            return false;
        };
        state.shared.retain(|(known, _)| known != fingerprint);
        state.shared.push((fingerprint.clone(), count));
        if state.shared.len() > MAX_SHARED {
            state.shared.remove(0);
        }
        log_event!(
            warn,
            CrashRecorded,
            "request {fingerprint} crash {count} here"
        );
        true
    }

    /// Counts that this node tells to others.
    pub fn shared(&self) -> CrashCounts {
        self.lock().shared.iter().cloned().collect()
    }

    /// Takes over another node's counts.
    pub fn merge(&self, node: &NodeId, counts: &CrashCounts) {
        let mut state = self.lock();
        let now = Instant::now();
        for (fingerprint, count) in counts {
            state.guard.merge(fingerprint, node, *count, now);
        }
    }
}
