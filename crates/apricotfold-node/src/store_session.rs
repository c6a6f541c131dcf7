//! Executes the control plane's store requests, each in a task of its own.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use apricotfold_control::{
    ControlEvent, RequestId, StoreCompare, StoreEntry, StoreReply, StoreRequest, StoreWrite,
};
use apricotfold_model::{NodeConfig, RelayEntry, keys, log_event};
use apricotfold_store::{
    Compare, ConfigStore, HttpStore, LeaseId, RangeResponse, Revision, StoreError, StoreTxn,
    WatchEvent, WriteEffect,
};
use compact_str::CompactString;
use futures_util::StreamExt;
use tokio::task::AbortHandle;

use crate::control_loop::{LoopInput, LoopSender};
use crate::node_metrics;

/// Interval between two probes of a store that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The control loop's access to the store, with one task for each watched prefix.
pub struct StoreSession {
    handle: StoreHandle,
    watches: HashMap<CompactString, AbortHandle>,
}

/// Handle to the store and to the control loop, cloned into each task.
#[derive(Clone)]
struct StoreHandle {
    store: Arc<dyn ConfigStore>,
    inputs: LoopSender,
    lost: Arc<AtomicBool>,
    slot: Arc<Mutex<WrittenSlot>>,
}

/// The relay slot that this node has written last.
#[derive(Debug, Default)]
struct WrittenSlot {
    key: String,
    value: String,
    /// Number of returns of the store to an older copy when the slot was last known to be there. After
    /// another one, it may be gone, and a lease of the same id may belong to another holder.
    returns: u64,
}

impl StoreSession {
    /// Creates a session. The store is not contacted before the first request.
    ///
    /// # Errors
    ///
    /// Returns an error when the client cannot be set up.
    pub fn new(config: &NodeConfig, inputs: LoopSender) -> eyre::Result<Self> {
        Ok(Self {
            handle: StoreHandle {
                store: Arc::new(HttpStore::new(&config.store, config.local_address())?),
                inputs,
                lost: Arc::new(AtomicBool::new(false)),
                slot: Arc::default(),
            },
            watches: HashMap::new(),
        })
    }

    /// Starts a request in the background. Its reply is sent to the control loop as an event.
    pub fn start(&mut self, id: RequestId, request: StoreRequest) {
        let handle = self.handle.clone();
        match request {
            StoreRequest::Watch { prefix } => {
                let watched = prefix.clone();
                let task = tokio::spawn(async move { handle.run_watch(watched).await });
                if let Some(previous) = self.watches.insert(prefix, task.abort_handle()) {
                    previous.abort();
                }
            }
            StoreRequest::Unwatch { prefix } => {
                if let Some(watch) = self.watches.remove(&prefix) {
                    watch.abort();
                }
            }
            request => {
                tokio::spawn(async move { handle.execute(id, request).await });
            }
        }
    }
}

impl StoreHandle {
    async fn execute(self, id: RequestId, request: StoreRequest) {
        let reply = match self.call(request).await {
            Ok(Some(reply)) => reply,
            Ok(None) => return,
            Err(error) => {
                self.handle_store_loss(&error).await;
                match error.effect {
                    WriteEffect::None => StoreReply::Unavailable,
                    WriteEffect::Unknown => StoreReply::Uncertain,
                }
            }
        };
        self.report(ControlEvent::StoreResult { id, reply }).await;
    }

    async fn call(&self, request: StoreRequest) -> Result<Option<StoreReply>, StoreError> {
        let reply = match request {
            StoreRequest::List { prefix } => {
                node_metrics::record_store_call("list");
                let answer = self.store.list(&prefix).await?;
                StoreReply::Listed {
                    entries: read_entries(answer),
                }
            }
            StoreRequest::AcquireSlot { key, entry, ttl } => {
                self.acquire_slot(&key, &entry, ttl).await?
            }
            StoreRequest::RenewSlot { lease } => {
                node_metrics::record_store_call("keep-alive");
                let left = self.store.keep_alive(lease).await?;
                if left.is_zero() || !self.confirm_slot(lease).await? {
                    StoreReply::SlotLost
                } else {
                    StoreReply::SlotRenewed
                }
            }
            StoreRequest::ReleaseSlot { lease } => {
                node_metrics::record_store_call("revoke");
                self.store.revoke(lease).await?;
                return Ok(None);
            }
            StoreRequest::Commit { compares, writes } => self.commit(compares, writes).await?,
            StoreRequest::ReadBundle { digest } => {
                node_metrics::record_store_call("get");
                let answer = self.store.get(&keys::bundle(&digest)).await?;
                StoreReply::Bundle {
                    json: answer.entries.into_iter().next().map(|entry| entry.value),
                }
            }
            StoreRequest::Watch { .. } | StoreRequest::Unwatch { .. } => return Ok(None),
        };
        Ok(Some(reply))
    }

    /// Creates the key of a relay slot under a new lease. If the response is lost, the key is read
    /// back: its entry names the lease that holds the slot.
    async fn acquire_slot(
        &self,
        key: &str,
        entry: &RelayEntry,
        ttl: Duration,
    ) -> Result<StoreReply, StoreError> {
        node_metrics::record_store_call("grant");
        let lease = self.store.grant(ttl).await?;
        let value =
            serde_json::to_string(entry).expect("a relay entry can always be written as JSON");
        let txn = StoreTxn::default()
            .when(Compare::Absent {
                key: key.to_owned(),
            })
            .put_leased(key, value.clone(), lease);
        *self.lock_slot() = WrittenSlot {
            key: key.to_owned(),
            value,
            returns: self.returns(),
        };
        node_metrics::record_store_call("commit");
        match self.store.commit(&txn).await {
            Ok(answer) if answer.succeeded => Ok(StoreReply::SlotAcquired {
                revision: answer.revision,
                lease,
            }),
            Ok(_) => {
                node_metrics::record_store_call("revoke");
                self.store.revoke(lease).await?;
                Ok(StoreReply::SlotOccupied)
            }
            Err(error) if error.effect == WriteEffect::Unknown => self.read_slot(key, lease).await,
            Err(error) => Err(error),
        }
    }

    fn lock_slot(&self) -> MutexGuard<'_, WrittenSlot> {
        self.slot.lock().expect("no panic while locked")
    }

    fn returns(&self) -> u64 {
        *self.store.watch_returns().borrow()
    }

    /// Reads the slot back if the store has come back from an older copy since it was written. Returns
    /// whether this node still holds it.
    async fn confirm_slot(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let returns = self.returns();
        let (key, value) = {
            let slot = self.lock_slot();
            if slot.returns == returns {
                return Ok(true);
            }
            (slot.key.clone(), slot.value.clone())
        };
        node_metrics::record_store_call("get");
        let answer = self.store.get(&key).await?;
        let mut entries = answer.entries.iter();
        let held = entries.any(|entry| entry.lease == lease && entry.value == value);
        if held {
            self.lock_slot().returns = returns;
        }
        Ok(held)
    }

    async fn read_slot(&self, key: &str, lease: LeaseId) -> Result<StoreReply, StoreError> {
        node_metrics::record_store_call("get");
        let answer = self.store.get(key).await?;
        log_event!(info, LostAnswerSettled, "{key}");
        let held = answer.entries.iter().find(|entry| entry.lease == lease);
        Ok(
            held.map_or(StoreReply::SlotOccupied, |entry| StoreReply::SlotAcquired {
                revision: entry.mod_revision,
                lease,
            }),
        )
    }

    async fn commit(
        &self,
        compares: Vec<StoreCompare>,
        writes: Vec<StoreWrite>,
    ) -> Result<StoreReply, StoreError> {
        let mut txn = StoreTxn::default();
        for StoreCompare { key, revision } in compares {
            let key = key.into();
            txn = txn.when(Compare::ModRevision { key, revision });
        }
        for write in writes {
            txn = match write {
                StoreWrite::Delete { key } => txn.delete(key),
                StoreWrite::Put { key, value, ttl } => {
                    let lease = self.grant_lease(ttl).await?;
                    txn.put_leased(key, String::from_utf8_lossy(&value), lease)
                }
            };
        }
        node_metrics::record_store_call("commit");
        let answer = self.store.commit(&txn).await?;
        if !answer.succeeded {
            return Ok(StoreReply::Conflict);
        }
        Ok(StoreReply::Committed {
            revision: answer.revision,
        })
    }

    async fn grant_lease(&self, ttl: Option<Duration>) -> Result<LeaseId, StoreError> {
        let Some(ttl) = ttl else {
            return Ok(0);
        };
        node_metrics::record_store_call("grant");
        // Nothing has been written yet, so a lost response leaves only an unused lease behind.
        let no_effect = |error| StoreError {
            effect: WriteEffect::None,
            ..error
        };
        self.store.grant(ttl).await.map_err(no_effect)
    }

    /// Reports the entries of a prefix and their changes until the store is unavailable or the task
    /// is aborted.
    async fn run_watch(self, prefix: CompactString) {
        let Err(error) = self.watch_prefix(&prefix).await else {
            return;
        };
        self.handle_store_loss(&error).await;
    }

    async fn watch_prefix(&self, prefix: &CompactString) -> Result<(), StoreError> {
        node_metrics::record_store_call("list");
        let listing = self.store.list(prefix).await?;
        let start = listing.revision + 1;
        self.report_entries(prefix, read_entries(listing), true)
            .await;
        node_metrics::record_store_call("watch");
        let mut watch = self.store.watch(prefix, start).await?;
        while let Some(batch) = watch.next().await {
            for event in batch?.events {
                match event {
                    WatchEvent::Put(entry) => {
                        let entry = read_entry(entry);
                        self.report_entries(prefix, vec![entry], false).await;
                    }
                    WatchEvent::Delete(key) => {
                        self.report(ControlEvent::StoreDeleted { key: key.into() })
                            .await;
                    }
                }
            }
        }
        Err(watch_ended_error(prefix))
    }

    async fn report_entries(
        &self,
        prefix: &CompactString,
        entries: Vec<StoreEntry>,
        complete: bool,
    ) {
        let prefix = prefix.clone();
        let event = ControlEvent::StoreEntries {
            prefix,
            entries,
            complete,
        };
        self.report(event).await;
    }

    /// Reports once to the control loop that the store is unavailable, then probes the store and
    /// reports when it answers again.
    async fn handle_store_loss(&self, error: &StoreError) {
        if self.lost.swap(true, Ordering::Relaxed) {
            return;
        }
        log_event!(warn, StoreUnavailable, "{error}");
        self.report(ControlEvent::StoreUnavailable).await;
        let handle = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(PROBE_INTERVAL).await;
                node_metrics::record_store_call("probe");
                if handle.store.get(keys::ROOT).await.is_ok() {
                    break;
                }
            }
            handle.lost.store(false, Ordering::Relaxed);
            log_event!(info, StoreAvailable, "the store answers again");
            handle.report(ControlEvent::StoreAvailable).await;
        });
    }

    async fn report(&self, event: ControlEvent) {
        let _ = self.inputs.send(LoopInput::Event(event)).await;
    }
}

fn watch_ended_error(prefix: &str) -> StoreError {
    let cause = eyre::eyre!("the watch of {prefix} ended");
    StoreError {
        error: apricotfold_model::StepError::new("watch", "store", cause),
        effect: WriteEffect::None,
    }
}

fn read_entries(answer: RangeResponse) -> Vec<StoreEntry> {
    answer.entries.into_iter().map(read_entry).collect()
}

fn read_entry(entry: apricotfold_store::StoreEntry) -> StoreEntry {
    let revision: Revision = entry.mod_revision;
    StoreEntry {
        key: entry.key.into(),
        value: entry.value.into_bytes(),
        revision,
    }
}
