//! Tracks requests that crash their targets. See `docs/platform.md`, section 6.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use apricotfold_model::{NodeId, log_event};
use apricotfold_policy::{CrashGuard, RequestFingerprint};

/// Largest number of crash counts that a node shares with others; the newest replace the oldest.
const MAX_SHARED: usize = 32;

/// Crash counts by request, as shared with other nodes.
pub type CrashCounts = BTreeMap<RequestFingerprint, u32>;

struct TrackerState {
    guard: CrashGuard,
    shared: Vec<(RequestFingerprint, u32)>,
}

/// Shares the crash guard among tasks and keeps the counts that this node publishes.
pub struct CrashTracker(Mutex<TrackerState>);

impl CrashTracker {
    /// Creates a tracker for the node `own`.
    pub fn new(own: NodeId) -> Self {
        Self(Mutex::new(TrackerState {
            guard: CrashGuard::new(own),
            shared: Vec::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, TrackerState> {
        self.0.lock().expect("no panic while locked")
    }

    /// Returns whether a request is refused because it has crashed targets.
    pub fn is_blocked(&self, fingerprint: &RequestFingerprint) -> bool {
        self.lock().guard.is_blocked(fingerprint, Instant::now())
    }

    /// Records that the target answered a request.
    pub fn record_answer(&self, fingerprint: &RequestFingerprint) {
        let cleared = self.lock().guard.record_answer(fingerprint, Instant::now());
        if cleared > 0 {
            log_event!(
                info,
                SuspicionCleared,
                "request {fingerprint} of {cleared} crashes"
            );
        }
    }

    /// Counts a request that was in flight when the target crashed. Returns whether the counts
    /// shared with other nodes have changed.
    pub fn record_crash(&self, fingerprint: &RequestFingerprint, started: Instant) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        let suspect = state.guard.is_suspect(fingerprint, started, now);
        let count = suspect.then(|| state.guard.record_crash(fingerprint, now));
        let Some(count) = count.flatten() else {
            let reason = "answered or counted shortly before";
            log_event!(info, CrashNotCounted, "request {fingerprint}: {reason}");
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

    /// Returns the counts that this node shares with others.
    pub fn shared(&self) -> CrashCounts {
        self.lock().shared.iter().cloned().collect()
    }

    /// Merges the counts of another node.
    pub fn merge(&self, node: &NodeId, counts: &CrashCounts) {
        let mut state = self.lock();
        let now = Instant::now();
        for (fingerprint, count) in counts {
            if state.guard.merge(fingerprint, node, *count, now) {
                log_event!(
                    info,
                    CrashLearned,
                    "request {fingerprint} crash {count} at {node}"
                );
            }
        }
    }

    /// Returns the number of requests with known crashes, and of those that are blocked.
    pub fn sizes(&self) -> (usize, usize) {
        let state = self.lock();
        (state.guard.len(), state.guard.blocked(Instant::now()))
    }
}
