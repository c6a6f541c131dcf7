//! Stops requests that crash targets. See `docs/design.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::NodeId;
use compact_str::CompactString;
use smallvec::SmallVec;

/// Identifies equal requests: a digest over method, path and body digest or idempotency key.
pub type RequestFingerprint = CompactString;

/// Crashes after which a request is blocked. One crash may be a coincidence.
const BLOCK_AFTER: u32 = 2;

/// Time after its last change at which an entry is dropped. `crash` records live as long.
const ENTRY_LIFETIME: Duration = Duration::from_mins(10);

/// Fingerprints that are kept. A crash adds one for each request in flight, about 12, so this
/// covers some 300 crashes within the lifetime.
const MAX_ENTRIES: usize = 4_096;

#[derive(Clone, Debug)]
struct CrashEntry {
    changed: Instant,
    /// Highest count known of each node.
    counts: SmallVec<[(NodeId, u32); 2]>,
    /// Crashes that an answer has since shown to be coincidence.
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

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed) >= ENTRY_LIFETIME
    }
}

/// Counts how often a request was in flight when its target died, here and at other nodes.
///
/// A crash must be recorded by one node only: by the target's own node, or by the entry node when
/// the whole instance died and its node can no longer record it.
#[derive(Clone, Debug)]
pub struct CrashGuard {
    own: NodeId,
    entries: HashMap<RequestFingerprint, CrashEntry>,
}

impl CrashGuard {
    /// Creates an empty guard for the node `own`.
    #[must_use]
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            entries: HashMap::new(),
        }
    }

    /// Counts a crash that this node saw. Returns this node's new count, to be shared as a `crash`
    /// record.
    pub fn record_crash(&mut self, fingerprint: &RequestFingerprint, now: Instant) -> u32 {
        let own = self.own.clone();
        let known = self.entry(fingerprint, now);
        let slot = count_slot(known, &own);
        *slot = slot.saturating_add(1);
        let count = *slot;
        known.changed = now;
        count
    }

    /// Takes over another node's count. A lower or equal count than the known one changes nothing,
    /// so that repeated records are harmless.
    pub fn merge(
        &mut self,
        fingerprint: &RequestFingerprint,
        node: &NodeId,
        count: u32,
        now: Instant,
    ) {
        if count == 0 {
            return;
        }
        let known = self.entry(fingerprint, now);
        let slot = count_slot(known, node);
        if count > *slot {
            *slot = count;
            known.changed = now;
        }
    }

    /// Notes that a target answered the request. A popular request is in flight at most crashes;
    /// its answers tell it from one that crashes every target, so earlier crashes no longer count.
    pub fn record_answer(&mut self, fingerprint: &RequestFingerprint) {
        if let Some(known) = self.entries.get_mut(fingerprint) {
            known.cleared = known.total();
        }
    }

    /// Tells whether the request must be refused with `poison-request`.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: &RequestFingerprint, now: Instant) -> bool {
        self.entries
            .get(fingerprint)
            .is_some_and(|known| !known.is_expired(now) && known.suspect_count() >= BLOCK_AFTER)
    }

    /// Number of fingerprints that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no crash is known.
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

    /// Drops expired entries, then the oldest; blocked ones go last, because they protect targets.
    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        self.entries.retain(|_, known| !known.is_expired(now));
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, known)| (known.suspect_count() >= BLOCK_AFTER, known.changed))
            .map(|(fingerprint, _)| fingerprint.clone());
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
