//! Notices that the store has come back from an older copy. See `docs/design.md`, section 7.

use std::sync::{Mutex, PoisonError};

use tokio::sync::watch;

/// Number that the store states in its answers and that rises when the store comes back from an older
/// copy. Revisions and lease ids of different epochs have nothing to do with each other.
pub type StoreEpoch = u64;

/// Compares the epochs of a store's answers.
#[derive(Debug, Default)]
pub struct EpochTracker {
    known: Mutex<Option<StoreEpoch>>,
    returns: watch::Sender<u64>,
}

impl EpochTracker {
    /// Records the epoch of an answer. Returns false if the store has come back from an older copy
    /// since it gave the answer, so that the answer no longer holds.
    pub fn observe(&self, stated: StoreEpoch) -> bool {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let former = *known;
        if former.is_some_and(|former| stated < former) {
            return false;
        }
        *known = Some(stated);
        if former.is_some_and(|former| stated > former) {
            self.returns.send_modify(|returns| *returns += 1);
        }
        true
    }

    /// Records the identity of the store's history in an answer, which is another one after each return
    /// but does not rise.
    pub fn observe_identity(&self, stated: StoreEpoch) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let former = known.replace(stated);
        if former.is_some_and(|former| former != stated) {
            self.returns.send_modify(|returns| *returns += 1);
        }
    }

    /// Subscribes to the number of returns that the answers have shown.
    pub fn watch_returns(&self) -> watch::Receiver<u64> {
        self.returns.subscribe()
    }
}
