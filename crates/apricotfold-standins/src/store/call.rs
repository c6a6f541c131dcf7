//! Calls of the gateway and their decoding.

use apricotfold_model::parse_json;
use serde::de::DeserializeOwned;
use strum::{EnumIter, IntoStaticStr};

use super::error::GatewayError;
use super::key_range::KeyRange;
use super::message::{
    DeleteRangeRequest, LeaseGrantRequest, LeaseRequest, PutRequest, RangeRequest, RequestOp,
    TxnRequest, WatchRequest,
};

/// Kind of a call; the key of [`CallCounts::calls`](super::meter::CallCounts::calls).
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    EnumIter,
    IntoStaticStr,
    serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Reads a key or a range.
    Range,
    /// Writes a key.
    Put,
    /// Deletes a key or a range.
    DeleteRange,
    /// Runs a transaction.
    Txn,
    /// Grants a lease.
    LeaseGrant,
    /// Restarts a lease's time to live.
    LeaseKeepAlive,
    /// Ends a lease and deletes its keys.
    LeaseRevoke,
    /// Streams changes of a key or a range.
    Watch,
}

/// A decoded call.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads a key or a range.
    Range(RangeRequest),
    /// Writes a key.
    Put(PutRequest),
    /// Deletes a key or a range.
    DeleteRange(DeleteRangeRequest),
    /// Runs a transaction.
    Txn(TxnRequest),
    /// Grants a lease.
    LeaseGrant(LeaseGrantRequest),
    /// Restarts a lease's time to live.
    LeaseKeepAlive(LeaseRequest),
    /// Ends a lease and deletes its keys.
    LeaseRevoke(LeaseRequest),
    /// Streams changes of a key or a range.
    Watch(WatchRequest),
}

impl StoreCall {
    /// Decodes the JSON body of a call.
    ///
    /// # Errors
    ///
    /// Returns [`GatewayError::InvalidArgument`] if the body is not valid JSON or has an unknown or
    /// invalid field.
    pub fn parse(kind: CallKind, body: &[u8]) -> Result<Self, GatewayError> {
        let text = std::str::from_utf8(body)
            .map_err(|error| GatewayError::InvalidArgument(error.to_string()))?;
        match kind {
            CallKind::Range => read(text).map(Self::Range),
            CallKind::Put => read(text).map(Self::Put),
            CallKind::DeleteRange => read(text).map(Self::DeleteRange),
            CallKind::Txn => read(text).map(Self::Txn),
            CallKind::LeaseGrant => read(text).map(Self::LeaseGrant),
            CallKind::LeaseKeepAlive => read(text).map(Self::LeaseKeepAlive),
            CallKind::LeaseRevoke => read(text).map(Self::LeaseRevoke),
            CallKind::Watch => read(text).map(Self::Watch),
        }
    }

    /// True if the call is subject to the rate limit for writes. A keep-alive counts as a read,
    /// because it changes no key.
    #[must_use]
    pub fn is_write(&self) -> bool {
        match self {
            Self::Range(_) | Self::Watch(_) | Self::LeaseKeepAlive(_) => false,
            Self::Txn(txn) => txn
                .success
                .iter()
                .chain(&txn.failure)
                .any(|operation| !matches!(operation, RequestOp::Range(_))),
            Self::Put(_) | Self::DeleteRange(_) | Self::LeaseGrant(_) | Self::LeaseRevoke(_) => {
                true
            }
        }
    }

    /// Keys that the call reads or writes, in any branch; empty for lease calls.
    #[must_use]
    pub fn keys(&self) -> Vec<KeyRange> {
        match self {
            Self::Range(range) => vec![KeyRange::new(&range.key, &range.range_end)],
            Self::Put(put) => vec![KeyRange::One(put.key.clone())],
            Self::DeleteRange(delete) => vec![KeyRange::new(&delete.key, &delete.range_end)],
            Self::Txn(txn) => txn_keys(txn),
            Self::Watch(watch) => watch
                .create_request
                .iter()
                .map(|create| KeyRange::new(&create.key, &create.range_end))
                .collect(),
            Self::LeaseGrant(_) | Self::LeaseKeepAlive(_) | Self::LeaseRevoke(_) => Vec::new(),
        }
    }
}

fn read<T: DeserializeOwned>(text: &str) -> Result<T, GatewayError> {
    parse_json(text).map_err(|error| GatewayError::InvalidArgument(error.to_string()))
}

fn txn_keys(txn: &TxnRequest) -> Vec<KeyRange> {
    let compared = txn
        .compare
        .iter()
        .map(|compare| KeyRange::new(&compare.key, &compare.range_end));
    let used = txn
        .success
        .iter()
        .chain(&txn.failure)
        .map(|operation| match operation {
            RequestOp::Range(range) => KeyRange::new(&range.key, &range.range_end),
            RequestOp::Put(put) => KeyRange::One(put.key.clone()),
            RequestOp::DeleteRange(delete) => KeyRange::new(&delete.key, &delete.range_end),
        });
    compared.chain(used).collect()
}
