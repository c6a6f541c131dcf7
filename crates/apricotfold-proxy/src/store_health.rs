//! Whether the store answers, and how fast its changes are followed. See `docs/platform.md`,
//! section 4.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::log_event;
use apricotfold_store::StoreError;
use futures_util::future::BoxFuture;
use tokio::sync::watch;

use crate::engine::Engine;

/// Pauses after failures: the first is short, since a single call may be turned away, and they
/// stay below the time within which entries must be back after the store's return.
const RETRY_PAUSES: [Duration; 3] = [
    Duration::from_millis(120),
    Duration::from_millis(300),
    Duration::from_millis(700),
];

#[derive(Debug, Default)]
struct HealthState {
    answered: Option<Instant>,
}

/// What all tasks that call the store know about it.
#[derive(Debug)]
pub struct StoreHealth {
    state: Mutex<HealthState>,
    /// Counts the times at which the store was lost.
    losses: watch::Sender<u64>,
    available: watch::Sender<bool>,
}

impl StoreHealth {
    /// Starts without a word from the store.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            losses: watch::Sender::new(0),
            available: watch::Sender::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HealthState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Notes an answer of the store, also one that refuses a condition.
    pub fn record_answer(&self, step: &str) {
        self.lock().answered = Some(Instant::now());
        if !self.available.send_replace(true) {
            log_event!(info, StoreAvailable, "by {step}");
        }
    }

    /// Notes a call without a usable answer.
    pub fn record_failure(&self, error: &StoreError) {
        if self.available.send_replace(false) {
            let age = self.age();
            log_event!(warn, StoreUnavailable, "{error}, last answer {age:?} ago");
            self.losses.send_modify(|losses| *losses += 1);
        }
    }

    /// Follows the losses. A waiting watch may be on a connection that has gone silent, so it is
    /// opened anew when any other call fails.
    pub fn watch_losses(&self) -> watch::Receiver<u64> {
        self.losses.subscribe()
    }

    /// Waits until any task has reached the store, at most for `limit`. Renewals of the node's lease
    /// cost the store little and show when it is back; a node without a lease makes none.
    async fn wait_available(&self, limit: Duration) {
        let mut available = self.available.subscribe();
        let back = available.wait_for(|available| *available);
        // The sender lives as long as the link, so only the limit can end the wait early.
        let _ = tokio::time::timeout(limit, back).await;
    }

    /// Time since the store answered last; `None` if it never has.
    pub fn age(&self) -> Option<Duration> {
        self.lock().answered.map(|at| at.elapsed())
    }
}

/// Longest wait for another task to reach a store that was lost.
const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(1);

/// Follows a part of the store's keys.
pub trait KeyWatcher: Send + Sync {
    /// Reads and watches until a call fails. Resets `failures` when the store has answered.
    fn follow<'a>(
        &'a self,
        failures: &'a mut usize,
    ) -> BoxFuture<'a, Result<Infallible, StoreError>>;
}

/// Follows keys again and again, while this node follows the store itself.
pub async fn watch_keys(engine: Arc<Engine>, follower: impl KeyWatcher) {
    let mut failures = 0;
    loop {
        let mut following = engine.watch_following();
        // The sender lives as long as the engine, so waiting cannot fail.
        let _ = following.wait_for(|following| *following).await;
        let mut losses = engine.store_health.watch_losses();
        tokio::select! {
            Err(error) = follower.follow(&mut failures) => {
                engine.store_health.record_failure(&error);
            }
            Ok(()) = losses.changed() => {}
            Ok(_) = following.wait_for(|following| !*following) => continue,
        }
        failures += 1;
        tokio::time::sleep(retry_pause(failures)).await;
        if failures > 1 {
            engine.store_health.wait_available(UNAVAILABLE_PAUSE).await;
        }
    }
}

/// Pause before a call is tried again after so many failures in a row.
pub fn retry_pause(failures: usize) -> Duration {
    let last = RETRY_PAUSES.len() - 1;
    RETRY_PAUSES[failures.saturating_sub(1).min(last)]
}

/// Pauses between batches of changes. Each change ends the waiting watches of every node, so the
/// pause grows with each further batch, and changes arrive together.
#[derive(Debug)]
pub struct BatchBackoff {
    limits: BackoffLimits,
    pause: Duration,
    changed: Option<Instant>,
}

/// Bounds of the pauses.
#[derive(Clone, Copy, Debug)]
pub struct BackoffLimits {
    /// Pause after a change that follows a calm time.
    pub first: Duration,
    /// Longest pause.
    pub longest: Duration,
}

/// Time without changes after which the pause is short again.
const QUIET_PERIOD: Duration = Duration::from_secs(4);

impl BatchBackoff {
    /// Starts with a short pause.
    pub fn new(limits: BackoffLimits) -> Self {
        Self {
            limits,
            pause: limits.first,
            changed: None,
        }
    }

    /// Pause after a change that has just arrived.
    pub fn next_pause(&mut self) -> Duration {
        let calm = self
            .changed
            .is_none_or(|changed| changed.elapsed() > QUIET_PERIOD);
        let pause = if calm { self.limits.first } else { self.pause };
        self.pause = (pause * 2).min(self.limits.longest);
        self.changed = Some(Instant::now());
        pause
    }

    /// Tells whether changes follow each other quickly at present.
    pub fn is_busy(&self) -> bool {
        self.pause > self.limits.first * 2
    }
}
