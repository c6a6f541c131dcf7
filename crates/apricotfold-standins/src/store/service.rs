//! The store's state behind a lock, with a notification for waiting calls and watches.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use apricotfold_model::{ScriptedStoreFault, StoreStandinConfig};
use serde::Serialize;
use tokio::sync::watch;

use super::call::{CallKind, StoreCall};
use super::fault_plan::FaultPlan;
use super::key_range::KeyRange;
use super::key_space::KeySpace;
use super::message::{
    LeaseResponse, LeaseRevokeResponse, Revision, StoreSnapshot, StreamResult, WatchEvent,
};
use super::meter::{CallCounts, RateLimit};
use super::refusal::StoreRefusal;

/// Interval at which leases are checked for their end.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

struct StoreState {
    space: KeySpace,
    faults: FaultPlan,
    counts: CallCounts,
    writes: RateLimit,
    reads: RateLimit,
    restores: u64,
}

/// What becomes of a call that was run.
pub enum CallAnswer {
    /// The JSON body of the answer.
    Body(Vec<u8>),
    /// The call took effect and its answer is lost.
    Lost,
}

/// What a waiting watch has to do.
pub enum WatchStep {
    /// Report these changes, then wait for changes from this revision on.
    Report(Vec<WatchEvent>, Revision),
    /// Wait for a change of this revision or a later one, at most until the given time.
    Wait(Revision, Option<Instant>),
    /// The wanted changes are no longer available; this is the oldest revision that is.
    Compacted(Revision),
    /// End without notice.
    Lost,
}

/// The store that all connections share.
pub struct StoreService {
    state: Mutex<StoreState>,
    changes: watch::Sender<()>,
    answer: Duration,
}

impl StoreService {
    /// Starts an empty store.
    #[must_use]
    pub fn new(config: &StoreStandinConfig) -> Self {
        let now = Instant::now();
        let mut faults = FaultPlan::default();
        faults.add(config.faults.clone(), now);
        let state = StoreState {
            space: KeySpace::new(first_lease()),
            faults,
            counts: CallCounts::default(),
            writes: RateLimit::new(config.writes_per_second, now),
            reads: RateLimit::new(config.reads_per_second, now),
            restores: 0,
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(()),
            answer: config.answer,
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call.
    pub fn count(&self, kind: CallKind) {
        self.lock().counts.add(kind);
    }

    /// Checks a call against the rate limits.
    ///
    /// # Errors
    ///
    /// Refuses the call if its limit is used up.
    pub fn admit(&self, call: &StoreCall) -> Result<(), StoreRefusal> {
        let now = Instant::now();
        let mut state = self.lock();
        let limit = if call.is_write() {
            &mut state.writes
        } else {
            &mut state.reads
        };
        if limit.take(now) {
            return Ok(());
        }
        state.counts.refused += 1;
        Err(StoreRefusal::ResourceExhausted)
    }

    /// Waits for the time that a call takes. Returns false if an outage swallows the call; it has
    /// then waited for the end of the outage.
    pub async fn wait_for_turn(&self, keys: &[KeyRange]) -> bool {
        if self.wait_for_outage(keys).await {
            return false;
        }
        let delay = self.answer + self.lock().faults.delay(Instant::now(), keys);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        !self.wait_for_outage(keys).await
    }

    /// Waits while an outage affects these keys; returns true if there was one.
    async fn wait_for_outage(&self, keys: &[KeyRange]) -> bool {
        let mut changes = self.changes.subscribe();
        let mut waited = false;
        loop {
            let end = self.lock().faults.outage_until(Instant::now(), keys);
            let Some(end) = end else {
                return waited;
            };
            waited = true;
            wait_for_change(&mut changes, Some(end)).await;
        }
    }

    /// Runs a call other than a watch.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller is told.
    pub fn run(&self, call: &StoreCall) -> Result<CallAnswer, StoreRefusal> {
        let now = Instant::now();
        let mut state = self.lock();
        self.expire(&mut state, now);
        let before = state.space.revision();
        let body = state.space.run(call, now)?;
        let changed = state.space.changed_since(before);
        if !changed.is_empty() {
            self.changes.send_replace(());
        }
        // A grant changes no key, and its answer can be lost like that of any other write.
        let wrote = !changed.is_empty() || matches!(call, StoreCall::LeaseGrant(_));
        if wrote && state.faults.take_lost_answer(now, &changed) {
            return Ok(CallAnswer::Lost);
        }
        Ok(CallAnswer::Body(body))
    }

    /// Opens a watch; it is closed when the guard is dropped.
    pub fn open_watch(self: &Arc<Self>) -> WatchGuard {
        let mut state = self.lock();
        state.counts.open_watches += 1;
        WatchGuard {
            service: Arc::clone(self),
            changes: self.changes.subscribe(),
            restores: state.restores,
        }
    }

    /// Present revision, for headers.
    pub fn revision(&self) -> Revision {
        self.lock().space.revision()
    }

    /// Numbers of calls.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts.clone()
    }

    /// Sets the numbers of calls to zero.
    pub fn reset_counts(&self) {
        self.lock().counts.reset();
    }

    /// Adds faults whose times count from now.
    pub fn add_faults(&self, rules: Vec<ScriptedStoreFault>) {
        self.lock().faults.add(rules, Instant::now());
        self.changes.send_replace(());
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.lock().faults.clear();
        self.changes.send_replace(());
    }

    /// All keys and leases.
    pub fn snapshot(&self) -> StoreSnapshot {
        self.lock().space.snapshot()
    }

    /// Replaces all keys and leases, and ends every watch as a restart of the store would.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let mut state = self.lock();
        state.space.restore(snapshot, Instant::now());
        state.restores += 1;
        self.changes.send_replace(());
    }

    /// Ends leases as their time passes, until the future is dropped.
    pub async fn expire_leases(&self) {
        let mut ticks = tokio::time::interval(EXPIRY_INTERVAL);
        loop {
            ticks.tick().await;
            self.expire(&mut self.lock(), Instant::now());
        }
    }

    fn expire(&self, state: &mut StoreState, now: Instant) {
        let expired = state.space.expire(now);
        if expired > 0 {
            log::info!("{expired} leases expired");
            self.changes.send_replace(());
        }
    }
}

/// An open watch.
pub struct WatchGuard {
    service: Arc<StoreService>,
    changes: watch::Receiver<()>,
    restores: u64,
}

impl WatchGuard {
    /// Decides what the watch does now.
    pub fn step(&self, range: &KeyRange, next: Revision) -> WatchStep {
        let now = Instant::now();
        let keys = std::slice::from_ref(range);
        let mut state = self.service.lock();
        if state.restores != self.restores || state.faults.take_lost_watch(now, keys) {
            return WatchStep::Lost;
        }
        if state.faults.outage_until(now, keys).is_some() {
            return WatchStep::Wait(next, state.faults.next_change(now));
        }
        // The next revision moves on even without changes of these keys, so that an idle watch does
        // not read the same history again and does not fall behind what is kept of it.
        match state.space.events_from(range, next) {
            Err(oldest) => WatchStep::Compacted(oldest),
            Ok(batch) if batch.events.is_empty() => {
                WatchStep::Wait(batch.next, state.faults.next_change(now))
            }
            Ok(batch) => WatchStep::Report(batch.events, batch.next),
        }
    }

    /// Extra time before changes are reported.
    pub fn delay(&self, range: &KeyRange) -> Duration {
        let keys = std::slice::from_ref(range);
        self.service.lock().faults.delay(Instant::now(), keys)
    }

    /// Present revision, for headers.
    pub fn revision(&self) -> Revision {
        self.service.revision()
    }

    /// Waits for a change of the store or its faults, at most until the given time.
    pub async fn wait(&mut self, until: Option<Instant>) {
        wait_for_change(&mut self.changes, until).await;
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.service.lock().counts.open_watches -= 1;
    }
}

async fn wait_for_change(changes: &mut watch::Receiver<()>, until: Option<Instant>) {
    let timer = async {
        match until {
            Some(until) => tokio::time::sleep_until(until.into()).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        // The sender lives in the service that the caller holds, so this cannot fail.
        _ = changes.changed() => {}
        () = timer => {}
    }
}

impl KeySpace {
    /// Runs a call and returns the body of its answer.
    fn run(&mut self, call: &StoreCall, now: Instant) -> Result<Vec<u8>, StoreRefusal> {
        match call {
            StoreCall::Range(request) => self.range(request).and_then(|answer| encode(&answer)),
            StoreCall::Put(request) => self.put(request).and_then(|answer| encode(&answer)),
            StoreCall::DeleteRange(request) => self
                .delete_range(request)
                .and_then(|answer| encode(&answer)),
            StoreCall::Txn(request) => self.txn(request).and_then(|answer| encode(&answer)),
            StoreCall::LeaseGrant(request) => self
                .grant(request, now)
                .and_then(|answer: LeaseResponse| encode(&answer)),
            StoreCall::LeaseKeepAlive(request) => {
                let result = self.keep_alive(request, now);
                let mut line = encode(&StreamResult { result })?;
                line.push(b'\n');
                Ok(line)
            }
            StoreCall::LeaseRevoke(request) => self
                .revoke(request)
                .and_then(|answer: LeaseRevokeResponse| encode(&answer)),
            StoreCall::Watch(_) => Err(StoreRefusal::Unimplemented),
        }
    }

    /// Keys that changed after the revision.
    fn changed_since(&self, revision: Revision) -> Vec<KeyRange> {
        let everything = KeyRange::From(bytes::Bytes::new());
        let events = self.events_from(&everything, revision + 1);
        events
            .unwrap_or_default()
            .events
            .into_iter()
            .map(|event| KeyRange::One(event.kv.key))
            .collect()
    }
}

/// Writes an answer as JSON.
///
/// # Errors
///
/// Returns the serializer's error as a refusal; the protocol's messages never cause one.
pub fn encode<T: Serialize>(answer: &T) -> Result<Vec<u8>, StoreRefusal> {
    serde_json::to_vec(answer).map_err(|error| StoreRefusal::InvalidArgument(error.to_string()))
}

/// Lease ids start at the wall clock, so that a restarted store does not reuse old ones.
fn first_lease() -> i64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    i64::try_from(since_epoch.as_micros()).unwrap_or_default()
}
