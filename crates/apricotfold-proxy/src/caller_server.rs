//! The side that callers on this instance see.

use std::sync::Arc;
use std::time::Instant;

use apricotfold_model::{CallOutcome, CallerLimits, RefusalReason, WorkClass, log_event};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::borders::{CallHead, CallRefusal};
use crate::call_body::AnswerBody;
use crate::connection::{CallerGone, RequestHandler};
use crate::engine::Engine;
use crate::entry_call::EntryCall;
use crate::entry_route::{BodyProblem, RoutedCall, clean_headers, read_body};
use crate::measure;
use crate::target_call::CallRequest;

/// Serves callers.
pub struct CallerHandler {
    engine: Arc<Engine>,
}

/// Logs a caller that leaves: the handler is dropped then, before it has answered.
struct DepartureLog {
    id: Option<String>,
    arrived: Instant,
}

impl Drop for DepartureLog {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let elapsed = self.arrived.elapsed();
            log_event!(info, CallerLeft, "id={id} after {elapsed:?}");
        }
    }
}

impl CallerHandler {
    /// Prepares the handler.
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, CallerGone> {
        let arrived = Instant::now();
        let (parts, incoming) = request.into_parts();
        let head = self.engine.dialect.read_call(&parts.headers);
        let mut departure = DepartureLog {
            id: Some(head.request_id.as_deref().unwrap_or("-").to_owned()),
            arrived,
        };
        let answer = self.route(parts, incoming, &head, arrived).await;
        departure.id = None;
        answer
    }

    async fn route(
        &self,
        mut parts: http::request::Parts,
        incoming: Incoming,
        head: &CallHead,
        arrived: Instant,
    ) -> Result<Response<AnswerBody>, CallerGone> {
        let kept = self.engine.tables.current();
        let limits = kept.table.limits;
        let routed = match RoutedCall::find(&kept.table, &parts, head, arrived) {
            Ok(routed) => routed,
            Err(reason) => return Ok(self.refuse(head, reason, &parts, arrived)),
        };
        let Some(path) = parts.uri.path_and_query().cloned() else {
            return Ok(self.refuse(head, RefusalReason::BadRequest, &parts, arrived));
        };
        clean_headers(&mut parts.headers);
        let body = match read_body(incoming, &parts.headers, &limits, routed.deadline).await {
            Ok(body) => body,
            Err(BodyProblem::Refused(reason)) => {
                return Ok(self.refuse(head, reason, &parts, arrived));
            }
            Err(BodyProblem::Gone(gone)) => return Err(gone),
        };
        let request = CallRequest {
            method: parts.method,
            path,
            headers: parts.headers,
            body,
            id: head.request_id.clone(),
        };
        EntryCall::new(&self.engine, routed, request).run().await
    }

    /// Refuses a request for what it is; no target was chosen.
    fn refuse(
        &self,
        head: &CallHead,
        reason: RefusalReason,
        parts: &http::request::Parts,
        arrived: Instant,
    ) -> Response<AnswerBody> {
        let id = head.request_id.as_deref().unwrap_or("-");
        let version = self.engine.tables.version();
        let (method, path) = (&parts.method, parts.uri.path());
        log_event!(
            info,
            CallRefused,
            "id={id} {method} {path} not-run {reason} route table {version}"
        );
        measure::record_call(
            CallOutcome::NotRun,
            Some(reason),
            WorkClass::Short,
            arrived.elapsed(),
        );
        let refusal = CallRefusal {
            outcome: CallOutcome::NotRun,
            reason,
            return_in: None,
        };
        write_refusal(&self.engine, &refusal)
    }
}

/// Writes an answer that the mesh gives in place of a target.
pub fn write_refusal(engine: &Engine, refusal: &CallRefusal) -> Response<AnswerBody> {
    let head = engine.dialect.write_refusal(refusal);
    let mut response = Response::new(AnswerBody::empty());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

impl RequestHandler for CallerHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<AnswerBody>, CallerGone>> {
        async move { self.answer(request).await }.boxed()
    }

    fn limits(&self) -> CallerLimits {
        self.engine.tables.current().table.limits
    }
}
