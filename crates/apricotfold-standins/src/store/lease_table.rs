//! Leases with their deadlines and keys.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::error::GatewayError;
use super::message::{LeaseId, SnapshotLease};

/// Longest time to live in seconds that the protocol allows.
const MAX_TTL_SECONDS: i64 = 9_000_000_000;

#[derive(Clone, Debug)]
struct LeaseEntry {
    ttl_seconds: i64,
    deadline: Instant,
    keys: BTreeSet<Bytes>,
}

/// All live leases.
#[derive(Debug)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseId, LeaseEntry>,
    last_id: LeaseId,
}

impl LeaseTable {
    /// Starts without leases. Ids that the store chooses are above `last_id`.
    #[must_use]
    pub fn new(last_id: LeaseId) -> Self {
        Self {
            leases: BTreeMap::new(),
            last_id,
        }
    }

    /// Grants a lease; `id` 0 lets the table choose one.
    ///
    /// # Errors
    ///
    /// Refuses a time to live outside the allowed range and an id that is in use.
    pub fn grant(
        &mut self,
        id: LeaseId,
        ttl_seconds: i64,
        now: Instant,
    ) -> Result<LeaseId, GatewayError> {
        if !(1..=MAX_TTL_SECONDS).contains(&ttl_seconds) {
            let text = format!("TTL: found {ttl_seconds}, expected 1 to {MAX_TTL_SECONDS}");
            return Err(GatewayError::InvalidArgument(text));
        }
        let id = if id == 0 { self.next_id() } else { id };
        if self.leases.contains_key(&id) {
            return Err(GatewayError::LeaseExists);
        }
        let entry = LeaseEntry {
            ttl_seconds,
            deadline: deadline(ttl_seconds, now),
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, entry);
        Ok(id)
    }

    fn next_id(&mut self) -> LeaseId {
        self.last_id += 1;
        self.last_id
    }

    /// Restarts a lease's time to live and returns it in seconds; `None` if there is no such lease.
    pub fn keep_alive(&mut self, id: LeaseId, now: Instant) -> Option<i64> {
        let entry = self.leases.get_mut(&id)?;
        entry.deadline = deadline(entry.ttl_seconds, now);
        Some(entry.ttl_seconds)
    }

    /// Removes a lease and returns its keys; `None` if there is no such lease.
    pub fn remove(&mut self, id: LeaseId) -> Option<BTreeSet<Bytes>> {
        self.leases.remove(&id).map(|entry| entry.keys)
    }

    /// True if the lease is live.
    #[must_use]
    pub fn contains(&self, id: LeaseId) -> bool {
        self.leases.contains_key(&id)
    }

    /// Binds a key to a lease. Lease 0 and unknown leases are ignored.
    pub fn attach(&mut self, id: LeaseId, key: &Bytes) {
        if let Some(entry) = self.leases.get_mut(&id) {
            entry.keys.insert(key.clone());
        }
    }

    /// Removes a key from its lease.
    pub fn detach(&mut self, id: LeaseId, key: &Bytes) {
        if let Some(entry) = self.leases.get_mut(&id) {
            entry.keys.remove(key);
        }
    }

    /// Leases whose time to live has ended.
    #[must_use]
    pub fn expired(&self, now: Instant) -> Vec<LeaseId> {
        self.leases
            .iter()
            .filter(|(_, entry)| entry.deadline <= now)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Leases as a snapshot holds them.
    #[must_use]
    pub fn snapshot(&self) -> Vec<SnapshotLease> {
        self.leases
            .iter()
            .map(|(id, entry)| SnapshotLease {
                id: *id,
                ttl: entry.ttl_seconds,
            })
            .collect()
    }

    /// Replaces all leases by those of a snapshot, each with its full time to live.
    pub fn restore(&mut self, leases: &[SnapshotLease], now: Instant) {
        self.leases = leases
            .iter()
            .map(|lease| {
                let entry = LeaseEntry {
                    ttl_seconds: lease.ttl,
                    deadline: deadline(lease.ttl, now),
                    keys: BTreeSet::new(),
                };
                (lease.id, entry)
            })
            .collect();
    }
}

fn deadline(ttl_seconds: i64, now: Instant) -> Instant {
    now + Duration::from_secs(
        ttl_seconds
            .unsigned_abs()
            .min(MAX_TTL_SECONDS.unsigned_abs()),
    )
}
