//! Decoded bodies and identities of records.

use apricotfold_schema::peer::{
    CandidateBody, CrashBody, EndpointBody, HeadBody, RecordId, RecordKind, RelayBody, StatusBody,
    SuspicionBody, VoteBody,
};
use bytes::Bytes;
use compact_str::CompactString;
use prost::Message;

/// Identity of a record without its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Key within the kind.
    pub key: CompactString,
}

impl RecordKey {
    /// Names a record.
    pub fn new(kind: RecordKind, key: impl Into<CompactString>) -> Self {
        let key = key.into();
        Self { kind, key }
    }
}

/// Orders the versions of one record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// Decides first.
    pub epoch: u64,
    /// Decides within one epoch.
    pub sequence: u64,
}

impl RecordVersion {
    /// Joins both numbers.
    #[must_use]
    pub fn new(epoch: u64, sequence: u64) -> Self {
        Self { epoch, sequence }
    }
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordBody {
    /// The record was removed.
    Removed,
    /// A node and its target.
    Endpoint(EndpointBody),
    /// The accepted version of a profile.
    Head(HeadBody),
    /// A version that waits for votes.
    Candidate(CandidateBody),
    /// One node's vote.
    Vote(VoteBody),
    /// One monitor's suspicion.
    Suspicion(SuspicionBody),
    /// A relay slot.
    Relay(RelayBody),
    /// Crashes that one node counted.
    Crash(CrashBody),
    /// What one node has in force.
    Status(StatusBody),
}

impl RecordBody {
    /// Decodes a body; nothing when the bytes or the kind are not valid.
    #[must_use]
    pub fn decode(kind: RecordKind, body: &Bytes) -> Option<Self> {
        // A clone shares the bytes, and decoding from `Bytes` does not copy the bundle.
        let bytes = body.clone();
        match kind {
            RecordKind::Unspecified => None,
            RecordKind::Endpoint => EndpointBody::decode(bytes).ok().map(Self::Endpoint),
            RecordKind::Head => HeadBody::decode(bytes).ok().map(Self::Head),
            RecordKind::Candidate => CandidateBody::decode(bytes).ok().map(Self::Candidate),
            RecordKind::Vote => VoteBody::decode(bytes).ok().map(Self::Vote),
            RecordKind::Suspicion => SuspicionBody::decode(bytes).ok().map(Self::Suspicion),
            RecordKind::Relay => RelayBody::decode(bytes).ok().map(Self::Relay),
            RecordKind::Crash => CrashBody::decode(bytes).ok().map(Self::Crash),
            RecordKind::Status => StatusBody::decode(bytes).ok().map(Self::Status),
        }
    }

    /// Encodes the body; empty for a removed record.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        match self {
            Self::Removed => Bytes::new(),
            Self::Endpoint(body) => body.encode_to_vec().into(),
            Self::Head(body) => body.encode_to_vec().into(),
            Self::Candidate(body) => body.encode_to_vec().into(),
            Self::Vote(body) => body.encode_to_vec().into(),
            Self::Suspicion(body) => body.encode_to_vec().into(),
            Self::Relay(body) => body.encode_to_vec().into(),
            Self::Crash(body) => body.encode_to_vec().into(),
            Self::Status(body) => body.encode_to_vec().into(),
        }
    }
}

/// Splits an id into identity and version; nothing for a kind that this build does not know.
pub(crate) fn split_id(id: &RecordId) -> Option<(RecordKey, RecordVersion)> {
    let kind = RecordKind::try_from(id.kind).ok()?;
    if kind == RecordKind::Unspecified {
        return None;
    }
    let version = RecordVersion::new(id.epoch, id.sequence);
    Some((RecordKey::new(kind, id.key.as_str()), version))
}

pub(crate) fn join_id(key: &RecordKey, version: RecordVersion) -> RecordId {
    RecordId {
        kind: key.kind.into(),
        key: key.key.to_string(),
        epoch: version.epoch,
        sequence: version.sequence,
    }
}
