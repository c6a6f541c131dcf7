//! State of the store: keys with revisions, leases and the event history for watches. Performs no I/O
//! and reads no clock.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use bytes::Bytes;

use super::error::{GatewayError, MAX_VALUE_BYTES};
use super::key_range::KeyRange;
use super::lease_table::LeaseTable;
use super::message::{
    DeleteRangeRequest, DeleteRangeResponse, EventType, KeyEntry, LeaseGrantRequest, LeaseId,
    LeaseRequest, LeaseResponse, LeaseRevokeResponse, PutRequest, PutResponse, RangeRequest,
    RangeResponse, ResponseHeader, Revision, StoreSnapshot, WatchEvent,
};

/// Revision of an empty store, as in the published protocol.
const FIRST_REVISION: Revision = 1;

/// Maximum number of events kept for watches that start at a past revision. Bounds the memory use of
/// a long run.
const MAX_HISTORY_EVENTS: usize = 100_000;
/// Maximum total size of the values in the event history. A bundle can be up to one megabyte, so a
/// limit on the number of events does not bound the memory use.
const MAX_HISTORY_BYTES: usize = 64 * 1024 * 1024;

/// Size of values after which a watch line is ended at the next revision. Limits the line length for
/// clients that read line by line when a watch replays a long history.
const MAX_BATCH_BYTES: usize = 4 * 1024 * 1024;

/// Events that a watch reports in one line.
#[derive(Debug, Default)]
pub struct EventBatch {
    /// Events in revision order.
    pub events: Vec<WatchEvent>,
    /// Revision from which the watch continues.
    pub next: Revision,
}

/// Keys, leases and recent events.
#[derive(Debug)]
pub struct KeySpace {
    pub(super) entries: BTreeMap<Bytes, KeyEntry>,
    pub(super) leases: LeaseTable,
    revision: Revision,
    /// Id of the cluster, which is another one after each restore.
    cluster_id: i64,
    history: VecDeque<WatchEvent>,
    history_bytes: usize,
    /// Events up to and including this revision are no longer in the history.
    compacted_up_to: Revision,
}

impl KeySpace {
    /// Creates an empty store. Generated lease ids are greater than `last_lease`.
    #[must_use]
    pub fn new(last_lease: LeaseId) -> Self {
        Self {
            entries: BTreeMap::new(),
            leases: LeaseTable::new(last_lease),
            revision: FIRST_REVISION,
            cluster_id: 1,
            history: VecDeque::new(),
            history_bytes: 0,
            compacted_up_to: 0,
        }
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Response header with the current revision.
    #[must_use]
    pub fn header(&self) -> ResponseHeader {
        self.header_at(self.revision)
    }

    /// Response header with a revision of this store.
    #[must_use]
    pub fn header_at(&self, revision: Revision) -> ResponseHeader {
        ResponseHeader::at(revision, self.cluster_id)
    }

    /// Reads a key or a range.
    ///
    /// # Errors
    ///
    /// Returns an error for a read of a past revision or an empty key without a range.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, GatewayError> {
        check_range(request)?;
        let range = KeyRange::new(&request.key, &request.range_end);
        let found = self.select(&range);
        let count = found.len();
        let limit = match usize::try_from(request.limit) {
            Ok(limit) if limit > 0 => limit,
            _ => count,
        };
        let shown = if request.count_only { 0 } else { limit };
        let kvs = found
            .into_iter()
            .take(shown)
            .map(|entry| without_value(entry, request.keys_only))
            .collect();
        Ok(RangeResponse {
            header: self.header(),
            kvs,
            more: !request.count_only && limit < count,
            count: i64::try_from(count).unwrap_or(i64::MAX),
        })
    }

    pub(super) fn select(&self, range: &KeyRange) -> Vec<&KeyEntry> {
        if range.is_empty() {
            return Vec::new();
        }
        self.entries
            .range::<Bytes, _>(range.bounds())
            .map(|(_, entry)| entry)
            .collect()
    }

    /// Writes a key in its own transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is empty, the value is too large or the lease does not exist.
    pub fn put(&mut self, request: &PutRequest) -> Result<PutResponse, GatewayError> {
        self.check_put(request)?;
        let revision = self.revision + 1;
        let response = self.apply_put(request, revision);
        self.finish_changes(revision);
        Ok(PutResponse {
            header: self.header(),
            ..response
        })
    }

    pub(super) fn check_put(&self, request: &PutRequest) -> Result<(), GatewayError> {
        if request.key.is_empty() {
            return Err(GatewayError::KeyMissing);
        }
        if request.value.len() > MAX_VALUE_BYTES {
            return Err(GatewayError::ValueTooLarge);
        }
        if request.lease != 0 && !self.leases.contains(request.lease) {
            return Err(GatewayError::LeaseNotFound);
        }
        Ok(())
    }

    pub(super) fn apply_put(&mut self, request: &PutRequest, revision: Revision) -> PutResponse {
        let previous = self.entries.get(&request.key).cloned();
        if let Some(previous) = &previous {
            self.leases.detach(previous.lease, &request.key);
        }
        self.leases.attach(request.lease, &request.key);
        let entry = KeyEntry {
            key: request.key.clone(),
            create_revision: previous
                .as_ref()
                .map_or(revision, |entry| entry.create_revision),
            mod_revision: revision,
            version: previous.as_ref().map_or(0, |entry| entry.version) + 1,
            value: request.value.clone(),
            lease: request.lease,
        };
        self.entries.insert(request.key.clone(), entry.clone());
        self.record(EventType::Put, entry);
        PutResponse {
            header: self.header_at(revision),
            prev_kv: previous.filter(|_| request.prev_kv),
        }
    }

    /// Deletes a key or a range in its own transaction.
    ///
    /// # Errors
    ///
    /// Returns an error for an empty key without a range.
    pub fn delete_range(
        &mut self,
        request: &DeleteRangeRequest,
    ) -> Result<DeleteRangeResponse, GatewayError> {
        check_delete(request)?;
        let revision = self.revision + 1;
        let response = self.apply_delete(request, revision);
        self.finish_changes(revision);
        Ok(DeleteRangeResponse {
            header: self.header(),
            ..response
        })
    }

    pub(super) fn apply_delete(
        &mut self,
        request: &DeleteRangeRequest,
        revision: Revision,
    ) -> DeleteRangeResponse {
        let range = KeyRange::new(&request.key, &request.range_end);
        let deleted: Vec<KeyEntry> = self.select(&range).into_iter().cloned().collect();
        for entry in &deleted {
            self.remove_entry(entry, revision);
        }
        DeleteRangeResponse {
            header: self.header_at(revision),
            deleted: i64::try_from(deleted.len()).unwrap_or(i64::MAX),
            prev_kvs: if request.prev_kv { deleted } else { Vec::new() },
        }
    }

    fn remove_entry(&mut self, entry: &KeyEntry, revision: Revision) {
        self.entries.remove(&entry.key);
        self.leases.detach(entry.lease, &entry.key);
        let deleted = KeyEntry {
            key: entry.key.clone(),
            mod_revision: revision,
            ..KeyEntry::default()
        };
        self.record(EventType::Delete, deleted);
    }

    fn record(&mut self, kind: EventType, kv: KeyEntry) {
        self.history_bytes += kv.value.len();
        self.history.push_back(WatchEvent { kind, kv });
    }

    /// Advances the store to `revision` if changes were recorded at it. A transaction without changes
    /// does not advance the revision.
    pub(super) fn finish_changes(&mut self, revision: Revision) {
        let newest = self.history.back().map_or(0, |event| event.kv.mod_revision);
        if newest == revision {
            self.revision = revision;
        }
        self.trim_history();
    }

    /// Evicts whole revisions, because a watch must report all changes of a transaction or none. Keeps
    /// the newest revision, because the service reads it to determine the keys that a call changed.
    fn trim_history(&mut self) {
        while self.history.len() > MAX_HISTORY_EVENTS || self.history_bytes > MAX_HISTORY_BYTES {
            let oldest = self.history.front().map(|event| event.kv.mod_revision);
            match oldest {
                Some(oldest) if oldest < self.revision => self.evict_revision(oldest),
                _ => return,
            }
        }
    }

    fn evict_revision(&mut self, revision: Revision) {
        while let Some(event) = self.history.front()
            && event.kv.mod_revision == revision
        {
            self.history_bytes -= event.kv.value.len();
            self.history.pop_front();
        }
        self.compacted_up_to = revision;
    }

    /// Events of keys in `range` from revision `start` on. Contains only whole revisions, and ends at
    /// the first revision boundary after [`MAX_BATCH_BYTES`] of values are exceeded.
    ///
    /// # Errors
    ///
    /// Returns the oldest revision that can still be watched, if `start` is older.
    pub fn events_from(&self, range: &KeyRange, start: Revision) -> Result<EventBatch, Revision> {
        if start <= self.compacted_up_to {
            return Err(self.compacted_up_to + 1);
        }
        let first = self
            .history
            .partition_point(|event| event.kv.mod_revision < start);
        let mut batch = EventBatch {
            events: Vec::new(),
            next: start.max(self.revision + 1),
        };
        let mut bytes = 0;
        let mut last = start;
        for event in self.history.range(first..) {
            if bytes > MAX_BATCH_BYTES && event.kv.mod_revision > last {
                batch.next = event.kv.mod_revision;
                break;
            }
            if range.contains(&event.kv.key) {
                bytes += event.kv.value.len();
                last = event.kv.mod_revision;
                batch.events.push(event.clone());
            }
        }
        Ok(batch)
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the time to live is out of range or the id is in use.
    pub fn grant(
        &mut self,
        request: &LeaseGrantRequest,
        now: Instant,
    ) -> Result<LeaseResponse, GatewayError> {
        let id = self.leases.grant(request.id, request.ttl, now)?;
        Ok(LeaseResponse {
            header: self.header(),
            id,
            ttl: request.ttl,
        })
    }

    /// Restarts a lease's time to live. The response for an unknown lease has a time to live of 0.
    pub fn keep_alive(&mut self, request: &LeaseRequest, now: Instant) -> LeaseResponse {
        LeaseResponse {
            header: self.header(),
            id: request.id,
            ttl: self.leases.keep_alive(request.id, now).unwrap_or(0),
        }
    }

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease does not exist.
    pub fn revoke(&mut self, request: &LeaseRequest) -> Result<LeaseRevokeResponse, GatewayError> {
        if !self.end_lease(request.id) {
            return Err(GatewayError::LeaseNotFound);
        }
        Ok(LeaseRevokeResponse {
            header: self.header(),
        })
    }

    /// Ends expired leases, deletes their keys and returns the number of leases.
    pub fn expire(&mut self, now: Instant) -> usize {
        let expired = self.leases.expired(now);
        for id in &expired {
            self.end_lease(*id);
        }
        expired.len()
    }

    fn end_lease(&mut self, id: LeaseId) -> bool {
        let Some(keys) = self.leases.remove(id) else {
            return false;
        };
        let revision = self.revision + 1;
        for key in &keys {
            if let Some(entry) = self.entries.get(key).cloned() {
                self.remove_entry(&entry, revision);
            }
        }
        self.finish_changes(revision);
        true
    }

    /// Copies all keys and leases.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot {
            revision: self.revision,
            leases: self.leases.snapshot(),
            kvs: self.entries.values().cloned().collect(),
        }
    }

    /// Replaces the whole state with a snapshot. Revisions continue from that of the snapshot; events
    /// up to it can no longer be watched.
    pub fn restore(&mut self, snapshot: StoreSnapshot, now: Instant) {
        self.revision = snapshot.revision;
        self.cluster_id += 1;
        self.compacted_up_to = snapshot.revision;
        self.history.clear();
        self.history_bytes = 0;
        self.leases.restore(&snapshot.leases, now);
        self.entries.clear();
        for entry in snapshot.kvs {
            self.leases.attach(entry.lease, &entry.key);
            self.entries.insert(entry.key.clone(), entry);
        }
    }
}

/// Rejects reads of past revisions, which the stand-in does not support, and missing keys.
pub(super) fn check_range(request: &RangeRequest) -> Result<(), GatewayError> {
    if request.revision != 0 {
        let text = format!("revision: found {}, expected 0", request.revision);
        return Err(GatewayError::InvalidArgument(text));
    }
    if request.key.is_empty() && request.range_end.is_empty() {
        return Err(GatewayError::KeyMissing);
    }
    Ok(())
}

pub(super) fn check_delete(request: &DeleteRangeRequest) -> Result<(), GatewayError> {
    if request.key.is_empty() && request.range_end.is_empty() {
        return Err(GatewayError::KeyMissing);
    }
    Ok(())
}

fn without_value(entry: &KeyEntry, keys_only: bool) -> KeyEntry {
    let mut copy = entry.clone();
    if keys_only {
        copy.value = Bytes::new();
    }
    copy
}
