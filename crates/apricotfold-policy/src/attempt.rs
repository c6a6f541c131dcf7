//! What one attempt of a call came to, as the daemon reports it to the balancer and the plan.

use apricotfold_model::{CallOutcome, RefusalReason};

/// Result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target gave an answer, whatever its status.
    Answered,
    /// The next hop refused the request.
    Refused {
        /// Why it refused.
        reason: RefusalReason,
        /// What it says about the request.
        outcome: CallOutcome,
    },
    /// No connection was made, so no byte of the request was offered.
    ConnectFailed,
    /// The connection ended after some of the request was offered and before an answer.
    ConnectionLost,
    /// No answer arrived within the time that the attempt had. A connect timeout is a
    /// [`ConnectFailed`](Self::ConnectFailed) instead.
    TimedOut,
    /// The daemon cancelled the attempt, for example because another one answered first.
    Cancelled,
}

/// Load of a target's node, from the `apricotfold-load` header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Requests that run or wait at the node.
    pub in_flight: u32,
    /// Requests that its target runs at once.
    pub slots: u32,
}
