//! Identities, versions and decoded bodies of records.

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
    /// Kind of the record, which determines the format of its body.
    pub kind: RecordKind,
    /// Key of the record, unique within the kind.
    pub key: CompactString,
}

impl RecordKey {
    /// Creates the identity of a record.
    pub fn new(kind: RecordKind, key: impl Into<CompactString>) -> Self {
        let key = key.into();
        Self { kind, key }
    }
}

/// Version of a record, compared by epoch and then by sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// Major part: for example a node's incarnation, a profile version or a fencing number.
    pub epoch: u64,
    /// Minor part: orders the versions within an epoch.
    pub sequence: u64,
}

impl RecordVersion {
    /// Creates a version from its epoch and sequence.
    #[must_use]
    pub fn new(epoch: u64, sequence: u64) -> Self {
        Self { epoch, sequence }
    }
}

/// Decoded content of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordBody {
    /// Removal marker: the record was removed.
    Removed,
    /// A node and its target.
    Endpoint(EndpointBody),
    /// The accepted version of a profile.
    Head(HeadBody),
    /// A version of a profile that is being voted on.
    Candidate(CandidateBody),
    /// A node's vote on a candidate.
    Vote(VoteBody),
    /// A monitor's suspicion that a member has failed.
    Suspicion(SuspicionBody),
    /// The holder of a relay slot, with its heartbeat.
    Relay(RelayBody),
    /// Crashes of one node's target with one request fingerprint.
    Crash(CrashBody),
    /// The profile version that a node has applied.
    Status(StatusBody),
}

impl RecordBody {
    /// Decodes a body. Returns `None` if the bytes or the kind are not valid.
    #[must_use]
    pub fn decode(kind: RecordKind, body: &Bytes) -> Option<Self> {
        // Cloning shares the bytes, and decoding from `Bytes` does not copy the bundle.
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

    /// Encodes the body; a removal marker has an empty body.
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

/// Splits an id into identity and version. Returns `None` for a kind that this build does not know.
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
