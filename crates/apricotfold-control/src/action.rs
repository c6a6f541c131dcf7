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

/// Collects the actions of one call of `handle`.
#[derive(Debug, Default)]
pub(crate) struct ActionQueue {
    pub(crate) actions: Vec<ControlAction>,
    last_request: u64,
}

impl ActionQueue {
    pub(crate) fn push(&mut self, action: ControlAction) {
        self.actions.push(action);
    }

    pub(crate) fn send(&mut self, stream: StreamId, body: crate::MessageBody) {
        let message = PeerMessage { body: Some(body) };
        self.push(ControlAction::Send { stream, message });
    }

    pub(crate) fn send_store_request(&mut self, request: StoreRequest) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.push(ControlAction::StoreRequest { id, request });
        id
    }

    pub(crate) fn log(
        &mut self,
        level: log::Level,
        code: EventCode,
        text: impl Into<CompactString>,
    ) {
        let text = text.into();
        self.push(ControlAction::Log { level, code, text });
    }
}
