//! Transactions: comparisons and the writes that follow when all of them hold.

use crate::{LeaseId, Revision, StoreEntry};

/// A condition on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// The key.
        key: String,
    },
    /// The key was last changed at this revision; 0 means that it does not exist.
    ModRevision {
        /// The key.
        key: String,
        /// The expected revision.
        revision: Revision,
    },
    /// The key was created at this revision. The revision of a leased key serves as a fencing
    /// number: a holder that lost its lease fails this comparison.
    CreateRevision {
        /// The key.
        key: String,
        /// The expected revision.
        revision: Revision,
    },
}

impl Compare {
    /// The key that the condition is about.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Absent { key }
            | Self::ModRevision { key, .. }
            | Self::CreateRevision { key, .. } => key,
        }
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// Lease that deletes the key when it expires; 0 for none.
        lease: LeaseId,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// Writes that happen all or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreTxn {
    /// Conditions; all must hold.
    pub compares: Vec<Compare>,
    /// Writes in order.
    pub writes: Vec<StoreWrite>,
}

impl StoreTxn {
    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, compare: Compare) -> Self {
        self.compares.push(compare);
        self
    }

    /// Adds a write of a key without a lease.
    #[must_use]
    pub fn put(self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.put_leased(key, value, 0)
    }

    /// Adds a write of a key that a lease deletes when it expires.
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

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(StoreWrite::Delete { key: key.into() });
        self
    }
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResponse {
    /// True when every condition held and the writes took effect.
    pub succeeded: bool,
    /// Revision of the store after the call.
    pub revision: Revision,
    /// Present entries of the compared keys when a condition did not hold.
    pub found: Vec<StoreEntry>,
}
