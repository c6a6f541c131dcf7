//! Traits that adapt the proxy to a platform's protocols and store layout. Implementations
//! translate and make no decisions. See `docs/platform.md`, section 2.

use std::time::Duration;

use apricotfold_model::{
    ApiKeyDigest, CallOutcome, FieldErrors, InstanceAnnouncement, InstanceId, RateLimit,
    RefusalReason, RolloutOrder, RolloutStatus, RouteTable, ServiceName, StartTimeMillis,
};
use bytes::Bytes;
use compact_str::CompactString;
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};

/// Request id, as chosen by the caller.
pub type RequestId = CompactString;

/// Values from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Request id, which the target echoes in its response.
    pub request_id: Option<RequestId>,
    /// Time for which the caller still waits.
    pub time_left: Option<Duration>,
    /// Digest of the caller's API key; `None` if it sent none, or not exactly one.
    pub api_key: Option<ApiKeyDigest>,
}

/// Values that a request's headers pass to the target.
#[derive(Clone, Copy, Debug)]
pub struct TargetHead<'a> {
    /// Time left until the deadline.
    pub time_left: Duration,
    /// The selected instance; any other must not run the request.
    pub instance: &'a InstanceId,
    /// Service of the instance that sent the request.
    pub caller_service: &'a ServiceName,
    /// Tenant whose key the caller sent.
    pub tenant: Option<&'a str>,
}

/// Values from the headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Id of the target instance, if the response states it.
    pub instance: Option<InstanceId>,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Number of requests that the target takes at once, if it states one.
    pub slots: Option<u32>,
    /// Current service time on the target's machine, in percent of the usual one.
    pub pace: Option<u32>,
    /// Time for which the target keeps an idle connection open, if it announces one.
    pub idle_timeout: Option<Duration>,
    /// Request rate that the target accepts from all nodes together, if it states a valid one.
    pub rate_limit: Option<RateLimit>,
    /// Whether the target states that it leaves and should get no more requests.
    pub leaving: bool,
}

/// Refusal that the mesh returns when no target's response can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Whether the request ran, as far as that is known.
    pub outcome: CallOutcome,
    /// Why there is no response from a target.
    pub reason: RefusalReason,
    /// Time after which the caller should retry; `None` if it should not.
    pub retry_after: Option<Duration>,
}

/// Response head of a refusal.
#[derive(Clone, Debug)]
pub struct RefusalHead {
    /// Status code of the refusal.
    pub status: StatusCode,
    /// Headers that carry the outcome and the reason to the caller.
    pub headers: HeaderMap,
}

/// Translates the headers and statuses that callers and targets use.
pub trait CallProtocol: Send + Sync {
    /// Reads the headers of a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Returns the id of the parent request that made the call with this id, if ids contain it.
    fn parent_id<'a>(&self, id: &'a str) -> Option<&'a str>;

    /// Removes the API key and the tenant that a caller sent, which go no further than this node.
    fn strip_credentials(&self, headers: &mut HeaderMap);

    /// Sets the headers meant for the target, replacing any that the caller sent under the same
    /// names.
    fn prepare_call(&self, headers: &mut HeaderMap, head: &TargetHead<'_>);

    /// Reads the status and headers of a target's response.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns whether this status promises that the request did not run.
    fn promises_not_run(&self, status: StatusCode) -> bool;

    /// Builds the response head of a refusal.
    fn write_refusal(&self, refusal: &CallRefusal) -> RefusalHead;
}

/// A message from the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnounceMessage {
    /// The target announces itself and its state.
    Announce(InstanceAnnouncement),
    /// The target leaves the mesh.
    Leave {
        /// Id of the leaving instance.
        instance: InstanceId,
        /// Start time of the instance, if the message states it.
        born: Option<StartTimeMillis>,
    },
    /// A request that the proxy does not serve.
    Unknown,
}

/// Translates messages between the local target and its proxy.
pub trait AnnounceProtocol: Send + Sync {
    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns the invalid fields; the message is then ignored.
    fn read(&self, parts: &Parts, body: &[u8]) -> Result<AnnounceMessage, FieldErrors>;

    /// Builds the response to an accepted message.
    fn acknowledge(&self) -> Response<Bytes>;
}

/// Location and format of the operators' route table in the store.
pub trait TableSource: Send + Sync {
    /// Returns the key of the newest table.
    fn key(&self) -> &str;

    /// Decodes a table.
    ///
    /// # Errors
    ///
    /// Returns the invalid fields; one invalid field makes the whole table unusable.
    fn decode(&self, text: &str) -> Result<RouteTable, FieldErrors>;
}

/// Location and format of rollout orders and of their status in the store.
pub trait RolloutSource: Send + Sync {
    /// Returns the prefix of the keys of orders, which the name of the service follows. It has a prefix
    /// in common with [`TableSource::key`], so that one watch covers both.
    fn order_prefix(&self) -> &str;

    /// Returns the key of the status of a service's rollout.
    fn status_key(&self, service: &str) -> String;

    /// Decodes an order.
    ///
    /// # Errors
    ///
    /// Returns the invalid fields; the order is then ignored.
    fn decode_order(&self, text: &str) -> Result<RolloutOrder, FieldErrors>;

    /// Encodes a status.
    fn encode_status(&self, status: &RolloutStatus) -> String;
}
