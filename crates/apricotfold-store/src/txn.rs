//! Transactions: writes that are applied atomically if a set of comparisons holds.

use crate::{LeaseId, Revision, StoreEntry};

/// A condition on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// Key to compare.
        key: String,
    },
    /// The key was last changed at the given revision.
    ModRevision {
        /// Key to compare.
        key: String,
        /// Expected revision; 0 means that the key does not exist.
        revision: Revision,
    },
    /// The key was created at the given revision. The creation revision of a leased key serves as a
    /// fencing token: the comparison fails for a holder that has lost its lease.
    CreateRevision {
        /// Key to compare.
        key: String,
        /// Expected revision.
        revision: Revision,
    },
}

impl Compare {
    /// Returns the compared key.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Absent { key }
            | Self::ModRevision { key, .. }
            | Self::CreateRevision { key, .. } => key,
        }
    }
}

/// A write operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// Creates a key or replaces its value.
    Put {
        /// Key to write.
        key: String,
        /// New value.
        value: String,
        /// Lease on whose expiry the key is deleted; 0 attaches no lease.
        lease: LeaseId,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        key: String,
    },
}

/// A conditional, atomic set of writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreTxn {
    /// Conditions, all of which must hold.
    pub compares: Vec<Compare>,
    /// Writes, in the order in which they are applied.
    pub writes: Vec<StoreWrite>,
}

impl StoreTxn {
    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, compare: Compare) -> Self {
        self.compares.push(compare);
        self
    }

    /// Adds a write of a key that is not attached to a lease.
    #[must_use]
    pub fn put(self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.put_leased(key, value, 0)
    }

    /// Adds a write of a key that is deleted when its lease expires.
    #[must_use]
    pub fn put_leased(
        mut self,
        key: impl Into<String>,
        value: impl Into<String>,
        lease: LeaseId,
    ) -> Self {
        self.writes.push(StoreWrite::Put {
            key: key.into(),
            value: value.into(),
            lease,
        });
        self
    }

    /// Adds a deletion of a key.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(StoreWrite::Delete { key: key.into() });
        self
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResponse {
    /// True if every condition held and the writes took effect.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// Current entries of the compared keys if a condition failed; empty otherwise.
    pub found: Vec<StoreEntry>,
}
