//! Messages of the gateway. Field names in requests may be camel case or snake case; responses use
//! snake case and omit default values, as the published gateway does.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::encoding::{base64_bytes, int64};

/// Version of the whole store; incremented by each transaction that changes a key.
pub type Revision = i64;
/// Lease id; 0 means no lease.
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

/// A key with its value and metadata.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyEntry {
    /// Empty in the default entry that stands for a missing key.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Revision of the put that created the key.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub create_revision: Revision,
    /// Revision of the last put.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub mod_revision: Revision,
    /// Number of puts since the key was created, including the first.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub version: i64,
    /// Empty in deletion events and in reads with `keys_only`.
    #[serde(with = "base64_bytes", skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    /// Lease that the key is attached to; 0 if none.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub lease: LeaseId,
}

/// Header of every response.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ResponseHeader {
    #[serde(with = "int64")]
    cluster_id: i64,
    #[serde(with = "int64")]
    member_id: i64,
    /// Revision of the store when the response was built; in watch events, the last revision reported.
    #[serde(with = "int64")]
    pub revision: Revision,
    #[serde(with = "int64")]
    raft_term: i64,
}

impl ResponseHeader {
    /// Header at `revision`, as a store with a single member returns it.
    #[must_use]
    pub fn at(revision: Revision, cluster_id: i64) -> Self {
        Self {
            cluster_id,
            member_id: 1,
            revision,
            raft_term: 1,
        }
    }
}

/// Request to read a key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RangeRequest {
    /// The key, or the inclusive start of the range.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Exclusive end of the range; empty for a single key, one zero byte for all keys from `key` on.
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Bytes,
    /// Maximum number of keys in the response; 0 means no limit.
    #[serde(with = "int64")]
    pub limit: i64,
    /// Must be 0: reads of past revisions are not supported and are rejected.
    #[serde(with = "int64")]
    pub revision: Revision,
    /// Accepted but has no effect, since the store has a single member.
    pub serializable: bool,
    /// Omits the values from the response.
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    /// Returns only the number of keys.
    #[serde(alias = "countOnly")]
    pub count_only: bool,
}

/// Response to [`RangeRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct RangeResponse {
    /// Carries the revision after the call.
    pub header: ResponseHeader,
    /// Entries in ascending key order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyEntry>,
    /// True if `limit` truncated the result.
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    /// Number of keys in the range, regardless of `limit`.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub count: i64,
}

/// Request to write a key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PutRequest {
    /// Must not be empty.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// At most [`MAX_VALUE_BYTES`](super::error::MAX_VALUE_BYTES) long.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Lease to attach the key to; 0 means none.
    #[serde(with = "int64")]
    pub lease: LeaseId,
    /// Returns the entry that was replaced.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Response to [`PutRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct PutResponse {
    /// Carries the revision after the call.
    pub header: ResponseHeader,
    /// The replaced entry, if `prev_kv` was requested and the key existed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<KeyEntry>,
}

/// Request to delete a key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeleteRangeRequest {
    /// The key, or the inclusive start of the range.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Exclusive end of the range, encoded as in [`RangeRequest`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Bytes,
    /// Returns the deleted entries.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Response to [`DeleteRangeRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct DeleteRangeResponse {
    /// Carries the revision after the call.
    pub header: ResponseHeader,
    /// Number of deleted keys.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub deleted: i64,
    /// The deleted entries, if `prev_kv` was requested.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prev_kvs: Vec<KeyEntry>,
}

/// Relation between the stored field and the operand of a comparison.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// The stored field equals the operand.
    #[default]
    Equal,
    /// The stored field is greater than the operand.
    Greater,
    /// The stored field is less than the operand.
    Less,
    /// The stored field differs from the operand.
    NotEqual,
}

/// Field of an entry that a comparison reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// [`KeyEntry::version`].
    #[default]
    Version,
    /// [`KeyEntry::create_revision`].
    Create,
    /// [`KeyEntry::mod_revision`].
    Mod,
    /// [`KeyEntry::value`].
    Value,
    /// [`KeyEntry::lease`].
    Lease,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Compare {
    /// Relation of the stored field to the operand.
    pub result: CompareResult,
    /// Selects the compared field, and with it the operand among the fields below.
    pub target: CompareTarget,
    /// The key, or the inclusive start of a range in which every key must satisfy the comparison.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Exclusive end of the range, encoded as in [`RangeRequest`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Bytes,
    /// Operand for [`CompareTarget::Version`].
    #[serde(with = "int64")]
    pub version: i64,
    /// Operand for [`CompareTarget::Create`].
    #[serde(with = "int64", alias = "createRevision")]
    pub create_revision: Revision,
    /// Operand for [`CompareTarget::Mod`].
    #[serde(with = "int64", alias = "modRevision")]
    pub mod_revision: Revision,
    /// Operand for [`CompareTarget::Value`].
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Operand for [`CompareTarget::Lease`].
    #[serde(with = "int64")]
    pub lease: LeaseId,
}

/// Operation in a transaction branch.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum RequestOp {
    /// Reads a key or a range.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    /// Writes a key.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// Deletes a key or a range.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

/// Response to a [`RequestOp`].
#[derive(Clone, Debug, Serialize)]
pub enum ResponseOp {
    /// Response to [`RequestOp::Range`].
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// Response to [`RequestOp::Put`].
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// Response to [`RequestOp::DeleteRange`].
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Request to run one of two branches atomically, depending on comparisons.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TxnRequest {
    /// Preconditions, all of which must hold for the success branch to run.
    pub compare: Vec<Compare>,
    /// Operations to run if every comparison holds.
    pub success: Vec<RequestOp>,
    /// Operations to run if any comparison fails.
    pub failure: Vec<RequestOp>,
}

/// Response to [`TxnRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct TxnResponse {
    /// Carries the revision after the call.
    pub header: ResponseHeader,
    /// True if every comparison held and the success branch ran.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// Responses to the operations of the branch that ran, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Request to grant a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseGrantRequest {
    /// Requested time to live in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
    /// Requested lease id; 0 lets the store choose one.
    #[serde(rename = "ID", with = "int64")]
    pub id: LeaseId,
}

/// Request to keep a lease alive or to revoke it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseRequest {
    /// Lease to keep alive or to revoke.
    #[serde(rename = "ID", with = "int64")]
    pub id: LeaseId,
}

/// Response to a lease grant or keep-alive.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseResponse {
    /// Carries the revision after the call.
    pub header: ResponseHeader,
    /// Id that was granted or kept alive.
    #[serde(rename = "ID", with = "int64")]
    pub id: LeaseId,
    /// Time to live in seconds; 0 in the response to a keep-alive of an unknown lease.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_zero")]
    pub ttl: i64,
}

/// Response to a lease revocation.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseRevokeResponse {
    /// Carries the revision after the call.
    pub header: ResponseHeader,
}

/// Request to open a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchRequest {
    /// A request without it is rejected as an invalid argument.
    #[serde(alias = "createRequest")]
    pub create_request: Option<WatchCreateRequest>,
}

/// Range to watch and revision to start from.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchCreateRequest {
    /// The key, or the inclusive start of the range.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Exclusive end of the range, encoded as in [`RangeRequest`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Bytes,
    /// First revision to report; 0 reports only changes after the watch was opened.
    #[serde(with = "int64", alias = "startRevision")]
    pub start_revision: Revision,
    /// Accepted but has no effect; the store sends no progress notifications.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// Kind of a watch event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventType {
    /// A key was created or overwritten.
    #[default]
    Put,
    /// A key was deleted by a call or by the end of its lease.
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

/// Change of a single key.
#[derive(Clone, Debug, Serialize)]
pub struct WatchEvent {
    /// Omitted for puts.
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub kind: EventType,
    /// The entry after a put; after a deletion, only the key and the revision of the deletion.
    pub kv: KeyEntry,
}

/// Message on a watch stream; one line of the response body.
#[derive(Clone, Debug, Serialize)]
pub struct WatchResponse {
    /// Carries the last revision reported, or the current one in the first and last message.
    pub header: ResponseHeader,
    /// True in the first message, which confirms the watch.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// True in the last message if the store cancels the watch.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// Oldest revision that can still be watched, if the requested one is older; otherwise 0.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub compact_revision: Revision,
    /// Changes in revision order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// Envelope of each message of a streaming response.
#[derive(Clone, Debug, Serialize)]
pub struct StreamResult<T> {
    /// The enclosed message.
    pub result: T,
}

/// A lease in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotLease {
    /// Id that keys refer to.
    #[serde(rename = "ID", with = "int64")]
    pub id: LeaseId,
    /// Time to live in seconds as granted, not the time that remained.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
}

/// All keys and leases at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSnapshot {
    /// Revision at which the snapshot was taken.
    #[serde(with = "int64")]
    pub revision: Revision,
    /// All live leases; a restore restarts each with its full time to live.
    pub leases: Vec<SnapshotLease>,
    /// All entries in ascending key order.
    pub kvs: Vec<KeyEntry>,
}
