//! What a node knows of rollouts, and which versions its requests may use.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use apricotfold_model::{
    NodeId, RolloutOrder, RolloutState, RouteName, ServiceName, VersionName, saturating_millis,
};
use smallvec::SmallVec;

use super::decider::{RolloutGrant, RolloutReport};
use super::evidence::{AnswerSample, RolloutCounts};
use super::{KnownRollout, RolloutRecord};
use crate::EntryRevision;

/// Time for which a granted share holds after the request for it was sent. A node that no longer
/// reaches the decider sends nothing to the new version from then on, and neither does any node when
/// the decider has died.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time after the last request for a service for which a node goes on reporting, so that it has a grant
/// when the next one comes.
const REPORT_PERIOD: Duration = Duration::from_secs(3);

/// Time after which a node begins a new part of its counts. Only time with a grant matters, so that the
/// recent part has what was counted before a decider died.
const PART_TIME: Duration = Duration::from_secs(1);

/// Part of an order's duration that is assumed to have passed if a node learns of an order that already
/// has a record, and nobody can say how old it is.
const ASSUMED_AGE_SHARE: f64 = 0.3;

/// How long ago an order was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAge {
    /// It was given this long ago.
    Known(Duration),
    /// It was found when the node started or after its watch was lost.
    Found,
}

/// Targets that an attempt may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionGroup {
    /// No rollout is open: versions play no role, unless one was rolled back or replaced.
    #[default]
    Any,
    /// Only targets of the new version.
    New,
    /// Only targets of other versions.
    Old,
}

/// An order as far as the node knows it.
#[derive(Clone, Debug)]
struct NodeRollout {
    order: RolloutOrder,
    revision: EntryRevision,
    /// Time of the order, as far as known.
    ordered: Instant,
    /// Whether `ordered` is only when the node learned of the order.
    found: bool,
    /// Time since when no decider is known.
    vacant: Option<Instant>,
    grant: Option<(f64, Instant)>,
    stopped: bool,
    /// Sum of the shares of past requests, without the whole requests that the new version got. It
    /// starts at random, so that the shares of many nodes with few requests add up.
    phase: Option<f64>,
    counts: RolloutCounts,
    /// Counts at the beginnings of the last part and of the one before.
    parts: [RolloutCounts; 2],
    part_begun: Instant,
    /// Revision of the record of the decider that has answered last.
    answered: EntryRevision,
    requested: Option<Instant>,
}

/// What a node knows of all rollouts.
#[derive(Clone, Debug, Default)]
pub struct RolloutView {
    rollouts: HashMap<ServiceName, NodeRollout>,
    /// Latest record of each service with its revision.
    records: HashMap<ServiceName, (EntryRevision, RolloutRecord)>,
    /// Versions that were rolled back or replaced; `None` stands for targets without a version.
    retired: HashMap<ServiceName, SmallVec<[Option<VersionName>; 2]>>,
}

impl RolloutView {
    /// Returns whether no order, record or retired version is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty() && self.records.is_empty() && self.retired.is_empty()
    }

    /// Applies an order. Returns whether it is new.
    pub fn apply_order(
        &mut self,
        order: RolloutOrder,
        revision: EntryRevision,
        age: OrderAge,
        now: Instant,
    ) -> bool {
        let age_known = age;
        let (age, found) = match age {
            // A node that hears of an old order has not seen its rollout.
            OrderAge::Known(age) => (age, age > order.duration * 2),
            OrderAge::Found => (Duration::ZERO, true),
        };
        let mut ordered = now.checked_sub(age).unwrap_or(now);
        if let Some(known) = self.rollouts.get_mut(&order.service)
            && known.revision >= revision
        {
            if known.revision == revision && matches!(age_known, OrderAge::Known(_)) {
                known.ordered = known.ordered.min(ordered);
                known.found = found;
            }
            return false;
        }
        let record = self.records.get(&order.service);
        let has_record = record.is_some_and(|(_, record)| record.order_revision == revision);
        if found && has_record {
            let assumed = order.duration.mul_f64(ASSUMED_AGE_SHARE);
            ordered = now.checked_sub(assumed).unwrap_or(now);
        }
        let ended = record.is_some_and(|(_, record)| {
            record.order_revision == revision && record.state.is_final()
        });
        if let Some(retired) = self.retired.get_mut(&order.service)
            && !ended
        {
            let target = Some(&order.target_version);
            retired.retain(|version| version.as_ref() != target);
        }
        let rollout = NodeRollout {
            ordered,
            found,
            revision,
            vacant: (!has_record).then_some(now),
            grant: None,
            stopped: false,
            phase: None,
            counts: RolloutCounts::default(),
            parts: Default::default(),
            part_begun: now,
            answered: 0,
            requested: None,
            order,
        };
        self.rollouts.insert(rollout.order.service.clone(), rollout);
        true
    }

    /// Keeps the orders with these revisions only: the others are no longer in the store.
    pub fn retain_orders(&mut self, listed: &[(ServiceName, EntryRevision)]) {
        self.rollouts.retain(|service, rollout| {
            let mut listed = listed.iter();
            listed.any(|(known, revision)| known == service && *revision == rollout.revision)
        });
    }

    /// Removes orders that are at least this old and not of these services: they were withdrawn.
    pub fn withdraw_orders(&mut self, services: &[ServiceName], age: Duration, now: Instant) {
        self.rollouts.retain(|service, rollout| {
            let old = now.saturating_duration_since(rollout.ordered) >= age;
            !old || services.contains(service)
        });
    }

    /// Removes the order of a service that is no longer in the store.
    pub fn remove_order(&mut self, service: &str) {
        self.rollouts.remove(service);
    }

    /// Applies a record of the store. `versions` are those of the service's targets. Returns whether it
    /// is new.
    pub fn apply_record(
        &mut self,
        revision: EntryRevision,
        record: RolloutRecord,
        versions: impl Iterator<Item = Option<VersionName>>,
    ) -> bool {
        let service = record.service.clone();
        let known = self.records.get(&service);
        if known.is_some_and(|(known, _)| *known >= revision) {
            return false;
        }
        let open = self.is_open(&service) && !self.is_found(&service);
        let rollout = self.rollouts.get_mut(&service);
        let current = rollout
            .as_ref()
            .map_or(0, |rollout| rollout.revision)
            .max(record.order_revision);
        if let Some(rollout) = rollout
            && rollout.revision == record.order_revision
        {
            rollout.vacant = None;
        }
        if record.order_revision == current {
            let retired = self.retired.entry(service.clone()).or_default();
            let target = Some(record.target_version.clone());
            match record.state {
                RolloutState::Active => {}
                RolloutState::RolledBack => {
                    if !retired.contains(&target) {
                        retired.push(target);
                    }
                }
                // Targets of the former versions stop at once. Only a node that has seen the rollout
                // knows that those which it lists are former ones.
                RolloutState::Completed => {
                    retired.retain(|version| *version != target);
                    for version in versions.filter(|version| open && *version != target) {
                        if !retired.contains(&version) {
                            retired.push(version);
                        }
                    }
                }
            }
            if retired.is_empty() {
                self.retired.remove(&service);
            }
        }
        self.records.insert(service, (revision, record));
        true
    }

    /// Removes the record of a service, whose lease has ended.
    pub fn remove_record(&mut self, service: &str, now: Instant) {
        if self.records.remove(service).is_some()
            && let Some(rollout) = self.rollouts.get_mut(service)
        {
            rollout.vacant.get_or_insert(now);
        }
    }

    /// Returns the record of a service with its revision.
    #[must_use]
    pub fn record(&self, service: &str) -> Option<&(EntryRevision, RolloutRecord)> {
        self.records.get(service)
    }

    /// Returns the record of a service's current order.
    fn current_record(&self, service: &str) -> Option<&RolloutRecord> {
        let rollout = self.rollouts.get(service)?;
        let (_, record) = self.records.get(service)?;
        (record.order_revision == rollout.revision).then_some(record)
    }

    /// Returns whether a service has an order that has not ended.
    #[must_use]
    pub fn is_open(&self, service: &str) -> bool {
        let ended = self
            .current_record(service)
            .is_some_and(|record| record.state.is_final());
        !ended && self.rollouts.contains_key(service)
    }

    /// Returns the orders that have not ended, with their revisions.
    pub fn open_orders(&self) -> impl Iterator<Item = (&RolloutOrder, EntryRevision)> {
        let open = self.rollouts.values();
        open.filter(|rollout| self.is_open(&rollout.order.service))
            .map(|rollout| (&rollout.order, rollout.revision))
    }

    /// Returns the time of the current order of a service, and since when it has had no decider.
    #[must_use]
    pub fn times(&self, service: &str) -> Option<(Instant, Option<Instant>)> {
        let rollout = self.rollouts.get(service)?;
        Some((rollout.ordered, rollout.vacant))
    }

    /// Returns whether the node has only found the order of a service, and does not know its age.
    #[must_use]
    pub fn is_found(&self, service: &str) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|rollout| rollout.found)
    }

    /// Returns the decider of an open rollout.
    #[must_use]
    pub fn decider(&self, service: &str) -> Option<&RolloutRecord> {
        self.current_record(service)
            .filter(|record| !record.state.is_final())
    }

    /// Applies the decider's answer to a report that was sent at `sent`.
    pub fn apply_grant(
        &mut self,
        service: &str,
        revision: EntryRevision,
        grant: RolloutGrant,
        sent: Instant,
    ) {
        let record = self.records.get(service).map_or(0, |(record, _)| *record);
        let rollout = self.rollouts.get_mut(service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.revision == revision) {
            rollout.answered = record;
            rollout.stopped |= grant.stop;
            rollout.grant = Some((grant.share.clamp(0.0, 1.0), sent + GRANT_LIFETIME));
        }
    }

    /// Chooses the targets of a request. `random` is between 0 and 1.
    pub fn choose_group(&mut self, service: &str, random: f64, now: Instant) -> VersionGroup {
        if !self.is_open(service) {
            return VersionGroup::Any;
        }
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return VersionGroup::Any;
        };
        rollout.requested = Some(now);
        let grant = rollout.grant.filter(|(_, until)| now < *until);
        let share = grant.map_or(0.0, |(share, _)| share);
        if rollout.stopped || share <= 0.0 {
            return VersionGroup::Old;
        }
        if now.saturating_duration_since(rollout.part_begun) >= PART_TIME {
            rollout.part_begun = now;
            rollout.parts.swap(0, 1);
            rollout.parts[0] = rollout.counts.clone();
        }
        let phase = rollout.phase.get_or_insert(random);
        *phase += share;
        if *phase < 1.0 {
            return VersionGroup::Old;
        }
        *phase -= 1.0;
        VersionGroup::New
    }

    /// Returns whether a target of this version belongs to a group. With `any_left`, versions that were
    /// rolled back or replaced are used, too, because no other is left.
    #[must_use]
    pub fn admits(
        &self,
        service: &str,
        group: VersionGroup,
        version: Option<&VersionName>,
        any_left: bool,
    ) -> bool {
        let rollout = self.rollouts.get(service);
        let target = rollout.map(|rollout| &rollout.order.target_version);
        let retired = self.retired.get(service);
        let retired = retired.is_some_and(|retired| {
            let mut versions = retired.iter();
            versions.any(|retired| retired.as_ref() == version)
        });
        match group {
            VersionGroup::New => version == target,
            VersionGroup::Old => version != target && (any_left || !retired),
            VersionGroup::Any => any_left || !retired,
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &str) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.counts.requests += 1;
        }
    }

    /// Counts an attempt at a target. Returns whether the target has the new version of an open rollout.
    pub fn record_attempt(&mut self, service: &str, version: Option<&VersionName>) -> bool {
        if !self.is_open(service) {
            return false;
        }
        let rollout = self.rollouts.get_mut(service);
        let rollout = rollout.filter(|rollout| version == Some(&rollout.order.target_version));
        if let Some(rollout) = rollout {
            rollout.counts.exposed += 1;
            return true;
        }
        false
    }

    /// Counts the end of an attempt at a target.
    pub fn record_answer(
        &mut self,
        service: &str,
        route: &RouteName,
        version: Option<&VersionName>,
        sample: AnswerSample,
    ) {
        if !self.is_open(service) {
            return;
        }
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        let is_new = version == Some(&rollout.order.target_version);
        let routes = &mut rollout.counts.routes;
        if !routes.contains_key(route) {
            routes.insert(route.clone(), super::RouteCounts::default());
        }
        if let Some(counts) = routes.get_mut(route) {
            let counts = if is_new {
                &mut counts.new
            } else {
                &mut counts.old
            };
            counts.record(sample);
        }
    }

    /// Returns the reports that are due, with their services.
    #[must_use]
    pub fn reports(
        &self,
        node: &NodeId,
        session: u64,
        now: Instant,
    ) -> Vec<(ServiceName, RolloutReport)> {
        let used = self.rollouts.iter().filter(|(service, rollout)| {
            let recent = rollout
                .requested
                .is_some_and(|at| now.saturating_duration_since(at) < REPORT_PERIOD);
            recent && self.decider(service).is_some()
        });
        used.map(|(service, rollout)| {
            let age = now.saturating_duration_since(rollout.ordered);
            let record = self.records.get(service).map_or(0, |(record, _)| *record);
            let is_first = rollout.answered != record;
            let report = RolloutReport {
                node: node.clone(),
                session,
                order_revision: rollout.revision,
                age_ms: saturating_millis(age),
                stopped: rollout.stopped,
                counts: rollout.counts.clone(),
                recent: is_first.then(|| rollout.counts.since(&rollout.parts[1])),
            };
            (service.clone(), report)
        })
        .collect()
    }

    /// Digest of the orders and records, which two nodes compare; 0 if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        // A sum does not depend on the map's iteration order.
        let hash = |service: &ServiceName, kind: u8, revision: EntryRevision| {
            let mut hasher = DefaultHasher::new();
            (service, kind, revision).hash(&mut hasher);
            hasher.finish()
        };
        let orders = self.rollouts.iter();
        let orders = orders.map(|(service, rollout)| hash(service, 0, rollout.revision));
        let records = self.records.iter();
        let records = records.map(|(service, (revision, _))| hash(service, 1, *revision));
        orders
            .chain(records)
            .fold(0, |sum: u64, hash| sum.wrapping_add(hash))
    }

    /// Returns all that a peer may lack.
    #[must_use]
    pub fn known(&self, now: Instant) -> Vec<KnownRollout> {
        let orders = self.rollouts.iter().map(|(service, rollout)| KnownRollout {
            order: Some(rollout.order.clone()),
            revision: rollout.revision,
            age_ms: saturating_millis(now.saturating_duration_since(rollout.ordered)),
            record: self.records.get(service).cloned(),
        });
        let others = self.records.iter();
        let others = others.filter(|(service, _)| !self.rollouts.contains_key(*service));
        let others = others.map(|(_, record)| KnownRollout {
            order: None,
            revision: 0,
            age_ms: 0,
            record: Some(record.clone()),
        });
        orders.chain(others).collect()
    }
}
