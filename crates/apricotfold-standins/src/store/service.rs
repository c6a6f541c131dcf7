//! Shared store: the state behind a lock, with notification of waiting calls and watches.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use apricotfold_model::{ScriptedStoreFault, StoreStandinConfig};
use rand::RngExt;
use serde::Serialize;
use tokio::sync::watch;

use super::call::{CallKind, StoreCall};
use super::error::GatewayError;
use super::fault_plan::FaultPlan;
use super::key_range::KeyRange;
use super::key_space::KeySpace;
use super::message::{
    LeaseResponse, LeaseRevokeResponse, ResponseHeader, Revision, StoreSnapshot, StreamResult,
    WatchEvent,
};
use super::meter::{CallCounts, RateLimit};

/// Interval at which leases are checked for expiry.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

struct StoreState {
    key_space: KeySpace,
    faults: FaultPlan,
    counts: CallCounts,
    writes: RateLimit,
    reads: RateLimit,
    restore_count: u64,
}

/// Result of a call that was executed.
pub enum CallResponse {
    /// JSON body of the response.
    Body(Vec<u8>),
    /// The call took effect, but a fault drops the response.
    Lost,
}

/// Next action of a watch.
pub enum WatchStep {
    /// Report these events, then continue from this revision.
    Report(Vec<WatchEvent>, Revision),
    /// Wait for events from this revision on, and check the faults again at the given time.
    Wait(Revision, Option<Instant>),
    /// The requested events are no longer available; contains the oldest revision that is.
    Compacted(Revision),
    /// Close the connection without a final message.
    Lost,
}

/// Store shared by all connections.
pub struct StoreService {
    state: Mutex<StoreState>,
    changes: watch::Sender<()>,
    response_time: Duration,
}

impl StoreService {
    /// Creates an empty store with the faults and limits of the settings.
    #[must_use]
    pub fn new(config: &StoreStandinConfig) -> Self {
        let now = Instant::now();
        let mut faults = FaultPlan::default();
        faults.add(config.faults.clone(), now);
        let state = StoreState {
            key_space: KeySpace::new(initial_lease_id()),
            faults,
            counts: CallCounts::default(),
            writes: RateLimit::new(config.writes_per_second, now),
            reads: RateLimit::new(config.reads_per_second, now),
            restore_count: 0,
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(()),
            response_time: config.answer,
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call, before it is known whether it is valid.
    pub fn count(&self, kind: CallKind) {
        self.lock().counts.add(kind);
    }

    /// Checks a call against its rate limit.
    ///
    /// # Errors
    ///
    /// Returns [`GatewayError::ResourceExhausted`] if the limit is exceeded.
    pub fn admit(&self, call: &StoreCall) -> Result<(), GatewayError> {
        let now = Instant::now();
        let mut state = self.lock();
        let limit = if call.is_write() {
            &mut state.writes
        } else {
            &mut state.reads
        };
        if limit.try_acquire(now) {
            return Ok(());
        }
        state.counts.refused += 1;
        Err(GatewayError::ResourceExhausted)
    }

    /// Waits for the response time and any injected latency. Returns false if an outage affects the
    /// call, after waiting for the end of the outage; the call must then be dropped.
    pub async fn wait_for_faults(&self, keys: &[KeyRange]) -> bool {
        if self.wait_until_outage_ends(keys).await {
            return false;
        }
        let delay = self.response_time + self.lock().faults.delay(Instant::now(), keys);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        !self.wait_until_outage_ends(keys).await
    }

    /// Waits until no outage affects these keys; returns true if there was one.
    async fn wait_until_outage_ends(&self, keys: &[KeyRange]) -> bool {
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

    /// Executes a call other than a watch.
    ///
    /// # Errors
    ///
    /// Returns the error to send to the caller.
    pub fn run(&self, call: &StoreCall) -> Result<CallResponse, GatewayError> {
        let now = Instant::now();
        let mut state = self.lock();
        self.expire(&mut state, now);
        let before = state.key_space.revision();
        let body = state.key_space.run(call, now)?;
        let changed = state.key_space.changed_since(before);
        if !changed.is_empty() {
            self.changes.send_replace(());
        }
        // A grant changes no key, but its response can be lost like that of any other write.
        let wrote = !changed.is_empty() || matches!(call, StoreCall::LeaseGrant(_));
        if wrote && state.faults.trigger_lost_answer(now, &changed) {
            return Ok(CallResponse::Lost);
        }
        Ok(CallResponse::Body(body))
    }

    /// Opens a watch, which counts as open until the guard is dropped.
    pub fn open_watch(self: &Arc<Self>) -> WatchGuard {
        let mut state = self.lock();
        state.counts.open_watches += 1;
        WatchGuard {
            service: Arc::clone(self),
            changes: self.changes.subscribe(),
            restore_count: state.restore_count,
        }
    }

    /// Current revision.
    pub fn revision(&self) -> Revision {
        self.lock().key_space.revision()
    }

    /// Copies the call counters.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts.clone()
    }

    /// Resets the call counters; open watches stay counted.
    pub fn reset_counts(&self) {
        self.lock().counts.reset();
    }

    /// Adds faults whose times are relative to now.
    pub fn add_faults(&self, rules: Vec<ScriptedStoreFault>) {
        self.lock().faults.add(rules, Instant::now());
        self.changes.send_replace(());
    }

    /// Removes all faults and wakes the calls that wait for them.
    pub fn clear_faults(&self) {
        self.lock().faults.clear();
        self.changes.send_replace(());
    }

    /// Copies all keys and leases.
    pub fn snapshot(&self) -> StoreSnapshot {
        self.lock().key_space.snapshot()
    }

    /// Replaces all keys and leases, and drops every watch, as a restart of the store would.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let mut state = self.lock();
        state.key_space.restore(snapshot, Instant::now());
        state.restore_count += 1;
        self.changes.send_replace(());
    }

    /// Ends leases as they expire, until the future is dropped.
    pub async fn expire_leases(&self) {
        let mut ticks = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            self.expire(&mut self.lock(), Instant::now());
        }
    }

    fn expire(&self, state: &mut StoreState, now: Instant) {
        let expired = state.key_space.expire(now);
        if expired > 0 {
            log::info!("{expired} leases expired");
            self.changes.send_replace(());
        }
    }
}

/// An open watch; dropping it closes the watch.
pub struct WatchGuard {
    service: Arc<StoreService>,
    changes: watch::Receiver<()>,
    restore_count: u64,
}

impl WatchGuard {
    /// Next action of a watch on `range` that has reported all revisions before `next`.
    pub fn step(&self, range: &KeyRange, next: Revision) -> WatchStep {
        let now = Instant::now();
        let keys = std::slice::from_ref(range);
        let mut state = self.service.lock();
        if state.restore_count != self.restore_count || state.faults.trigger_lost_watch(now, keys) {
            return WatchStep::Lost;
        }
        if state.faults.outage_until(now, keys).is_some() {
            return WatchStep::Wait(next, state.faults.next_change(now));
        }
        // The next revision advances even without events in the range, so that an idle watch neither
        // scans the same history again nor falls behind its oldest entry.
        match state.key_space.events_from(range, next) {
            Err(oldest) => WatchStep::Compacted(oldest),
            Ok(batch) if batch.events.is_empty() => {
                WatchStep::Wait(batch.next, state.faults.next_change(now))
            }
            Ok(batch) => WatchStep::Report(batch.events, batch.next),
        }
    }

    /// Injected latency before events are reported.
    pub fn delay(&self, range: &KeyRange) -> Duration {
        let keys = std::slice::from_ref(range);
        self.service.lock().faults.delay(Instant::now(), keys)
    }

    /// Current revision of the store.
    pub fn revision(&self) -> Revision {
        self.service.revision()
    }

    /// Response header with a revision of the store.
    pub fn header_at(&self, revision: Revision) -> ResponseHeader {
        self.service.lock().key_space.header_at(revision)
    }

    /// Waits for a change of the store or its faults, or until the given time.
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
        // The caller holds the service, which owns the sender, so this cannot fail.
        _ = changes.changed() => {}
        () = timer => {}
    }
}

impl KeySpace {
    /// Executes a call and returns the body of its response.
    fn run(&mut self, call: &StoreCall, now: Instant) -> Result<Vec<u8>, GatewayError> {
        match call {
            StoreCall::Range(request) => self.range(request).and_then(|response| encode(&response)),
            StoreCall::Put(request) => self.put(request).and_then(|response| encode(&response)),
            StoreCall::DeleteRange(request) => self
                .delete_range(request)
                .and_then(|response| encode(&response)),
            StoreCall::Txn(request) => self.txn(request).and_then(|response| encode(&response)),
            StoreCall::LeaseGrant(request) => self
                .grant(request, now)
                .and_then(|response: LeaseResponse| encode(&response)),
            StoreCall::LeaseKeepAlive(request) => {
                let result = self.keep_alive(request, now);
                let mut line = encode(&StreamResult { result })?;
                line.push(b'\n');
                Ok(line)
            }
            StoreCall::LeaseRevoke(request) => self
                .revoke(request)
                .and_then(|response: LeaseRevokeResponse| encode(&response)),
            StoreCall::Watch(_) => Err(GatewayError::Unimplemented),
        }
    }

    /// Keys that changed after `revision`.
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

/// Serialises a response as JSON.
///
/// # Errors
///
/// Returns the serializer's error as an invalid argument. Messages of the protocol always serialise.
pub fn encode<T: Serialize>(response: &T) -> Result<Vec<u8>, GatewayError> {
    serde_json::to_vec(response).map_err(|error| GatewayError::InvalidArgument(error.to_string()))
}

/// Generated lease ids start at a random number, so that a restarted store does not reuse the ids of an
/// earlier run.
fn initial_lease_id() -> i64 {
    rand::rng().random_range(1..i64::MAX / 2)
}
