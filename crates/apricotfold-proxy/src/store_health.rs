//! Availability of the store, and retry and backoff for watches on it. See `docs/platform.md`,
//! section 4.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, TableVersion, log_event};
use apricotfold_policy::{
    EntryRevision, MonitorChoice, MonitorRole, OwnerTerm, STORE_SILENCE, StoreContact, WatchAudit,
    WatchDoubt, WatchProgress,
};
use apricotfold_store::{
    ConfigStore, Revision, StoreError, TransferProgress, WatchBatch, WatchStream, WatchTerms,
};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use strum::Display;
use tokio::sync::watch;

use crate::engine::Engine;
use crate::telemetry;

/// Pauses after successive failures. The first is short because a single call may be rejected. All
/// of them are below the time within which entries must be restored after the store's recovery.
const RETRY_PAUSES: [Duration; 3] = [
    Duration::from_millis(120),
    Duration::from_millis(300),
    Duration::from_millis(700),
];

/// Time for which a watch waits for changes. Every renewed wait costs a call.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Time after a long wait within which its answer has to begin.
const LONG_OVERDUE: Duration = Duration::from_millis(1_500);

/// Time for which the watch of the table waits at the node that monitors the watches of its region.
/// A lost answer is then noticed there within 2.1 s and by the other nodes, which ask every 0.7 s, within
/// the 4 s after a silence of the store from which on operators expect tables to be active in time.
const MONITOR_WAIT: Duration = Duration::from_millis(1_500);

/// The same for the watch of the entries, whose changes are delivered up to 2.5 s apart.
const MONITOR_ENTRY_WAIT: Duration = Duration::from_secs(3);

/// Time after a monitor's wait within which its answer has to begin: several round trips and the store's
/// time for an answer, beside twice the time that it took for the last one.
const MONITOR_OVERDUE: Duration = Duration::from_millis(600);

/// Time from the start of a process after which it may monitor. When all processes start together, each
/// knows too few others at first to tell which one monitors.
const MONITOR_SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time from the start of a process after which it asks the monitor, which then has begun to be one.
const ASK_SETTLE_TIME: Duration = Duration::from_secs(5);

/// Longest addition to [`MONITOR_OVERDUE`] for a slow store.
const MAX_SLOWNESS: Duration = Duration::from_secs(1);

/// What a watch delivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WatchedKeys {
    /// The operators' route table and rollout orders.
    Table,
    /// The entries of all nodes and the records of rollouts.
    Entries,
}

#[derive(Debug, Default)]
struct HealthState {
    contact: StoreContact,
    watches: WatchAudit,
    /// Version of the table up to which the node's own watch has come.
    watched_table: TableVersion,
    /// Whether the store has delivered the table, or that there is none, since the node began to follow it.
    table_read: bool,
    monitors: MonitorChoice,
    term: OwnerTerm,
    /// Whether this node monitors the watches of its region.
    monitoring: bool,
    /// When a renewal was last requested only to learn whether the store answers.
    probed: Option<Instant>,
}

/// Availability of the store, shared by all tasks that call it.
#[derive(Debug)]
pub struct StoreHealth {
    started: Instant,
    state: Mutex<HealthState>,
    /// Number of times at which the store became unavailable.
    losses: watch::Sender<u64>,
    /// Number of returns of the store to an older copy.
    returns: watch::Sender<u64>,
    /// Number of times at which the open watches had to be opened anew.
    doubts: watch::Sender<u64>,
    available: watch::Sender<bool>,
}

impl StoreHealth {
    /// Starts as unavailable, without any response from the store.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            state: Mutex::default(),
            losses: watch::Sender::new(0),
            returns: watch::Sender::new(0),
            doubts: watch::Sender::new(0),
            available: watch::Sender::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HealthState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Records a response of the store, including one whose transaction condition failed. `step`
    /// names the call in the log.
    pub fn record_answer(&self, step: &str) {
        let now = Instant::now();
        let contact = &mut self.lock().contact;
        let before = contact.answered.replace(now);
        if before.is_none_or(|before| now.saturating_duration_since(before) > STORE_SILENCE) {
            contact.steady_since = None;
        }
        contact.steady_since.get_or_insert(now);
        if !self.available.send_replace(true) {
            log_event!(info, StoreAvailable, "answered {step}");
        }
    }

    /// Records the time that the store took for an answer to a short call.
    pub fn record_answer_time(&self, elapsed: Duration) {
        self.lock().contact.answer_time = elapsed;
    }

    /// Records that this node's entry cannot end before `until`.
    pub fn record_entry(&self, until: Instant) {
        self.lock().term.record_entry(until);
    }

    /// Records how long ago the store answered another node, as that one says; `None` if it never has.
    pub fn record_report(&self, age: Option<Duration>) {
        let now = Instant::now();
        let answered = age.and_then(|age| now.checked_sub(age));
        self.lock().term.record_report(answered, now);
    }

    /// Returns whether another node may own the quotas of this one. `alone` tells that no other node is known.
    pub fn may_be_succeeded(&self, alone: bool) -> bool {
        self.lock().term.may_have_ended(alone, Instant::now())
    }

    /// Records a call without a usable response.
    pub fn record_failure(&self, error: &StoreError) {
        self.lock().contact.steady_since = None;
        if self.available.send_replace(false) {
            let age = self.age();
            log_event!(warn, StoreUnavailable, "{error}, last answer {age:?} ago");
            self.losses.send_modify(|losses| *losses += 1);
        }
    }

    /// Subscribes to losses of the store. A pending watch may be on a dead connection, so it is
    /// reopened when any other call fails, unless its answer is arriving.
    pub fn watch_losses(&self) -> watch::Receiver<u64> {
        self.losses.subscribe()
    }

    /// Subscribes to returns of the store to an older copy.
    pub fn watch_returns(&self) -> watch::Receiver<u64> {
        self.returns.subscribe()
    }

    /// Records a listing of the entries: the revision of the store and that of the latest entry.
    pub fn record_listing(&self, store: Revision, latest: Revision) {
        let (store, latest) = (entry_revision(store), entry_revision(latest));
        self.lock().watches.record_listing(store, latest);
    }

    /// Records an answer to the watch of the entries; `latest` is the revision of its latest entry.
    pub fn record_batch(&self, store: Revision, latest: Option<Revision>) {
        let (store, latest) = (entry_revision(store), latest.map(entry_revision));
        self.lock().watches.record_batch(store, latest);
    }

    /// Returns the revision of the latest entry that this node's watch has delivered.
    pub fn delivered_entry(&self) -> EntryRevision {
        self.lock().watches.delivered()
    }

    /// Records that the node begins to follow the store. What its watches had delivered before tells nothing
    /// of those that it opens now.
    pub fn begin_following(&self) {
        let state = &mut *self.lock();
        state.watched_table = 0;
        state.table_read = false;
        state.watches.forget_table();
    }

    /// Records that the store has delivered the table, or that there is none.
    pub fn record_table_read(&self) {
        self.lock().table_read = true;
    }

    /// Returns whether the store has delivered the table since the node began to follow it.
    pub fn has_read_table(&self) -> bool {
        self.lock().table_read
    }

    /// Records the version of the table up to which the node's own watch has come. A table that another
    /// node sent does not show that the watch is open.
    pub fn record_watched_table(&self, version: TableVersion) {
        self.lock().watched_table = version;
    }

    /// Records what another node that is in contact with the store has.
    pub fn observe_progress(&self, mut other: WatchProgress) {
        let state = &mut *self.lock();
        let table = state.watched_table;
        if table == 0 {
            // The first read is under way, and no watch is open yet.
            other.table = 0;
        }
        state.watches.observe(other, table, Instant::now());
    }

    /// Returns whether another node has a newer table than the node's own watch has delivered.
    pub fn is_table_behind(&self) -> bool {
        let state = self.lock();
        state.watches.is_table_behind(state.watched_table)
    }

    /// Has the watches opened anew if other nodes show, or cannot disprove, that their answers are lost.
    pub fn check_watches(&self) {
        let (doubt, table) = {
            let state = &mut *self.lock();
            let table = state.watched_table;
            (state.watches.check(table, Instant::now()), table)
        };
        if let Some(doubt) = doubt {
            self.reopen_watches(doubt, &format!("watched table {table}"));
        }
    }

    fn reopen_watches(&self, doubt: WatchDoubt, detail: &str) {
        log_event!(info, WatchReopened, "{doubt}, {detail}");
        telemetry::count_reopened_watches(doubt);
        self.doubts.send_modify(|doubts| *doubts += 1);
    }

    /// Chooses this node's part in monitoring the watches of its region among the nodes that can do
    /// so, the best first. A node that begins to monitor opens its watches anew, to wait only briefly.
    /// Returns `None` while the process has just started.
    pub fn choose_monitor(&self, candidates: &[NodeId], own: &NodeId) -> Option<MonitorRole> {
        let now = Instant::now();
        let mut state = self.lock();
        let role = state.monitors.choose(candidates, own, now);
        let monitors = role == MonitorRole::Monitors;
        let settle_time = if monitors {
            MONITOR_SETTLE_TIME
        } else {
            ASK_SETTLE_TIME
        };
        if now.saturating_duration_since(self.started) < settle_time {
            return None;
        }
        if monitors {
            state.watches.confirm(now);
        }
        let begins = monitors && !std::mem::replace(&mut state.monitoring, monitors);
        drop(state);
        if begins {
            self.doubts.send_modify(|doubts| *doubts += 1);
        }
        Some(role)
    }

    /// Records whether a node that was asked answered as the monitor of the region.
    pub fn record_monitor(&self, node: &NodeId, usable: bool) {
        self.lock().monitors.record(node, usable, Instant::now());
    }

    /// Returns whether this node monitors the watches of its region.
    pub fn is_monitoring(&self) -> bool {
        self.lock().monitoring
    }

    /// Returns how long a watch waits for its answer.
    pub fn watch_terms(&self, keys: WatchedKeys) -> WatchTerms {
        let state = self.lock();
        if !state.monitoring {
            return WatchTerms {
                wait: LONG_WAIT,
                overdue: LONG_OVERDUE,
            };
        }
        WatchTerms {
            wait: match keys {
                WatchedKeys::Table => MONITOR_WAIT,
                WatchedKeys::Entries => MONITOR_ENTRY_WAIT,
            },
            overdue: MONITOR_OVERDUE + (state.contact.answer_time * 2).min(MAX_SLOWNESS),
        }
    }

    /// Has all watches opened anew, because the answer of one did not come in time.
    fn record_lost_watch(&self, keys: WatchedKeys) {
        let doubt = self.lock().watches.record_loss(Instant::now());
        self.reopen_watches(doubt, &format!("no answer to the watch of the {keys}"));
    }

    /// Returns the time since a watch of this node was last found lost.
    pub fn loss_age(&self) -> Option<Duration> {
        let lost = self.lock().watches.last_loss();
        lost.map(|lost| lost.elapsed())
    }

    /// Records when the monitor of the region last found one of its watches lost.
    pub fn observe_loss(&self, lost: Instant) {
        self.lock().watches.observe_loss(lost);
    }

    /// Waits for the next batch of a watch. Returns `None` if the watch has to be opened anew: its answer
    /// is overdue, or there is a doubt whether it will come. An answer that is arriving dispels the doubt.
    pub async fn next_batch(
        &self,
        keys: WatchedKeys,
        watch: &mut WatchStream,
        doubts: &mut watch::Receiver<u64>,
        progress: &TransferProgress,
    ) -> Option<Result<WatchBatch, StoreError>> {
        tokio::select! {
            batch = watch.next() => {
                if batch.is_none() {
                    self.record_lost_watch(keys);
                }
                batch
            }
            () = wait_unless_arriving(doubts, progress) => None,
        }
    }

    /// Subscribes to doubts of the open watches.
    pub fn watch_doubts(&self) -> watch::Receiver<u64> {
        self.doubts.subscribe()
    }

    /// Waits until any task has reached the store, for at most `limit`. Renewals of the node's
    /// lease are cheap and show when the store is available again; a node without a lease makes
    /// none.
    async fn wait_available(&self, limit: Duration) {
        let mut available = self.available.subscribe();
        let back = available.wait_for(|available| *available);
        // The sender lives as long as this value, so only the time limit can end the wait early.
        let _ = tokio::time::timeout(limit, back).await;
    }

    /// Returns the time since the store last answered; `None` if it never has.
    pub fn age(&self) -> Option<Duration> {
        self.contact().answered.map(|at| at.elapsed())
    }

    /// Returns how the store has answered this node.
    pub fn contact(&self) -> StoreContact {
        self.lock().contact
    }

    /// Returns whether the store should be called to learn whether it still answers: it has not for
    /// `age`, no call for this purpose was requested within that time, and it is not known to be
    /// unavailable, in which case it is being retried anyway.
    pub fn needs_probe(&self, age: Duration) -> bool {
        let mut state = self.lock();
        let is_recent = |time: Option<Instant>| time.is_some_and(|time| time.elapsed() < age);
        let contact = state.contact;
        if contact.steady_since.is_none() || is_recent(contact.answered) || is_recent(state.probed)
        {
            return false;
        }
        state.probed = Some(Instant::now());
        true
    }
}

/// Waits for a sign that an answer may be lost, and passes over those that come while it is arriving.
async fn wait_unless_arriving(signs: &mut watch::Receiver<u64>, progress: &TransferProgress) {
    // The sender lives as long as the engine.
    while signs.changed().await.is_ok() {
        if progress.stalls().await {
            return;
        }
        signs.mark_unchanged();
    }
}

fn entry_revision(revision: Revision) -> EntryRevision {
    EntryRevision::try_from(revision).unwrap_or(0)
}

/// Logs returns of the store to an older copy and passes them on to the tasks that call it.
pub async fn follow_returns(engine: Arc<Engine>, store: Arc<dyn ConfigStore>) {
    let mut returns = store.watch_returns();
    while returns.changed().await.is_ok() {
        let count = *returns.borrow_and_update();
        let version = engine.tables.version();
        log_event!(
            warn,
            StoreRestored,
            "return {count} from an older copy, own table {version}"
        );
        engine.store_health.returns.send_replace(count);
    }
}

/// Longest wait for another task to reach an unavailable store.
const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(1);

/// Reads and watches some of the store's keys.
pub trait KeyWatcher: Send + Sync {
    /// Reads and watches until a call fails. Resets `failures` once the store has answered, and reports
    /// answers that are arriving to `progress`.
    fn follow<'a>(
        &'a self,
        failures: &'a mut usize,
        progress: &'a TransferProgress,
    ) -> BoxFuture<'a, Result<Infallible, StoreError>>;
}

/// Runs a watcher and restarts it after failures, for as long as this node watches the store
/// itself.
pub async fn watch_keys(engine: Arc<Engine>, follower: impl KeyWatcher) {
    let mut failures = 0;
    let progress = TransferProgress::default();
    loop {
        let mut following = engine.watch_following();
        // The sender lives as long as the engine, so waiting cannot fail.
        let _ = following.wait_for(|following| *following).await;
        let mut losses = engine.store_health.watch_losses();
        let mut returns = engine.store_health.watch_returns();
        tokio::select! {
            Err(error) = follower.follow(&mut failures, &progress) => {
                engine.store_health.record_failure(&error);
            }
            () = wait_unless_arriving(&mut losses, &progress) => {}
            Ok(()) = returns.changed() => {
                // Nothing that was read before holds, and a stale read may still give it.
                failures = failures.max(1);
                continue;
            }
            Ok(_) = following.wait_for(|following| !*following) => continue,
        }
        failures += 1;
        tokio::time::sleep(retry_pause(failures)).await;
        if failures > 1 {
            engine.store_health.wait_available(UNAVAILABLE_PAUSE).await;
        }
    }
}

/// Returns the pause before the next attempt after this many failures in a row.
pub fn retry_pause(failures: usize) -> Duration {
    let last = RETRY_PAUSES.len() - 1;
    RETRY_PAUSES[failures.saturating_sub(1).min(last)]
}

/// Backoff between batches of changes. Each change completes the pending watches of every node, so
/// the pause grows with each further batch and changes are delivered together.
#[derive(Debug)]
pub struct BatchBackoff {
    limits: BackoffLimits,
    pause: Duration,
    changed: Option<Instant>,
}

/// Shortest and longest pause of a [`BatchBackoff`].
#[derive(Clone, Copy, Debug)]
pub struct BackoffLimits {
    /// Pause after the first change in a quiet period.
    pub first: Duration,
    /// Longest pause while changes continue.
    pub longest: Duration,
}

/// Time without changes after which the backoff is reset.
const QUIET_PERIOD: Duration = Duration::from_secs(4);

impl BatchBackoff {
    /// Starts with the shortest pause.
    pub fn new(limits: BackoffLimits) -> Self {
        Self {
            limits,
            pause: limits.first,
            changed: None,
        }
    }

    /// Returns the pause after a change that has just arrived.
    pub fn next_pause(&mut self) -> Duration {
        let calm = self
            .changed
            .is_none_or(|changed| changed.elapsed() > QUIET_PERIOD);
        let pause = if calm { self.limits.first } else { self.pause };
        self.pause = (pause * 2).min(self.limits.longest);
        self.changed = Some(Instant::now());
        pause
    }

    /// Returns whether changes currently follow each other quickly.
    pub fn is_busy(&self) -> bool {
        self.pause > self.limits.first * 2
    }
}
