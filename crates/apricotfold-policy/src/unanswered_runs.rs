//! Remembers which requests a target has received without answering them, because they are suspect
//! if it crashes. See `docs/platform.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::TargetIncarnation;

use crate::RequestFingerprint;

/// Number of a request that was sent to a target.
pub type SentNumber = u64;

/// Time for which a request that was given up without an answer stays suspect. A crash without any
/// sign is noticed by the next incarnation or by missing announcements, after about ten seconds.
const ABANDONED_RETENTION: Duration = Duration::from_secs(15);

/// Maximum number of requests that are remembered for an incarnation after they were given up.
const MAX_ABANDONED: usize = 64;

#[derive(Clone, Debug)]
struct SentRequest {
    number: SentNumber,
    fingerprint: RequestFingerprint,
    /// When it was given up without a complete answer; `None` while it is in flight.
    abandoned: Option<Instant>,
}

impl SentRequest {
    fn is_current(&self, now: Instant) -> bool {
        let age = self.abandoned.map(|at| now.saturating_duration_since(at));
        age.is_none_or(|age| age < ABANDONED_RETENTION)
    }
}

/// Requests that were sent to targets and not answered, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct UnansweredRuns {
    sent: HashMap<TargetIncarnation, Vec<SentRequest>>,
    /// Incarnations that have crashed, with the time at which that was noticed.
    crashed: HashMap<TargetIncarnation, Instant>,
    next: SentNumber,
}

impl UnansweredRuns {
    /// Records that a request is sent to a target.
    pub fn begin(
        &mut self,
        incarnation: &TargetIncarnation,
        fingerprint: RequestFingerprint,
    ) -> SentNumber {
        self.next += 1;
        let request = SentRequest {
            number: self.next,
            fingerprint,
            abandoned: None,
        };
        let sent = self.sent.entry(incarnation.clone()).or_default();
        sent.push(request);
        self.next
    }

    /// Records that the target answered or rejected a request.
    pub fn settle(&mut self, incarnation: &TargetIncarnation, number: SentNumber) {
        let Some(sent) = self.sent.get_mut(incarnation) else {
            return;
        };
        sent.retain(|request| request.number != number);
        if sent.is_empty() {
            self.sent.remove(incarnation);
        }
    }

    /// Records that a request was given up: its caller left, the time ran out, or the connection or
    /// the answer broke off.
    pub fn abandon(&mut self, incarnation: &TargetIncarnation, number: SentNumber, now: Instant) {
        let Some(sent) = self.sent.get_mut(incarnation) else {
            return;
        };
        let mut requests = sent.iter_mut();
        if let Some(request) = requests.find(|request| request.number == number) {
            request.abandoned = Some(now);
        }
        let abandoned = sent.iter().filter(|request| request.abandoned.is_some());
        if abandoned.count() > MAX_ABANDONED
            && let Some(oldest) = sent.iter().position(|request| request.abandoned.is_some())
        {
            sent.remove(oldest);
        }
    }

    /// Records a request that another node's target may have received and whose node did not answer.
    /// Returns whether the incarnation is known to have crashed.
    pub fn record_unanswered(
        &mut self,
        incarnation: &TargetIncarnation,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> bool {
        let number = self.begin(incarnation, fingerprint);
        self.abandon(incarnation, number, now);
        self.crashed.contains_key(incarnation)
    }

    /// Returns the requests that may have caused the crash of an incarnation, and forgets them.
    pub fn take_suspects(
        &mut self,
        incarnation: &TargetIncarnation,
        now: Instant,
    ) -> Vec<RequestFingerprint> {
        self.crashed.entry(incarnation.clone()).or_insert(now);
        let sent = self.sent.remove(incarnation).unwrap_or_default();
        let suspects = sent.into_iter().filter(|request| request.is_current(now));
        suspects.map(|request| request.fingerprint).collect()
    }

    /// Forgets requests that were given up too long ago.
    pub fn prune(&mut self, now: Instant) {
        self.sent.retain(|_, sent| {
            sent.retain(|request| request.is_current(now));
            !sent.is_empty()
        });
        self.crashed
            .retain(|_, noticed| now.saturating_duration_since(*noticed) < ABANDONED_RETENTION);
    }

    /// Number of requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sent.values().map(Vec::len).sum()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
