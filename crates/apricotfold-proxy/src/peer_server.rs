//! Serves other proxies: runs their calls at the local target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{
    CallOutcome, RateLimit, RefusalReason, TenantName, log_event, saturating_millis,
};
use apricotfold_policy::NestedCapacity;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::call_body::ResponseBody;
use crate::callers::message_body::{BodyFault, collect_body};
use crate::connection::{CallerDisconnected, RequestHandler};
use crate::crash_gossip::{self, CRASHES_HEADER};
use crate::engine::Engine;
use crate::lifecycle::ProcessPhase;
use crate::peer_call::{
    CALL_HEADER, EXPECT_CONTINUE, INBOUND_HEADER, RATE_LIMIT_HEADER, RECORD_HEADER, REFUSAL_HEADER,
    REPORT_HEADER, TENANT_HEADER, WireCallContext, WireRefusal, WireReport, read_header,
    write_header,
};
use crate::peer_exchange::{EXCHANGE_HEADER, respond_to_exchange};
use crate::quota::{self, QUOTA_HEADER};
use crate::rollout::{self, ROLLOUT_HEADER};
use crate::target_call::{self, CallContext, CallRequest, TargetRefusal};
use crate::target_check;

/// Largest body of a call that is read even if this node's table allows less, because the peer may
/// have a newer table: the largest body in the deployments.
const MAX_CALL_BYTES: u64 = 64 * 1024 * 1024;

/// Largest message of a peer. All instances of the design size take a few megabytes.
const MAX_MESSAGE_BYTES: u64 = 16 * 1024 * 1024;

/// Longest time for a message to arrive, enough for the largest one on a link of 10 Mbit/s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves the calls and state exchanges of other proxies.
pub struct PeerHandler {
    engine: Arc<Engine>,
}

impl PeerHandler {
    /// Creates the handler.
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, CallerDisconnected> {
        let arrived = Instant::now();
        let (mut parts, incoming) = request.into_parts();
        let exchange = parts.headers.contains_key(EXCHANGE_HEADER);
        let crashes = parts.headers.contains_key(CRASHES_HEADER);
        let rollouts = parts.headers.contains_key(ROLLOUT_HEADER);
        let quotas = parts.headers.contains_key(QUOTA_HEADER);
        let context: Option<WireCallContext> = read_header(&parts.headers, &CALL_HEADER);
        parts.headers.remove(CALL_HEADER);
        let rate_limit: Option<RateLimit> = read_header(&parts.headers, &RATE_LIMIT_HEADER);
        parts.headers.remove(RATE_LIMIT_HEADER);
        let tenant: Option<TenantName> = read_header(&parts.headers, &TENANT_HEADER);
        parts.headers.remove(TENANT_HEADER);
        let context = context.map(|context| CallContext {
            rate_limit,
            tenant,
            ..context.into_context(arrived)
        });
        let asks = parts.headers.remove(header::EXPECT) == Some(EXPECT_CONTINUE);
        if let Some(context) = context.as_ref().filter(|_| asks)
            && let Err(reason) = self.schedule_body(context, &parts.headers).await
        {
            return Ok(self.refuse(CallOutcome::NotRun, reason, false));
        }
        let is_message = exchange || crashes || rollouts || quotas;
        let (most, deadline) = match &context {
            Some(context) if !is_message => {
                let table = self.engine.tables.current().table.limits.body_bytes;
                (table.max(MAX_CALL_BYTES), context.deadline)
            }
            _ => (MAX_MESSAGE_BYTES, arrived + MESSAGE_TIMEOUT),
        };
        let body = match collect_body(incoming, &self.engine.held_memory, most, deadline).await {
            Ok(body) => body,
            Err(BodyFault::Broken(cause)) => {
                log::debug!("reading the request of a peer failed: {cause}");
                return Err(CallerDisconnected);
            }
            Err(fault) if is_message => {
                log_event!(warn, ExchangeFailed, "message of a peer not read: {fault}");
                return Err(CallerDisconnected);
            }
            Err(fault) => {
                let reason = match fault {
                    BodyFault::Late => RefusalReason::BodyLate,
                    BodyFault::MemoryExceeded => RefusalReason::Overloaded,
                    BodyFault::TooLarge | BodyFault::Broken(_) => RefusalReason::BadRequest,
                };
                return Ok(self.refuse(CallOutcome::NotRun, reason, false));
            }
        };
        if asks {
            // The end of the connection arrives right behind the body of a caller that has left. The
            // connection is read before the handler goes on, and then dropped.
            tokio::task::yield_now().await;
        }
        if exchange {
            return Ok(respond_to_exchange(&self.engine, &body.to_bytes()));
        }
        if crashes {
            return Ok(crash_gossip::respond(&self.engine, &body.to_bytes()));
        }
        if rollouts {
            return Ok(rollout::respond(&self.engine, &body.to_bytes()));
        }
        if quotas {
            return Ok(quota::respond(&self.engine, &body.to_bytes()));
        }
        let Some(path) = parts.uri.path_and_query().cloned() else {
            return Ok(self.refuse(CallOutcome::NotRun, RefusalReason::BadRequest, false));
        };
        let Some(context) = context else {
            return Ok(self.refuse(CallOutcome::NotRun, RefusalReason::BadRequest, false));
        };
        if self.engine.lifecycle.phase() != ProcessPhase::Serving {
            return Ok(self.refuse(CallOutcome::NotRun, RefusalReason::Draining, false));
        }
        let call = CallRequest {
            id: self.engine.protocol.read_call(&parts.headers).request_id,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
        };
        Ok(self.run(&context, &call, arrived).await)
    }

    /// Waits until the body of a call may be sent to this node.
    async fn schedule_body(
        &self,
        context: &CallContext,
        headers: &HeaderMap,
    ) -> Result<(), RefusalReason> {
        if self.engine.lifecycle.phase() != ProcessPhase::Serving {
            return Err(RefusalReason::Draining);
        }
        let length = headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        target_check::schedule_body(&self.engine, context, length.unwrap_or(0)).await
    }

    async fn run(
        &self,
        context: &CallContext,
        call: &CallRequest,
        arrived: Instant,
    ) -> Response<ResponseBody> {
        match target_call::run(&self.engine, context, call).await {
            Ok(answer) => {
                let mut response = Response::new(answer.body);
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                let report = WireReport::new(answer.report, answer.service, answer.calls);
                self.add_report(response.headers_mut(), &report);
                response
            }
            Err(TargetRefusal {
                outcome,
                reason,
                arrived: reached,
                ..
            }) => {
                let report = self.engine.report();
                log_event!(
                    info,
                    CallRefused,
                    "id={} at-target {outcome} {reason} after {:?} running {} waiting {} slots {} link wait {} ms",
                    call.log_id(),
                    arrived.elapsed(),
                    report.running,
                    report.waiting,
                    report.slots,
                    report.link_wait
                );
                self.refuse(outcome, reason, reached)
            }
        }
    }

    fn refuse(
        &self,
        outcome: CallOutcome,
        reason: RefusalReason,
        arrived: bool,
    ) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::whole(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        if let Some(value) = write_header(&WireRefusal(outcome, reason, arrived)) {
            headers.insert(REFUSAL_HEADER, value);
        }
        if reason == RefusalReason::NoLocalTarget
            && let Some(record) = self.engine.local_record()
            && let Some(value) = write_header(&record)
        {
            headers.insert(RECORD_HEADER, value);
        }
        let report = WireReport::new(self.engine.report(), Duration::ZERO, NestedCapacity::Room);
        self.add_report(headers, &report);
        response
    }
}

impl PeerHandler {
    fn add_report(&self, headers: &mut HeaderMap, report: &WireReport) {
        if let Some(value) = write_header(report) {
            headers.insert(REPORT_HEADER, value);
        }
        let pacer = self.engine.inbound_meter.pacer();
        let wait = saturating_millis(pacer.expected_wait(Instant::now()));
        if wait > 0 {
            headers.insert(INBOUND_HEADER, HeaderValue::from(wait));
        }
    }
}

impl RequestHandler for PeerHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, CallerDisconnected>> {
        async move { self.answer(request).await }.boxed()
    }
}
