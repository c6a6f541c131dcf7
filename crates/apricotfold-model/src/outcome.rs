//! The outcome of a call, the reasons for refusals, and the headers that carry both. See
//! `docs/design.md`, section 6.

use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request was run by a target. Every answer carries its outcome.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// A target ran the request and gave this answer.
    Ran,
    /// No target has received any part of the request.
    NotRun,
    /// A target may have received the request, but its answer is unknown.
    MayHaveRun,
}

/// The reason why a request was not answered by a target.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    strum::EnumIter,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No route of the profile matches the request.
    NoRoute,
    /// The route references a cluster, listener or secret that this node currently lacks.
    RouteInactive,
    /// The node has applied no profile yet.
    NotReady,
    /// No target of the service is reachable.
    NoTarget,
    /// The target's queue for the request's work class is full.
    QueueFull,
    /// The request's deadline would pass while the request waits in the queue.
    DeadlineTooClose,
    /// The request's priority is below the level that the target admits under its current load.
    Overloaded,
    /// The target is draining.
    Draining,
    /// The selected node has no local target.
    NoLocalTarget,
    /// No connection to the next hop could be established.
    ConnectFailed,
    /// The deadline passed before an answer arrived.
    DeadlinePassed,
    /// The next hop failed after it may have received the request.
    ConnectionLost,
    /// The request was in flight during too many crashes of targets.
    PoisonRequest,
    /// The route requires an idempotency key and the request has none.
    KeyMissing,
    /// Another attempt holds the claim on the same idempotency key.
    AlreadyClaimed,
    /// The idempotency key could not be claimed because the store did not respond.
    StoreUnavailable,
    /// The request is malformed or its body ended early.
    BadRequest,
    /// The request passed through more nodes than the depth limit allows.
    TooDeep,
    /// The request's body exceeds the size limit for callers.
    BodyTooLarge,
    /// The request's body did not arrive in time.
    BodyLate,
    /// The request has no API key, or one that no tenant holds.
    UnknownKey,
    /// The node cannot tell whether the request's API key is valid, because its route table may be out
    /// of date.
    KeyUnverified,
    /// The tenant's requests exceed its quota.
    OverQuota,
    /// The node cannot tell whether the tenant's quota is used up.
    QuotaUnverified,
}

/// Names of the headers that callers, nodes and targets exchange.
pub mod headers {
    /// The [`CallOutcome`](super::CallOutcome) of the request.
    pub const OUTCOME: &str = "apricotfold-outcome";
    /// The [`RefusalReason`](super::RefusalReason), on answers that a node gave itself.
    pub const REASON: &str = "apricotfold-reason";
    /// Time remaining until the request's deadline, in milliseconds.
    pub const DEADLINE_MS: &str = "apricotfold-deadline-ms";
    /// The [`CallPriority`](crate::CallPriority) of the request.
    pub const PRIORITY: &str = "apricotfold-priority";
    /// The [`WorkClass`](crate::WorkClass) of the request.
    pub const CLASS: &str = "apricotfold-class";
    /// Requests in flight and slots of the answering node, as `in-flight/slots`.
    pub const LOAD: &str = "apricotfold-load";
    /// Unique id of one attempt of a request.
    pub const ATTEMPT: &str = "apricotfold-attempt";
    /// Number of nodes that the request and the calls that led to it have passed through.
    pub const HOPS: &str = "apricotfold-hops";
    /// Service for which the entry node selected the target.
    pub const SERVICE: &str = "apricotfold-service";
    /// Set on requests whose idempotency key must be claimed before they run.
    pub const CLAIM: &str = "apricotfold-claim";
    /// Secret of the cluster, sent to its targets.
    pub const SECRET: &str = "apricotfold-secret";
    /// Key set by the caller for a request that must run at most once.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}
