//! Offers to decide on open rollouts, and writes the decisions to the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{RolloutOrder, RolloutState, RolloutStatus, ServiceName, log_event};
use apricotfold_policy::{
    ClaimAction, DeciderClaim, EntryRevision, RolloutDecider, RolloutRecord, choose_followers,
    decider_rank,
};
use apricotfold_store::{
    Compare, ConfigStore, LeaseId, Revision, StoreEntry, StoreError, StoreTxn, TxnResponse,
};
use futures_util::future::join_all;

use super::keeper::{RECORD_PREFIX, entry_revision};
use super::messages::RolloutMessage;
use crate::engine::Engine;
use crate::lifecycle::ProcessPhase;
use crate::store_health::retry_pause;
use crate::telemetry;

/// Interval at which open rollouts are looked at. A bad version is stopped at the next one.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Lease of a record. A successor takes over once it has ended, well within a third of the shortest
/// rollouts of 12 s.
const LEASE_TTL: Duration = Duration::from_secs(2);

/// Interval of renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a write whose condition did not hold.
const CONFLICT_PAUSE: Duration = Duration::from_millis(300);

/// Time for which a node that has only found an order leaves it to nodes that know its age.
const FOUND_DELAY: Duration = Duration::from_secs(1);

/// A node's work on one order.
pub struct DeciderTask {
    pub(super) revision: EntryRevision,
    pub(super) claim: DeciderClaim,
    pub(super) decider: Option<RolloutDecider>,
    lease: Option<LeaseId>,
    renewed: Instant,
    failures: usize,
    next_try: Instant,
    told_stop: bool,
}

impl DeciderTask {
    fn new(revision: EntryRevision) -> Self {
        let now = Instant::now();
        Self {
            revision,
            claim: DeciderClaim::default(),
            decider: None,
            lease: None,
            renewed: now,
            failures: 0,
            next_try: now,
            told_stop: false,
        }
    }
}

/// What is to be done for an order.
enum TaskStep {
    Nothing,
    Write(RolloutState, EntryRevision),
    Renew(LeaseId),
    Read,
}

/// Works on open rollouts until the process ends. Without one, it waits.
pub async fn run(engine: Arc<Engine>, store: Arc<dyn ConfigStore>) {
    let mut changes = engine.rollouts.watch_changes();
    loop {
        changes.mark_unchanged();
        let orders: Vec<(RolloutOrder, EntryRevision)> = {
            let view = engine.rollouts.view();
            let open = view.open_orders();
            open.map(|(order, revision)| (order.clone(), revision))
                .collect()
        };
        engine.rollouts.retain_tasks(&orders);
        if orders.is_empty() {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        let steps = orders.into_iter().map(|(order, revision)| {
            let work = OrderWork {
                engine: &engine,
                store: &*store,
                order,
                revision,
            };
            async move { work.step().await }
        });
        join_all(steps).await;
        tokio::time::sleep(STEP_INTERVAL).await;
    }
}

impl super::RolloutKeeper {
    /// Gives up the work on orders that are no longer open.
    fn retain_tasks(&self, open: &[(RolloutOrder, EntryRevision)]) {
        let mut tasks = self.tasks.lock().expect("no panic while locked");
        tasks.retain(|service, task| {
            let mut open = open.iter();
            open.any(|(order, revision)| order.service == *service && *revision == task.revision)
        });
    }
}

/// Work on one open order.
pub(super) struct OrderWork<'a> {
    pub(super) engine: &'a Arc<Engine>,
    store: &'a dyn ConfigStore,
    pub(super) order: RolloutOrder,
    pub(super) revision: EntryRevision,
}

impl OrderWork<'_> {
    fn service(&self) -> &ServiceName {
        &self.order.service
    }

    fn record_key(&self) -> String {
        format!("{RECORD_PREFIX}{}", self.order.service)
    }

    fn order_key(&self) -> String {
        let prefix = self.engine.rollouts.source.order_prefix();
        format!("{prefix}{}", self.order.service)
    }

    /// Runs a closure with the task of the order.
    pub(super) fn with_task<T>(&self, run: impl FnOnce(&mut DeciderTask) -> T) -> T {
        let mut tasks = self
            .engine
            .rollouts
            .tasks
            .lock()
            .expect("no panic while locked");
        let task = tasks
            .entry(self.order.service.clone())
            .or_insert_with(|| DeciderTask::new(self.revision));
        run(task)
    }

    async fn step(&self) {
        let result = match self.choose_step() {
            TaskStep::Nothing => return,
            TaskStep::Write(state, expected) => self.write(state, expected).await,
            TaskStep::Renew(lease) => self.renew(lease).await,
            TaskStep::Read => self.read().await,
        };
        self.with_task(|task| {
            if result.is_ok() {
                task.failures = 0;
            } else {
                task.failures += 1;
                task.next_try = Instant::now() + retry_pause(task.failures);
            }
        });
    }

    fn choose_step(&self) -> TaskStep {
        let now = Instant::now();
        let rank = self.rank();
        let (found, vacant) = {
            let view = self.engine.rollouts.view();
            let found = view.record(self.service());
            let found = found.map_or(0, |(revision, _)| *revision);
            let times = view.times(self.service());
            let delay = if view.is_found(self.service()) {
                FOUND_DELAY
            } else {
                Duration::ZERO
            };
            let vacant = times.and_then(|(_, vacant)| vacant);
            (found, vacant.map(|since| since + delay))
        };
        let (step, turns_bad) = self.with_task(|task| {
            let lost = found == 0 && task.claim.holds() && !task.claim.is_certain(now);
            if lost {
                // The watch has delivered the end of the lease.
                task.claim.release();
                task.decider = None;
                task.lease = None;
            }
            let decision = task.decider.as_mut();
            let decision = decision.and_then(|decider| decider.decide(now));
            let stopped = task
                .decider
                .as_ref()
                .is_some_and(RolloutDecider::is_stopped);
            let turns_bad = stopped && !std::mem::replace(&mut task.told_stop, stopped);
            if now < task.next_try {
                return (TaskStep::Nothing, turns_bad);
            }
            if task.claim.is_uncertain() {
                return (TaskStep::Read, turns_bad);
            }
            let step = match task.claim.next(rank, found, vacant, decision, now) {
                ClaimAction::Write { state, expected } => TaskStep::Write(state, expected),
                ClaimAction::Wait => match task.lease.filter(|_| task.claim.holds()) {
                    Some(lease) if now - task.renewed >= RENEWAL_INTERVAL => TaskStep::Renew(lease),
                    _ => TaskStep::Nothing,
                },
            };
            (step, turns_bad)
        });
        if turns_bad {
            log_event!(
                warn,
                RolloutStopped,
                "{} to {}: {}",
                self.order.service,
                self.order.target_version,
                self.describe()
            );
            let message = RolloutMessage::Stop {
                service: self.order.service.clone(),
                order_revision: self.revision,
            };
            self.tell_nodes(message);
        }
        step
    }

    /// Returns the node's place among those that may decide; `None` if it may not.
    fn rank(&self) -> Option<u32> {
        let serving = self.engine.lifecycle.phase() == ProcessPhase::Serving;
        if !serving || !self.engine.follows_store() {
            return None;
        }
        let own = self.engine.node();
        let followers = choose_followers(self.engine.registry().staying());
        decider_rank(self.service(), &own, followers.iter())
    }

    async fn write(&self, state: RolloutState, expected: EntryRevision) -> Result<(), StoreError> {
        let record = RolloutRecord {
            service: self.order.service.clone(),
            target_version: self.order.target_version.clone(),
            order_revision: self.revision,
            state,
            decider: self.engine.node(),
            address: self.engine.config.load().peer_address,
        };
        let lease = if state.is_final() {
            0
        } else {
            let ttl = LEASE_TTL.max(self.engine.config.load().lease_min);
            let granted = self.store.grant(ttl).await;
            self.note_call("grant", granted.as_ref().err());
            let lease = granted?;
            self.with_task(|task| task.lease = Some(lease));
            lease
        };
        let status = RolloutStatus {
            service: self.order.service.clone(),
            target_version: self.order.target_version.clone(),
            state,
        };
        let source = &self.engine.rollouts.source;
        let value = serde_json::to_string(&record).expect("a record can always be serialised");
        let compare = |key: String, revision: EntryRevision| Compare::ModRevision {
            key,
            revision: Revision::try_from(revision).unwrap_or(0),
        };
        let txn = StoreTxn::default()
            .when(compare(self.order_key(), self.revision))
            .when(compare(self.record_key(), expected))
            .put(
                source.status_key(self.service()),
                source.encode_status(&status),
            )
            .put_leased(self.record_key(), value, lease);
        let sent = Instant::now();
        let answer = self.store.commit(&txn).await;
        self.note_call("write", answer.as_ref().err());
        match answer {
            Ok(answer) if answer.succeeded => self.finish_write(record, &answer, sent),
            Ok(answer) => self.settle_conflict(&answer.found),
            Err(error) => {
                self.with_task(|task| task.claim.record_unknown());
                return Err(error);
            }
        }
        Ok(())
    }

    fn finish_write(&self, record: RolloutRecord, answer: &TxnResponse, sent: Instant) {
        let state = record.state;
        let revision = entry_revision(answer.revision);
        // The record is the last write of the transaction, so it has the transaction's revision also in
        // a store that counts each write.
        let ordered = self.engine.rollouts.view().times(self.service());
        self.with_task(|task| {
            task.claim.record_written(state, revision, sent);
            task.renewed = sent;
            if task.decider.is_none() {
                let now = Instant::now();
                let ordered = ordered.map_or(now, |(ordered, _)| ordered);
                let decider = RolloutDecider::new(ordered, self.order.duration, now);
                task.decider = Some(decider);
            }
        });
        if state.is_final() {
            let text = self.describe();
            let (service, version) = (self.service(), &self.order.target_version);
            log_event!(
                info,
                RolloutDecided,
                "{service} to {version}: {state}, {text}"
            );
            let known = apricotfold_policy::KnownRollout {
                order: Some(self.order.clone()),
                revision: self.revision,
                age_ms: 0,
                record: Some((revision, record.clone())),
            };
            self.tell_nodes(RolloutMessage::Ended(known));
        }
        let engine = self.engine;
        engine.rollouts.apply_record(engine, revision, record);
    }

    /// Takes the order and the record that were found in place of the expected ones.
    fn settle_conflict(&self, found: &[StoreEntry]) {
        let order_key = self.order_key();
        match found.iter().find(|entry| entry.key == order_key) {
            Some(order) => self.engine.rollouts.apply_order_entry(order),
            None => self.engine.rollouts.remove_order(&order_key),
        }
        self.settle(found);
        // Whoever holds the record is heard of by then.
        self.with_task(|task| task.next_try = Instant::now() + CONFLICT_PAUSE);
    }

    /// Takes the record that was found in place of the expected one.
    fn settle(&self, found: &[StoreEntry]) {
        let record_key = self.record_key();
        let record = found.iter().find(|entry| entry.key == record_key);
        let own = record.and_then(|entry| {
            let record: RolloutRecord = serde_json::from_str(&entry.value).ok()?;
            let own = record.decider == self.engine.node()
                && record.order_revision == self.revision
                && !record.state.is_final();
            own.then_some(entry_revision(entry.mod_revision))
        });
        let held = self.with_task(|task| {
            let lease = task.lease.filter(|lease| {
                let found = record.map(|entry| entry.lease);
                found == Some(*lease) || found == Some(0)
            });
            if let Some(revision) = own.filter(|_| lease.is_some()) {
                // The own write took effect; a renewal has to show that the lease lasts.
                let renewed = task.renewed;
                let sent = renewed.checked_sub(LEASE_TTL).unwrap_or(renewed);
                task.claim
                    .record_written(RolloutState::Active, revision, sent);
                task.renewed = sent;
                return true;
            }
            task.claim.release();
            task.decider = None;
            task.lease = None;
            false
        });
        if held {
            self.ensure_decider();
        }
        match record {
            Some(entry) => {
                // What was known before may be of another history of the store.
                let found = entry_revision(entry.mod_revision);
                let service = self.service();
                let mut view = self.engine.rollouts.view();
                let known = view.record(service).map(|(revision, _)| *revision);
                if known.is_some_and(|known| known > found) {
                    view.remove_record(service, Instant::now());
                }
                drop(view);
                self.engine.rollouts.apply_record_entry(self.engine, entry);
            }
            None => self.engine.rollouts.remove_record(&record_key),
        }
    }

    fn ensure_decider(&self) {
        let ordered = self.engine.rollouts.view().times(self.service());
        self.with_task(|task| {
            let now = Instant::now();
            let ordered = ordered.map_or(now, |(ordered, _)| ordered);
            let duration = self.order.duration;
            task.decider
                .get_or_insert_with(|| RolloutDecider::new(ordered, duration, now));
        });
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let sent = Instant::now();
        let left = self.store.keep_alive(lease).await;
        self.note_call("renew", left.as_ref().err());
        let ended = left?.is_zero();
        self.with_task(|task| {
            task.renewed = sent;
            if ended {
                task.claim.release();
                task.decider = None;
                task.lease = None;
            } else {
                task.claim.record_renewal(sent);
            }
        });
        if ended {
            log_event!(
                warn,
                RegistrationLost,
                "lease {lease} of a rollout has ended"
            );
            self.engine.rollouts.remove_record(&self.record_key());
        }
        Ok(())
    }

    /// Reads the record to determine the effect of a write without an answer.
    async fn read(&self) -> Result<(), StoreError> {
        let key = self.record_key();
        let answer = self.store.get(&key).await;
        self.note_call("get", answer.as_ref().err());
        let answer = answer?;
        let entries: Vec<_> = answer
            .entries
            .into_iter()
            .filter(|entry| entry.key == key)
            .collect();
        self.settle(&entries);
        Ok(())
    }

    fn note_call(&self, kind: &'static str, failure: Option<&StoreError>) {
        telemetry::count_store_call(kind, failure.is_none());
        match failure {
            None => self.engine.store_health.record_answer(kind),
            Some(error) => self.engine.store_health.record_failure(error),
        }
    }
}
