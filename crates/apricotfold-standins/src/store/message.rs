//! Messages of the gateway. Field names in requests may be camel case or snake case; answers use
//! snake case and leave out default values, as the published gateway does.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::encoding::{base64_bytes, int64};

/// Number of a change; grows by one with each transaction that changes something.
pub type Revision = i64;
/// Identifies a lease; zero means none.
pub type LeaseId = i64;

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde prescribes the signature"
)]
fn is_zero(number: &i64) -> bool {
    *number == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde prescribes the signature"
)]
fn is_false(flag: &bool) -> bool {
    !*flag
}

/// A key with its value and its revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyEntry {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Revision of the put that created the key.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub create_revision: Revision,
    /// Revision of the last put.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub mod_revision: Revision,
    /// Number of puts since the key was created.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub version: i64,
    /// The value.
    #[serde(with = "base64_bytes", skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    /// Lease that the key is bound to.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub lease: LeaseId,
}

/// Answers carry the store's revision in their header.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ResponseHeader {
    #[serde(with = "int64")]
    cluster_id: i64,
    #[serde(with = "int64")]
    member_id: i64,
    /// The store's revision when the answer was made.
    #[serde(with = "int64")]
    pub revision: Revision,
    #[serde(with = "int64")]
    raft_term: i64,
}

impl ResponseHeader {
    /// Makes the header of a store with one member.
    #[must_use]
    pub fn at(revision: Revision) -> Self {
        Self {
            cluster_id: 1,
            member_id: 1,
            revision,
            raft_term: 1,
        }
    }
}

/// Reads one key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RangeRequest {
    /// The key, or the first key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// End of the range, exclusive; empty for one key, one zero byte for all keys from `key`.
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Bytes,
    /// Largest number of keys in the answer; 0 means no limit.
    #[serde(with = "int64")]
    pub limit: i64,
    /// Past revisions cannot be read; anything but 0 is refused.
    #[serde(with = "int64")]
    pub revision: Revision,
    /// Accepted without effect: the store has one member.
    pub serializable: bool,
    /// Leaves the values out.
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    /// Answers the number of keys only.
    #[serde(alias = "countOnly")]
    pub count_only: bool,
}

/// Answer to [`RangeRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct RangeResponse {
    /// Header with the revision.
    pub header: ResponseHeader,
    /// The keys in ascending order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyEntry>,
    /// True if the limit cut keys off.
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    /// Number of keys in the range.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub count: i64,
}

/// Writes one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PutRequest {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Lease to bind the key to; 0 means none.
    #[serde(with = "int64")]
    pub lease: LeaseId,
    /// Answers the replaced entry.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Answer to [`PutRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct PutResponse {
    /// Header with the revision.
    pub header: ResponseHeader,
    /// The replaced entry, if it was asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<KeyEntry>,
}

/// Deletes one key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeleteRangeRequest {
    /// The key, or the first key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// End of the range, as in [`RangeRequest`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Bytes,
    /// Answers the deleted entries.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Answer to [`DeleteRangeRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct DeleteRangeResponse {
    /// Header with the revision.
    pub header: ResponseHeader,
    /// Number of deleted keys.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub deleted: i64,
    /// The deleted entries, if they were asked for.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prev_kvs: Vec<KeyEntry>,
}

/// How a comparison relates the stored field to the given one.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Stored equals given.
    #[default]
    Equal,
    /// Stored is greater than given.
    Greater,
    /// Stored is less than given.
    Less,
    /// Stored differs from given.
    NotEqual,
}

/// Field that a comparison looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of puts since the creation.
    #[default]
    Version,
    /// Revision of the creation.
    Create,
    /// Revision of the last put.
    Mod,
    /// The value.
    Value,
    /// The lease.
    Lease,
}

/// One comparison of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Compare {
    /// Relation that must hold.
    pub result: CompareResult,
    /// Field that is compared.
    pub target: CompareTarget,
    /// The key, or the first key of a range in which every key must satisfy the comparison.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// End of the range, as in [`RangeRequest`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Bytes,
    /// Given version.
    #[serde(with = "int64")]
    pub version: i64,
    /// Given revision of the creation.
    #[serde(with = "int64", alias = "createRevision")]
    pub create_revision: Revision,
    /// Given revision of the last put.
    #[serde(with = "int64", alias = "modRevision")]
    pub mod_revision: Revision,
    /// Given value.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Given lease.
    #[serde(with = "int64")]
    pub lease: LeaseId,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum RequestOp {
    /// Reads keys.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    /// Writes a key.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// Deletes keys.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

/// Answer to one [`RequestOp`].
#[derive(Clone, Debug, Serialize)]
pub enum ResponseOp {
    /// Keys that were read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// A key was written.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// Keys were deleted.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Runs one of two branches, depending on comparisons.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TxnRequest {
    /// Comparisons that must all hold for the success branch.
    pub compare: Vec<Compare>,
    /// Operations if every comparison holds.
    pub success: Vec<RequestOp>,
    /// Operations otherwise.
    pub failure: Vec<RequestOp>,
}

/// Answer to [`TxnRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct TxnResponse {
    /// Header with the revision.
    pub header: ResponseHeader,
    /// True if every comparison held.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// Answers to the operations that were run.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Grants a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
    /// Wanted id; 0 lets the store choose.
    #[serde(rename = "ID", with = "int64")]
    pub id: LeaseId,
}

/// Names a lease to keep alive or to revoke.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: LeaseId,
}

/// Answer to a grant or a keep-alive. A keep-alive of an unknown lease has a time to live of zero.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseResponse {
    /// Header with the revision.
    pub header: ResponseHeader,
    /// The lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: LeaseId,
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_zero")]
    pub ttl: i64,
}

/// Answer to a revocation.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseRevokeResponse {
    /// Header with the revision.
    pub header: ResponseHeader,
}

/// Opens a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchRequest {
    /// Keys to watch and revision to start from.
    #[serde(alias = "createRequest")]
    pub create_request: Option<WatchCreateRequest>,
}

/// Keys to watch and revision to start from.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchCreateRequest {
    /// The key, or the first key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// End of the range, as in [`RangeRequest`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Bytes,
    /// First revision to report; 0 means the next one.
    #[serde(with = "int64", alias = "startRevision")]
    pub start_revision: Revision,
    /// Accepted without effect.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventType {
    /// A key was written.
    #[default]
    Put,
    /// A key was deleted.
    Delete,
}

impl EventType {
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde prescribes the signature"
    )]
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

/// One change of a key.
#[derive(Clone, Debug, Serialize)]
pub struct WatchEvent {
    /// Kind; left out for puts.
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub kind: EventType,
    /// The entry after a put; key and revision of a deletion.
    pub kv: KeyEntry,
}

/// One line of a watch's answer.
#[derive(Clone, Debug, Serialize)]
pub struct WatchResponse {
    /// Header with the revision.
    pub header: ResponseHeader,
    /// True in the first line.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// True in the last line if the store ends the watch.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// Oldest revision that can be watched, if the wanted one is older.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub compact_revision: Revision,
    /// Changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// Wraps each message of a stream.
#[derive(Clone, Debug, Serialize)]
pub struct StreamResult<T> {
    /// The message.
    pub result: T,
}

/// A lease in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotLease {
    /// The lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: LeaseId,
    /// Granted time to live in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
}

/// All keys and leases at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSnapshot {
    /// Revision of the state.
    #[serde(with = "int64")]
    pub revision: Revision,
    /// All leases; a restore gives each its full time to live.
    pub leases: Vec<SnapshotLease>,
    /// All keys.
    pub kvs: Vec<KeyEntry>,
}
