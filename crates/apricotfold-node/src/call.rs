//! Carries out one call at its entry node: sends the attempts that [`CallPlan`] asks for and
//! reports what became of them.

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

use crate::answer::{CallRefusal, read_header};
use crate::balance::CallKind;
use crate::forward::{HeldRequest, set_deadline, set_header};
use crate::measure;
use crate::state::NodeState;

/// An answer whose body is still to be streamed.
pub struct CallAnswer {
    /// The next hop's answer.
    pub answer: reqwest::Response,
    /// Distance of the target.
    pub tier: LocalityTier,
    /// Counts the attempt as in flight at its target until the body has ended.
    pub guard: AttemptGuard,
}

/// One call in progress.
pub struct CallRun<'a> {
    state: &'a Arc<NodeState>,
    route: &'a ActiveRoute,
    request: &'a HeldRequest,
    kind: CallKind,
    deadline: Instant,
    plan: CallPlan,
    tried: SmallVec<[NodeId; 4]>,
    running: FuturesUnordered<BoxFuture<'static, AttemptEnd>>,
    cancelled: SmallVec<[AttemptNumber; 2]>,
    answers: SmallVec<[(AttemptNumber, CallAnswer); 1]>,
    last_refusal: Option<CallRefusal>,
}

struct AttemptEnd {
    attempt: AttemptNumber,
    result: AttemptResult,
    answer: Option<CallAnswer>,
    detail: String,
}

/// What ended the plan.
type PlanEnd = Result<CallAnswer, CallRefusal>;

impl<'a> CallRun<'a> {
    /// Prepares a call.
    pub fn new(
        state: &'a Arc<NodeState>,
        route: &'a ActiveRoute,
        request: &'a HeldRequest,
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
            answers: SmallVec::new(),
            last_refusal: None,
        }
    }

    /// Runs the call to its end.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer and whether the request ran.
    pub async fn run(mut self) -> PlanEnd {
        let rule = self.state.snapshot.load().profile.retries;
        let view = self.state.view.load_full();
        let balancers = &self.state.balancers;
        let now = Instant::now();
        let mut actions = balancers.start_plan(&self.kind, &rule, &mut self.plan, &view, now);
        let mut hedge_at: Option<Instant> = None;
        loop {
            if let Some(end) = self.carry_out(actions, &mut hedge_at) {
                return end;
            }
            let hedge_due = hedge_at.unwrap_or(self.deadline);
            let event = tokio::select! {
                biased;
                Some(end) = self.running.next() => self.note_end(end),
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

    fn carry_out(
        &mut self,
        actions: PlanActions,
        hedge_at: &mut Option<Instant>,
    ) -> Option<PlanEnd> {
        for action in actions {
            match action {
                PlanAction::SendAttempt { attempt, hedge } => self.send(attempt, hedge),
                PlanAction::SetHedgeTimer { at } => *hedge_at = Some(at),
                PlanAction::CancelAttempt { attempt } => self.cancelled.push(attempt),
                PlanAction::FinishAnswered { attempt } => {
                    let index = self
                        .answers
                        .iter()
                        .position(|(number, _)| *number == attempt);
                    return index.map(|index| Ok(self.answers.remove(index).1));
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

    fn note_end(&mut self, end: AttemptEnd) -> Option<PlanEvent> {
        if self.cancelled.contains(&end.attempt) {
            return None;
        }
        if let Some(answer) = end.answer {
            self.answers.push((end.attempt, answer));
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
            self.request.plain_path()
        );
        if hedge {
            log_event!(info, CallHedged, "attempt {attempt} to {}", choice.node);
            measure::record_extra_attempt("hedge");
        } else if attempt > 1 {
            log_event!(info, CallRetried, "attempt {attempt} to {}", choice.node);
            measure::record_extra_attempt("retry");
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

fn refused(attempt: AttemptNumber, reason: RefusalReason, outcome: CallOutcome) -> AttemptEnd {
    AttemptEnd {
        attempt,
        result: AttemptResult::Refused { reason, outcome },
        answer: None,
        detail: String::new(),
    }
}

async fn send_attempt(
    attempt: AttemptNumber,
    builder: reqwest::RequestBuilder,
    mut guard: AttemptGuard,
    tier: LocalityTier,
) -> AttemptEnd {
    match builder.send().await {
        Ok(answer) => read_answer(attempt, answer, guard, tier).await,
        Err(error) => {
            let result = if error.is_connect() {
                AttemptResult::ConnectFailed
            } else {
                AttemptResult::ConnectionLost
            };
            guard.result = result;
            AttemptEnd {
                attempt,
                result,
                answer: None,
                detail: format!("{}: {error:?}", guard.node),
            }
        }
    }
}

async fn read_answer(
    attempt: AttemptNumber,
    answer: reqwest::Response,
    mut guard: AttemptGuard,
    tier: LocalityTier,
) -> AttemptEnd {
    guard.note_head(&answer);
    let outcome: Option<CallOutcome> = read_header(answer.headers(), headers::OUTCOME);
    if outcome == Some(CallOutcome::Ran) {
        guard.result = AttemptResult::Answered;
        let answer = CallAnswer {
            answer,
            tier,
            guard,
        };
        return AttemptEnd {
            attempt,
            result: AttemptResult::Answered,
            answer: Some(answer),
            detail: String::new(),
        };
    }
    let reason = read_header(answer.headers(), headers::REASON);
    let outcome = outcome.unwrap_or(CallOutcome::MayHaveRun);
    let reason = reason.unwrap_or(RefusalReason::ConnectionLost);
    let mut end = refused(attempt, reason, outcome);
    guard.result = end.result;
    end.detail = read_detail(answer).await;
    end
}

/// Reads the detail that the other node gave with its refusal.
async fn read_detail(answer: reqwest::Response) -> String {
    let bytes = answer.bytes().await.unwrap_or_default();
    let body: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    body["detail"].as_str().unwrap_or_default().to_owned()
}

/// Counts an attempt as in flight at its target. Dropped without a result, the attempt counts as
/// cancelled.
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

    fn note_head(&mut self, answer: &reqwest::Response) {
        self.head_after = Some(self.started.elapsed());
        self.load = answer
            .headers()
            .get(headers::LOAD)
            .and_then(|value| value.to_str().ok())
            .and_then(read_load);
    }
}

/// Reads a load report, written as `in-flight/slots`.
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
