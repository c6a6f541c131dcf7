//! Watches the operators' route table in the store. See `docs/platform.md`, section 3.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_store::{ConfigStore, Revision, StoreError, TransferProgress, WatchEvent};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::engine::Engine;
use crate::store_health::{BackoffLimits, BatchBackoff, KeyWatcher, WatchedKeys};
use crate::telemetry;

/// Time without a batch after which a watch is reopened, even if nothing shows that it is lost.
const WATCH_TIMEOUT: Duration = Duration::from_mins(1);

/// Backoff between tables; operators expect a new table to be active after 2.5 s. Behind a relay, polls
/// and transfers come on top of it.
const TABLE_BACKOFF: BackoffLimits = BackoffLimits {
    first: Duration::from_millis(200),
    longest: Duration::from_millis(500),
};

/// Watches the table until the process ends.
pub struct TableWatcher {
    engine: Arc<Engine>,
    store: Arc<dyn ConfigStore>,
}

impl KeyWatcher for TableWatcher {
    fn follow<'a>(
        &'a self,
        failures: &'a mut usize,
        progress: &'a TransferProgress,
    ) -> BoxFuture<'a, Result<Infallible, StoreError>> {
        self.watch_changes(failures, progress).boxed()
    }
}

impl TableWatcher {
    /// Creates the watcher.
    pub fn new(engine: Arc<Engine>, store: Arc<dyn ConfigStore>) -> Self {
        Self { engine, store }
    }

    async fn watch_changes(
        &self,
        failures: &mut usize,
        progress: &TransferProgress,
    ) -> Result<Infallible, StoreError> {
        // The first read of a process may be stale: the watch from its revision on delivers what is
        // missing. Later, a node that begins to follow the store does so because it may be late, and
        // after a failure the store may have dropped the history that such a watch needs.
        let starting = self.engine.tables.version() == 0 && *failures == 0;
        let mut revision = self.read_table(starting, progress).await?;
        *failures = 0;
        let mut pace = BatchBackoff::new(TABLE_BACKOFF);
        let health = &self.engine.store_health;
        let mut doubts = health.watch_doubts();
        loop {
            let key = self.engine.tables.key();
            doubts.mark_unchanged();
            let terms = health.watch_terms(WatchedKeys::Table);
            let watch = self
                .store
                .watch_within(self.prefix(), revision + 1, terms, progress);
            let mut watch = watch.await?;
            loop {
                let keys = WatchedKeys::Table;
                let next = health.next_batch(keys, &mut watch, &mut doubts, progress);
                let Ok(Some(batch)) = tokio::time::timeout(WATCH_TIMEOUT, next).await else {
                    break;
                };
                telemetry::count_store_call("watch", batch.is_ok());
                let batch = batch?;
                health.record_answer("watch");
                revision = revision.max(batch.revision);
                self.apply_orders(&batch.events);
                if let Some(text) = newest_text(&batch.events, key) {
                    self.update_table(text);
                    tokio::time::sleep(pace.next_pause()).await;
                    if pace.is_busy() {
                        break;
                    }
                }
                if health.watch_terms(WatchedKeys::Table).wait != terms.wait {
                    break;
                }
            }
            // While versions follow each other quickly, or after the watch has missed some, a watch would
            // deliver each of them in full. The newest one is read instead, until it no longer changes.
            while pace.is_busy() || health.is_table_behind() {
                let known = self.engine.tables.version();
                revision = self.read_table(false, progress).await?;
                if self.engine.tables.version() == known {
                    break;
                }
                tokio::time::sleep(pace.next_pause()).await;
            }
        }
    }

    /// Returns the prefix of the keys of the table and of rollout orders.
    fn prefix(&self) -> &str {
        let key = self.engine.tables.key();
        self.engine.rollouts.watch_prefix(key)
    }

    fn apply_orders(&self, events: &[WatchEvent]) {
        self.engine.rollouts.mark_followed();
        for event in events {
            match event {
                WatchEvent::Put(entry) => self.engine.rollouts.apply_order_entry(entry),
                WatchEvent::Delete(key) => self.engine.rollouts.remove_order(key),
            }
        }
    }

    /// Reads the table and the rollout orders; with `stale`, the read may return data that is some
    /// seconds old. Returns the store's revision. One read covers both, since a later watch begins at
    /// its revision.
    async fn read_table(
        &self,
        stale: bool,
        progress: &TransferProgress,
    ) -> Result<Revision, StoreError> {
        let key = self.engine.tables.key();
        let started = Instant::now();
        let answer = self.store.list_within(self.prefix(), stale, progress).await;
        telemetry::count_store_call("list", answer.is_ok());
        let answer = answer?;
        telemetry::record_table_read(started.elapsed());
        self.engine.store_health.record_answer("list");
        self.engine.start_epoch(answer.revision);
        let rollouts = &self.engine.rollouts;
        rollouts.apply_order_listing(&answer.entries, !stale);
        if let Some(entry) = answer.entries.iter().find(|entry| entry.key == key) {
            self.update_table(&entry.value);
        }
        if !stale {
            // The store has no newer one, whatever other nodes have.
            let version = self.engine.tables.version();
            self.engine.store_health.record_watched_table(version);
        }
        self.engine.store_health.record_table_read();
        Ok(answer.revision)
    }

    fn update_table(&self, text: &str) {
        let tables = &self.engine.tables;
        tables.update(text);
        let health = &self.engine.store_health;
        health.record_watched_table(tables.delivered_version());
    }
}

fn newest_text<'a>(events: &'a [WatchEvent], key: &str) -> Option<&'a str> {
    events.iter().rev().find_map(|event| match event {
        WatchEvent::Put(entry) if entry.key == key => Some(entry.value.as_str()),
        _ => None,
    })
}
