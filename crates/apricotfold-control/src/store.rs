//! Requests to the store and their replies, independent of the store's protocol.

use std::time::Duration;

use apricotfold_model::{BundleDigest, RelayEntry};
use compact_str::CompactString;

/// Matches a reply to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEntry {
    /// Full key.
    pub key: CompactString,
    /// Raw value; JSON in every entry that the core reads.
    pub value: Vec<u8>,
    /// Revision of the key's last change.
    pub revision: i64,
}

/// Condition of a transaction: the last change of the key has the given revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCompare {
    /// Full key to compare.
    pub key: CompactString,
    /// Required revision of the key's last change; 0 requires that the key is absent.
    pub revision: i64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// Sets a key.
    Put {
        /// Full key to set.
        key: CompactString,
        /// New value of the key.
        value: Vec<u8>,
        /// Time after which the store removes the key, for which the daemon grants a lease; `None`
        /// for a permanent key.
        ttl: Option<Duration>,
    },
    /// Deletes a key.
    Delete {
        /// Full key to delete.
        key: CompactString,
    },
}

/// A request of the core to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read everything under a prefix. Answered by [`StoreReply::Listed`].
    List {
        /// Key prefix, or a full key.
        prefix: CompactString,
    },
    /// Report everything under a prefix as a complete `StoreEntries` event, then every change.
    /// There is no `StoreResult`. A second request for the same prefix restarts the watch with a
    /// listing.
    Watch {
        /// Key prefix to watch.
        prefix: CompactString,
    },
    /// Stop watching a prefix. There is no reply.
    Unwatch {
        /// Key prefix given in the `Watch` request.
        prefix: CompactString,
    },
    /// Grant a lease and create the slot's key under it if the key is absent. Answered by
    /// `SlotAcquired` or `SlotOccupied`; in the latter case the daemon revokes the lease.
    AcquireSlot {
        /// Full key of the slot.
        key: CompactString,
        /// Value to store under the key.
        entry: RelayEntry,
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renew the slot's lease. Answered by `SlotRenewed` or `SlotLost`.
    RenewSlot {
        /// Lease id from `SlotAcquired`.
        lease: i64,
    },
    /// Revoke the slot's lease. There is no reply.
    ReleaseSlot {
        /// Lease id from `SlotAcquired`.
        lease: i64,
    },
    /// Run a transaction. Answered by `Committed` or `Conflict`.
    Commit {
        /// Conditions that must all hold.
        compares: Vec<StoreCompare>,
        /// Writes made atomically if the conditions hold.
        writes: Vec<StoreWrite>,
    },
    /// Read a bundle. Answered by `Bundle`.
    ReadBundle {
        /// Digest of the bundle's canonical JSON.
        digest: BundleDigest,
    },
}

/// Reply to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// Everything under the requested prefix.
    Listed {
        /// Entries whose key starts with the prefix.
        entries: Vec<StoreEntry>,
    },
    /// The slot was free, and this node now holds it.
    SlotAcquired {
        /// Revision of the slot's key, which is the fencing number.
        revision: i64,
        /// Id of the lease that the key is attached to.
        lease: i64,
    },
    /// Another node holds the slot.
    SlotOccupied,
    /// The slot's lease was renewed.
    SlotRenewed,
    /// The slot's lease has expired.
    SlotLost,
    /// The conditions held and the writes were made.
    Committed {
        /// Revision of the transaction, which all written keys have.
        revision: i64,
    },
    /// A condition did not hold; nothing was written.
    Conflict,
    /// Result of reading a bundle.
    Bundle {
        /// Canonical JSON of the bundle; `None` if the store has no such bundle.
        json: Option<String>,
    },
    /// The store could not be reached; nothing was written.
    Unavailable,
    /// The reply was lost; a write may have taken effect.
    Uncertain,
}
