//! Requests to the store and their answers, free of the store's own protocol.

use std::time::Duration;

use apricotfold_model::{BundleDigest, RelayEntry};
use compact_str::CompactString;

/// Matches an answer with its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEntry {
    /// The whole key.
    pub key: CompactString,
    /// The value, JSON in every entry that the core reads.
    pub value: Vec<u8>,
    /// Revision of the last change of this key.
    pub revision: i64,
}

/// Condition of a transaction: the key has this revision of its last change, 0 for an absent key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCompare {
    /// The key.
    pub key: CompactString,
    /// The revision that it must have.
    pub revision: i64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// Sets a key.
    Put {
        /// The key.
        key: CompactString,
        /// Its new value.
        value: Vec<u8>,
        /// Time after which the store removes the key; the daemon grants a lease for it.
        ttl: Option<Duration>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: CompactString,
    },
}

/// What the core asks of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read everything under a prefix. Answered by [`StoreReply::Listed`].
    List {
        /// The prefix, or one whole key.
        prefix: CompactString,
    },
    /// Report everything under a prefix as a complete `StoreEntries` event, then every change. No
    /// `StoreResult` follows. A second request for the same prefix starts again from a listing.
    Watch {
        /// The prefix.
        prefix: CompactString,
    },
    /// Stop watching. No answer follows.
    Unwatch {
        /// The prefix.
        prefix: CompactString,
    },
    /// Grant a lease and create the slot's key under it if absent. Answered by `SlotAcquired` or
    /// `SlotOccupied`; the daemon revokes the lease in the latter case.
    AcquireSlot {
        /// The slot's key.
        key: CompactString,
        /// The value.
        entry: RelayEntry,
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renew the slot's lease. Answered by `SlotRenewed` or `SlotLost`.
    RenewSlot {
        /// The lease from `SlotAcquired`.
        lease: i64,
    },
    /// Revoke the slot's lease. No answer follows.
    ReleaseSlot {
        /// The lease from `SlotAcquired`.
        lease: i64,
    },
    /// One transaction. Answered by `Committed` or `Conflict`.
    Commit {
        /// All of them must hold.
        compares: Vec<StoreCompare>,
        /// Done together when they hold.
        writes: Vec<StoreWrite>,
    },
    /// Read a bundle. Answered by `Bundle`.
    ReadBundle {
        /// Its digest.
        digest: BundleDigest,
    },
}

/// Answer to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// Everything under the prefix.
    Listed {
        /// The entries.
        entries: Vec<StoreEntry>,
    },
    /// This node holds the slot.
    SlotAcquired {
        /// Revision of the slot's key, which is the fencing number.
        revision: i64,
        /// The lease.
        lease: i64,
    },
    /// Another node holds the slot.
    SlotOccupied,
    /// The lease was renewed.
    SlotRenewed,
    /// The lease has ended.
    SlotLost,
    /// The writes were made.
    Committed {
        /// Revision of the written keys.
        revision: i64,
    },
    /// A compare failed and nothing was written.
    Conflict,
    /// The bundle's JSON, or nothing when the store has no such bundle.
    Bundle {
        /// Canonical JSON.
        json: Option<String>,
    },
    /// The store was not reached; nothing was written.
    Unavailable,
    /// The answer was lost; a write may have taken effect.
    Uncertain,
}
