//! Calls between proxies: the headers that they add, and the client side.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{
    CallOutcome, CallPriority, InstanceId, InstanceRecord, NodeId, RefusalReason, RetrySafety,
    ServiceName, WorkClass, log_event, saturating_millis,
};
use apricotfold_policy::{CallStanding, InstanceReport, NestedCapacity};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call_body::{ConnectionLease, ResponseBody};
use crate::connection_pool::SendFailure;
use crate::engine::Engine;
use crate::gated_body::BodyGate;
use crate::hop_by_hop::strip_hop_by_hop_headers;
use crate::peer_exchange;
use crate::target_call::{CallContext, CallRequest, TargetRefusal, TargetResponse};

/// Header with the [`WireCallContext`].
pub const CALL_HEADER: HeaderName = HeaderName::from_static("apricotfold-call");
/// Header with the target's load and its time for the call.
pub const REPORT_HEADER: HeaderName = HeaderName::from_static("apricotfold-report");
/// Header with the reason for which the target's proxy has no response.
pub const REFUSAL_HEADER: HeaderName = HeaderName::from_static("apricotfold-refusal");
/// Header with the record of the instance at a node, sent if the call was for another instance.
pub const RECORD_HEADER: HeaderName = HeaderName::from_static("apricotfold-record");

/// Header with the rate limit that the target stated, sent by proxies that have heard of one. The
/// target's proxy may have restarted since.
pub const RATE_LIMIT_HEADER: HeaderName = HeaderName::from_static("apricotfold-rate-limit");

/// Header with the name of the tenant whose key the caller sent.
pub const TENANT_HEADER: HeaderName = HeaderName::from_static("apricotfold-tenant");

/// Header with the time in milliseconds that a bulk body waits for the link of the node's machine, sent
/// if there is a wait.
pub const INBOUND_HEADER: HeaderName = HeaderName::from_static("apricotfold-inbound-wait");

/// Value of the `expect` header with which a node asks whether it may send a body.
pub const EXPECT_CONTINUE: HeaderValue = HeaderValue::from_static("100-continue");

/// Longest idle time of a reused connection to a proxy. Proxies keep theirs open longer.
const MAX_PEER_IDLE: Duration = Duration::from_secs(10);

/// [`CallContext`] as it is sent. It is an array without field names, because it is sent with each
/// call; times are in milliseconds.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WireCallContext(
    u64,
    u64,
    InstanceId,
    ServiceName,
    WorkClass,
    CallPriority,
    RetrySafety,
    CallStanding,
    bool,
    u32,
);

impl WireCallContext {
    /// Encodes a context with times relative to `now`.
    pub fn new(context: &CallContext, now: Instant) -> Self {
        let left = |until: Instant| saturating_millis(until.saturating_duration_since(now));
        Self(
            left(context.deadline),
            left(context.useful_until),
            context.instance.clone(),
            context.caller_service.clone(),
            context.class,
            context.priority,
            context.repeat,
            context.standing,
            context.again,
            context.answer_bytes,
        )
    }

    /// Decodes a context that arrived at `now`.
    pub fn into_context(self, now: Instant) -> CallContext {
        CallContext {
            deadline: now + Duration::from_millis(self.0),
            useful_until: now + Duration::from_millis(self.1),
            instance: self.2,
            caller_service: self.3,
            class: self.4,
            priority: self.5,
            repeat: self.6,
            standing: self.7,
            again: self.8,
            answer_bytes: self.9,
            remote: true,
            rate_limit: None,
            tenant: None,
        }
    }
}

/// Load of the target, its time for this call in milliseconds, its expected waits, and the capacity
/// that the call's nested calls found. It is an array without field names, like
/// [`WireCallContext`].
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WireReport(
    u32,
    u32,
    u32,
    u32,
    u64,
    [u32; 3],
    [u32; 3],
    NestedCapacity,
    u32,
    u32,
);

impl WireReport {
    /// Encodes a report and the call's service time.
    pub fn new(report: InstanceReport, service: Duration, calls: NestedCapacity) -> Self {
        Self(
            report.running,
            report.waiting,
            report.slots,
            report.pace,
            saturating_millis(service),
            report.waits,
            report.nested_waits,
            calls,
            report.link_wait,
            report.link_time,
        )
    }

    fn report(&self) -> InstanceReport {
        InstanceReport {
            running: self.0,
            waiting: self.1,
            slots: self.2,
            pace: self.3,
            waits: self.5,
            nested_waits: self.6,
            link_wait: self.8,
            link_time: self.9,
        }
    }
}

/// [`TargetRefusal`] as it is sent: outcome, reason, and whether the request reached the target.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WireRefusal(pub CallOutcome, pub RefusalReason, pub bool);

/// Encodes a value for one of the headers above.
pub fn write_header(value: &impl Serialize) -> Option<HeaderValue> {
    let text = serde_json::to_vec(value).ok()?;
    HeaderValue::from_bytes(&text).ok()
}

/// Decodes one of the headers above. Returns `None` if it is absent or invalid.
pub fn read_header<T: DeserializeOwned>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    serde_json::from_slice(headers.get(name)?.as_bytes()).ok()
}

/// Forwards a call to the proxy beside its target. A bulk body is sent only after that proxy has asked
/// for it.
pub async fn run(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    context: &CallContext,
    request: &CallRequest,
) -> Result<TargetResponse, TargetRefusal> {
    let (started, address) = (Instant::now(), record.address);
    let mut headers = request.headers.clone();
    let wire = write_header(&WireCallContext::new(context, started));
    let Some(wire) = wire else {
        return Err(refusal(CallOutcome::NotRun, RefusalReason::BadRequest));
    };
    headers.insert(CALL_HEADER, wire);
    // A caller's own header of that name is not passed on.
    headers.remove(RATE_LIMIT_HEADER);
    if let Some(value) = context.rate_limit.as_ref().and_then(write_header) {
        headers.insert(RATE_LIMIT_HEADER, value);
    }
    if let Some(value) = context.tenant.as_ref().and_then(write_header) {
        headers.insert(TENANT_HEADER, value);
    }
    let mut outgoing = request.build(headers);
    let gate = request.is_bulk().then(Arc::<BodyGate>::default);
    if let Some(gate) = &gate {
        outgoing
            .headers_mut()
            .insert(header::EXPECT, EXPECT_CONTINUE);
        outgoing.body_mut().set_gate(gate.clone());
        let asked = gate.clone();
        hyper::ext::on_informational(&mut outgoing, move |answer| {
            if answer.status() == StatusCode::CONTINUE {
                asked.open();
            }
        });
    }
    let sent = engine
        .peer_connections
        .send(address, outgoing, MAX_PEER_IDLE, context.deadline)
        .await;
    // Without its body, a request cannot have run.
    let body_sent = gate.is_none_or(|gate| gate.close());
    let lost = if body_sent {
        CallOutcome::MayHaveRun
    } else {
        CallOutcome::NotRun
    };
    let (answer, connection) = sent.map_err(|failure| match failure {
        SendFailure::NotSent(cause) => {
            log::debug!("{address} not reached: {cause}");
            refusal(CallOutcome::NotRun, RefusalReason::ConnectFailed)
        }
        SendFailure::Lost(cause) => {
            log::debug!("{address} lost: {cause}");
            refusal(lost, RefusalReason::ConnectionLost)
        }
        SendFailure::TimedOut => refusal(lost, RefusalReason::DeadlinePassed),
    })?;
    let (mut parts, incoming) = answer.into_parts();
    let report: Option<WireReport> = read_header(&parts.headers, &REPORT_HEADER);
    let refused: Option<WireRefusal> = read_header(&parts.headers, &REFUSAL_HEADER);
    record_inbound_wait(engine, &record.node, &parts.headers);
    let body = if body_sent {
        let lease = ConnectionLease::new(&engine.peer_connections, connection);
        ResponseBody::streaming(incoming, lease)
    } else {
        // The connection still waits for the body, so it cannot be used again.
        drop(connection);
        ResponseBody::empty()
    };
    if let Some(WireRefusal(outcome, reason, arrived)) = refused {
        if let Some(record) = read_header(&parts.headers, &RECORD_HEADER) {
            apply_record(engine, record);
        } else if reason == RefusalReason::NoLocalTarget {
            peer_exchange::introduce(engine, &record.node, address);
        }
        return Err(TargetRefusal {
            outcome,
            reason,
            arrived,
            report: report.map(|report| report.report()),
        });
    }
    let Some(report) = report else {
        // Every proxy adds the report, so another process now uses the address.
        return Err(refusal(lost, RefusalReason::ConnectionLost));
    };
    if !body_sent {
        return Err(refusal(lost, RefusalReason::ConnectionLost));
    }
    parts.headers.remove(REPORT_HEADER);
    parts.headers.remove(INBOUND_HEADER);
    strip_hop_by_hop_headers(&mut parts.headers);
    Ok(TargetResponse {
        status: parts.status,
        headers: parts.headers,
        body,
        service: Duration::from_millis(report.4),
        calls: report.7,
        report: report.report(),
    })
}

/// Records the wait for a node's link that its answer states.
fn record_inbound_wait(engine: &Engine, node: &NodeId, headers: &HeaderMap) {
    let stated = read_header(headers, &INBOUND_HEADER).unwrap_or(0);
    let wait = Duration::from_millis(stated);
    engine.inbound_waits().record(node, wait, Instant::now());
}

/// Applies the record of the instance that now runs at a node. After both the node and its instance
/// have restarted, callers learn of the new instance this way before its entry in the store
/// changes.
fn apply_record(engine: &Engine, record: InstanceRecord) {
    let (node, instance) = (record.node.clone(), record.instance.clone());
    if engine.registry().apply_peer_record(record, Instant::now()) {
        log_event!(info, LearnedFromPeer, "{node} {instance} from its refusal");
    }
}

fn refusal(outcome: CallOutcome, reason: RefusalReason) -> TargetRefusal {
    TargetRefusal {
        outcome,
        reason,
        arrived: outcome != CallOutcome::NotRun,
        report: None,
    }
}
