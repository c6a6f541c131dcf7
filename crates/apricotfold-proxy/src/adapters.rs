//! Traits behind which a platform's manner of speaking is kept. Implementations translate and
//! decide nothing. See `docs/platform.md`, section 2.

use std::time::Duration;

use apricotfold_model::{
    CallOutcome, FieldErrors, InstanceAnnouncement, InstanceId, RefusalReason, RouteTable,
    ServiceName, StartTimeMillis,
};
use bytes::Bytes;
use compact_str::CompactString;
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};

/// Id of a request, as its caller chose it.
pub type RequestId = CompactString;

/// What a caller's request says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The request's id, echoed by the target.
    pub request_id: Option<RequestId>,
    /// Time that the caller will wait.
    pub time_left: Option<Duration>,
}

/// What a target is told about a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetHead<'a> {
    /// Time that is left.
    pub time_left: Duration,
    /// The target that is meant; any other must not run the request.
    pub instance: &'a InstanceId,
    /// Service of the instance from which the request came.
    pub caller_service: &'a ServiceName,
}

/// What a target's answer says beyond its status and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the request that the answer belongs to.
    pub request_id: Option<RequestId>,
    /// Id of the target, where it says it.
    pub instance: Option<InstanceId>,
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// How long work takes on the target's machine at present, in percent of the usual time.
    pub pace: Option<u32>,
    /// Time for which the target keeps the idle connection open.
    pub idle_timeout: Option<Duration>,
}

/// An answer that the mesh gives in place of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Whether the request ran.
    pub outcome: CallOutcome,
    /// Why no target answered.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
}

/// Head of an answer that the mesh gives in place of a target.
#[derive(Clone, Debug)]
pub struct RefusalHead {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// Headers and statuses that callers and targets use.
pub trait CallProtocol: Send + Sync {
    /// Reads what the caller's request says about itself.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Id of the request whose run made the call with this id, where ids tell it.
    fn parent_id<'a>(&self, id: &'a str) -> Option<&'a str>;

    /// Replaces the headers that the mesh sets for the target, whatever the caller sent in them.
    fn prepare_call(&self, headers: &mut HeaderMap, head: &TargetHead<'_>);

    /// Reads what the target's answer says about the request and the target.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Tells whether an answer with this status promises that the request has not run.
    fn promises_not_run(&self, status: StatusCode) -> bool;

    /// Writes the head of a refusal.
    fn write_refusal(&self, refusal: &CallRefusal) -> RefusalHead;
}

/// A message of the target beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnounceMessage {
    /// The target describes itself.
    Announce(InstanceAnnouncement),
    /// The target leaves.
    Leave {
        /// Its id.
        instance: InstanceId,
        /// Its start, where the message says it.
        born: Option<StartTimeMillis>,
    },
    /// A call that the node does not serve.
    Unknown,
}

/// Messages between a target and the node beside it.
pub trait AnnounceProtocol: Send + Sync {
    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns the fields that cannot be used; the message then names no target.
    fn read(&self, parts: &Parts, body: &[u8]) -> Result<AnnounceMessage, FieldErrors>;

    /// Acknowledges a message that was taken over.
    fn acknowledge(&self) -> Response<Bytes>;
}

/// Where the operators' route table stands in the store, and how it is written.
pub trait TableSource: Send + Sync {
    /// Key of the newest table.
    fn key(&self) -> &str;

    /// Reads a table.
    ///
    /// # Errors
    ///
    /// Returns the fields that cannot be used; the table then counts as a whole as unreadable.
    fn decode(&self, text: &str) -> Result<RouteTable, FieldErrors>;
}
