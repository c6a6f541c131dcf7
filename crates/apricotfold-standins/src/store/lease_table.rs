//! Leases with their expiry times and attached keys.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::error::GatewayError;
use super::message::{LeaseId, SnapshotLease};

/// Longest time to live that the protocol allows.
const MAX_TTL_SECONDS: i64 = 9_000_000_000;

#[derive(Clone, Debug)]
struct LeaseEntry {
    ttl_seconds: i64,
    deadline: Instant,
    keys: BTreeSet<Bytes>,
}

/// All leases that have neither expired nor been revoked.
#[derive(Debug)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseId, LeaseEntry>,
    last_id: LeaseId,
}

impl LeaseTable {
    /// Creates an empty table. Generated lease ids are greater than `last_id`.
    #[must_use]
    pub fn new(last_id: LeaseId) -> Self {
        Self {
            leases: BTreeMap::new(),
            last_id,
        }
    }

    /// Grants a lease and returns its id; an `id` of 0 generates one.
    ///
    /// # Errors
    ///
    /// Returns an error if the time to live is out of range or the id is in use.
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

    /// Restarts a lease's time to live and returns it in seconds; `None` if the lease does not exist.
    pub fn keep_alive(&mut self, id: LeaseId, now: Instant) -> Option<i64> {
        let entry = self.leases.get_mut(&id)?;
        entry.deadline = deadline(entry.ttl_seconds, now);
        Some(entry.ttl_seconds)
    }

    /// Removes a lease and returns its attached keys; `None` if the lease does not exist.
    pub fn remove(&mut self, id: LeaseId) -> Option<BTreeSet<Bytes>> {
        self.leases.remove(&id).map(|entry| entry.keys)
    }

    /// True if the lease exists.
    #[must_use]
    pub fn contains(&self, id: LeaseId) -> bool {
        self.leases.contains_key(&id)
    }

    /// Attaches a key to a lease. Has no effect for id 0 or an unknown lease.
    pub fn attach(&mut self, id: LeaseId, key: &Bytes) {
        if let Some(entry) = self.leases.get_mut(&id) {
            entry.keys.insert(key.clone());
        }
    }

    /// Detaches a key from a lease. Has no effect for id 0 or an unknown lease.
    pub fn detach(&mut self, id: LeaseId, key: &Bytes) {
        if let Some(entry) = self.leases.get_mut(&id) {
            entry.keys.remove(key);
        }
    }

    /// Leases whose time to live has elapsed but which have not been removed yet.
    #[must_use]
    pub fn expired(&self, now: Instant) -> Vec<LeaseId> {
        self.leases
            .iter()
            .filter(|(_, entry)| entry.deadline <= now)
            .map(|(id, _)| *id)
            .collect()
    }

    /// All leases for a snapshot, without their attached keys.
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

    /// Replaces all leases with those of a snapshot, each with its full time to live and without keys.
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
