//! Serves the listeners for callers: matches a route and makes the call.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use apricotfold_model::{
    ActiveRoute, CallOutcome, InactiveRoute, ListenerName, RefusalReason, headers, log_event,
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use crate::call::{CallExecution, CallResponse};
use crate::forward::{BufferedRequest, copy_response, set_header};
use crate::node_metrics;
use crate::refusal::{CallRefusal, header_text, read_header, set_outcome};
use crate::response_stream::{BodyEnd, stream_body};
use crate::state::NodeState;

/// Maximum number of nodes that a chain of nested calls may pass. Calls nest up to 9 deep and pass
/// two nodes each.
const MAX_HOPS: u32 = 18;

/// Handler for the requests on one listener.
pub struct EntryHandler {
    state: Arc<NodeState>,
    listener: ListenerName,
}

impl EntryHandler {
    /// Creates the handler of a listener.
    pub fn new(state: Arc<NodeState>, listener: ListenerName) -> Self {
        Self { state, listener }
    }

    async fn process(&self, req: &mut Request, res: &mut Response) -> Result<(), CallRefusal> {
        let arrived = Instant::now();
        if self.state.draining.load(Ordering::Relaxed) {
            return Err(CallRefusal::not_run(RefusalReason::Draining, ""));
        }
        let route = self.find_route(req)?;
        let deadline = read_deadline(req, route.rule.timeout, arrived);
        let mut request = BufferedRequest::read(req, deadline).await?;
        prepare_headers(&mut request, &route, &self.state)?;
        self.check_poison(&request)?;
        let call = CallExecution::new(&self.state, &route, &request, deadline).run();
        let CallResponse {
            response,
            tier,
            guard,
        } = call.await?;
        let state = self.state.clone();
        let failed = response.status().is_server_error();
        let observer = Box::new(move |end| {
            if end == BodyEnd::Complete && !failed {
                state.record_response(&request);
            }
        });
        copy_response(&response, res);
        res.headers_mut().remove(headers::LOAD);
        set_outcome(res.headers_mut(), CallOutcome::Ran);
        let guard = (guard, self.state.in_flight.enter());
        stream_body(response, res, deadline, Some(tier), guard, observer);
        Ok(())
    }

    fn find_route(&self, req: &Request) -> Result<ActiveRoute, CallRefusal> {
        let snapshot = self.state.snapshot.load();
        let path = req.uri().path();
        let found = snapshot.find_route(&self.listener, req.method().as_str(), path);
        found
            .cloned()
            .map_err(|inactive| self.no_route_refusal(inactive))
    }

    fn no_route_refusal(&self, inactive: Option<&InactiveRoute>) -> CallRefusal {
        if let Some(route) = inactive {
            let detail = format!("route {}: no {}", route.rule.name, route.missing);
            return CallRefusal::not_run(RefusalReason::RouteInactive, detail);
        }
        if !self.state.ready.load(Ordering::Relaxed) {
            let detail = "no profile version is known yet";
            return CallRefusal::not_run(RefusalReason::NotReady, detail);
        }
        CallRefusal::not_run(RefusalReason::NoRoute, "")
    }

    fn check_poison(&self, request: &BufferedRequest) -> Result<(), CallRefusal> {
        if !self.state.is_poison(request) {
            return Ok(());
        }
        log_event!(
            warn,
            RequestBlocked,
            "{} {}",
            request.method,
            request.path_without_query()
        );
        let detail = "targets died while they ran this request";
        Err(CallRefusal::not_run(RefusalReason::PoisonRequest, detail))
    }
}

/// Returns the earlier of the caller's deadline and the end of the route's timeout.
fn read_deadline(req: &Request, timeout: Duration, arrived: Instant) -> Instant {
    let requested = read_header(req.headers(), headers::DEADLINE_MS).map(Duration::from_millis);
    arrived + requested.map_or(timeout, |requested| requested.min(timeout))
}

/// Sets the headers that the target's node needs. Refuses a request that is nested too deep or
/// lacks a required idempotency key.
fn prepare_headers(
    request: &mut BufferedRequest,
    route: &ActiveRoute,
    state: &NodeState,
) -> Result<(), CallRefusal> {
    let hops = read_header(&request.headers, headers::HOPS).unwrap_or(0u32) + 1;
    if hops > MAX_HOPS {
        let detail = format!("more than {MAX_HOPS} nodes");
        return Err(CallRefusal::not_run(RefusalReason::TooDeep, detail));
    }
    let rule = &route.rule;
    if rule.require_key && !request.headers.contains_key(headers::IDEMPOTENCY_KEY) {
        let detail = format!("route {} needs the header idempotency-key", rule.name);
        return Err(CallRefusal::not_run(RefusalReason::KeyMissing, detail));
    }
    let target = &mut request.headers;
    set_header(target, headers::HOPS, hops);
    set_header(target, headers::CLASS, rule.class);
    set_header(target, headers::PRIORITY, rule.priority);
    set_header(target, headers::SERVICE, &route.cluster.service);
    target.remove(headers::CLAIM);
    if rule.require_key {
        set_header(target, headers::CLAIM, "required");
    }
    let secret = route.cluster.secret.as_ref();
    let secret = secret.and_then(|name| {
        state
            .config
            .secrets
            .iter()
            .find(|known| known.name == *name)
    });
    if let Some(secret) = secret {
        set_header(target, headers::SECRET, &secret.value);
    }
    Ok(())
}

#[async_trait]
impl Handler for EntryHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let started = Instant::now();
        let _in_flight = self.state.in_flight.enter();
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let Err(refusal) = self.process(req, res).await else {
            node_metrics::record_call(CallOutcome::Ran, None, started.elapsed());
            return;
        };
        node_metrics::record_call(refusal.outcome, Some(refusal.reason), started.elapsed());
        let id = header_text(req, "x-request-id");
        let CallRefusal {
            outcome,
            reason,
            detail,
        } = &refusal;
        log_event!(
            info,
            CallRefused,
            "{method} {path} {id} {outcome} {reason} {detail}"
        );
        refusal.write(res);
    }
}
