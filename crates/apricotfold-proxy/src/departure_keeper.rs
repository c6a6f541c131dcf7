//! Departures of the local target, which must outlive the process that acknowledges them. See
//! `docs/platform.md`, section 4.

use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::{InstanceState, TargetIncarnation, log_event};
use tokio::sync::watch;

use crate::engine::Engine;
use crate::peer_exchange;

/// Time for which the store alone is waited for before peers are told of a departure as well.
const STORE_PATIENCE: Duration = Duration::from_millis(250);

/// Longest time until an announcement is answered; the target waits a second.
const KEEP_TIMEOUT: Duration = Duration::from_millis(800);

/// A departure: the incarnation with the state that it announced.
pub type Departure = (TargetIncarnation, InstanceState);

/// Knows which departure of the local target the store or a peer has, and whether it is known what an
/// earlier process of this node has acknowledged.
#[derive(Debug)]
pub struct DepartureKeeper {
    kept: watch::Sender<Option<Departure>>,
    settled: watch::Sender<bool>,
}

impl Default for DepartureKeeper {
    fn default() -> Self {
        Self {
            kept: watch::Sender::new(None),
            settled: watch::Sender::new(false),
        }
    }
}

impl DepartureKeeper {
    /// Records that the store or a peer has a departure.
    pub fn record_kept(&self, departure: Departure) {
        self.kept.send_replace(Some(departure));
    }

    /// Records that the store has told what an earlier process had written, or cannot tell it.
    pub fn settle(&self) {
        self.settled.send_replace(true);
    }

    /// Waits for at most `limit` until the target may be used.
    pub async fn wait_settled(&self, limit: Duration) {
        let mut settled = self.settled.subscribe();
        // The target may be used later, too.
        let _ = tokio::time::timeout(limit, settled.wait_for(|settled| *settled)).await;
    }

    /// Returns whether the target may be used as far as earlier processes are concerned.
    pub fn is_settled(&self) -> bool {
        *self.settled.borrow()
    }

    /// Waits until a departure is kept. Returns false if it is not within `limit`.
    async fn wait_kept(&self, departure: &Departure, limit: Duration) -> bool {
        let (incarnation, state) = departure;
        let mut kept = self.kept.subscribe();
        let covers = kept.wait_for(|kept| {
            let kept = kept.as_ref().filter(|(known, _)| known == incarnation);
            kept.is_some_and(|(_, known)| known >= state)
        });
        tokio::time::timeout(limit, covers).await.is_ok()
    }
}

/// Waits until the store, or a peer if the store does not answer in time, has the departure of an
/// instance, if it is the latest word of the local target that it leaves. Returns whether the departure
/// may be acknowledged: this process may be killed the moment after.
pub async fn keep_departure(engine: &Arc<Engine>, instance: &str) -> bool {
    let announced = engine.local().announced();
    let departure = announced
        .filter(|(known, state)| known.instance == instance && *state != InstanceState::Ready);
    let Some(departure) = departure else {
        return true;
    };
    let keeper = &engine.departures;
    if keeper.wait_kept(&departure, STORE_PATIENCE).await {
        return true;
    }
    let left = KEEP_TIMEOUT.saturating_sub(STORE_PATIENCE);
    tokio::select! {
        kept = keeper.wait_kept(&departure, left) => {
            if !kept {
                let (incarnation, state) = &departure;
                log_event!(
                    warn,
                    DepartureNotKept,
                    "{incarnation} {state}: neither the store nor a peer has confirmed it"
                );
            }
            kept
        }
        () = peer_exchange::tell_peers(engine) => {
            keeper.record_kept(departure);
            true
        }
    }
}
