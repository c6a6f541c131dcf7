//! Table of all replicated records of a node. See `docs/design.md`, section 5.1.

use std::{
    collections::BTreeMap,
    ops::Bound,
    time::{Duration, Instant},
};

use apricotfold_schema::peer::{Record, RecordId, RecordKind};
use bytes::Bytes;
use compact_str::CompactString;

use crate::{
    RecordBody, RecordKey, RecordVersion,
    record_body::{join_id, split_id},
    stable_hash::stable_hash,
};

/// Number of buckets, and hence of hashes, in a digest.
pub const BUCKETS: usize = 64;

/// Time to live of removal markers and of records of transient kinds. Endpoints, heads and relay
/// records do not expire.
pub const RECORD_TTL: Duration = Duration::from_mins(10);

/// Remaining lifetime up to which a record is not accepted from a peer. Nodes expire a record at
/// slightly different times, and without the margin the last holder would keep sending it back.
const RECORD_TTL_MARGIN: Duration = Duration::from_secs(5);

/// How far a record is replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordScope {
    /// Votes, suspicions and statuses, which stay inside their data centre.
    DataCentre,
    /// Everything else.
    All,
}

impl RecordScope {
    /// Returns the scope in which records of this kind are replicated.
    #[must_use]
    pub fn of(kind: RecordKind) -> Self {
        match kind {
            RecordKind::Vote | RecordKind::Suspicion | RecordKind::Status => Self::DataCentre,
            _ => Self::All,
        }
    }

    /// Returns true if a link of this scope may carry records of the kind.
    #[must_use]
    pub fn carries(self, kind: RecordKind) -> bool {
        self == Self::DataCentre || Self::of(kind) == Self::All
    }
}

/// Result of merging a record into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was new or replaced an older version.
    Newer,
    /// The table already holds this version.
    Same,
    /// The table holds a newer version, or the record has expired.
    Older,
    /// The id or the body of the record cannot be decoded.
    Invalid,
}

/// A record of the table, decoded and in its encoded form.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// Version by which merging orders the record.
    pub version: RecordVersion,
    /// Region of the node that published the record.
    pub origin_region: CompactString,
    /// Data centre of the node that published the record.
    pub origin_data_centre: CompactString,
    /// Decoded body; [`RecordBody::Removed`] for a removal marker.
    pub body: RecordBody,
    encoded: Bytes,
    published: Instant,
}

impl StoredRecord {
    /// Returns true for a removal marker.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.body == RecordBody::Removed
    }

    fn rank(&self) -> (RecordVersion, bool, &[u8]) {
        (self.version, self.is_removed(), &self.encoded)
    }

    fn expires(&self, kind: RecordKind) -> bool {
        let lasting = matches!(
            kind,
            RecordKind::Endpoint | RecordKind::Head | RecordKind::Relay
        );
        self.is_removed() || !lasting
    }

    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.published)
    }
}

/// Records by kind and key. Merging is commutative, associative and idempotent: the higher
/// version wins; among equal versions a removal wins, then the body that compares greater.
#[derive(Debug)]
pub struct RecordTable {
    records: BTreeMap<RecordKey, StoredRecord>,
    global: [u64; BUCKETS],
    local: [u64; BUCKETS],
}

impl Default for RecordTable {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            global: [0; BUCKETS],
            local: [0; BUCKETS],
        }
    }
}

impl RecordTable {
    /// Stores a record if it is newer than the one in the table.
    pub fn merge(&mut self, record: Record, now: Instant) -> MergeOutcome {
        let Some((key, version)) = record.id.as_ref().and_then(split_id) else {
            return MergeOutcome::Invalid;
        };
        let body = if record.removed {
            Some(RecordBody::Removed)
        } else {
            RecordBody::decode(key.kind, &record.body)
        };
        let Some(body) = body else {
            return MergeOutcome::Invalid;
        };
        let age = Duration::from_millis(record.age_ms.into());
        let stored = StoredRecord {
            version,
            origin_region: record.origin_region.into(),
            origin_data_centre: record.origin_data_centre.into(),
            encoded: if record.removed {
                Bytes::new()
            } else {
                record.body
            },
            body,
            // An `Instant` cannot precede the system's start. In that case the record's age is
            // taken as zero and it expires later.
            published: now.checked_sub(age).unwrap_or(now),
        };
        if stored.expires(key.kind) && age + RECORD_TTL_MARGIN >= RECORD_TTL {
            return MergeOutcome::Older;
        }
        self.insert(key, stored)
    }

    fn insert(&mut self, key: RecordKey, stored: StoredRecord) -> MergeOutcome {
        if let Some(known) = self.records.get(&key) {
            match stored.rank().cmp(&known.rank()) {
                std::cmp::Ordering::Less => return MergeOutcome::Older,
                std::cmp::Ordering::Equal => return MergeOutcome::Same,
                std::cmp::Ordering::Greater => {}
            }
        }
        self.remove(&key);
        self.toggle_in_digests(&key, &stored);
        self.records.insert(key, stored);
        MergeOutcome::Newer
    }

    fn remove(&mut self, key: &RecordKey) {
        if let Some(known) = self.records.remove(key) {
            self.toggle_in_digests(key, &known);
        }
    }

    /// Adds a record to the digests, or removes it if they contain it.
    fn toggle_in_digests(&mut self, key: &RecordKey, stored: &StoredRecord) {
        let bucket = bucket_of(key);
        let hash = stable_hash(&[
            &[key.kind as u8, u8::from(stored.is_removed())],
            key.key.as_bytes(),
            &stored.version.epoch.to_le_bytes(),
            &stored.version.sequence.to_le_bytes(),
        ]);
        self.local[bucket] ^= hash;
        if RecordScope::of(key.kind) == RecordScope::All {
            self.global[bucket] ^= hash;
        }
    }

    /// Returns a record or removal marker.
    #[must_use]
    pub fn get(&self, kind: RecordKind, key: &str) -> Option<&StoredRecord> {
        self.records.get(&RecordKey::new(kind, key))
    }

    /// Returns the decoded body of a record, or `None` if the record is unknown or removed.
    #[must_use]
    pub fn body(&self, kind: RecordKind, key: &str) -> Option<&RecordBody> {
        self.get(kind, key)
            .filter(|stored| !stored.is_removed())
            .map(|stored| &stored.body)
    }

    /// Iterates over the records of a kind whose key starts with the prefix, including removal
    /// markers.
    pub fn range<'a>(
        &'a self,
        kind: RecordKind,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a CompactString, &'a StoredRecord)> {
        let start = RecordKey::new(kind, prefix);
        self.records
            .range((Bound::Included(start), Bound::Unbounded))
            .take_while(move |(key, _)| key.kind == kind && key.key.starts_with(prefix))
            .map(|(key, stored)| (&key.key, stored))
    }

    /// Returns a record in its wire form, with its current age.
    #[must_use]
    pub fn export(&self, key: &RecordKey, now: Instant) -> Option<Record> {
        let stored = self.records.get(key)?;
        let age = stored.age(now).as_millis();
        Some(Record {
            id: Some(join_id(key, stored.version)),
            origin_region: stored.origin_region.to_string(),
            origin_data_centre: stored.origin_data_centre.to_string(),
            body: stored.encoded.clone(),
            removed: stored.is_removed(),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns the digest of the records that a link of this scope may carry.
    #[must_use]
    pub fn digest(&self, scope: RecordScope) -> &[u64; BUCKETS] {
        match scope {
            RecordScope::DataCentre => &self.local,
            RecordScope::All => &self.global,
        }
    }

    /// Returns the buckets in which a peer's digest differs from this table's; all of them if the
    /// lengths differ.
    #[must_use]
    pub fn differing(&self, scope: RecordScope, peer: &[u64]) -> Vec<u32> {
        let own = self.digest(scope);
        let all = peer.len() != own.len();
        (0..BUCKETS)
            .filter(|bucket| all || own[*bucket] != peer[*bucket])
            .map(|bucket| u32::try_from(bucket).unwrap_or_default())
            .collect()
    }

    /// Returns the ids, with versions, of the records in the buckets.
    #[must_use]
    pub fn bucket_ids(&self, scope: RecordScope, buckets: &[u32]) -> Vec<RecordId> {
        self.select(scope, buckets)
            .map(|(key, stored)| join_id(key, stored.version))
            .collect()
    }

    /// Iterates over the records in the buckets that a link of this scope may carry.
    pub(crate) fn select<'a>(
        &'a self,
        scope: RecordScope,
        buckets: &'a [u32],
    ) -> impl Iterator<Item = (&'a RecordKey, &'a StoredRecord)> {
        let mut wanted = [false; BUCKETS];
        for bucket in buckets {
            if let Some(flag) = wanted.get_mut(*bucket as usize) {
                *flag = true;
            }
        }
        let none = buckets.is_empty();
        self.records
            .iter()
            .filter(move |(key, _)| !none && scope.carries(key.kind) && wanted[bucket_of(key)])
    }

    /// Returns true if the version is newer than the one in the table, or if the record is unknown.
    #[must_use]
    pub fn lacks(&self, key: &RecordKey, version: RecordVersion) -> bool {
        self.records
            .get(key)
            .is_none_or(|stored| stored.version < version)
    }

    /// Removes expired records and returns their keys.
    pub fn expire(&mut self, now: Instant) -> Vec<RecordKey> {
        let expired: Vec<RecordKey> = self
            .records
            .iter()
            .filter(|(key, stored)| stored.expires(key.kind) && stored.age(now) >= RECORD_TTL)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.remove(key);
        }
        expired
    }

    /// Returns the number of records, including removal markers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if the table holds neither records nor removal markers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

fn bucket_of(key: &RecordKey) -> usize {
    let hash = stable_hash(&[&[key.kind as u8], key.key.as_bytes()]);
    usize::try_from(hash % BUCKETS as u64).unwrap_or_default()
}
