//! Serves the callers on this instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, CallerLimits, RefusalReason, WorkClass, log_event};
use apricotfold_policy::advise_retry_after;
use http::Response;
use http::request::Parts;
use http::uri::PathAndQuery;
use tokio::net::TcpListener;

use crate::adapters::{CallHead, CallRefusal};
use crate::call_body::ResponseBody;
use crate::caller_connection::serve_caller;
use crate::callers::body_pieces::BodyPieces;
use crate::callers::connection_slots::ConnectionSlots;
use crate::callers::held_memory::BodyMemory;
use crate::connection::{CallerDisconnected, accept};
use crate::engine::Engine;
use crate::entry_access::TenantAccess;
use crate::entry_call::EntryCall;
use crate::entry_route::{RoutedCall, clean_headers};
use crate::target_call::CallRequest;
use crate::telemetry;

/// Time that a node usually needs after its start to load the routes.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Routes and runs the requests of callers.
pub struct CallerHandler {
    engine: Arc<Engine>,
}

/// A request that has a route but whose body is not read yet.
pub struct PreparedCall {
    routed: RoutedCall,
    path: PathAndQuery,
    parts: Parts,
    head: CallHead,
    access: Option<TenantAccess>,
}

impl PreparedCall {
    /// Returns the time at which the caller stops waiting.
    pub fn deadline(&self) -> Instant {
        self.routed.deadline
    }
}

/// Response to a request that cannot be routed.
pub struct EntryRefusal(pub Box<Response<ResponseBody>>);

/// Logs on drop that the caller disconnected; its request is dropped then, before it has a
/// response.
struct DisconnectLog {
    id: Option<String>,
    arrived: Instant,
}

impl Drop for DisconnectLog {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let elapsed = self.arrived.elapsed();
            log_event!(info, CallerLeft, "id={id} after {elapsed:?}");
        }
    }
}

impl CallerHandler {
    /// Creates the handler.
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    /// Returns the limits on callers' requests from the current route table.
    pub fn limits(&self) -> CallerLimits {
        self.engine.tables.current().table.limits
    }

    /// Finds the route of a request whose body is not read yet.
    ///
    /// # Errors
    ///
    /// Returns the response to a request that cannot be routed.
    pub fn prepare(
        &self,
        mut parts: Parts,
        arrived: Instant,
    ) -> Result<PreparedCall, EntryRefusal> {
        let head = self.engine.protocol.read_call(&parts.headers);
        let cached = self.engine.tables.current();
        let routed = RoutedCall::find(&cached.table, &parts, &head, arrived);
        let path = parts.uri.path_and_query().cloned();
        let path = path.ok_or(RefusalReason::BadRequest);
        let allowed = routed.and_then(|routed| {
            let access = TenantAccess::find(&self.engine, &cached.table, &routed.route, &head)?;
            Ok((routed, path?, access))
        });
        match allowed {
            Ok((routed, path, access)) => {
                clean_headers(&mut parts.headers);
                if cached.table.tenants.is_some() {
                    self.engine.protocol.strip_credentials(&mut parts.headers);
                }
                Ok(PreparedCall {
                    routed,
                    path,
                    parts,
                    head,
                    access,
                })
            }
            Err(reason) => {
                let response = self.refuse(&head, reason, &parts, arrived);
                Err(EntryRefusal(Box::new(response)))
            }
        }
    }

    /// Runs a request with its complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection must be closed without a response.
    pub async fn run(
        self: Arc<Self>,
        call: PreparedCall,
        body: BodyPieces,
    ) -> Result<Response<ResponseBody>, CallerDisconnected> {
        let id = call.head.request_id.as_deref().unwrap_or("-");
        let mut disconnect = DisconnectLog {
            id: Some(id.to_owned()),
            arrived: call.routed.arrived,
        };
        self.engine.inbound_meter.occupy(body.len());
        let request = CallRequest {
            method: call.parts.method,
            path: call.path,
            headers: call.parts.headers,
            body,
            id: call.head.request_id,
        };
        let answer = EntryCall::new(&self.engine, call.routed, request, call.access)
            .run()
            .await;
        disconnect.id = None;
        answer
    }

    /// Refuses a request whose body did not arrive before its deadline.
    pub fn refuse_late(&self, call: &PreparedCall) -> Response<ResponseBody> {
        let arrived = call.routed.arrived;
        self.refuse(&call.head, RefusalReason::BodyLate, &call.parts, arrived)
    }

    /// Refuses a request whose body the node cannot hold.
    pub fn refuse_overfull(&self, call: &PreparedCall) -> Response<ResponseBody> {
        let arrived = call.routed.arrived;
        self.refuse(&call.head, RefusalReason::Overloaded, &call.parts, arrived)
    }

    /// Records that a caller was closed because it took no byte of its answers.
    pub fn record_write_stall(&self) {
        let text = || "a caller takes no byte of its answers".to_owned();
        self.engine.held_memory.record_limit("write-time", text);
    }

    /// Counts the memory of a body that begins to arrive.
    pub fn begin_body(&self) -> BodyMemory {
        self.engine.held_memory.begin()
    }

    /// Refuses a request before a target is selected.
    fn refuse(
        &self,
        head: &CallHead,
        reason: RefusalReason,
        parts: &Parts,
        arrived: Instant,
    ) -> Response<ResponseBody> {
        let id = head.request_id.as_deref().unwrap_or("-");
        let version = self.engine.tables.version();
        let (method, path) = (&parts.method, parts.uri.path());
        log_event!(
            info,
            CallRefused,
            "id={id} {method} {path} not-run {reason} route table {version}"
        );
        telemetry::record_call(
            CallOutcome::NotRun,
            Some(reason),
            WorkClass::Short,
            arrived.elapsed(),
        );
        let not_ready = matches!(
            reason,
            RefusalReason::NotReady | RefusalReason::KeyUnverified
        );
        let left = head.time_left.unwrap_or(STARTUP_RETRY_DELAY * 4);
        let refusal = CallRefusal {
            outcome: CallOutcome::NotRun,
            reason,
            retry_after: not_ready
                .then(|| {
                    advise_retry_after(STARTUP_RETRY_DELAY, left, self.engine.selector().random())
                })
                .flatten(),
        };
        write_refusal(&self.engine, &refusal)
    }
}

/// Builds the response of a refusal.
pub fn write_refusal(engine: &Engine, refusal: &CallRefusal) -> Response<ResponseBody> {
    let head = engine.protocol.write_refusal(refusal);
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// Accepts callers until the process ends.
pub async fn serve_callers(listener: TcpListener, handler: Arc<CallerHandler>) {
    let engine = &handler.engine;
    let lifecycle = engine.lifecycle.clone();
    let slots = ConnectionSlots::new(engine.limits.caller_connections, &engine.held_memory);
    loop {
        let stream = accept(&listener).await;
        if let Some(slot) = slots.accept() {
            let served = serve_caller(stream, handler.clone(), lifecycle.clone(), slot);
            tokio::spawn(served);
        }
    }
}
