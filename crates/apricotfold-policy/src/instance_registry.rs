//! Registry of the instances of all services, built from the store, peers and answers to calls. See
//! `docs/platform.md`, section 4.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use apricotfold_model::{
    InstanceId, InstanceRecord, InstanceState, NodeEpoch, NodeId, StartTimeMillis,
    TargetIncarnation, TargetLife,
};
use smallvec::SmallVec;

use crate::NodeDeparture;

/// Time for which an instance is still used after its store entry lapsed. Leases expire while the
/// store is unavailable; live nodes write their entries again within about 2 s of its return.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Time for which an answer shows that the node of a lapsed entry is alive: the store may refuse
/// that node although callers reach it.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which an instance is not used after its node refused a call because it is leaving.
/// Within that time, either its record says so too or a restarted node has registered it again.
const DEPARTURE_EXCLUSION: Duration = Duration::from_secs(2);

/// Time for which a stated departure is remembered. Leaving instances end within that time.
const DEPARTURE_MEMORY: Duration = Duration::from_mins(10);

/// Time for which a departure is told to other nodes. Those that poll this one have then asked several
/// times.
const TELLING_TIME: Duration = Duration::from_secs(10);

/// Nodes whose instances changed.
pub type ChangedNodes = SmallVec<[NodeId; 4]>;

#[derive(Clone, Debug)]
struct KnownInstance {
    record: InstanceRecord,
    first_seen: Instant,
    /// Time since when the store has had no entry for it; `None` while it has one.
    lapsed: Option<Instant>,
    answered: Option<Instant>,
    /// Time until which it is not used, because its node refused calls as leaving.
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

/// An incarnation that has stated in an answer that it leaves.
#[derive(Clone, Debug)]
struct StatedDeparture {
    instance: InstanceId,
    born: StartTimeMillis,
    stated: Instant,
}

impl StatedDeparture {
    fn concerns(&self, record: &InstanceRecord) -> bool {
        record.instance == self.instance && record.born == self.born
    }
}

/// An instance whose record said that it leaves or has left, with the process of its node that said so. The
/// store may come back from a copy in which it is ready.
#[derive(Clone, Debug)]
struct LeftInstance {
    order: (NodeEpoch, TargetLife),
    /// The incarnation, if it was the target itself that said so.
    departure: Option<TargetIncarnation>,
    /// Whether it has left; if not, it drains.
    gone: bool,
    noticed: Instant,
}

impl LeftInstance {
    fn is_told(&self, now: Instant) -> bool {
        self.gone && now.saturating_duration_since(self.noticed) < TELLING_TIME
    }

    fn concerns(&self, record: &InstanceRecord) -> bool {
        record.life_order() <= self.order
    }
}

/// A ready instance that was dropped because neither the store nor its node spoke of it. Its node may
/// only be cut off, so it counts as ended only when another incarnation takes its place.
#[derive(Clone, Debug)]
struct VanishedInstance {
    incarnation: TargetIncarnation,
    order: (NodeEpoch, TargetLife),
    noticed: Instant,
}

/// Keeps one instance per node and decides for how long it is used.
#[derive(Clone, Debug, Default)]
pub struct InstanceRegistry {
    known: HashMap<NodeId, KnownInstance>,
    /// Instances that have stated in answers that they leave. They are kept apart from the records,
    /// which may be replaced by records of the same instance that do not say so yet.
    departures: HashMap<NodeId, StatedDeparture>,
    /// Latest instance of each node whose record said that it leaves or has left.
    left: HashMap<NodeId, LeftInstance>,
    /// Latest instance of each node that was dropped without having left.
    vanished: HashMap<NodeId, VanishedInstance>,
    /// Ready instances that were replaced without having left.
    ended: Vec<TargetIncarnation>,
}

impl InstanceRegistry {
    /// Applies an entry of the store. Returns whether anything changed. An entry of an earlier
    /// incarnation or state of the instance is ignored, because writes can take effect late.
    pub fn apply_entry(&mut self, record: InstanceRecord, now: Instant) -> bool {
        self.merge(record, None, now)
    }

    /// Applies a record received from a peer. It is treated like a lapsed entry: unless the store
    /// or an answer confirms it, it is dropped after a grace period. Returns whether anything
    /// changed.
    pub fn apply_peer_record(&mut self, record: InstanceRecord, now: Instant) -> bool {
        self.merge(record, Some(now), now)
    }

    fn merge(&mut self, record: InstanceRecord, lapsed: Option<Instant>, now: Instant) -> bool {
        if record.state != InstanceState::Ready {
            self.record_left(&record, now);
        } else if let Some(left) = self.left.get_mut(&record.node)
            && !left.concerns(&record)
        {
            // The departure of an earlier incarnation is no longer the latest word. The same
            // incarnation has no later one: its node has started again and does not know.
            let incarnation = record.incarnation();
            left.departure = left.departure.take().filter(|known| *known == incarnation);
        }
        self.settle_vanished(&record);
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
        let former = known.record.incarnation();
        if known.record.state == InstanceState::Ready && former != record.incarnation() {
            self.ended.push(former);
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

    /// Decides whether a vanished instance has ended, now that its node's instance is known again.
    fn settle_vanished(&mut self, record: &InstanceRecord) {
        let vanished = self.vanished.get(&record.node);
        if vanished.is_none_or(|vanished| record.life_order() < vanished.order) {
            return;
        }
        let vanished = self.vanished.remove(&record.node);
        let incarnation = vanished.map(|vanished| vanished.incarnation);
        let replaced = incarnation.filter(|known| *known != record.incarnation());
        self.ended.extend(replaced);
    }

    fn record_left(&mut self, record: &InstanceRecord, now: Instant) {
        let known = self.left.get(&record.node);
        let order = record.life_order();
        // An earlier process or incarnation changes nothing.
        if known.is_none_or(|known| known.order <= order) {
            let was_gone = known.is_some_and(|known| known.gone && known.order == order);
            let later = LeftInstance {
                order,
                departure: record.departure(),
                gone: was_gone || record.state == InstanceState::Gone,
                noticed: now,
            };
            self.left.insert(record.node.clone(), later);
        }
    }

    /// Returns the departures that nodes which receive the list of instances have to be told of.
    #[must_use]
    pub fn told_departures(&self, now: Instant) -> Vec<NodeDeparture> {
        let told = self.left.iter().filter(|(_, left)| left.is_told(now));
        told.map(|(node, left)| {
            let (node_epoch, life) = left.order;
            NodeDeparture {
                node: node.clone(),
                node_epoch,
                life,
            }
        })
        .collect()
    }

    /// Applies departures that another node told. Returns whether an instance was dropped.
    pub fn apply_departures(&mut self, departures: &[NodeDeparture], now: Instant) -> bool {
        let mut changed = false;
        for departure in departures {
            changed |= self.apply_departure(departure, now);
        }
        changed
    }

    fn apply_departure(&mut self, departure: &NodeDeparture, now: Instant) -> bool {
        let (node, order) = (&departure.node, departure.life_order());
        let left = self.left.get_mut(node);
        if let Some(left) = left.filter(|left| left.order >= order) {
            left.gone |= left.order == order;
        } else {
            let left = LeftInstance {
                order,
                departure: None,
                gone: true,
                noticed: now,
            };
            self.left.insert(node.clone(), left);
        }
        if self
            .vanished
            .get(node)
            .is_some_and(|vanished| vanished.order == order)
        {
            self.vanished.remove(node);
        }
        let known = self.known.get(node).map(|known| &known.record);
        let Some(record) = known.filter(|record| record.life_order() <= order) else {
            return false;
        };
        if record.state == InstanceState::Ready && record.life_order() < order {
            self.ended.push(record.incarnation());
        }
        self.known.remove(node);
        true
    }

    /// Records that the store no longer has an entry for a node. A draining instance is dropped at
    /// once, a ready one after a grace period unless its entry returns or its node answers. Returns
    /// whether an instance was dropped.
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

    /// Applies a complete listing of the store. Entries that are not in it count as lapsed. Returns
    /// whether anything changed.
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

    /// Records that the node of an instance answered a call.
    pub fn record_answer(&mut self, node: &NodeId, now: Instant) {
        if let Some(known) = self.known.get_mut(node) {
            known.answered = Some(now);
        }
    }

    /// Suspends the use of an instance because its own node refused work as leaving. Returns
    /// whether it was in use.
    pub fn record_departure(&mut self, node: &NodeId, instance: &str, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(node) else {
            return false;
        };
        if known.record.instance != instance {
            return false;
        }
        let known_departed = known.departed_until.is_some_and(|until| until > now);
        known.departed_until = Some(now + DEPARTURE_EXCLUSION);
        !known_departed
    }

    /// Records that an instance has stated in an answer that it leaves. It is not used again, whatever
    /// its record says, until another incarnation takes its place. Returns whether that is news.
    pub fn record_stated_departure(&mut self, record: &InstanceRecord, now: Instant) -> bool {
        let departure = StatedDeparture {
            instance: record.instance.clone(),
            born: record.born,
            stated: now,
        };
        let former = self.departures.insert(record.node.clone(), departure);
        !former.is_some_and(|former| former.concerns(record))
    }

    /// Drops lapsed instances whose grace period is over and returns their nodes.
    pub fn expire(&mut self, now: Instant) -> ChangedNodes {
        self.departures.retain(|_, departure| {
            now.saturating_duration_since(departure.stated) < DEPARTURE_MEMORY
        });
        self.vanished.retain(|_, vanished| {
            now.saturating_duration_since(vanished.noticed) < DEPARTURE_MEMORY
        });
        self.left
            .retain(|_, left| now.saturating_duration_since(left.noticed) < DEPARTURE_MEMORY);
        let expired: ChangedNodes = self
            .known
            .values()
            .filter(|known| known.is_expired(now))
            .map(|known| known.record.node.clone())
            .collect();
        for node in &expired {
            let known = self.known.remove(node);
            let ready = known.filter(|known| known.record.state == InstanceState::Ready);
            let vanished = ready.map(|known| VanishedInstance {
                incarnation: known.record.incarnation(),
                order: known.record.life_order(),
                noticed: now,
            });
            let entry = vanished.map(|vanished| (node.clone(), vanished));
            self.vanished.extend(entry);
        }
        expired
    }

    /// Returns the epoch that the node of a record must exceed for the record to count, or `None` if it
    /// counts. The node may have started without reading what its former process had written.
    #[must_use]
    pub fn refuting_epoch(&self, record: &InstanceRecord) -> Option<NodeEpoch> {
        let known = self.known.get(&record.node);
        let known = known.map(|known| known.record.life_order());
        let later = known.filter(|known| *known > record.life_order());
        let left = self.left.get(&record.node);
        let left =
            left.filter(|left| record.state == InstanceState::Ready && left.concerns(record));
        let left = left.map(|left| left.order);
        later.max(left).map(|(epoch, _)| epoch)
    }

    /// Returns the incarnation beside a node that has announced that it leaves, if that is the latest
    /// word from there. A process of the node that has started since may not know it.
    #[must_use]
    pub fn announced_departure(&self, node: &str) -> Option<&TargetIncarnation> {
        let left = self.left.get(node)?;
        left.departure.as_ref()
    }

    /// Returns the incarnations that have ended without having left since the last call.
    pub fn take_ended(&mut self) -> Vec<TargetIncarnation> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the instances of a service that take new work, each with the duration for which it
    /// has been known.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a InstanceRecord, Duration)> + 'a {
        self.known.values().filter_map(move |known| {
            let record = &known.record;
            let departed = known.departed_until.is_some_and(|until| until > now);
            let stated = self.departures.get(&record.node);
            let left = self.left.get(&record.node);
            let leaving = departed
                || stated.is_some_and(|stated| stated.concerns(record))
                || left.is_some_and(|left| left.concerns(record));
            let ready = record.state == InstanceState::Ready && !leaving;
            let usable = record.service == service && ready;
            let age = now.saturating_duration_since(known.first_seen);
            usable.then_some((record, age))
        })
    }

    /// Returns the records that the store has at present.
    pub fn confirmed(&self) -> impl Iterator<Item = &InstanceRecord> {
        let known = self.known.values();
        known
            .filter(|known| known.lapsed.is_none())
            .map(|known| &known.record)
    }

    /// Digest of the confirmed records, which two nodes compare to learn whether they know the same
    /// ones.
    #[must_use]
    pub fn digest(&self) -> u64 {
        // A sum does not depend on the map's iteration order.
        self.confirmed().fold(0, |sum: u64, record| {
            let mut hasher = DefaultHasher::new();
            let (state, slots) = (record.state, record.slots);
            let life = (&record.instance, record.born, record.life_order());
            (&record.node, life, &record.service, state, slots).hash(&mut hasher);
            // Earlier releases know no versions; without one, the digest is theirs.
            if let Some(version) = &record.version {
                version.hash(&mut hasher);
            }
            sum.wrapping_add(hasher.finish())
        })
    }

    /// Returns the records of the nodes that are not known to leave. The store may still list others as
    /// ready, and so may nodes that have not heard of their departure.
    pub fn staying(&self) -> impl Iterator<Item = &InstanceRecord> + Clone {
        self.records().filter(|record| {
            let left = self.left.get(&record.node);
            !left.is_some_and(|left| left.concerns(record))
        })
    }

    /// Returns all records, to be sent to a peer.
    pub fn records(&self) -> impl Iterator<Item = &InstanceRecord> + Clone {
        self.known.values().map(|known| &known.record)
    }

    /// Returns the record of the instance at a node.
    #[must_use]
    pub fn record(&self, node: &str) -> Option<&InstanceRecord> {
        self.known.get(node).map(|known| &known.record)
    }

    /// Number of known instances, including lapsed ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
