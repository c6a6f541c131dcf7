//! Instances of all services, as the store, peers and answers describe them. See
//! `docs/platform.md`, section 4.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use apricotfold_model::{InstanceRecord, InstanceState, NodeId};
use smallvec::SmallVec;

/// Time for which an instance whose entry lapsed is still used. Leases lapse while the store is
/// away; live nodes write their entries again within about 2 s of its return.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Time for which an answer shows that the node of a lapsed entry is alive: the store may refuse
/// that node although callers reach it.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which an instance is left out after its node refused a call as leaving. Its record says
/// so within that time, or a restarted node has taken it back.
const DEPARTURE_TIME: Duration = Duration::from_secs(2);

/// Names of nodes whose instances changed.
pub type ChangedNodes = SmallVec<[NodeId; 4]>;

#[derive(Clone, Debug)]
struct KnownInstance {
    record: InstanceRecord,
    first_seen: Instant,
    /// Since when the store has had no entry for it; `None` while it has one.
    lapsed: Option<Instant>,
    answered: Option<Instant>,
    /// Until when it is left out because its node refused calls as leaving.
    departed_until: Option<Instant>,
}

impl KnownInstance {
    fn is_expired(&self, now: Instant) -> bool {
        let Some(lapsed) = self.lapsed else {
            return false;
        };
        let answers = self
            .answered
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWER_LIFETIME);
        !answers && now.saturating_duration_since(lapsed) >= LAPSE_GRACE
    }
}

/// Knows one instance per node and decides how long it counts.
#[derive(Clone, Debug, Default)]
pub struct InstanceRegistry {
    known: HashMap<NodeId, KnownInstance>,
}

impl InstanceRegistry {
    /// Takes over an entry of the store. Returns whether anything changed. An entry of an earlier
    /// life or state of the instance changes nothing: writes can take effect late.
    pub fn apply_entry(&mut self, record: InstanceRecord, now: Instant) -> bool {
        self.merge(record, None, now)
    }

    /// Takes over what another node told, which counts like a lapsed entry: until it is confirmed
    /// by the store or by answers, it is dropped after a grace period.
    pub fn apply_peer_record(&mut self, record: InstanceRecord, now: Instant) -> bool {
        self.merge(record, Some(now), now)
    }

    fn merge(&mut self, record: InstanceRecord, lapsed: Option<Instant>, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(&record.node) else {
            if record.state == InstanceState::Gone {
                return false;
            }
            let node = record.node.clone();
            let instance = KnownInstance {
                record,
                first_seen: now,
                lapsed,
                answered: None,
                departed_until: None,
            };
            self.known.insert(node, instance);
            return true;
        };
        if record.order() < known.record.order() {
            return false;
        }
        if record.state == InstanceState::Gone {
            self.known.remove(&record.node);
            return true;
        }
        if lapsed.is_none() {
            known.lapsed = None;
        }
        if known.record.is_equivalent(&record) {
            return false;
        }
        if known.record.instance != record.instance {
            known.first_seen = now;
            known.answered = None;
        }
        known.departed_until = None;
        known.record = record;
        true
    }

    /// Notes that the store no longer has an entry for a node. A leaving instance is dropped at
    /// once, a ready one after a grace period unless it returns or answers.
    pub fn lapse_entry(&mut self, node: &NodeId, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(node) else {
            return false;
        };
        if known.record.state != InstanceState::Ready {
            self.known.remove(node);
            return true;
        }
        known.lapsed.get_or_insert(now);
        false
    }

    /// Takes over a whole listing of the store: entries that are not in it have lapsed.
    pub fn apply_listing(&mut self, records: Vec<InstanceRecord>, now: Instant) -> bool {
        let listed: HashSet<NodeId> = records.iter().map(|record| record.node.clone()).collect();
        let mut changed = false;
        for record in records {
            changed |= self.apply_entry(record, now);
        }
        let missing: Vec<NodeId> = self
            .known
            .keys()
            .filter(|node| !listed.contains(*node))
            .cloned()
            .collect();
        for node in missing {
            changed |= self.lapse_entry(&node, now);
        }
        changed
    }

    /// Notes that the node of an instance answered a call.
    pub fn record_answer(&mut self, node: &NodeId, now: Instant) {
        if let Some(known) = self.known.get_mut(node) {
            known.answered = Some(now);
        }
    }

    /// Leaves an instance out for a while because its own node refused work as leaving. Returns
    /// whether it was in use.
    pub fn record_departure(&mut self, node: &NodeId, instance: &str, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(node) else {
            return false;
        };
        if known.record.instance != instance {
            return false;
        }
        let known_departed = known.departed_until.is_some_and(|until| until > now);
        known.departed_until = Some(now + DEPARTURE_TIME);
        !known_departed
    }

    /// Drops lapsed instances whose grace period is over. Returns their nodes.
    pub fn expire(&mut self, now: Instant) -> ChangedNodes {
        let expired: ChangedNodes = self
            .known
            .values()
            .filter(|known| known.is_expired(now))
            .map(|known| known.record.node.clone())
            .collect();
        for node in &expired {
            self.known.remove(node);
        }
        expired
    }

    /// Instances of a service that take new work, with the time for which they have been known.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a InstanceRecord, Duration)> + 'a {
        self.known.values().filter_map(move |known| {
            let record = &known.record;
            let departed = known.departed_until.is_some_and(|until| until > now);
            let ready = record.state == InstanceState::Ready && !departed;
            let usable = record.service == service && ready;
            let age = now.saturating_duration_since(known.first_seen);
            usable.then_some((record, age))
        })
    }

    /// Records that the store has at present.
    pub fn confirmed(&self) -> impl Iterator<Item = &InstanceRecord> {
        let known = self.known.values();
        known
            .filter(|known| known.lapsed.is_none())
            .map(|known| &known.record)
    }

    /// Digest of the confirmed records, by which two nodes learn whether they know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        // The sum does not depend on the order of the map.
        self.confirmed().fold(0, |sum: u64, record| {
            let mut hasher = DefaultHasher::new();
            let (state, slots) = (record.state, record.slots);
            let life = (&record.instance, record.born, record.node_start);
            (&record.node, life, &record.service, state, slots).hash(&mut hasher);
            sum.wrapping_add(hasher.finish())
        })
    }

    /// All records, to be told to another node.
    pub fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// Record of a node.
    #[must_use]
    pub fn record(&self, node: &str) -> Option<&InstanceRecord> {
        self.known.get(node).map(|known| &known.record)
    }

    /// Number of known instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Tells whether no instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
