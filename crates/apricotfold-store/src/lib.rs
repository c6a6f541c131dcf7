//! Client of the platform's key-value store.
//!
//! [`ConfigStore`] is the border: everything that must last or be agreed goes through it, see
//! `docs/design.md`, section 3. [`HttpStore`] speaks etcd v3's published JSON protocol.

mod http;
mod txn;
mod wire;

use std::time::Duration;

use apricotfold_model::StepError;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;

pub use http::HttpStore;
pub use txn::{Compare, StoreTxn, StoreWrite, TxnResponse};

/// Identifies a lease.
pub type LeaseId = i64;
/// Counts the changes of the store.
pub type Revision = i64;
/// Answer of a store call that is still under way.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;
/// Changes under a watched prefix, in the order of their revisions.
pub type WatchStream = BoxStream<'static, Result<WatchBatch, StoreError>>;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the change that created the key.
    pub create_revision: Revision,
    /// Revision of the latest change of the key.
    pub mod_revision: Revision,
    /// Lease that the key is bound to; 0 for none.
    pub lease: LeaseId,
}

/// All entries that a read found, and the revision at which it was made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeResponse {
    /// Revision of the store at the read.
    pub revision: Revision,
    /// The entries, ordered by key.
    pub entries: Vec<StoreEntry>,
}

/// One change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key has a new value.
    Put(StoreEntry),
    /// The key is gone.
    Delete(String),
}

/// Changes that arrived together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// Revision of the store after the changes.
    pub revision: Revision,
    /// The changes.
    pub events: Vec<WatchEvent>,
}

/// Whether a failed call may have changed the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEffect {
    /// The store refused the call, or the call cannot have reached it.
    None,
    /// The answer was lost; reading back tells what happened.
    Unknown,
}

/// A store call that failed.
#[derive(Debug)]
pub struct StoreError {
    /// Step and store address.
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
/// Each method is one call against the store's rate limits, and a waiting watch is one call.
pub trait ConfigStore: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, RangeResponse>;

    /// Reads all keys that start with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, RangeResponse>;

    /// Like [`get`](Self::get), but the answer may be some seconds old, which costs the store less.
    /// Its revision says how old; a watch from there on brings what is missing.
    fn get_stale<'a>(&'a self, key: &'a str) -> StoreFuture<'a, RangeResponse> {
        self.get(key)
    }

    /// Like [`list`](Self::list), but the answer may be some seconds old.
    fn list_stale<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, RangeResponse> {
        self.list(prefix)
    }

    /// Writes all or nothing, if every comparison holds.
    ///
    /// When a comparison does not hold, the answer carries the present entries of all compared
    /// keys, so that the caller learns who was first without another call.
    fn commit<'a>(&'a self, txn: &'a StoreTxn) -> StoreFuture<'a, TxnResponse>;

    /// Grants a lease that expires after `ttl` without a keep-alive; whole seconds.
    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease and returns the time that it has left; zero when it has expired.
    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, Duration>;

    /// Ends a lease and deletes its keys.
    fn revoke(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

    /// Watches all keys that start with `prefix`, from `revision` on.
    fn watch<'a>(&'a self, prefix: &'a str, revision: Revision) -> StoreFuture<'a, WatchStream>;
}
