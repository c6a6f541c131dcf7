//! Serves the mesh address: admits calls from other nodes and forwards them to the local target.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use apricotfold_model::{RefusalReason, RetrySafety, TargetState, headers, log_event};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use crate::forward::{BufferedRequest, set_header};
use crate::orders::OrderCoordinator;
use crate::refusal::{CallRefusal, read_header};
use crate::state::NodeState;
use crate::target_call::TargetCall;
use apricotfold_policy::{AdmissionRequest, CallStanding};
use apricotfold_proxy::SlotGuard;

/// Time limit of a request without a deadline header, which only a faulty peer sends.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Handler for the calls that other nodes send to the local target.
pub struct MeshHandler {
    state: Arc<NodeState>,
    orders: Arc<OrderCoordinator>,
}

impl MeshHandler {
    /// Creates the handler of the mesh address.
    pub fn new(state: Arc<NodeState>, orders: Arc<OrderCoordinator>) -> Self {
        Self { state, orders }
    }

    async fn process(&self, req: &mut Request, res: &mut Response) -> Result<(), CallRefusal> {
        let arrived = Instant::now();
        let remaining = read_header(req.headers(), headers::DEADLINE_MS).map(Duration::from_millis);
        let deadline = arrived + remaining.unwrap_or(DEFAULT_DEADLINE);
        let request = BufferedRequest::read(req, deadline).await?;
        let target = self.find_target(&request)?;
        self.check_poison(&request)?;
        let slot = self.admit(&request, deadline).await?;
        let call = TargetCall {
            state: self.state.clone(),
            target,
            request,
            deadline,
        };
        if call.request.headers.contains_key(headers::CLAIM) {
            return call.run_order(&self.orders, slot, res).await;
        }
        call.run(slot, res).await
    }

    fn find_target(&self, request: &BufferedRequest) -> Result<TargetState, CallRefusal> {
        let service_filter: Option<String> = read_header(&request.headers, headers::SERVICE);
        let target = self.state.target().filter(|target| {
            service_filter
                .as_ref()
                .is_none_or(|service| target.service == service.as_str())
        });
        target.ok_or_else(|| {
            let detail = format!("node {}", self.state.config.node);
            CallRefusal::not_run(RefusalReason::NoLocalTarget, detail)
        })
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
        Err(CallRefusal::not_run(RefusalReason::PoisonRequest, ""))
    }

    async fn admit(
        &self,
        request: &BufferedRequest,
        deadline: Instant,
    ) -> Result<SlotGuard, CallRefusal> {
        let class = read_header(&request.headers, headers::CLASS).unwrap_or_default();
        let priority = read_header(&request.headers, headers::PRIORITY).unwrap_or_default();
        let offer = AdmissionRequest {
            class,
            priority,
            standing: CallStanding::New,
            repeat: RetrySafety::Idempotent,
            useful_until: deadline,
            deadline,
            tenant: None,
        };
        let admission = self.state.admission.admit(&offer);
        let slot = admission
            .await
            .map_err(|reason| CallRefusal::not_run(reason, ""))?;
        let load = self.state.admission.load();
        log_event!(
            info,
            CallAdmitted,
            "{} {} class {class} priority {priority} load {}/{}",
            request.method,
            request.path_without_query(),
            load.in_flight,
            load.slots
        );
        Ok(slot)
    }
}

#[async_trait]
impl Handler for MeshHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let _in_flight = self.state.in_flight.enter();
        if let Err(refusal) = self.process(req, res).await {
            let CallRefusal {
                outcome,
                reason,
                detail,
            } = &refusal;
            let (method, path) = (req.method(), req.uri().path());
            log_event!(
                info,
                CallRefused,
                "{method} {path} {outcome} {reason} {detail}"
            );
            refusal.write(res);
        }
        let load = self.state.admission.load();
        let text = format!("{}/{}", load.in_flight, load.slots);
        set_header(res.headers_mut(), headers::LOAD, text);
        if self.state.draining.load(Ordering::Relaxed) {
            set_header(res.headers_mut(), "connection", "close");
        }
    }
}
