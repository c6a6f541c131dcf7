//! Client of the platform's key-value store.
//!
//! [`ConfigStore`] is the interface for all data that must be durable or agreed on, see
//! `docs/design.md`, section 3. [`HttpStore`] implements it with etcd v3's public JSON protocol.

mod epoch;
mod http;
mod progress;
mod txn;
mod wire;

use std::time::Duration;

use apricotfold_model::StepError;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use tokio::sync::watch;

pub use epoch::{EpochTracker, StoreEpoch};
pub use http::HttpStore;
pub use progress::{ArrivingAnswer, TransferProgress};
pub use txn::{Compare, StoreTxn, StoreWrite, TxnResponse};

/// Id of a lease, assigned by the store.
pub type LeaseId = i64;
/// Revision of the store; increases with each change.
pub type Revision = i64;
/// Future of a store call.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;
/// Stream of the changes under a watched prefix, ordered by revision.
pub type WatchStream = BoxStream<'static, Result<WatchBatch, StoreError>>;

/// A key-value pair with its revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEntry {
    /// Full key, including its prefix.
    pub key: String,
    /// Value as text.
    pub value: String,
    /// Revision at which the key was created.
    pub create_revision: Revision,
    /// Revision of the last change of the key.
    pub mod_revision: Revision,
    /// Lease to which the key is attached; 0 if there is none.
    pub lease: LeaseId,
}

/// Result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeResponse {
    /// Revision of the store at which the entries were read.
    pub revision: Revision,
    /// Entries found, ordered by key.
    pub entries: Vec<StoreEntry>,
}

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was created or its value changed.
    Put(StoreEntry),
    /// The key was deleted.
    Delete(String),
}

/// Changes that were delivered together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// Revision of the store after the changes.
    pub revision: Revision,
    /// Changes in the order of their revisions.
    pub events: Vec<WatchEvent>,
}

/// How long a watch waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTerms {
    /// Time for which the store holds a call back while nothing changes. Each wait costs a call.
    pub wait: Duration,
    /// Time after the wait within which the answer has to begin; later, it counts as lost.
    pub overdue: Duration,
}

/// Whether a failed call may have changed the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEffect {
    /// The store refused the call, or the call did not reach it.
    None,
    /// The response was lost; the effect can be determined by reading the keys again.
    Unknown,
}

/// A failed store call.
#[derive(Debug)]
pub struct StoreError {
    /// Cause, with the failed step and the store's address.
    pub error: StepError,
    /// Whether the call may have taken effect.
    pub effect: WriteEffect,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.effect {
            WriteEffect::None => write!(formatter, "{}", self.error),
            WriteEffect::Unknown => write!(formatter, "{} (may have taken effect)", self.error),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's key-value store.
///
/// Each method counts as one call towards the store's rate limits, as does a pending watch.
pub trait ConfigStore: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, RangeResponse>;

    /// Reads all keys that start with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, RangeResponse>;

    /// Like [`get`](Self::get), but the result may be a few seconds out of date, which is cheaper
    /// for the store. A watch from the revision of the result delivers the changes since then.
    fn get_stale<'a>(&'a self, key: &'a str) -> StoreFuture<'a, RangeResponse> {
        self.get(key)
    }

    /// Like [`list`](Self::list), but the result may be a few seconds out of date, as with
    /// [`get_stale`](Self::get_stale).
    fn list_stale<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, RangeResponse> {
        self.list(prefix)
    }

    /// Like [`list`](Self::list), or [`list_stale`](Self::list_stale) if `stale` is set, and reports the
    /// arrival of a long answer. The default is for stores whose answers are short.
    fn list_within<'a>(
        &'a self,
        prefix: &'a str,
        stale: bool,
        progress: &'a TransferProgress,
    ) -> StoreFuture<'a, RangeResponse> {
        let _ = progress;
        if stale {
            self.list_stale(prefix)
        } else {
            self.list(prefix)
        }
    }

    /// Applies the writes of a transaction atomically if every comparison holds.
    ///
    /// If a comparison fails, the result carries the current entries of all compared keys, so that
    /// the caller learns of the conflicting write without another call.
    fn commit<'a>(&'a self, txn: &'a StoreTxn) -> StoreFuture<'a, TxnResponse>;

    /// Grants a lease that expires `ttl` after its grant or last keep-alive. etcd counts in whole
    /// seconds, so [`HttpStore`] truncates `ttl` to them and requests at least 1 s.
    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease and returns its remaining time, which is zero if the lease has expired.
    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, Duration>;

    /// Revokes a lease and deletes the keys attached to it.
    fn revoke(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

    /// Watches all keys that start with `prefix`, starting with the changes of `revision`. The stream
    /// ends with an error if the store comes back from an older copy, as far as its answers show.
    fn watch<'a>(&'a self, prefix: &'a str, revision: Revision) -> StoreFuture<'a, WatchStream>;

    /// Like [`watch`](Self::watch), for a store that answers each wait in a call of its own, also if
    /// nothing has changed. The stream ends without an error when an answer is overdue, because a
    /// connection on which an answer was lost stays open and silent. An answer that has begun is reported to
    /// `progress`. The default is for stores that push changes, and ignores both.
    fn watch_within<'a>(
        &'a self,
        prefix: &'a str,
        revision: Revision,
        terms: WatchTerms,
        progress: &TransferProgress,
    ) -> StoreFuture<'a, WatchStream> {
        let _ = (terms, progress);
        self.watch(prefix, revision)
    }

    /// Subscribes to the number of times that the store has come back from an older copy, as far as
    /// its answers have shown. What was read, written or granted before is then to be read, written or
    /// granted anew. The default is for stores that do not say so.
    fn watch_returns(&self) -> watch::Receiver<u64> {
        watch::channel(0).1
    }
}
