//! Runs a call at the local target.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use apricotfold_model::{
    CallOutcome, CallPriority, InstanceId, RateLimit, RefusalReason, RetrySafety, ServiceName,
    StartTimeMillis, TargetIncarnation, TenantName, WorkClass, log_event,
};
use apricotfold_policy::{
    AdmissionRequest, BULK_MIN_BYTES, CallStanding, InstanceReport, NestedCapacity,
    RequestFingerprint, RunSummary,
};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body::Body;
use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::adapters::{RequestId, ResponseHead, TargetHead};
use crate::admission::SlotGuard;
use crate::call_body::{ConnectionLease, ResponseBody};
use crate::callers::body_pieces::BodyPieces;
use crate::connection_pool::{OutgoingBody, PooledConnection, SendFailure};
use crate::crash_tracker::SentRun;
use crate::engine::Engine;
use crate::fingerprint::fingerprint;
use crate::gated_body::GatedBody;
use crate::hop_by_hop::strip_hop_by_hop_headers;
use crate::target_check::check_target;
use crate::target_pacing::{answered_end, failed_end};
use crate::telemetry;

/// Longest idle time of a connection that is reused for a request that must not run twice. Such a
/// request is lost if the target closes the idle connection at the same moment.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(500);

/// Longest idle time of a connection that is reused for idempotent requests, which can be sent
/// again.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(8);

/// Margin by which an idle connection is closed before the target's announced timeout.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Informational responses that a target may send before its answer. Targets send none or a few.
const MAX_INTERIM_RESPONSES: usize = 16;

/// First status code of no class. Callers' parsers may refuse it.
const FIRST_INVALID_STATUS: u16 = 600;

/// Interval of connection attempts to a target that refused a connection.
const DOWN_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// A request with its complete body, ready to be sent to any target.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Request method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: PathAndQuery,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: BodyPieces,
    /// Request id that the caller chose, if any.
    pub id: Option<RequestId>,
}

impl CallRequest {
    /// Builds the request for the next hop with the given headers.
    pub fn build(&self, headers: HeaderMap) -> Request<OutgoingBody> {
        let mut request = Request::new(GatedBody::ungated(self.body.to_sent()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = headers;
        request
    }

    /// Returns whether the body is so large that its transfer is scheduled.
    pub fn is_bulk(&self) -> bool {
        self.body.len() >= BULK_MIN_BYTES
    }

    /// Returns a digest of everything that stays the same when a caller of a service sends the request
    /// again.
    pub fn fingerprint(&self, caller_service: &str) -> RequestFingerprint {
        let path = self.path.as_str();
        fingerprint(&self.method, path, caller_service, &self.body)
    }

    /// Returns the id for log lines, `-` if the caller sent none.
    pub fn log_id(&self) -> &str {
        self.id.as_deref().unwrap_or("-")
    }
}

/// Properties of a call that the entry proxy sends to the target's proxy.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// The selected instance; no other may run the request.
    pub instance: InstanceId,
    /// Service of the instance that sent the request.
    pub caller_service: ServiceName,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Time until which it is useful to wait for a slot.
    pub useful_until: Instant,
    /// Work class: short or long.
    pub class: WorkClass,
    /// Priority under overload.
    pub priority: CallPriority,
    /// Whether the request may run more than once.
    pub repeat: RetrySafety,
    /// Whether the request is new, a caller's retry or nested, which determines how much work a
    /// refusal would waste.
    pub standing: CallStanding,
    /// Whether the request may have reached another target before.
    pub again: bool,
    /// Expected size of the response in bytes.
    pub answer_bytes: u32,
    /// Whether the caller is at another instance, so that the response uses this instance's link.
    pub remote: bool,
    /// Rate limit of the instance, as far as the entry proxy has heard of one.
    pub rate_limit: Option<RateLimit>,
    /// Tenant whose key the caller sent.
    pub tenant: Option<TenantName>,
}

/// A target's response.
pub struct TargetResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body, complete or streamed.
    pub body: ResponseBody,
    /// Time that the target took until the head of its response.
    pub service: Duration,
    /// Load of the target.
    pub report: InstanceReport,
    /// Capacity that the nested calls of the request found.
    pub calls: NestedCapacity,
}

/// Why the target's proxy has no response.
#[derive(Clone, Copy, Debug)]
pub struct TargetRefusal {
    /// Whether the target ran the request, as far as that is known.
    pub outcome: CallOutcome,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request reached the target, which then rejected or lost it.
    pub arrived: bool,
    /// Load of the target, if its proxy reported it.
    pub report: Option<InstanceReport>,
}

/// Runs a call at the local target.
pub async fn run(
    engine: &Arc<Engine>,
    context: &CallContext,
    request: &CallRequest,
) -> Result<TargetResponse, TargetRefusal> {
    let call = TargetCall {
        engine,
        context,
        request,
    };
    call.run().await
}

struct TargetCall<'a> {
    engine: &'a Arc<Engine>,
    context: &'a CallContext,
    request: &'a CallRequest,
}

impl TargetCall<'_> {
    async fn run(&self) -> Result<TargetResponse, TargetRefusal> {
        self.check_target()?;
        let fingerprint = self.request.fingerprint(&self.context.caller_service);
        if self.engine.crashes.is_blocked(&fingerprint) {
            let id = self.request.log_id();
            log_event!(warn, RequestBlocked, "id={id} request {fingerprint}");
            return Err(self.refuse(RefusalReason::PoisonRequest));
        }
        if let Some(limit) = self.context.rate_limit {
            self.engine.adopt_rate_limit(&self.context.instance, limit);
        }
        self.check_link()?;
        let bulk = self.expected_bulk();
        let reserved = self.engine.link_meter.reserve(bulk);
        let slot = self.admit().await?;
        let born = self.check_target()?;
        let incarnation = TargetIncarnation {
            instance: self.context.instance.clone(),
            born,
        };
        let started = Instant::now();
        let run = LocalRunGuard::new(self);
        let sent_run = self
            .engine
            .crashes
            .begin_run(incarnation.clone(), fingerprint);
        let sent = self.send().await;
        let calls = run.finish();
        if let Err(failure) = &sent {
            let end = failed_end(failure, started.elapsed());
            self.engine.record_run(self.context, started, end);
        }
        match sent {
            Ok((answer, connection)) => {
                let answer = self.read_answer(answer, born, connection, slot, started, sent_run)?;
                let answer = self.buffer_bulk(answer).await?;
                drop(reserved);
                let body = if self.context.remote {
                    answer.body.metered(&self.engine.link_meter)
                } else {
                    answer.body
                };
                Ok(TargetResponse {
                    body,
                    calls,
                    ..answer
                })
            }
            Err(SendFailure::NotSent(cause)) => {
                log::debug!("local target not reached: {cause}");
                sent_run.settle();
                probe_down_target(self.engine);
                Err(self.refuse(RefusalReason::ConnectFailed))
            }
            Err(SendFailure::Lost(cause)) => {
                let id = self.request.log_id();
                log_event!(info, TargetGone, "id={id} connection lost: {cause}");
                drop(sent_run);
                check_for_crash(self.engine, incarnation);
                Err(self.may_have_run(RefusalReason::ConnectionLost))
            }
            Err(SendFailure::TimedOut) => Err(self.may_have_run(RefusalReason::DeadlinePassed)),
        }
    }

    /// Checks that the instance selected by the entry proxy is the one running here, and that it
    /// takes work. Returns its start time.
    fn check_target(&self) -> Result<StartTimeMillis, TargetRefusal> {
        check_target(self.engine, &self.context.instance).map_err(|reason| self.refuse(reason))
    }

    /// Returns the expected response size if it uses this instance's link, otherwise 0.
    fn expected_bulk(&self) -> usize {
        if self.context.remote {
            self.context.answer_bytes as usize
        } else {
            0
        }
    }

    /// Refuses a request whose response would have to wait too long for this instance's link.
    fn check_link(&self) -> Result<(), TargetRefusal> {
        let context = self.context;
        let now = Instant::now();
        let useful = context.useful_until.min(context.deadline);
        let left = useful.saturating_duration_since(now);
        let service = self.engine.admission.expected_service_time(context.class);
        let pacer = self.engine.link_meter.pacer();
        let bulk = self.expected_bulk();
        if pacer.admits(bulk, context.standing, left, service, now) {
            Ok(())
        } else {
            Err(self.refuse(RefusalReason::Overloaded))
        }
    }

    /// Buffers a bulk response completely, so that the target's slot is not held while the response
    /// waits for the link.
    async fn buffer_bulk(&self, answer: TargetResponse) -> Result<TargetResponse, TargetRefusal> {
        let size = answer.body.size_hint().lower();
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if !self.context.remote || size < BULK_MIN_BYTES || !self.engine.link_meter.may_buffer(size)
        {
            return Ok(answer);
        }
        let buffered = answer.body.buffer(size).await;
        let body = buffered.map_err(|error| {
            let id = self.request.log_id();
            log_event!(warn, AnswerCut, "id={id} {error}");
            self.may_have_run(RefusalReason::ConnectionLost)
        })?;
        Ok(TargetResponse { body, ..answer })
    }

    async fn admit(&self) -> Result<SlotGuard, TargetRefusal> {
        let context = self.context;
        let admission = &self.engine.admission;
        let offer = AdmissionRequest {
            class: context.class,
            priority: context.priority,
            standing: context.standing,
            repeat: context.repeat,
            useful_until: context.useful_until,
            deadline: context.deadline,
            tenant: context.tenant.clone(),
        };
        admission
            .admit(&offer)
            .await
            .map_err(|reason| self.refuse(reason))
    }

    async fn send(&self) -> Result<(Response<Incoming>, PooledConnection), SendFailure> {
        let engine = self.engine;
        let address = engine.config.load().target_address;
        let head = TargetHead {
            time_left: self
                .context
                .deadline
                .saturating_duration_since(Instant::now()),
            instance: &self.context.instance,
            caller_service: &self.context.caller_service,
            tenant: self.context.tenant.as_deref(),
        };
        let mut headers = self.request.headers.clone();
        engine.protocol.prepare_call(&mut headers, &head);
        let max_idle = match self.context.repeat {
            RetrySafety::Idempotent => MAX_IDLE_IDEMPOTENT,
            RetrySafety::AtMostOnce => MAX_IDLE_AT_MOST_ONCE,
        };
        let mut request = self.request.build(headers);
        let excess = limit_interim_responses(&mut request);
        let sent =
            engine
                .target_connections
                .send(address, request, max_idle, self.context.deadline);
        tokio::select! {
            sent = sent => sent,
            () = excess.notified() => {
                let id = self.request.log_id();
                let text = || format!("id={id} of the local target");
                engine.held_memory.record_limit("interim-responses", text);
                Err(SendFailure::Lost("too many informational responses".to_owned()))
            }
        }
    }

    fn read_answer(
        &self,
        answer: Response<Incoming>,
        born: StartTimeMillis,
        mut connection: PooledConnection,
        slot: SlotGuard,
        started: Instant,
        run: SentRun,
    ) -> Result<TargetResponse, TargetRefusal> {
        let engine = self.engine;
        let service = started.elapsed();
        let (mut parts, incoming) = answer.into_parts();
        if parts.status.is_informational() || parts.status.as_u16() >= FIRST_INVALID_STATUS {
            let (id, status) = (self.request.log_id(), parts.status);
            log_event!(warn, AnswerCut, "id={id} invalid status {status}");
            return Err(self.may_have_run(RefusalReason::ConnectionLost));
        }
        let head = engine.protocol.read_answer(parts.status, &parts.headers);
        self.check_request_id(&head)?;
        if let Some(pace) = head.pace {
            engine.record_pace(pace);
        }
        engine.record_rate_limit(&self.context.instance, head.rate_limit);
        if head.leaving {
            engine.drain_target(&self.context.instance, born);
        }
        connection.announced_idle = head
            .idle_timeout
            .map(|limit| limit.saturating_sub(IDLE_MARGIN));
        telemetry::record_target_time(self.context.class, service);
        let end = answered_end(parts.status, head.not_run, service);
        engine.record_run(self.context, started, end);
        let lease = ConnectionLease::new(&engine.target_connections, connection).with_slot(slot);
        if head.not_run {
            run.settle();
            let _unread = ResponseBody::streaming(incoming, lease);
            let mut refusal = self.refuse(RefusalReason::Overloaded);
            refusal.arrived = true;
            return Err(refusal);
        }
        // A target can fail a request before it begins to run it.
        let ran = !parts.status.is_server_error();
        let lease = if has_visible_end(&parts.headers, &incoming) {
            lease.with_run(run, ran)
        } else {
            lease
        };
        let body = ResponseBody::streaming(incoming, lease);
        strip_hop_by_hop_headers(&mut parts.headers);
        Ok(TargetResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            service,
            report: engine.report(),
            calls: NestedCapacity::Room,
        })
    }

    /// Checks that the response carries the request's id: a target may send a second response to an
    /// earlier request on the same connection.
    fn check_request_id(&self, head: &ResponseHead) -> Result<(), TargetRefusal> {
        if self.request.id.is_none() || head.request_id == self.request.id {
            return Ok(());
        }
        let (id, other) = (self.request.log_id(), head.request_id.as_deref());
        log_event!(
            warn,
            ForeignAnswer,
            "id={id} received the response to {other:?}"
        );
        Err(self.may_have_run(RefusalReason::ConnectionLost))
    }

    fn refuse(&self, reason: RefusalReason) -> TargetRefusal {
        TargetRefusal {
            outcome: CallOutcome::NotRun,
            reason,
            arrived: false,
            report: Some(self.engine.report()),
        }
    }

    fn may_have_run(&self, reason: RefusalReason) -> TargetRefusal {
        TargetRefusal {
            outcome: CallOutcome::MayHaveRun,
            reason,
            arrived: true,
            report: Some(self.engine.report()),
        }
    }
}

/// Returns a signal that fires when a target has sent too many informational responses to a request.
fn limit_interim_responses(request: &mut Request<OutgoingBody>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let signal = excess.clone();
    let received = AtomicUsize::new(0);
    hyper::ext::on_informational(request, move |_| {
        if received.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            signal.notify_one();
        }
    });
    excess
}

/// Returns whether the end of an answer can be told from its connection's end.
fn has_visible_end(headers: &HeaderMap, body: &Incoming) -> bool {
    let framed = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    body.is_end_stream() || framed.iter().any(|name| headers.contains_key(name))
}

/// Registers a running request so that its nested calls can be recognised.
struct LocalRunGuard<'a> {
    engine: &'a Engine,
    id: Option<&'a RequestId>,
}

impl<'a> LocalRunGuard<'a> {
    fn new(call: &TargetCall<'a>) -> Self {
        let id = call.request.id.as_ref();
        let summary = RunSummary {
            priority: call.context.priority,
            repeat: call.context.again,
        };
        if let Some(id) = id {
            call.engine.runs().begin(id, summary);
        }
        Self {
            engine: call.engine,
            id,
        }
    }

    /// Ends the run and returns the capacity that its nested calls found.
    fn finish(mut self) -> NestedCapacity {
        let id = self.id.take();
        id.map_or(NestedCapacity::Room, |id| self.engine.runs().end(id))
    }
}

impl Drop for LocalRunGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.engine.runs().end(id);
        }
    }
}

/// Marks the target as down and probes it until it accepts connections again or announces itself.
fn probe_down_target(engine: &Arc<Engine>) {
    if !engine.set_target_down(true) {
        return;
    }
    log_event!(warn, TargetGone, "the target refuses connections");
    let engine = engine.clone();
    let incarnation = engine.current_incarnation();
    tokio::spawn(async move {
        while engine.is_target_down() {
            tokio::time::sleep(DOWN_PROBE_INTERVAL).await;
            let address = engine.config.load().target_address;
            if engine.target_connections.probe(address).await.is_err() {
                if let Some(incarnation) = &incarnation {
                    engine.record_crash(incarnation);
                }
            } else if engine.set_target_down(false) {
                log_event!(
                    info,
                    TargetAnnounced,
                    "the target accepts connections again"
                );
            }
        }
    });
}

/// Records a crash if the target refuses connections after it has lost one. A connection reset alone
/// does not show a crash; the next incarnation does.
fn check_for_crash(engine: &Arc<Engine>, incarnation: TargetIncarnation) {
    let engine = engine.clone();
    tokio::spawn(async move {
        let address = engine.config.load().target_address;
        let crashed = engine.target_connections.probe(address).await.is_err();
        if !crashed {
            let reason = "a new connection is accepted";
            log_event!(info, CrashNotCounted, "{incarnation}: {reason}");
            return;
        }
        probe_down_target(&engine);
        engine.record_crash(&incarnation);
    });
}
