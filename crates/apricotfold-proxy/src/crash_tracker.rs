//! Tracks requests that crash their targets. See `docs/platform.md`, section 6.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::{TargetIncarnation, log_event};
use apricotfold_policy::{
    CrashEvidence, CrashGuard, CrashMark, ObservedMark, RequestFingerprint, SentNumber,
    UnansweredRuns,
};
use compact_str::ToCompactString;
use tokio::sync::watch;

/// Largest number of requests of which other nodes are told when evidence is compared.
const MAX_SHARED: usize = 256;

/// Largest number of own marks that are kept; the newest replace the oldest. They are in the node's
/// entry in the store, so that they outlive its process.
const MAX_OWN_MARKS: usize = 64;

#[derive(Default)]
struct TrackerState {
    guard: CrashGuard,
    unanswered: UnansweredRuns,
    /// Marks of crashes that this node noticed, oldest first.
    own: Vec<(RequestFingerprint, ObservedMark)>,
    /// Marks that were not passed on yet.
    news: CrashEvidence,
}

impl TrackerState {
    /// Merges a mark, and keeps it as news if it is. Returns whether it is.
    fn learn(&mut self, fingerprint: &RequestFingerprint, mark: &CrashMark, now: Instant) -> bool {
        let Some(merged) = self.guard.merge(fingerprint, mark.clone(), now) else {
            return false;
        };
        self.add_news(fingerprint, merged);
        true
    }

    fn add_news(&mut self, fingerprint: &RequestFingerprint, mark: CrashMark) {
        let marks = self.news.entry(fingerprint.clone()).or_default();
        marks.retain(|known| known.crash != mark.crash);
        marks.push(mark);
    }

    fn keep_own(&mut self, fingerprint: &RequestFingerprint, mark: CrashMark, now: Instant) {
        let is_known = |(request, known): &(RequestFingerprint, ObservedMark)| {
            request == fingerprint && known.crash == mark.crash
        };
        if self.own.iter().any(is_known) {
            return;
        }
        let mark = ObservedMark::new(mark, now);
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
#[derive(Clone, Default)]
pub struct CrashTracker {
    state: Arc<Mutex<TrackerState>>,
    /// Notified when there is news for other nodes.
    news: watch::Sender<()>,
}

/// A request that was sent to a target. Unless it is answered or rejected, it is suspect if the
/// target crashes.
pub struct SentRun {
    tracker: CrashTracker,
    incarnation: TargetIncarnation,
    fingerprint: RequestFingerprint,
    number: SentNumber,
    settled: bool,
}

impl SentRun {
    /// Records the end of the target's answer. `ran` is whether the answer shows that the target ran
    /// the request.
    pub fn answered(self, ran: bool) {
        if ran {
            self.tracker.record_answer(&self.fingerprint);
        }
        self.settle();
    }

    /// Records that the target did not run the request.
    pub fn settle(mut self) {
        self.settled = true;
        let mut state = self.tracker.lock();
        state.unanswered.settle(&self.incarnation, self.number);
    }
}

impl Drop for SentRun {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = self.tracker.lock();
        let now = Instant::now();
        state
            .unanswered
            .abandon(&self.incarnation, self.number, now);
    }
}

impl CrashTracker {
    fn lock(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Returns whether a request is refused because it has crashed targets.
    pub fn is_blocked(&self, fingerprint: &RequestFingerprint) -> bool {
        self.lock().guard.is_blocked(fingerprint, Instant::now())
    }

    /// Returns for how long a request is refused because it has crashed targets; `None` if it is not.
    /// The fingerprint is computed only while crashes are known, since it needs a digest of the body.
    pub fn block_left(&self, fingerprint: impl FnOnce() -> RequestFingerprint) -> Option<Duration> {
        if self.lock().guard.is_empty() {
            return None;
        }
        let fingerprint = fingerprint();
        let state = self.lock();
        state.guard.block_left(&fingerprint, Instant::now())
    }

    /// Records that a request is sent to a target.
    pub fn begin_run(
        &self,
        incarnation: TargetIncarnation,
        fingerprint: RequestFingerprint,
    ) -> SentRun {
        let mut state = self.lock();
        let number = state.unanswered.begin(&incarnation, fingerprint.clone());
        SentRun {
            tracker: self.clone(),
            incarnation,
            fingerprint,
            number,
            settled: false,
        }
    }

    /// Records a request that another node's target may have received and whose node did not answer.
    /// Returns whether the target is known to have crashed.
    pub fn record_unanswered(
        &self,
        incarnation: &TargetIncarnation,
        fingerprint: RequestFingerprint,
    ) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        state
            .unanswered
            .record_unanswered(incarnation, fingerprint, now)
    }

    /// Forgets requests that were given up too long ago to be suspect.
    pub fn prune(&self) {
        self.lock().unanswered.prune(Instant::now());
    }

    fn record_answer(&self, fingerprint: &RequestFingerprint) {
        let mut state = self.lock();
        let cleared = state.guard.record_answer(fingerprint, Instant::now());
        if cleared.is_empty() {
            return;
        }
        let crashes = cleared.len();
        for mark in cleared {
            state.add_news(fingerprint, mark);
        }
        self.news.send_replace(());
        log_event!(
            info,
            SuspicionCleared,
            "request {fingerprint} of {crashes} crashes"
        );
    }

    /// Records that an incarnation of a target crashed, and marks the requests that it has not
    /// answered. Returns whether any of that is news.
    pub fn record_crash(&self, incarnation: &TargetIncarnation) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        let suspects = state.unanswered.take_suspects(incarnation, now);
        let mark = CrashMark::new(incarnation.to_compact_string());
        let mut news = false;
        for fingerprint in &suspects {
            if !state.learn(fingerprint, &mark, now) {
                continue;
            }
            news = true;
            state.keep_own(fingerprint, mark.clone(), now);
            log_event!(
                warn,
                CrashRecorded,
                "request {fingerprint} in flight at {incarnation}"
            );
        }
        if news {
            self.news.send_replace(());
        }
        news
    }

    /// Returns the marks for this node's entry in the store. Expired ones are dropped.
    pub fn own_marks(&self) -> CrashEvidence {
        let mut state = self.lock();
        let now = Instant::now();
        state.own.retain(|(_, mark)| !mark.is_expired(now));
        let mut evidence = CrashEvidence::new();
        for (fingerprint, mark) in &state.own {
            let marks = evidence.entry(fingerprint.clone()).or_default();
            marks.push(mark.to_mark(now));
        }
        evidence
    }

    /// Takes over the marks that an earlier process of this node has left in the store.
    pub fn adopt(&self, evidence: &CrashEvidence) {
        let mut state = self.lock();
        let now = Instant::now();
        for (fingerprint, mark) in each_mark(evidence) {
            state.learn(fingerprint, mark, now);
            state.keep_own(fingerprint, mark.clone(), now);
        }
        self.news.send_replace(());
    }

    /// Merges what another node knows. `origin` is for log lines.
    pub fn merge(&self, origin: &str, evidence: &CrashEvidence) {
        let mut state = self.lock();
        let now = Instant::now();
        let mut news = false;
        for (fingerprint, mark) in each_mark(evidence) {
            if state.learn(fingerprint, mark, now) {
                news = true;
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
        if news {
            self.news.send_replace(());
        }
    }

    /// Subscribes to news for other nodes.
    pub fn watch_news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// Returns what was not passed on yet.
    pub fn take_news(&self) -> CrashEvidence {
        std::mem::take(&mut self.lock().news)
    }

    /// Returns what this node knows, as far as it is shared.
    pub fn evidence(&self) -> CrashEvidence {
        self.lock().guard.evidence(MAX_SHARED, Instant::now())
    }

    /// Returns what this node knows and another one does not.
    pub fn evidence_beyond(&self, theirs: &CrashEvidence) -> CrashEvidence {
        let mut evidence = self.evidence();
        evidence.retain(|fingerprint, marks| {
            let known = theirs.get(fingerprint);
            let is_known = |mark: &CrashMark| {
                known.is_some_and(|known| {
                    let mut same = known.iter().filter(|other| other.crash == mark.crash);
                    same.any(|other| other.cleared || !mark.cleared)
                })
            };
            marks.retain(|mark| !is_known(mark));
            !marks.is_empty()
        });
        evidence
    }

    /// Returns a digest of [`evidence`](Self::evidence), which two nodes compare to learn whether they
    /// know the same.
    pub fn digest(&self) -> u64 {
        let evidence = self.evidence();
        let mut hasher = DefaultHasher::new();
        for (fingerprint, marks) in evidence {
            let mut crashes: Vec<_> = marks
                .iter()
                .map(|mark| (&mark.crash, mark.cleared))
                .collect();
            crashes.sort_unstable();
            (fingerprint, crashes).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns the number of requests with known crashes, and of those that are blocked.
    pub fn sizes(&self) -> (usize, usize) {
        let state = self.lock();
        (state.guard.len(), state.guard.blocked(Instant::now()))
    }
}

fn each_mark(evidence: &CrashEvidence) -> impl Iterator<Item = (&RequestFingerprint, &CrashMark)> {
    let requests = evidence.iter();
    requests.flat_map(|(fingerprint, marks)| marks.iter().map(move |mark| (fingerprint, mark)))
}
