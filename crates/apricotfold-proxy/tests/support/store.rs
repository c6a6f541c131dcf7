//! In-memory key-value store that can be made unreachable for single clients.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::{RawRouteTable, StepError};
use apricotfold_store::{
    Compare, ConfigStore, EpochTracker, LeaseId, RangeResponse, Revision, StoreEntry, StoreError,
    StoreFuture, StoreTxn, StoreWrite, TransferProgress, TxnResponse, WatchBatch, WatchEvent,
    WatchStream, WatchTerms, WriteEffect,
};
use futures_util::{FutureExt, StreamExt};
use tokio::sync::watch;

use super::protocol::TABLE_KEY;

/// Interval at which watches check for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between the parts of a long answer.
const PART_INTERVAL: Duration = Duration::from_millis(20);

/// State of a store. A clone is a copy that the store can return to.
#[derive(Clone, Default)]
pub struct StoreState {
    revision: Revision,
    entries: BTreeMap<String, StoreEntry>,
    history: Vec<(Revision, WatchEvent)>,
    leases: HashMap<LeaseId, (Instant, Duration)>,
    next_lease: LeaseId,
    /// Number of returns to an older copy.
    epoch: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: &str, lease: LeaseId) {
        self.revision += 1;
        let revision = self.revision;
        let create_revision = self
            .entries
            .get(key)
            .map_or(revision, |entry| entry.create_revision);
        let entry = StoreEntry {
            key: key.to_owned(),
            value: value.to_owned(),
            create_revision,
            mod_revision: revision,
            lease,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history.push((revision, WatchEvent::Put(entry)));
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            let event = WatchEvent::Delete(key.to_owned());
            self.history.push((self.revision, event));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases
            .retain(|_, (renewed, ttl)| now - *renewed < *ttl);
        let ended: Vec<String> = self
            .entries
            .values()
            .filter(|entry| entry.lease != 0 && !self.leases.contains_key(&entry.lease))
            .map(|entry| entry.key.clone())
            .collect();
        for key in ended {
            self.delete(&key);
        }
    }
}

/// One client's view of the store.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
    unreachable: Arc<AtomicBool>,
    /// Reference count of this client's open watches.
    watches: Arc<()>,
    /// Number of times at which the answers of this client's open watches were lost.
    lost_watches: Arc<AtomicUsize>,
    /// Prefixes of the watches that this client has opened.
    opened_watches: Arc<Mutex<Vec<String>>>,
    link: Arc<Mutex<ClientLink>>,
    stale_reads: Arc<AtomicUsize>,
    /// Time before a call of this client takes effect.
    call_time: Arc<Mutex<Duration>>,
    epochs: Arc<EpochTracker>,
}

/// The network link of a client.
#[derive(Clone, Debug, Default)]
pub struct ClientLink {
    /// Bytes per second that the client receives; `None` means no limit.
    pub bandwidth: Option<u64>,
    /// Address in the client's entries, and the address under which others reach it.
    pub public_address: Option<(SocketAddr, SocketAddr)>,
}

impl ClientLink {
    /// Returns the time that the link needs for a number of bytes.
    fn transfer_time(&self, bytes: usize) -> Duration {
        let Some(bandwidth) = self.bandwidth else {
            return Duration::ZERO;
        };
        Duration::from_micros(bytes as u64 * 1_000_000 / bandwidth)
    }

    /// Takes the time for a number of bytes, which arrive in parts.
    async fn transfer(&self, bytes: usize, progress: &TransferProgress) {
        let end = Instant::now() + self.transfer_time(bytes);
        let arriving = progress.begin();
        while Instant::now() < end {
            let next = end.min(Instant::now() + PART_INTERVAL);
            tokio::time::sleep_until(next.into()).await;
            arriving.record_part();
        }
    }

    fn publish_address(&self, value: &str) -> String {
        match &self.public_address {
            Some((own, public)) => value.replace(&own.to_string(), &public.to_string()),
            None => value.to_owned(),
        }
    }
}

fn value_bytes<'a>(entries: impl Iterator<Item = &'a StoreEntry>) -> usize {
    entries.map(|entry| entry.value.len()).sum()
}

impl MemoryStore {
    /// Returns the number of watches that this client has open.
    pub fn watches(&self) -> usize {
        // Each watch holds a clone of this value.
        Arc::strong_count(&self.watches) - 1
    }

    /// Returns another client's view of the same store.
    pub fn other_client(&self) -> Arc<Self> {
        Arc::new(Self {
            state: self.state.clone(),
            unreachable: Arc::default(),
            watches: Arc::default(),
            lost_watches: Arc::default(),
            opened_watches: Arc::default(),
            link: Arc::default(),
            stale_reads: Arc::default(),
            call_time: Arc::default(),
            epochs: Arc::default(),
        })
    }

    /// Returns the number of reads of the operators' keys for which this client accepted old data.
    pub fn stale_reads(&self) -> usize {
        self.stale_reads.load(Ordering::Relaxed)
    }

    /// Sets the network link of this client.
    pub fn set_link(&self, link: ClientLink) {
        *self.link.lock().expect("no panic while locked") = link;
    }

    fn link(&self) -> ClientLink {
        self.link.lock().expect("no panic while locked").clone()
    }

    /// Sets the time before calls of this client take effect, except for watches.
    pub fn set_call_time(&self, time: Duration) {
        *self.call_time.lock().expect("no panic while locked") = time;
    }

    /// Sets whether this client's calls fail.
    pub fn set_unreachable(&self, unreachable: bool) {
        self.unreachable.store(unreachable, Ordering::Relaxed);
    }

    /// Loses the answers of this client's open watches without closing them. Other calls, and watches
    /// that are opened from now on, are answered.
    pub fn lose_watches(&self) {
        self.lost_watches.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many watches of keys with a prefix this client has opened.
    pub fn opened_watches(&self, prefix: &str) -> usize {
        let opened = self.opened_watches.lock().expect("no panic while locked");
        opened.iter().filter(|known| *known == prefix).count()
    }

    /// Writes a route table as operators do.
    pub fn publish(&self, table: &RawRouteTable) {
        self.write(TABLE_KEY, &serde_json::to_string(table).expect("a table"));
    }

    /// Writes any text to any key.
    pub fn write(&self, key: &str, text: &str) {
        self.lock().put(key, text, 0);
    }

    /// Removes a key, as the end of its lease does.
    pub fn remove(&self, key: &str) {
        self.lock().delete(key);
    }

    /// Returns a copy of the store.
    pub fn take_copy(&self) -> StoreState {
        self.lock().clone()
    }

    /// Returns to a copy: later changes, entries and leases are gone, and revisions and lease ids are
    /// given out again. Leases of the copy run from now on. Open watches continue from where they are,
    /// as far as the store can tell.
    pub fn restore(&self, copy: &StoreState) {
        let mut state = self.lock();
        let epoch = state.epoch + 1;
        *state = copy.clone();
        state.epoch = epoch;
        for (renewed, _) in state.leases.values_mut() {
            *renewed = Instant::now();
        }
    }

    /// Returns the text of an entry.
    pub fn read(&self, key: &str) -> Option<String> {
        let state = self.lock();
        state.entries.get(key).map(|entry| entry.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no panic while locked")
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.unreachable.load(Ordering::Relaxed) {
            let cause = eyre::eyre!("store unreachable for this client");
            return Err(StoreError {
                error: StepError::new("call", "memory", cause),
                effect: WriteEffect::None,
            });
        }
        let mut state = self.lock();
        state.expire_leases();
        Ok(())
    }

    fn answer<'a, T: Send + 'static>(
        &'a self,
        run: impl FnOnce(&mut StoreState) -> T + Send + 'a,
    ) -> StoreFuture<'a, T> {
        let time = *self.call_time.lock().expect("no panic while locked");
        async move {
            tokio::time::sleep(time).await;
            self.check()?;
            let mut state = self.lock();
            self.epochs.observe(state.epoch);
            Ok(run(&mut state))
        }
        .boxed()
    }
}

impl ConfigStore for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, RangeResponse> {
        self.list(key)
    }

    fn get_stale<'a>(&'a self, key: &'a str) -> StoreFuture<'a, RangeResponse> {
        self.stale_reads.fetch_add(1, Ordering::Relaxed);
        self.list(key)
    }

    fn list_stale<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, RangeResponse> {
        async move {
            let progress = TransferProgress::default();
            self.list_within(prefix, true, &progress).await
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, RangeResponse> {
        async move {
            let progress = TransferProgress::default();
            self.list_within(prefix, false, &progress).await
        }
        .boxed()
    }

    fn list_within<'a>(
        &'a self,
        prefix: &'a str,
        stale: bool,
        progress: &'a TransferProgress,
    ) -> StoreFuture<'a, RangeResponse> {
        // Listings of what nodes write are not counted, only reads of what operators write.
        if stale && TABLE_KEY.starts_with(prefix) {
            self.stale_reads.fetch_add(1, Ordering::Relaxed);
        }
        let answer = self.answer(move |state| {
            let entries = state.entries.values();
            RangeResponse {
                revision: state.revision,
                entries: entries
                    .filter(|entry| entry.key.starts_with(prefix))
                    .cloned()
                    .collect(),
            }
        });
        async move {
            let answer = answer.await?;
            let bytes = value_bytes(answer.entries.iter());
            self.link().transfer(bytes, progress).await;
            Ok(answer)
        }
        .boxed()
    }

    fn commit<'a>(&'a self, txn: &'a StoreTxn) -> StoreFuture<'a, TxnResponse> {
        let link = self.link();
        self.answer(move |state| {
            let holds = txn.compares.iter().all(|compare| {
                let found = state.entries.get(compare.key());
                match compare {
                    Compare::Absent { .. } => found.is_none(),
                    Compare::ModRevision { revision, .. } => {
                        found.map_or(0, |entry| entry.mod_revision) == *revision
                    }
                    Compare::CreateRevision { revision, .. } => {
                        found.map_or(0, |entry| entry.create_revision) == *revision
                    }
                }
            });
            if holds {
                for write in &txn.writes {
                    match write {
                        StoreWrite::Put { key, value, lease } => {
                            state.put(key, &link.publish_address(value), *lease);
                        }
                        StoreWrite::Delete { key } => state.delete(key),
                    }
                }
            }
            let found = txn.compares.iter();
            TxnResponse {
                succeeded: holds,
                revision: state.revision,
                found: found
                    .filter_map(|compare| state.entries.get(compare.key()).cloned())
                    .collect(),
            }
        })
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId> {
        self.answer(move |state| {
            state.next_lease += 1;
            state.leases.insert(state.next_lease, (Instant::now(), ttl));
            state.next_lease
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        self.answer(move |state| match state.leases.get_mut(&lease) {
            Some((renewed, ttl)) => {
                *renewed = Instant::now();
                *ttl
            }
            None => Duration::ZERO,
        })
    }

    fn revoke(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        self.answer(move |state| {
            state.leases.remove(&lease);
            state.expire_leases();
        })
    }

    fn watch_returns(&self) -> watch::Receiver<u64> {
        self.epochs.watch_returns()
    }

    fn watch<'a>(&'a self, prefix: &'a str, revision: Revision) -> StoreFuture<'a, WatchStream> {
        let terms = WatchTerms {
            wait: Duration::from_secs(20),
            overdue: Duration::from_secs(2),
        };
        self.watch_within(prefix, revision, terms, &TransferProgress::default())
    }

    fn watch_within<'a>(
        &'a self,
        prefix: &'a str,
        revision: Revision,
        terms: WatchTerms,
        progress: &TransferProgress,
    ) -> StoreFuture<'a, WatchStream> {
        let (prefix, progress) = (prefix.to_owned(), progress.clone());
        {
            let mut opened = self.opened_watches.lock().expect("no panic while locked");
            opened.push(prefix.clone());
        }
        let start = (self.clone(), revision - 1);
        let losses = self.lost_watches.load(Ordering::Relaxed);
        let stream = futures_util::stream::unfold(start, move |(store, after)| {
            let (prefix, progress) = (prefix.clone(), progress.clone());
            let started = Instant::now();
            async move {
                loop {
                    if store.lost_watches.load(Ordering::Relaxed) != losses {
                        let due = started + terms.wait + terms.overdue;
                        tokio::time::sleep_until(due.into()).await;
                        return None;
                    }
                    if let Err(error) = store.check() {
                        return Some((Err(error), (store, after)));
                    }
                    let batch = {
                        let state = store.lock();
                        let news = state.history.iter().filter(|(at, _)| *at > after);
                        WatchBatch {
                            revision: state.revision,
                            events: news
                                .map(|(_, event)| event.clone())
                                .filter(|event| match event {
                                    WatchEvent::Put(entry) => entry.key.starts_with(&prefix),
                                    WatchEvent::Delete(key) => key.starts_with(&prefix),
                                })
                                .collect(),
                        }
                    };
                    if !batch.events.is_empty() || started.elapsed() >= terms.wait {
                        let epoch = store.lock().epoch;
                        store.epochs.observe(epoch);
                        let revision = batch.revision;
                        let written = batch.events.iter().filter_map(|event| match event {
                            WatchEvent::Put(entry) => Some(entry),
                            WatchEvent::Delete(_) => None,
                        });
                        store.link().transfer(value_bytes(written), &progress).await;
                        return Some((Ok(batch), (store, revision)));
                    }
                    tokio::time::sleep(WATCH_INTERVAL).await;
                }
            }
        });
        let stream: WatchStream = stream.boxed();
        std::future::ready(Ok(stream)).boxed()
    }
}
