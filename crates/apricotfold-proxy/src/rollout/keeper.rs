//! Orders and records of rollouts, as read from the store or heard from peers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::{ServiceName, VersionName, log_event};
use apricotfold_policy::{
    EntryRevision, InstanceRegistry, KnownRollout, OrderAge, RolloutRecord, RolloutView,
    VersionGroup,
};
use apricotfold_store::{Revision, StoreEntry};
use tokio::sync::watch;

use super::decisions::DeciderTask;
use crate::adapters::RolloutSource;
use crate::engine::{Engine, random_seed};
use crate::telemetry;

/// Prefix of the keys of rollout records; the name of the service follows.
pub const RECORD_PREFIX: &str = "apricotfold/rollouts/";

/// Age of an order from which on a relay that does not list it shows that it was withdrawn. Relays
/// learn of an order at different times.
const WITHDRAWAL_AGE: Duration = Duration::from_secs(3);

/// Time between two listings up to which an order that is new in the second one counts as old as that.
const MAX_KNOWN_AGE: Duration = Duration::from_secs(2);

/// Returns the revision of an entry as records and messages have it.
pub(super) fn entry_revision(revision: Revision) -> EntryRevision {
    EntryRevision::try_from(revision).unwrap_or(0)
}

/// What this node knows of rollouts.
pub struct RolloutKeeper {
    pub(super) source: Arc<dyn RolloutSource>,
    view: Mutex<RolloutView>,
    pub(super) tasks: Mutex<HashMap<ServiceName, DeciderTask>>,
    /// When the orders were last listed or watched; `None` before the first listing.
    followed: Mutex<Option<Instant>>,
    /// Counter that is incremented when an order or a record changes.
    changes: watch::Sender<u64>,
    /// Number of this process, by which deciders know that its counts begin anew.
    pub(super) session: u64,
}

impl RolloutKeeper {
    /// Creates the keeper of a node that knows of no rollout.
    pub fn new(source: Arc<dyn RolloutSource>) -> Self {
        Self {
            source,
            view: Mutex::default(),
            tasks: Mutex::default(),
            followed: Mutex::default(),
            changes: watch::Sender::new(0),
            session: random_seed(&"rollout session"),
        }
    }

    /// Locks the view.
    pub fn view(&self) -> MutexGuard<'_, RolloutView> {
        self.view.lock().expect("no panic while locked")
    }

    /// Subscribes to changes of orders and records.
    pub(super) fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Returns the longest prefix that the keys of orders have in common with the key of the route table.
    pub fn watch_prefix<'a>(&self, table_key: &'a str) -> &'a str {
        let orders = self.source.order_prefix();
        let common = table_key.char_indices().zip(orders.chars());
        let differs = common.into_iter().find(|((_, a), b)| a != b);
        let end = differs.map_or(table_key.len().min(orders.len()), |((at, _), _)| at);
        &table_key[..end]
    }

    /// Chooses the targets of a new request. Returns whether it may use only the new version.
    pub fn draws_canary(&self, service: &str, random: impl FnOnce() -> f64) -> bool {
        let mut view = self.view();
        if view.is_empty() {
            return false;
        }
        view.choose_group(service, random(), Instant::now()) == VersionGroup::New
    }

    /// Applies the orders in a listing. With `fresh`, orders that it lacks are no longer in the store.
    pub fn apply_order_listing(&self, entries: &[StoreEntry], fresh: bool) {
        if fresh {
            let prefix = self.source.order_prefix();
            let listed: Vec<_> = entries
                .iter()
                .filter_map(|entry| {
                    let service = entry.key.strip_prefix(prefix)?;
                    Some((service.into(), entry_revision(entry.mod_revision)))
                })
                .collect();
            self.view().retain_orders(&listed);
        }
        let age = match self.mark_followed() {
            None => OrderAge::Found,
            Some(pause) if pause <= MAX_KNOWN_AGE => OrderAge::Known(pause),
            // An order that was missed for long would otherwise be decided too early at all nodes.
            Some(_) => OrderAge::Known(Duration::ZERO),
        };
        for entry in entries {
            self.apply_order(entry, age);
        }
    }

    /// Records that the orders have been listed, or a batch of changes to them was delivered. Returns the
    /// time since the last time, `None` at the first.
    pub fn mark_followed(&self) -> Option<Duration> {
        let mut followed = self.followed.lock().expect("no panic while locked");
        let former = followed.replace(Instant::now());
        former.map(|at| at.elapsed())
    }

    /// Applies an order that a watch has delivered.
    pub fn apply_order_entry(&self, entry: &StoreEntry) {
        self.apply_order(entry, OrderAge::Known(Duration::ZERO));
    }

    fn apply_order(&self, entry: &StoreEntry, age: OrderAge) {
        let Some(service) = entry.key.strip_prefix(self.source.order_prefix()) else {
            return;
        };
        let order = match self.source.decode_order(&entry.value) {
            Ok(order) if order.service == service => order,
            Ok(order) => {
                let named = order.service;
                log_event!(warn, RolloutRefused, "{} names {named}", entry.key);
                return;
            }
            Err(errors) => {
                log_event!(warn, RolloutRefused, "{}: {errors}", entry.key);
                return;
            }
        };
        let text = format!(
            "{service} to {} within {:?}",
            order.target_version, order.duration
        );
        let revision = entry_revision(entry.mod_revision);
        let now = Instant::now();
        if self.view().apply_order(order, revision, age, now) {
            log_event!(info, RolloutOrdered, "{text}, revision {revision}");
            self.notify();
        }
    }

    /// Removes an order whose key was deleted.
    pub fn remove_order(&self, key: &str) {
        if let Some(service) = key.strip_prefix(self.source.order_prefix()) {
            self.view().remove_order(service);
            self.notify();
        }
    }

    /// Applies a record that was read from the store.
    pub fn apply_record_entry(&self, engine: &Engine, entry: &StoreEntry) {
        let Some(service) = entry.key.strip_prefix(RECORD_PREFIX) else {
            return;
        };
        match serde_json::from_str::<RolloutRecord>(&entry.value) {
            Ok(record) if record.service == service => {
                self.apply_record(engine, entry_revision(entry.mod_revision), record);
            }
            _ => log_event!(warn, EntryIgnored, "{} cannot be read", entry.key),
        }
    }

    /// Applies a record.
    pub(super) fn apply_record(
        &self,
        engine: &Engine,
        revision: EntryRevision,
        record: RolloutRecord,
    ) {
        let versions = versions_of(&engine.registry(), &record.service);
        let state = record.state;
        let text = format!(
            "{} to {}: {state}, decided by {}",
            record.service, record.target_version, record.decider
        );
        let changed = self
            .view()
            .apply_record(revision, record, versions.into_iter());
        if changed {
            telemetry::count_rollout_state(state);
            log_event!(info, RolloutChanged, "{text}");
            self.notify();
        }
    }

    /// Removes a record whose key was deleted, as at the end of its lease. A watch may deliver the end of
    /// a former record after this node has written its own, which its renewals show to last.
    pub fn remove_record(&self, key: &str) {
        let Some(service) = key.strip_prefix(RECORD_PREFIX) else {
            return;
        };
        let now = Instant::now();
        let held = {
            let tasks = self.tasks.lock().expect("no panic while locked");
            let task = tasks.get(service);
            task.is_some_and(|task| task.claim.is_certain(now))
        };
        if !held {
            self.view().remove_record(service, now);
            self.notify();
        }
    }

    /// Applies what a peer knows. With `complete`, old orders that it lacks were withdrawn.
    pub fn apply_known(&self, engine: &Engine, rollouts: Vec<KnownRollout>, complete: bool) {
        let now = Instant::now();
        let mut services = Vec::new();
        for known in rollouts {
            if let Some(order) = known.order {
                services.push(order.service.clone());
                let age = OrderAge::Known(Duration::from_millis(known.age_ms));
                let text = format!("{} to {}", order.service, order.target_version);
                if self.view().apply_order(order, known.revision, age, now) {
                    log_event!(info, RolloutOrdered, "{text}, from a peer");
                    self.notify();
                }
            }
            if let Some((revision, record)) = known.record {
                self.apply_record(engine, revision, record);
            }
        }
        if complete {
            self.view().withdraw_orders(&services, WITHDRAWAL_AGE, now);
        }
    }
}

fn versions_of(registry: &InstanceRegistry, service: &str) -> Vec<Option<VersionName>> {
    let records = registry.records();
    records
        .filter(|record| record.service == service)
        .map(|record| record.version.clone())
        .collect()
}
