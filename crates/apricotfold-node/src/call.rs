//! Executes one call at its entry node: sends the attempts that [`CallPlan`] requests and feeds
//! their results back into the plan.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{ActiveRoute, CallOutcome, NodeId, RefusalReason, headers, log_event};
use apricotfold_policy::{
    AttemptNumber, AttemptResult, CallLimits, CallPlan, LoadReport, LocalityTier, PlanAction,
    PlanActions, PlanEvent,
};
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use smallvec::SmallVec;

use crate::balance::CallKind;
use crate::forward::{BufferedRequest, set_deadline, set_header};
use crate::node_metrics;
use crate::refusal::{CallRefusal, read_header};
use crate::state::NodeState;

/// A response whose head has arrived and whose body has not been streamed yet.
pub struct CallResponse {
    /// Response of the next hop, the node of the chosen target.
    pub response: reqwest::Response,
    /// Locality of the target, seen from this node.
    pub tier: LocalityTier,
    /// Keeps the attempt counted as in flight at its target until the body has ended.
    pub guard: AttemptGuard,
}

/// A call in progress, with its running attempts and the responses to them.
pub struct CallExecution<'a> {
    state: &'a Arc<NodeState>,
    route: &'a ActiveRoute,
    request: &'a BufferedRequest,
    kind: CallKind,
    deadline: Instant,
    plan: CallPlan,
    tried: SmallVec<[NodeId; 4]>,
    running: FuturesUnordered<BoxFuture<'static, FinishedAttempt>>,
    cancelled: SmallVec<[AttemptNumber; 2]>,
    responses: SmallVec<[(AttemptNumber, CallResponse); 1]>,
    last_refusal: Option<CallRefusal>,
}

struct FinishedAttempt {
    attempt: AttemptNumber,
    result: AttemptResult,
    response: Option<CallResponse>,
    detail: String,
}

type CallResult = Result<CallResponse, CallRefusal>;

impl<'a> CallExecution<'a> {
    /// Creates a call with the retry rule of the active profile. Only calls on idempotent routes
    /// are hedged.
    pub fn new(
        state: &'a Arc<NodeState>,
        route: &'a ActiveRoute,
        request: &'a BufferedRequest,
        deadline: Instant,
    ) -> Self {
        let rule = state.snapshot.load().profile.retries;
        let kind = (route.cluster.service.clone(), route.rule.class);
        let view = state.view.load();
        let hedge_delay = if route.rule.idempotent {
            state
                .balancers
                .hedge_delay(&kind, &rule, &view, Instant::now())
        } else {
            None
        };
        let limits = CallLimits {
            idempotent: route.rule.idempotent,
            max_attempts: rule.max_attempts,
            deadline,
            hedge_delay,
        };
        Self {
            state,
            route,
            request,
            kind,
            deadline,
            plan: CallPlan::new(limits),
            tried: SmallVec::new(),
            running: FuturesUnordered::new(),
            cancelled: SmallVec::new(),
            responses: SmallVec::new(),
            last_refusal: None,
        }
    }

    /// Runs the call until the plan ends it with a response or a refusal.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no response and whether the request ran.
    pub async fn run(mut self) -> CallResult {
        let rule = self.state.snapshot.load().profile.retries;
        let view = self.state.view.load_full();
        let balancers = &self.state.balancers;
        let now = Instant::now();
        let mut actions = balancers.start_plan(&self.kind, &rule, &mut self.plan, &view, now);
        let mut hedge_at: Option<Instant> = None;
        loop {
            if let Some(end) = self.execute_actions(actions, &mut hedge_at) {
                return end;
            }
            let hedge_due = hedge_at.unwrap_or(self.deadline);
            let event = tokio::select! {
                biased;
                Some(end) = self.running.next() => self.handle_attempt_end(end),
                () = tokio::time::sleep_until(self.deadline.into()) => {
                    Some(PlanEvent::DeadlineReached { sent: !self.running.is_empty() })
                }
                () = tokio::time::sleep_until(hedge_due.into()), if hedge_at.is_some() => {
                    hedge_at = None;
                    Some(PlanEvent::HedgeDue)
                }
            };
            actions = event.map_or_else(PlanActions::new, |event| self.advance(event));
        }
    }

    fn advance(&mut self, event: PlanEvent) -> PlanActions {
        let view = self.state.view.load();
        let balancers = &self.state.balancers;
        balancers.advance_plan(&self.kind, &mut self.plan, event, &view, Instant::now())
    }

    fn execute_actions(
        &mut self,
        actions: PlanActions,
        hedge_at: &mut Option<Instant>,
    ) -> Option<CallResult> {
        for action in actions {
            match action {
                PlanAction::SendAttempt { attempt, hedge } => self.send(attempt, hedge),
                PlanAction::SetHedgeTimer { at } => *hedge_at = Some(at),
                PlanAction::CancelAttempt { attempt } => self.cancelled.push(attempt),
                PlanAction::FinishAnswered { attempt } => {
                    let index = self
                        .responses
                        .iter()
                        .position(|(number, _)| *number == attempt);
                    return index.map(|index| Ok(self.responses.remove(index).1));
                }
                PlanAction::FinishRefused { outcome, reason } => {
                    return Some(Err(self.refuse(outcome, reason)));
                }
            }
        }
        None
    }

    fn refuse(&self, outcome: CallOutcome, reason: RefusalReason) -> CallRefusal {
        let known = self
            .last_refusal
            .as_ref()
            .filter(|refusal| refusal.reason == reason);
        CallRefusal {
            outcome,
            reason,
            detail: known
                .map(|refusal| refusal.detail.clone())
                .unwrap_or_default(),
        }
    }

    fn handle_attempt_end(&mut self, end: FinishedAttempt) -> Option<PlanEvent> {
        if self.cancelled.contains(&end.attempt) {
            return None;
        }
        if let Some(response) = end.response {
            self.responses.push((end.attempt, response));
        } else if let AttemptResult::Refused { reason, outcome } = end.result {
            self.last_refusal = Some(CallRefusal {
                outcome,
                reason,
                detail: end.detail.into(),
            });
        } else {
            log::debug!(
                "attempt {} of {}: {}",
                end.attempt,
                self.request.path,
                end.detail
            );
        }
        Some(PlanEvent::AttemptFinished {
            attempt: end.attempt,
            result: end.result,
        })
    }

    fn send(&mut self, attempt: AttemptNumber, hedge: bool) {
        let view = self.state.view.load();
        let now = Instant::now();
        let balancers = &self.state.balancers;
        let choice = match balancers.pick(&self.kind, &self.tried, &view, now) {
            Ok(choice) => choice,
            Err(reason) => {
                let end = refused(attempt, reason, CallOutcome::NotRun);
                self.running.push(Box::pin(std::future::ready(end)));
                return;
            }
        };
        let (route, service) = (&self.route.rule.name, &self.kind.0);
        log_event!(
            info,
            CallRouted,
            "{} {} route {route} service {service} attempt {attempt} to {choice}",
            self.request.method,
            self.request.path_without_query()
        );
        if hedge {
            log_event!(info, CallHedged, "attempt {attempt} to {}", choice.node);
            node_metrics::record_extra_attempt("hedge");
        } else if attempt > 1 {
            log_event!(info, CallRetried, "attempt {attempt} to {}", choice.node);
            node_metrics::record_extra_attempt("retry");
        }
        self.tried.push(choice.node.clone());
        let address = view
            .members
            .get(&choice.node)
            .map(|member| member.mesh_address.clone());
        let guard = AttemptGuard::new(self.state, &self.kind, choice.node.clone());
        let mut request = self.request.clone();
        set_header(&mut request.headers, headers::ATTEMPT, attempt);
        set_deadline(&mut request.headers, self.deadline, now);
        let builder = request.build(&self.state.client, &address.unwrap_or_default());
        self.running
            .push(Box::pin(send_attempt(attempt, builder, guard, choice.tier)));
    }
}

fn refused(attempt: AttemptNumber, reason: RefusalReason, outcome: CallOutcome) -> FinishedAttempt {
    FinishedAttempt {
        attempt,
        result: AttemptResult::Refused { reason, outcome },
        response: None,
        detail: String::new(),
    }
}

async fn send_attempt(
    attempt: AttemptNumber,
    builder: reqwest::RequestBuilder,
    mut guard: AttemptGuard,
    tier: LocalityTier,
) -> FinishedAttempt {
    match builder.send().await {
        Ok(response) => read_response(attempt, response, guard, tier).await,
        Err(error) => {
            let result = if error.is_connect() {
                AttemptResult::ConnectFailed
            } else {
                AttemptResult::ConnectionLost
            };
            guard.result = result;
            FinishedAttempt {
                attempt,
                result,
                response: None,
                detail: format!("{}: {error:?}", guard.node),
            }
        }
    }
}

async fn read_response(
    attempt: AttemptNumber,
    response: reqwest::Response,
    mut guard: AttemptGuard,
    tier: LocalityTier,
) -> FinishedAttempt {
    guard.record_head(&response);
    let outcome: Option<CallOutcome> = read_header(response.headers(), headers::OUTCOME);
    if outcome == Some(CallOutcome::Ran) {
        guard.result = AttemptResult::Answered;
        let response = CallResponse {
            response,
            tier,
            guard,
        };
        return FinishedAttempt {
            attempt,
            result: AttemptResult::Answered,
            response: Some(response),
            detail: String::new(),
        };
    }
    let reason = read_header(response.headers(), headers::REASON);
    let outcome = outcome.unwrap_or(CallOutcome::MayHaveRun);
    let reason = reason.unwrap_or(RefusalReason::ConnectionLost);
    let mut end = refused(attempt, reason, outcome);
    guard.result = end.result;
    end.detail = read_detail(response).await;
    end
}

/// Reads the `detail` field from the body of another node's refusal; empty if there is none.
async fn read_detail(response: reqwest::Response) -> String {
    let bytes = response.bytes().await.unwrap_or_default();
    let body: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    body["detail"].as_str().unwrap_or_default().to_owned()
}

/// Counts an attempt as in flight at its target and reports its end to the balancer on drop. An
/// attempt without a result is reported as cancelled.
pub struct AttemptGuard {
    state: Arc<NodeState>,
    kind: CallKind,
    node: NodeId,
    started: Instant,
    head_after: Option<Duration>,
    load: Option<LoadReport>,
    result: AttemptResult,
}

impl AttemptGuard {
    fn new(state: &Arc<NodeState>, kind: &CallKind, node: NodeId) -> Self {
        Self {
            state: state.clone(),
            kind: kind.clone(),
            node,
            started: Instant::now(),
            head_after: None,
            load: None,
            result: AttemptResult::Cancelled,
        }
    }

    fn record_head(&mut self, response: &reqwest::Response) {
        self.head_after = Some(self.started.elapsed());
        self.load = response
            .headers()
            .get(headers::LOAD)
            .and_then(|value| value.to_str().ok())
            .and_then(read_load);
    }
}

/// Parses a load report in the form `in-flight/slots`.
fn read_load(text: &str) -> Option<LoadReport> {
    let (in_flight, slots) = text.split_once('/')?;
    Some(LoadReport {
        in_flight: in_flight.parse().ok()?,
        slots: slots.parse().ok()?,
    })
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let latency = self.head_after.unwrap_or_else(|| self.started.elapsed());
        let balancers = &self.state.balancers;
        balancers.finish(&self.kind, &self.node, self.result, latency, self.load);
    }
}
