//! Tracks requests that crash their targets. See `docs/platform.md`, section 6.

use std::sync::{Mutex, MutexGuard};
use std::time::SystemTime;

use apricotfold_model::{TargetIncarnation, log_event};
use apricotfold_policy::{CrashEvidence, CrashGuard, CrashMark, RequestFingerprint};
use compact_str::ToCompactString;

/// Largest number of own marks that are kept; the newest replace the oldest. They are in the node's
/// entry in the store, so that they outlive its process.
const MAX_OWN_MARKS: usize = 64;

#[derive(Default)]
struct TrackerState {
    guard: CrashGuard,
    /// Marks of crashes that this node noticed, oldest first.
    own: Vec<(RequestFingerprint, CrashMark)>,
}

impl TrackerState {
    fn keep_own(&mut self, fingerprint: &RequestFingerprint, mark: CrashMark, now: SystemTime) {
        let is_known = |(request, known): &(RequestFingerprint, CrashMark)| {
            request == fingerprint && known.crash == mark.crash
        };
        if self.own.iter().any(is_known) {
            return;
        }
        self.own.push((fingerprint.clone(), mark));
        if self.own.len() <= MAX_OWN_MARKS {
            return;
        }
        // A request that is blocked is not blocked by coincidence, so its marks are kept longest.
        let coincidence =
            |(request, _): &(RequestFingerprint, _)| !self.guard.is_blocked(request, now);
        let oldest = self.own.iter().position(coincidence).unwrap_or(0);
        self.own.remove(oldest);
    }
}

/// Shares the crash guard among tasks and keeps the marks that this node publishes.
#[derive(Default)]
pub struct CrashTracker(Mutex<TrackerState>);

impl CrashTracker {
    fn lock(&self) -> MutexGuard<'_, TrackerState> {
        self.0.lock().expect("no panic while locked")
    }

    /// Returns whether a request is refused because it has crashed targets.
    pub fn is_blocked(&self, fingerprint: &RequestFingerprint) -> bool {
        self.lock().guard.is_blocked(fingerprint, SystemTime::now())
    }

    /// Records that the target ran a request to its end.
    pub fn record_answer(&self, fingerprint: &RequestFingerprint) {
        let now = SystemTime::now();
        let cleared = self.lock().guard.record_answer(fingerprint, now);
        if cleared > 0 {
            log_event!(
                info,
                SuspicionCleared,
                "request {fingerprint} of {cleared} crashes"
            );
        }
    }

    /// Records that a request was in flight when an incarnation of a target crashed. Returns whether
    /// that is news.
    pub fn record_crash(
        &self,
        fingerprint: &RequestFingerprint,
        incarnation: &TargetIncarnation,
    ) -> bool {
        let mut state = self.lock();
        let now = SystemTime::now();
        let mark = CrashMark::new(incarnation.to_compact_string(), now);
        if !state.guard.merge(fingerprint, mark.clone(), now) {
            let reason = "known or answered since";
            log_event!(info, CrashNotCounted, "request {fingerprint}: {reason}");
            return false;
        }
        state.keep_own(fingerprint, mark, now);
        log_event!(
            warn,
            CrashRecorded,
            "request {fingerprint} in flight at {incarnation}"
        );
        true
    }

    /// Returns the marks for this node's entry in the store.
    pub fn own_marks(&self) -> CrashEvidence {
        let state = self.lock();
        let mut evidence = CrashEvidence::new();
        for (fingerprint, mark) in &state.own {
            let marks = evidence.entry(fingerprint.clone()).or_default();
            marks.push(mark.clone());
        }
        evidence
    }

    /// Takes over the marks that an earlier process of this node has left in the store.
    pub fn adopt(&self, evidence: &CrashEvidence) {
        let mut state = self.lock();
        let now = SystemTime::now();
        for (fingerprint, mark) in each_mark(evidence) {
            state.guard.merge(fingerprint, mark.clone(), now);
            state.keep_own(fingerprint, mark.clone(), now);
        }
    }

    /// Merges what another node knows. `origin` is for log lines.
    pub fn merge(&self, origin: &str, evidence: &CrashEvidence) {
        let mut state = self.lock();
        let now = SystemTime::now();
        for (fingerprint, mark) in each_mark(evidence) {
            if state.guard.merge(fingerprint, mark.clone(), now) {
                let crash = &mark.crash;
                let word = if mark.cleared {
                    "cleared of"
                } else {
                    "in flight at"
                };
                log_event!(
                    info,
                    CrashLearned,
                    "request {fingerprint} {word} {crash}, from {origin}"
                );
            }
        }
    }

    /// Returns the number of requests with known crashes, and of those that are blocked.
    pub fn sizes(&self) -> (usize, usize) {
        let state = self.lock();
        (state.guard.len(), state.guard.blocked(SystemTime::now()))
    }
}

fn each_mark(evidence: &CrashEvidence) -> impl Iterator<Item = (&RequestFingerprint, &CrashMark)> {
    let requests = evidence.iter();
    requests.flat_map(|(fingerprint, marks)| marks.iter().map(move |mark| (fingerprint, mark)))
}
