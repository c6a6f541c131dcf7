//! Watches the entries of all nodes in the store. See `docs/platform.md`, section 4.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{InstanceRecord, log_event};
use apricotfold_store::{
    ConfigStore, RangeResponse, StoreEntry, StoreError, TransferProgress, WatchBatch, WatchEvent,
};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::engine::Engine;
use crate::registration::{NODE_PREFIX, NodeEntry};
use crate::rollout::keeper::RECORD_PREFIX;
use crate::store_health::{BackoffLimits, BatchBackoff, KeyWatcher, WatchedKeys};
use crate::telemetry;

/// Backoff between changes of entries. A leaving instance is refused by its own node and a dead one
/// is noticed by its callers, so the pauses delay only new instances.
const INSTANCE_BACKOFF: BackoffLimits = BackoffLimits {
    first: Duration::from_millis(250),
    longest: Duration::from_millis(2_500),
};

/// Prefix of all keys that nodes write: entries and records of rollouts.
const WATCH_PREFIX: &str = "apricotfold/";

/// Pause between the first listing and the first watch.
const START_PAUSE: Duration = Duration::from_millis(600);

/// Watches the entries until the process ends.
pub struct InstanceWatcher {
    engine: Arc<Engine>,
    store: Arc<dyn ConfigStore>,
}

impl KeyWatcher for InstanceWatcher {
    fn follow<'a>(
        &'a self,
        failures: &'a mut usize,
        progress: &'a TransferProgress,
    ) -> BoxFuture<'a, Result<Infallible, StoreError>> {
        self.watch_changes(failures, progress).boxed()
    }
}

impl InstanceWatcher {
    /// Creates the watcher.
    pub fn new(engine: Arc<Engine>, store: Arc<dyn ConfigStore>) -> Self {
        Self { engine, store }
    }

    async fn watch_changes(
        &self,
        failures: &mut usize,
        progress: &TransferProgress,
    ) -> Result<Infallible, StoreError> {
        // The first listing may be stale: the watch from its revision on delivers what is missing.
        // After a failure the store may have dropped the history that such a watch needs.
        let stale = *failures == 0;
        let listing = self.store.list_within(WATCH_PREFIX, stale, progress).await;
        telemetry::count_store_call("list", listing.is_ok());
        let listing = listing?;
        self.engine.store_health.record_answer("list");
        self.engine.start_epoch(listing.revision);
        *failures = 0;
        self.apply_listing(&listing);
        let mut revision = listing.revision;
        let mut pace = BatchBackoff::new(INSTANCE_BACKOFF);
        // If many nodes start together, their entries are then delivered in one batch.
        tokio::time::sleep(START_PAUSE).await;
        let health = &self.engine.store_health;
        let mut doubts = health.watch_doubts();
        loop {
            doubts.mark_unchanged();
            let keys = WatchedKeys::Entries;
            let terms = health.watch_terms(keys);
            let watch = self
                .store
                .watch_within(WATCH_PREFIX, revision + 1, terms, progress);
            let mut watch = watch.await?;
            loop {
                let next = health.next_batch(keys, &mut watch, &mut doubts, progress);
                let Some(batch) = next.await else {
                    break;
                };
                telemetry::count_store_call("watch", batch.is_ok());
                let batch = batch?;
                health.record_answer("watch");
                revision = revision.max(batch.revision);
                self.apply_batch(&batch);
                // Records of rollouts are rare and must arrive soon.
                let changed = batch.events.iter().any(is_node_entry);
                if changed {
                    tokio::time::sleep(pace.next_pause()).await;
                }
                if health.watch_terms(keys).wait != terms.wait {
                    break;
                }
            }
        }
    }

    fn apply_listing(&self, listing: &RangeResponse) {
        for entry in &listing.entries {
            let rollouts = &self.engine.rollouts;
            rollouts.apply_record_entry(&self.engine, entry);
        }
        let records: Vec<InstanceRecord> = listing
            .entries
            .iter()
            .filter_map(|entry| self.read_entry(entry))
            .collect();
        let latest = listing.entries.iter().map(|entry| entry.mod_revision).max();
        let health = &self.engine.store_health;
        health.record_listing(listing.revision, latest.unwrap_or(0));
        let count = records.len();
        let changed = self
            .engine
            .registry()
            .apply_listing(records, Instant::now());
        if changed {
            log_event!(info, InstanceChanged, "{count} instances are listed");
        }
    }

    fn apply_batch(&self, batch: &WatchBatch) {
        let written = batch.events.iter().filter_map(|event| match event {
            WatchEvent::Put(entry) => Some(entry.mod_revision),
            WatchEvent::Delete(_) => None,
        });
        let health = &self.engine.store_health;
        health.record_batch(batch.revision, written.max());
        for event in &batch.events {
            match event {
                WatchEvent::Put(entry) => {
                    let rollouts = &self.engine.rollouts;
                    rollouts.apply_record_entry(&self.engine, entry);
                    if let Some(record) = self.read_entry(entry) {
                        self.apply_record(record);
                    }
                }
                WatchEvent::Delete(key) => {
                    self.engine.rollouts.remove_record(key);
                    if let Some(node) = key.strip_prefix(NODE_PREFIX) {
                        let node = node.into();
                        log_event!(info, InstanceChanged, "the entry of {node} was deleted");
                        self.engine.registry().lapse_entry(&node, Instant::now());
                    }
                }
            }
        }
    }

    fn apply_record(&self, record: InstanceRecord) {
        let text = format!("{} {} {}", record.node, record.instance, record.state);
        if self.engine.registry().apply_entry(record, Instant::now()) {
            log_event!(info, InstanceChanged, "{text}");
        }
    }

    /// Decodes a node's entry and merges the crashes in it. Returns `None` if the entry cannot be
    /// read or its record is of another node.
    fn read_entry(&self, entry: &StoreEntry) -> Option<InstanceRecord> {
        let node = entry.key.strip_prefix(NODE_PREFIX)?;
        let Ok(read) = serde_json::from_str::<NodeEntry>(&entry.value) else {
            log_event!(warn, EntryIgnored, "{} cannot be read", entry.key);
            return None;
        };
        self.engine.crashes.merge(node, &read.crash_marks);
        read.record.filter(|record| record.node == node)
    }
}

fn is_node_entry(event: &WatchEvent) -> bool {
    let key = match event {
        WatchEvent::Put(entry) => &entry.key,
        WatchEvent::Delete(key) => key,
    };
    !key.starts_with(RECORD_PREFIX)
}
