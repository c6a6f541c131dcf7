//! Results of attempts, as the daemon reports them to the balancer and the call plan.

use apricotfold_model::{CallOutcome, RefusalReason};

/// Result of one attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered, with any status.
    Answered,
    /// The next hop refused the request.
    Refused {
        /// Reason given by the next hop.
        reason: RefusalReason,
        /// Whether the request was run, according to the next hop.
        outcome: CallOutcome,
    },
    /// The connection could not be established, so no byte of the request was sent.
    ConnectFailed,
    /// The connection was lost after part of the request was sent and before an answer arrived.
    ConnectionLost,
    /// No answer arrived within the time limit of the attempt. A connect timeout is a
    /// [`ConnectFailed`](Self::ConnectFailed) instead.
    TimedOut,
    /// The daemon cancelled the attempt, for example because another one was answered first.
    Cancelled,
}

/// Load of a target's node, as sent in the `apricotfold-load` header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Number of requests that run or are queued at the node.
    pub in_flight: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
}
