//! What the core asks the daemon to do.

use std::time::Duration;

use apricotfold_model::EventCode;
use apricotfold_schema::peer::{CandidateBody, HeadBody, PeerMessage};
use compact_str::CompactString;

use crate::{RequestId, StoreRequest, StreamId};

/// One output of [`ControlCore::handle`](crate::ControlCore::handle). Actions are carried out in
/// their order.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAction {
    /// Connect, send a `Hello` and report `StreamOpened` or `StreamFailed`.
    OpenStream {
        /// Control address of the peer.
        address: CompactString,
    },
    /// End a stream. The daemon may report `StreamClosed`; the core has forgotten the stream.
    CloseStream {
        /// The stream.
        stream: StreamId,
    },
    /// End a new inbound stream and tell the peer when to try again.
    RefuseStream {
        /// The stream.
        stream: StreamId,
        /// Hint for the peer.
        retry_after: Duration,
    },
    /// Send a message; it may be dropped when the stream is slow.
    Send {
        /// The stream.
        stream: StreamId,
        /// The message.
        message: PeerMessage,
    },
    /// Check the candidate's bundle and answer with `PrepareResult`.
    Prepare {
        /// The candidate.
        candidate: CandidateBody,
    },
    /// Put a head into force and answer with `Applied` or `ApplyFailed`.
    Apply {
        /// The head; the built-in default when it is withdrawn.
        head: HeadBody,
    },
    /// The live endpoints have changed; read them again.
    EndpointsChanged,
    /// A fingerprint's crashes of all nodes.
    CrashCounts {
        /// The fingerprint.
        fingerprint: CompactString,
        /// Number of crashes within the last ten minutes.
        count: u32,
    },
    /// Ask the store.
    StoreRequest {
        /// Id for the answer.
        id: RequestId,
        /// The request.
        request: StoreRequest,
    },
    /// Write a log line.
    Log {
        /// Severity.
        level: log::Level,
        /// Number of the event.
        code: EventCode,
        /// Text after the event's name.
        text: CompactString,
    },
}
