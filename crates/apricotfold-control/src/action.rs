//! Actions that the core requests from the daemon.

use std::time::Duration;

use apricotfold_model::EventCode;
use apricotfold_schema::peer::{CandidateBody, HeadBody, PeerMessage};
use compact_str::CompactString;

use crate::{RequestId, StoreRequest, StreamId};

/// Output of [`ControlCore::handle`](crate::ControlCore::handle). The daemon carries out the
/// actions in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAction {
    /// Connect to a peer, send a `Hello` and report `StreamOpened` or `StreamFailed`.
    OpenStream {
        /// Control address of the peer.
        address: CompactString,
    },
    /// Close a stream. The core has already dropped its state and ignores a later `StreamClosed`.
    CloseStream {
        /// Stream to close.
        stream: StreamId,
    },
    /// Close a new inbound stream and tell the peer when to retry.
    RefuseStream {
        /// Stream to close.
        stream: StreamId,
        /// Minimum delay before the peer's next attempt.
        retry_after: Duration,
    },
    /// Send a message; it may be dropped if the stream is slow.
    Send {
        /// Stream to send the message on.
        stream: StreamId,
        /// Message to send.
        message: PeerMessage,
    },
    /// Check the candidate's bundle and report `PrepareResult`.
    Prepare {
        /// Candidate with its compressed bundle.
        candidate: CandidateBody,
    },
    /// Put a head into force and report `Applied` or `ApplyFailed`.
    Apply {
        /// Head with its compressed bundle; a withdrawn head stands for the built-in default.
        head: HeadBody,
    },
    /// Read the live endpoints again, because they have changed.
    EndpointsChanged,
    /// Update the crash count of a fingerprint, summed over all nodes.
    CrashCounts {
        /// Fingerprint of the request.
        fingerprint: CompactString,
        /// Sum of the counts that the nodes published within the last ten minutes.
        count: u32,
    },
    /// Send a request to the store.
    StoreRequest {
        /// Id to report in the `StoreResult`.
        id: RequestId,
        /// Request to send.
        request: StoreRequest,
    },
    /// Write a log line.
    Log {
        /// Severity of the line.
        level: log::Level,
        /// Event code, which also determines the message before the text.
        code: EventCode,
        /// Details that follow the event's message.
        text: CompactString,
    },
}

/// Collects the actions of one call of `handle` and assigns ids to store requests.
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
