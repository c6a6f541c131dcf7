//! Blocks requests that crash targets. See `docs/design.md`, section 6.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use apricotfold_model::NodeId;
use compact_str::CompactString;
use smallvec::SmallVec;

/// Identifies equal requests: a digest of the method, the path, and the body digest or idempotency
/// key.
pub type RequestFingerprint = CompactString;

/// Number of crashes after which a request is blocked. A single crash may be a coincidence.
const BLOCK_AFTER: u32 = 2;

/// Time after the last change at which an entry is dropped, equal to the lifetime of `crash`
/// records.
const ENTRY_LIFETIME: Duration = Duration::from_mins(10);

/// Maximum number of entries. A crash adds one for each request in flight, about 12, so this covers
/// some 300 crashes within the lifetime.
const MAX_ENTRIES: usize = 4_096;

/// Time for which an answer clears a request of later crashes. A frequent request that is always
/// answered is in flight at most crashes without causing them; one that begins to crash targets
/// gets no more answers and is counted after this time.
const ANSWER_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of answered fingerprints in each generation of [`RecentAnswers`].
const MAX_ANSWERED: usize = 4_096;

/// Time for which a crash is remembered as counted. Requests that were in flight at the same crash
/// are lost within a short time of each other.
const COUNTED_LIFETIME: Duration = Duration::from_mins(1);

/// Recently answered fingerprints, in two generations. The older one is dropped as a whole, so that
/// recording an answer costs one insertion.
#[derive(Clone, Debug, Default)]
struct RecentAnswers {
    recent: HashSet<RequestFingerprint>,
    older: HashSet<RequestFingerprint>,
    rotated: Option<Instant>,
}

impl RecentAnswers {
    fn record(&mut self, fingerprint: &RequestFingerprint, now: Instant) {
        self.rotate(now);
        if self.recent.contains(fingerprint) {
            return;
        }
        if self.recent.len() >= MAX_ANSWERED {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(fingerprint.clone());
    }

    fn contains(&mut self, fingerprint: &RequestFingerprint, now: Instant) -> bool {
        self.rotate(now);
        self.recent.contains(fingerprint) || self.older.contains(fingerprint)
    }

    /// Drops the fingerprints that are older than [`ANSWER_RETENTION`].
    fn rotate(&mut self, now: Instant) {
        let rotated = *self.rotated.get_or_insert(now);
        let age = now.saturating_duration_since(rotated);
        if age < ANSWER_RETENTION / 2 {
            return;
        }
        self.older = std::mem::take(&mut self.recent);
        if age >= ANSWER_RETENTION {
            self.older.clear();
        }
        self.rotated = Some(now);
    }
}

#[derive(Clone, Debug)]
struct CrashEntry {
    changed: Instant,
    /// Highest known count of each node.
    counts: SmallVec<[(NodeId, u32); 2]>,
    /// Number of crashes that a later answer has shown to be a coincidence.
    cleared: u32,
}

impl CrashEntry {
    fn total(&self) -> u32 {
        self.counts
            .iter()
            .fold(0, |sum, (_, count)| sum.saturating_add(*count))
    }

    fn suspect_count(&self) -> u32 {
        self.total().saturating_sub(self.cleared)
    }

    /// Sort key for eviction; the entry with the lowest key is evicted first.
    fn eviction_rank(&self) -> (bool, Instant) {
        (self.suspect_count() >= BLOCK_AFTER, self.changed)
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed) >= ENTRY_LIFETIME
    }
}

/// Counts how often a request was in flight when its target crashed, at this node and at others.
///
/// A crash must be recorded by one node only: by the target's own node, or by the entry node if the
/// whole instance was lost and its node can no longer record the crash.
#[derive(Clone, Debug)]
pub struct CrashGuard {
    own: NodeId,
    entries: HashMap<RequestFingerprint, CrashEntry>,
    answered: RecentAnswers,
    /// Time of the latest crash that this node observed, for each request.
    last_counted: HashMap<RequestFingerprint, Instant>,
}

impl CrashGuard {
    /// Creates a guard without entries for the node `own`.
    #[must_use]
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            entries: HashMap::new(),
            answered: RecentAnswers::default(),
            last_counted: HashMap::new(),
        }
    }

    /// Returns whether a request that was sent to the target at `started` and lost its target now
    /// is suspect. It is not if it was answered within the last few seconds, nor if an equal
    /// request that was in flight at the same time has already been counted, because one crash
    /// counts once.
    pub fn is_suspect(
        &mut self,
        fingerprint: &RequestFingerprint,
        started: Instant,
        now: Instant,
    ) -> bool {
        if self.answered.contains(fingerprint, now) {
            return false;
        }
        let counted = self.last_counted.get(fingerprint);
        if counted.is_some_and(|counted| *counted >= started) {
            return false;
        }
        if self.last_counted.len() >= MAX_ENTRIES {
            let recent = |last_counted: &Instant| {
                now.saturating_duration_since(*last_counted) < COUNTED_LIFETIME
            };
            self.last_counted
                .retain(|_, last_counted| recent(last_counted));
        }
        self.last_counted.insert(fingerprint.clone(), now);
        true
    }

    /// Counts a crash that this node observed. Returns this node's new count, to be shared as a
    /// `crash` record, or `None` if the request was answered within the last few seconds and is not
    /// suspect.
    pub fn record_crash(&mut self, fingerprint: &RequestFingerprint, now: Instant) -> Option<u32> {
        if self.answered.contains(fingerprint, now) {
            return None;
        }
        let own = self.own.clone();
        let known = self.entry(fingerprint, now);
        let slot = count_slot(known, &own);
        *slot = slot.saturating_add(1);
        let count = *slot;
        known.changed = now;
        Some(count)
    }

    /// Merges the count of another node. A count that is not above the known one is ignored, so
    /// that repeated records have no effect. Returns whether the count is new.
    pub fn merge(
        &mut self,
        fingerprint: &RequestFingerprint,
        node: &NodeId,
        count: u32,
        now: Instant,
    ) -> bool {
        if count == 0 {
            return false;
        }
        let known = self.entry(fingerprint, now);
        let slot = count_slot(known, node);
        let new = count > *slot;
        if new {
            *slot = count;
            known.changed = now;
        }
        new
    }

    /// Records that a target answered the request, which shows that the crashes counted so far were
    /// a coincidence. A frequent request is in flight at most crashes; its answers distinguish it
    /// from one that crashes every target. Returns the number of crashes that it is cleared of.
    pub fn record_answer(&mut self, fingerprint: &RequestFingerprint, now: Instant) -> u32 {
        self.answered.record(fingerprint, now);
        let Some(known) = self.entries.get_mut(fingerprint) else {
            return 0;
        };
        let cleared = known.suspect_count();
        known.cleared = known.total();
        cleared
    }

    /// Returns whether the request must be refused with `poison-request`. A request that was
    /// answered within the last few seconds is not, because its next answer clears it of the
    /// crashes that other nodes have counted.
    #[must_use]
    pub fn is_blocked(&mut self, fingerprint: &RequestFingerprint, now: Instant) -> bool {
        let counted = self
            .entries
            .get(fingerprint)
            .is_some_and(|known| !known.is_expired(now) && known.suspect_count() >= BLOCK_AFTER);
        counted && !self.answered.contains(fingerprint, now)
    }

    /// Number of requests with counted crashes.
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

    fn entry(&mut self, fingerprint: &RequestFingerprint, now: Instant) -> &mut CrashEntry {
        if !self.entries.contains_key(fingerprint) {
            self.make_room(now);
        }
        let known = self
            .entries
            .entry(fingerprint.clone())
            .or_insert_with(|| CrashEntry {
                changed: now,
                counts: SmallVec::new(),
                cleared: 0,
            });
        if known.is_expired(now) {
            known.counts.clear();
            known.cleared = 0;
            known.changed = now;
        }
        known
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
            let order = one.eviction_rank().cmp(&other.eviction_rank());
            order.then_with(|| left.cmp(right))
        });
        let oldest = oldest.map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = oldest {
            self.entries.remove(&fingerprint);
        }
    }
}

fn count_slot<'a>(known: &'a mut CrashEntry, node: &NodeId) -> &'a mut u32 {
    let index = known
        .counts
        .iter()
        .position(|(known_node, _)| known_node == node)
        .unwrap_or_else(|| {
            known.counts.push((node.clone(), 0));
            known.counts.len() - 1
        });
    &mut known.counts[index].1
}
