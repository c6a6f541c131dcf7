//! Watches the operators' route table in the store. See `docs/platform.md`, section 3.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_store::{ConfigStore, Revision, StoreError, WatchEvent};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::engine::Engine;
use crate::store_health::{BackoffLimits, BatchBackoff, KeyWatcher, next_batch};
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
    ) -> BoxFuture<'a, Result<Infallible, StoreError>> {
        self.watch_changes(failures).boxed()
    }
}

impl TableWatcher {
    /// Creates the watcher.
    pub fn new(engine: Arc<Engine>, store: Arc<dyn ConfigStore>) -> Self {
        Self { engine, store }
    }

    async fn watch_changes(&self, failures: &mut usize) -> Result<Infallible, StoreError> {
        // The first read of a process may be stale: the watch from its revision on delivers what is
        // missing. Later, a node that begins to follow the store does so because it may be late, and
        // after a failure the store may have dropped the history that such a watch needs.
        let starting = self.engine.tables.version() == 0 && *failures == 0;
        let mut revision = self.read_table(starting).await?;
        *failures = 0;
        let mut pace = BatchBackoff::new(TABLE_BACKOFF);
        let mut doubts = self.engine.store_health.watch_doubts();
        loop {
            let key = self.engine.tables.key();
            doubts.mark_unchanged();
            let mut watch = self.store.watch(key, revision + 1).await?;
            loop {
                let next = next_batch(&mut watch, &mut doubts);
                let Ok(Some(batch)) = tokio::time::timeout(WATCH_TIMEOUT, next).await else {
                    break;
                };
                telemetry::count_store_call("watch", batch.is_ok());
                let batch = batch?;
                self.engine.store_health.record_answer("watch");
                revision = revision.max(batch.revision);
                let Some(text) = newest_text(&batch.events, key) else {
                    continue;
                };
                self.engine.tables.update(text);
                tokio::time::sleep(pace.next_pause()).await;
                if pace.is_busy() {
                    break;
                }
            }
            // While versions follow each other quickly, a watch would deliver each of them in full.
            // The newest one is read instead, until it no longer changes.
            while pace.is_busy() {
                let known = self.engine.tables.version();
                revision = self.read_table(false).await?;
                if self.engine.tables.version() == known {
                    break;
                }
                tokio::time::sleep(pace.next_pause()).await;
            }
        }
    }

    /// Reads the table; with `stale`, the read may return data that is some seconds old. Returns
    /// the store's revision.
    async fn read_table(&self, stale: bool) -> Result<Revision, StoreError> {
        let key = self.engine.tables.key();
        let started = Instant::now();
        let answer = if stale {
            self.store.get_stale(key).await
        } else {
            self.store.get(key).await
        };
        telemetry::count_store_call("get", answer.is_ok());
        let answer = answer?;
        telemetry::record_table_read(started.elapsed());
        self.engine.store_health.record_answer("get");
        self.engine.start_epoch(answer.revision);
        if let Some(entry) = answer.entries.first() {
            self.engine.tables.update(&entry.value);
        }
        Ok(answer.revision)
    }
}

fn newest_text<'a>(events: &'a [WatchEvent], key: &str) -> Option<&'a str> {
    events.iter().rev().find_map(|event| match event {
        WatchEvent::Put(entry) if entry.key == key => Some(entry.value.as_str()),
        _ => None,
    })
}
