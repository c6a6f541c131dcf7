//! Blocks requests that crash targets. See `docs/design.md`, section 6.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use apricotfold_model::saturating_millis;
use compact_str::{CompactString, ToCompactString};
use smallvec::SmallVec;

/// Identifies equal requests: a digest of the method, the path, and the body digest or idempotency
/// key.
pub type RequestFingerprint = CompactString;

/// Identifies a crash, equally at all nodes that notice it: the incarnation of the target that
/// ended.
pub type CrashId = CompactString;

/// Crashes during which one request was in flight.
pub type CrashMarks = SmallVec<[CrashMark; 2]>;

/// Crash marks by request, as shared with other nodes.
pub type CrashEvidence = BTreeMap<RequestFingerprint, CrashMarks>;

/// Number of crashes after which a request is blocked. A single crash may be a coincidence.
const BLOCK_AFTER: usize = 2;

/// Number of crashes after which a request is blocked that was answered within the last few seconds.
/// A frequent request is in flight at many crashes, and its next answer clears it of them.
const BLOCK_ANSWERED_AFTER: usize = 3;

/// Time after its latest crash for which a request is remembered, equal to the lifetime of `crash`
/// records.
const ENTRY_LIFETIME: Duration = Duration::from_mins(10);

/// Time after which stored marks are written again: readers date them by the age that is written, so a
/// request may be blocked for as much longer.
const MARK_REFRESH: Duration = Duration::from_mins(1);

/// Maximum number of entries. A crash adds one for each request in flight, about 12, so this covers
/// some 300 crashes within the lifetime.
const MAX_ENTRIES: usize = 4_096;

/// Maximum number of crashes that are remembered for a request.
const MAX_MARKS: u32 = 8;

/// Time for which the answer to a request is remembered.
const ANSWER_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of answered fingerprints in each generation of [`RecentAnswers`].
const MAX_ANSWERED: usize = 4_096;

/// A crash during which a request was in flight, as shared with other nodes. Marks only gain
/// information, so nodes can merge them in any order and any number of times.
///
/// Marks tell the age of a crash instead of its time, because the clocks of nodes differ and jump.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashMark {
    /// The crash.
    pub crash: CrashId,
    /// Time in milliseconds since the crash was first noticed, when this was sent.
    #[serde(default)]
    pub age_ms: u64,
    /// 0; earlier releases, which share the time of day of a crash here, need it.
    #[serde(skip_deserializing)]
    observed: u64,
    /// Whether a later answer to the request has shown that it did not cause the crash.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cleared: bool,
}

impl CrashMark {
    /// Creates the mark of a crash that is noticed now.
    #[must_use]
    pub fn new(crash: CrashId) -> Self {
        Self {
            crash,
            age_ms: 0,
            observed: 0,
            cleared: false,
        }
    }

    /// Sets the age of the crash.
    #[must_use]
    pub fn with_age(self, age: Duration) -> Self {
        Self {
            age_ms: saturating_millis(age),
            ..self
        }
    }

    /// Returns the age of the crash when the mark was sent.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }

    /// Returns whether the crash is too long ago to be remembered.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        self.age() >= ENTRY_LIFETIME
    }
}

/// A crash mark with the time of this node's steady clock at which the crash was noticed.
#[derive(Clone, Debug)]
pub struct ObservedMark {
    /// The crash.
    pub crash: CrashId,
    observed: Instant,
    cleared: bool,
}

impl ObservedMark {
    /// Dates a mark that arrives now.
    #[must_use]
    pub fn new(mark: CrashMark, now: Instant) -> Self {
        let observed = now.checked_sub(mark.age()).unwrap_or(now);
        Self {
            crash: mark.crash,
            observed,
            cleared: mark.cleared,
        }
    }

    /// Returns the mark as it is shared now.
    #[must_use]
    pub fn to_mark(&self, now: Instant) -> CrashMark {
        let mut mark = CrashMark::new(self.crash.clone())
            .with_age(now.saturating_duration_since(self.observed));
        mark.cleared = self.cleared;
        mark
    }

    /// Returns whether the crash is too long ago to be remembered.
    #[must_use]
    pub fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.observed) >= ENTRY_LIFETIME
    }
}

/// Latest answers by fingerprint, in two generations. The older one is dropped as a whole, so that
/// recording an answer costs one insertion.
#[derive(Clone, Debug, Default)]
struct RecentAnswers {
    recent: HashMap<RequestFingerprint, Instant>,
    older: HashMap<RequestFingerprint, Instant>,
    rotated: Option<Instant>,
}

impl RecentAnswers {
    fn record(&mut self, fingerprint: &RequestFingerprint, now: Instant) {
        let rotated = *self.rotated.get_or_insert(now);
        let age = now.saturating_duration_since(rotated);
        if age >= ANSWER_RETENTION || self.recent.len() >= MAX_ANSWERED {
            self.older = std::mem::take(&mut self.recent);
            self.rotated = Some(now);
        }
        if let Some(answered) = self.recent.get_mut(fingerprint) {
            *answered = now;
        } else {
            self.recent.insert(fingerprint.clone(), now);
        }
    }

    /// Returns the time of the latest answer, if it is within [`ANSWER_RETENTION`].
    fn latest(&self, fingerprint: &RequestFingerprint, now: Instant) -> Option<Instant> {
        let recent = self.recent.get(fingerprint);
        let answered = *recent.or_else(|| self.older.get(fingerprint))?;
        let age = now.saturating_duration_since(answered);
        (age < ANSWER_RETENTION).then_some(answered)
    }
}

#[derive(Clone, Debug, Default)]
struct CrashEntry {
    marks: SmallVec<[ObservedMark; 2]>,
}

impl CrashEntry {
    /// Number of crashes that the request may have caused.
    fn suspect_count(&self) -> usize {
        self.marks.iter().filter(|mark| !mark.cleared).count()
    }

    fn latest(&self) -> Option<Instant> {
        self.marks.iter().map(|mark| mark.observed).max()
    }

    /// Sort key for eviction and for sharing: the entry with the highest key is kept and shared first.
    fn rank(&self) -> (bool, Option<Instant>) {
        (self.suspect_count() >= BLOCK_AFTER, self.latest())
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.marks.iter().all(|mark| mark.is_expired(now))
    }

    /// Adds a mark or merges it into the known one of the same crash. Returns the result if it is news.
    fn merge(&mut self, mark: ObservedMark) -> Option<ObservedMark> {
        let mut known = self.marks.iter_mut();
        if let Some(known) = known.find(|known| known.crash == mark.crash) {
            let news = mark.cleared && !known.cleared;
            known.cleared |= mark.cleared;
            known.observed = known.observed.min(mark.observed);
            return news.then(|| known.clone());
        }
        if self.marks.len() >= MAX_MARKS as usize {
            // What is cleared tells least, then what is oldest.
            let first = (0..self.marks.len()).min_by_key(|index| {
                let known = &self.marks[*index];
                (!known.cleared, known.observed)
            });
            let first = first.filter(|index| self.marks[*index].cleared)?;
            self.marks.remove(first);
        }
        self.marks.push(mark.clone());
        Some(mark)
    }
}

/// Knows which requests were in flight when targets crashed, at this node and at others, and which
/// of them must not run again.
///
/// Time is this node's steady clock. Marks of other nodes are dated by their age, so what a message
/// takes makes a crash seem later, which only delays when a request is cleared.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    entries: HashMap<RequestFingerprint, CrashEntry>,
    answers: RecentAnswers,
}

impl CrashGuard {
    /// Merges a mark that this node or another one made. Returns the mark to pass on if that is news. A
    /// request that was answered here since the crash is cleared of it at once.
    pub fn merge(
        &mut self,
        fingerprint: &RequestFingerprint,
        mark: CrashMark,
        now: Instant,
    ) -> Option<CrashMark> {
        if mark.is_expired() {
            return None;
        }
        let mark = ObservedMark::new(mark, now);
        if !self.entries.contains_key(fingerprint) {
            self.make_room(now);
        }
        let answered = self.answers.latest(fingerprint, now);
        let cleared = mark.cleared || answered.is_some_and(|answered| answered > mark.observed);
        let known = self.entries.entry(fingerprint.clone()).or_default();
        known.marks.retain(|known| !known.is_expired(now));
        let merged = known.merge(ObservedMark { cleared, ..mark })?;
        Some(merged.to_mark(now))
    }

    /// Merges the number of crashes that nodes have counted for a request. Each of the latest numbers up to
    /// it stands for one crash.
    pub fn merge_count(&mut self, fingerprint: &RequestFingerprint, count: u32, now: Instant) {
        let first = count.saturating_sub(MAX_MARKS) + 1;
        for number in first..=count {
            let mark = CrashMark::new(number.to_compact_string());
            self.merge(fingerprint, mark, now);
        }
    }

    /// Records that a target ran the request to its end, which shows that the crashes before were a
    /// coincidence. A frequent request is in flight at most crashes; its answers distinguish it from
    /// one that crashes every target. Returns the marks that it is cleared of.
    pub fn record_answer(&mut self, fingerprint: &RequestFingerprint, now: Instant) -> CrashMarks {
        self.answers.record(fingerprint, now);
        let Some(known) = self.entries.get_mut(fingerprint) else {
            return CrashMarks::new();
        };
        let suspect = known.marks.iter_mut().filter(|mark| !mark.cleared);
        suspect
            .map(|mark| {
                mark.cleared = true;
                mark.to_mark(now)
            })
            .collect()
    }

    /// Returns whether the request was answered within the last few seconds.
    #[must_use]
    pub fn is_recently_answered(&self, fingerprint: &RequestFingerprint, now: Instant) -> bool {
        self.answers.latest(fingerprint, now).is_some()
    }

    /// Returns whether the request must be refused with `poison-request`.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: &RequestFingerprint, now: Instant) -> bool {
        self.block_left(fingerprint, now).is_some()
    }

    /// Returns for how long the request must be refused, unless it is cleared; `None` if it may run.
    #[must_use]
    pub fn block_left(&self, fingerprint: &RequestFingerprint, now: Instant) -> Option<Duration> {
        let known = self.entries.get(fingerprint)?;
        let limit = if self.is_recently_answered(fingerprint, now) {
            BLOCK_ANSWERED_AFTER
        } else {
            BLOCK_AFTER
        };
        let age = now.saturating_duration_since(known.latest()?);
        let left = ENTRY_LIFETIME.saturating_sub(age);
        (!left.is_zero() && known.suspect_count() >= limit).then_some(left)
    }

    /// Returns the evidence on at most `limit` requests for other nodes, blocked requests first, then
    /// those with the latest crashes. Nodes with the same information return the same.
    #[must_use]
    pub fn evidence(&self, limit: usize, now: Instant) -> CrashEvidence {
        let valid = self
            .entries
            .iter()
            .filter(|(_, known)| !known.is_expired(now));
        let mut ranked: Vec<_> = valid.collect();
        ranked.sort_by_cached_key(|(fingerprint, known)| {
            (Reverse(known.rank()), (*fingerprint).clone())
        });
        let shared = ranked.into_iter().take(limit);
        shared
            .map(|(fingerprint, known)| {
                let marks = known.marks.iter().map(|mark| mark.to_mark(now));
                (fingerprint.clone(), marks.collect())
            })
            .collect()
    }

    /// Number of requests with known crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of requests that are blocked unless they were answered within the last few seconds.
    #[must_use]
    pub fn blocked(&self, now: Instant) -> usize {
        let blocked =
            |known: &&CrashEntry| !known.is_expired(now) && known.suspect_count() >= BLOCK_AFTER;
        self.entries.values().filter(blocked).count()
    }

    /// Returns whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Makes room for an entry by dropping expired entries, then the oldest one. Blocked ones are
    /// dropped last, because they protect targets.
    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        self.entries.retain(|_, known| !known.is_expired(now));
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        // Ties are broken by fingerprint, so that the result does not depend on the map's iteration
        // order.
        let oldest = self.entries.iter().min_by(|(left, one), (right, other)| {
            let order = one.rank().cmp(&other.rank());
            order.then_with(|| left.cmp(right))
        });
        let oldest = oldest.map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = oldest {
            self.entries.remove(&fingerprint);
        }
    }
}

/// Returns whether stored evidence still tells the crashes and, within a minute, their age.
#[must_use]
pub fn is_current_evidence(written: &CrashEvidence, wanted: &CrashEvidence) -> bool {
    let is_same = |(known, mark): (&CrashMark, &CrashMark)| {
        let aged = mark.age().saturating_sub(known.age());
        known.crash == mark.crash && known.cleared == mark.cleared && aged < MARK_REFRESH
    };
    written.len() == wanted.len()
        && written.iter().zip(wanted).all(|(known, wanted)| {
            let ((request, known), (wanted_request, marks)) = (known, wanted);
            request == wanted_request
                && known.len() == marks.len()
                && known.iter().zip(marks).all(is_same)
        })
}
