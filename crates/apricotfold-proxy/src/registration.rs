//! Keeps this node's entry in the store up to date: its instance and the crashes that it noticed.
//! See `docs/platform.md`, section 4.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{InstanceRecord, InstanceState, log_event};
use apricotfold_policy::{CrashEvidence, is_current_evidence};
use apricotfold_store::{
    Compare, ConfigStore, LeaseId, Revision, StoreEntry, StoreError, StoreTxn,
};
use tokio::sync::watch;

use crate::engine::Engine;
use crate::relays::hand_over::notify_relays;
use crate::store_health::retry_pause;
use crate::telemetry;

/// Prefix of the keys of all nodes' entries.
pub const NODE_PREFIX: &str = "apricotfold/nodes/";

/// Lease duration of an entry; up to three renewals in a row may fail.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// Lease duration for an instance that drains or has left. It is longer than announcements can be
/// delayed, so that a restarted node does not take a delayed announcement for a new one.
const LEAVING_TTL: Duration = Duration::from_mins(1);

/// Time from the start after which a node whose store gives no answer uses its target without knowing
/// what an earlier process has written. Until announcements can no longer be late, the target itself has
/// then confirmed that it accepts work.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of lease renewals, which also show whether the store is available.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_800);

/// Entry of a node in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct NodeEntry {
    /// The node's instance, in the state in which other nodes may use it.
    pub record: Option<InstanceRecord>,
    /// State that the instance itself announced, which a later process of the node must know.
    pub announced: Option<InstanceState>,
    /// Requests that were in flight at crashes that the node noticed.
    pub crash_marks: CrashEvidence,
}

/// Returns the key of a node's entry.
pub fn node_key(node: &str) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Writes this node's entry and renews its lease until the process ends.
pub struct Registration {
    engine: Arc<Engine>,
    store: Arc<dyn ConfigStore>,
    lease: Option<(LeaseId, Duration)>,
    written: Option<NodeEntry>,
    /// Whether the relays have been told that the instance leaves.
    notified: bool,
    /// Whether the store may have lost what was written, because it came back from an older copy.
    outdated: bool,
    revision: Revision,
    returns: watch::Receiver<u64>,
    failures: usize,
    started: Instant,
}

impl Registration {
    /// Creates the registration without a lease.
    pub fn new(engine: Arc<Engine>, store: Arc<dyn ConfigStore>) -> Self {
        Self {
            engine,
            returns: store.watch_returns(),
            store,
            lease: None,
            written: None,
            notified: false,
            outdated: false,
            revision: 0,
            failures: 0,
            started: Instant::now(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut changes = self.engine.registration.subscribe();
        let mut returns = self.returns.clone();
        loop {
            let pause = self.step().await;
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                Ok(()) = changes.changed() => {}
                Ok(()) = returns.changed() => {}
            }
        }
    }

    /// Forgets lease and revision if the store has come back from an older copy: it may give out both
    /// again. What was written is kept, because it says what has left.
    fn check_returns(&mut self) {
        if self.returns.has_changed().unwrap_or(false) {
            self.returns.mark_unchanged();
            self.lease = None;
            self.outdated = true;
            self.revision = 0;
        }
    }

    /// Writes the entry or renews its lease, and returns the time until the next step.
    async fn step(&mut self) -> Duration {
        self.check_returns();
        match self.sync_entry().await {
            // A call may have used a lease or a revision from before.
            Ok(()) if self.returns.has_changed().unwrap_or(false) => Duration::ZERO,
            Ok(()) => {
                self.failures = 0;
                RENEWAL_INTERVAL
            }
            Err(error) => {
                self.failures += 1;
                if self.failures == 1 {
                    log_event!(warn, RegistrationLost, "{error}");
                }
                if self.started.elapsed() >= SETTLE_TIMEOUT {
                    self.engine.departures.settle();
                }
                retry_pause(self.failures)
            }
        }
    }

    async fn sync_entry(&mut self) -> Result<(), StoreError> {
        let wanted = NodeEntry {
            record: self.engine.own_record(),
            announced: self.engine.announced_state(),
            crash_marks: self.engine.crashes.own_marks(),
        };
        if wanted.record.is_none() && self.written.is_none() {
            return Ok(());
        }
        let wanted = self.with_silence(wanted);
        let leaves = !is_ready(&wanted);
        let notified = std::mem::replace(&mut self.notified, leaves);
        if leaves && !notified {
            notify_relays(&self.engine);
        }
        if self.is_written(&wanted) {
            if self.renew().await? {
                return Ok(());
            }
        } else if self.failures > 0 {
            // A renewal is cheaper than a failing write and shows whether the lease still exists.
            self.renew().await?;
        }
        self.write(wanted).await
    }

    /// Returns whether the entry in the store already says what other nodes need to know.
    fn is_written(&self, wanted: &NodeEntry) -> bool {
        let written = self.written.as_ref().filter(|_| !self.outdated);
        let Some(written) = written else {
            return false;
        };
        let same_record = match (&written.record, &wanted.record) {
            (Some(known), Some(record)) => known.is_equivalent(record),
            (None, None) => true,
            _ => false,
        };
        let same_marks = is_current_evidence(&written.crash_marks, &wanted.crash_marks);
        same_record && written.announced == wanted.announced && same_marks
    }

    /// Replaces the record of an instance that fell silent by one that says so. What the instance had
    /// announced stays open, since it may be there again.
    fn with_silence(&self, mut wanted: NodeEntry) -> NodeEntry {
        if wanted.record.is_none() {
            let written = self.written.as_ref();
            let former = written.and_then(|entry| entry.record.clone());
            wanted.record = former.map(|record| InstanceRecord {
                state: InstanceState::Gone,
                ..record
            });
        }
        wanted
    }

    /// Renews the lease. Returns false if it has expired or none was granted.
    async fn renew(&mut self) -> Result<bool, StoreError> {
        let Some((lease, _)) = self.lease else {
            return Ok(false);
        };
        let started = Instant::now();
        let left = self.store.keep_alive(lease).await;
        if left.is_ok() {
            let elapsed = started.elapsed();
            self.engine.store_health.record_answer_time(elapsed);
        }
        self.note_call("renew", left.as_ref().err());
        let left = left?;
        // The lease runs from the arrival of the call.
        self.engine.store_health.record_entry(started + left);
        if left.is_zero() {
            self.lease = None;
            self.written = None;
            log_event!(warn, RegistrationLost, "lease {lease} has ended");
            return Ok(false);
        }
        Ok(true)
    }

    async fn write(&mut self, entry: NodeEntry) -> Result<(), StoreError> {
        let ready = is_ready(&entry);
        let ttl = if ready { LEASE_TTL } else { LEAVING_TTL };
        let ttl = ttl.max(self.engine.config.load().lease_min);
        let lease = match self.lease {
            Some((lease, known)) if known == ttl => lease,
            _ => {
                let started = Instant::now();
                let granted = self.store.grant(ttl).await;
                self.note_call("grant", granted.as_ref().err());
                let lease = granted?;
                self.engine.store_health.record_entry(started + ttl);
                self.lease = Some((lease, ttl));
                lease
            }
        };
        let key = node_key(&self.engine.node());
        let value = serde_json::to_string(&entry).expect("an entry can always be serialised");
        let compare = Compare::ModRevision {
            key: key.clone(),
            revision: self.revision,
        };
        let txn = StoreTxn::default()
            .when(compare)
            .put_leased(key, value, lease);
        let answer = self.store.commit(&txn).await;
        self.note_call("write", answer.as_ref().err());
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                // The lease may have expired, or the write may still take effect. The next attempt
                // therefore renews the lease first and finds the current revision.
                self.written = None;
                return Err(error);
            }
        };
        if !answer.succeeded {
            self.adopt(answer.found.first());
            self.engine.departures.settle();
            self.engine.change_registration();
            return Ok(());
        }
        self.revision = answer.revision;
        self.engine.departures.settle();
        if let Some(record) = &entry.record {
            if let Some(departure) = record.departure() {
                let state = record.announced.unwrap_or(record.state);
                self.engine.departures.record_kept((departure, state));
            }
            let (instance, state) = (&record.instance, record.state);
            let revision = self.revision;
            log_event!(
                info,
                RegistrationWritten,
                "{instance} {state} at revision {revision}"
            );
        }
        self.written = Some(entry);
        self.outdated = false;
        Ok(())
    }

    /// Adopts the entry found in the store. It is one of an earlier process of this node, which may
    /// say that the target is leaving, or this process's own write whose response was lost.
    fn adopt(&mut self, found: Option<&StoreEntry>) {
        let Some(found) = found else {
            self.revision = 0;
            return;
        };
        self.revision = found.mod_revision;
        let Ok(entry) = serde_json::from_str::<NodeEntry>(&found.value) else {
            log_event!(warn, EntryIgnored, "{} cannot be read", found.key);
            return;
        };
        self.engine.crashes.adopt(&entry.crash_marks);
        if let Some(record) = entry.record {
            self.engine.raise_epoch(record.node_epoch);
            let (instance, born) = (&record.instance, record.born);
            if let Some(state) = entry.announced {
                self.engine.local().restore_state(instance, born, state);
            }
        }
    }

    fn note_call(&self, kind: &'static str, failure: Option<&StoreError>) {
        telemetry::count_store_call(kind, failure.is_none());
        match failure {
            None => self.engine.store_health.record_answer(kind),
            Some(error) => self.engine.store_health.record_failure(error),
        }
    }
}

fn is_ready(entry: &NodeEntry) -> bool {
    let record = entry.record.as_ref();
    record.is_some_and(|record| record.state == InstanceState::Ready)
}
