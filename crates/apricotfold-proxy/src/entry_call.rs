//! Runs a caller's request: selects targets, retries, and returns the response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{
    CallOutcome, CallPriority, InstanceRecord, NodeId, RefusalReason, RetrySafety, ServiceName,
    log_event,
};
use apricotfold_policy::{
    CallStanding, NestedCapacity, RequestFingerprint, RetryDecision, RetryTracker, RunSummary,
    SelectedTarget, SendOutcome, TargetCandidate, VersionGroup, advise_retry_after,
};
use http::Response;
use rand::RngExt;
use smallvec::SmallVec;

use crate::adapters::{CallRefusal, RequestId};
use crate::call_body::ResponseBody;
use crate::caller_server::write_refusal;
use crate::connection::CallerDisconnected;
use crate::engine::Engine;
use crate::entry_access::TenantAccess;
use crate::entry_route::RoutedCall;
use crate::quota::{QuotaRefusal, QuotaToken};
use crate::target_call::{CallRequest, TargetRefusal, TargetResponse};
use crate::telemetry;

/// Share of the retry budget that may be spent on retries after a target's own server error. Such
/// an error often comes from a nested call of the target, and the retry repeats all of its nested
/// calls.
const FAILURE_BUDGET_SHARE: f64 = 0.4;

/// Time after the deadline at which an answer that is still arriving is cut, so that its last bytes
/// can still come.
const STREAM_MARGIN: Duration = Duration::from_millis(250);

/// Expected wait for a slot when no target gives an estimate.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Expected wait for a request that was throttled because its nested calls are likely to be
/// refused. The admitted share of a route changes within about a second.
const THROTTLED_RETRY_DELAY: Duration = Duration::from_millis(250);

/// One caller's request at the proxy that received it.
pub struct EntryCall<'a> {
    pub(crate) engine: &'a Arc<Engine>,
    pub(crate) routed: RoutedCall,
    pub(crate) request: CallRequest,
    pub(crate) retries: RetryTracker,
    pub(crate) tried: SmallVec<[NodeId; 4]>,
    pub(crate) standing: CallStanding,
    /// Tenant of the request; `None` in tables without tenants, on public routes and for nested calls.
    pub(crate) access: Option<TenantAccess>,
    /// Token of the tenant's quota that the request uses.
    token: Option<QuotaToken>,
    parent: Option<ParentRun>,
    /// Whether the next attempt goes to the version that is being rolled out, if it has a target.
    canary: bool,
}

/// The request at the local target that made this call.
struct ParentRun {
    id: RequestId,
    summary: RunSummary,
}

/// A selected target with the estimates behind its selection.
pub(crate) struct ChosenTarget {
    pub(crate) record: InstanceRecord,
    pub(crate) pick: SelectedTarget,
    /// Whether the target may still be cold, so that its times say nothing about its version.
    pub(crate) young: bool,
}

/// Why no target was selected, and the expected wait for a slot if it is known.
pub(crate) type NoTarget = (RefusalReason, Option<Duration>);

impl<'a> EntryCall<'a> {
    /// Creates a call and classifies it as new, retried by the caller, or nested in a request of
    /// the local target.
    pub fn new(
        engine: &'a Arc<Engine>,
        routed: RoutedCall,
        request: CallRequest,
        access: Option<TenantAccess>,
    ) -> Self {
        let route = &routed.route;
        let retries = RetryTracker::new(route.repeat, route.max_attempts);
        let parent = find_parent(engine, request.id.as_deref());
        let returned = engine
            .retry_detector()
            .is_retry(&route.name, routed.time_allowed);
        let standing = match &parent {
            Some(_) => CallStanding::Nested,
            None if returned => CallStanding::Returned,
            None => CallStanding::New,
        };
        Self {
            engine,
            routed,
            request,
            retries,
            tried: SmallVec::new(),
            standing,
            access,
            token: None,
            parent,
            canary: false,
        }
    }

    /// Sends the request until there is a response or no further attempt is possible.
    pub async fn run(mut self) -> Result<Response<ResponseBody>, CallerDisconnected> {
        let Some(service) = self.choose_service() else {
            return Ok(self.refuse(CallOutcome::NotRun, RefusalReason::NoTarget, None));
        };
        let route = &self.routed.route.name;
        if !self.engine.parent_throttle().admits(route, self.standing) {
            let expected_wait = Some(THROTTLED_RETRY_DELAY);
            return Ok(self.refuse(
                CallOutcome::NotRun,
                RefusalReason::Overloaded,
                expected_wait,
            ));
        }
        let engine = self.engine;
        let random = || engine.selector().random().random();
        self.canary = engine.rollouts.draws_canary(&service, random);
        if let Err((reason, due)) = self.take_token().await {
            return Ok(self.refuse(CallOutcome::NotRun, reason, Some(due)));
        }
        let mut counted = false;
        loop {
            if self.block_left().is_some() {
                log_event!(warn, RequestBlocked, "id={}", self.request.log_id());
                let outcome = self.retries.outcome();
                return Ok(self.refuse(outcome, RefusalReason::PoisonRequest, None));
            }
            if self.is_key_withdrawn() {
                let outcome = self.retries.outcome();
                return Ok(self.refuse(outcome, RefusalReason::UnknownKey, None));
            }
            let chosen = match self.choose_target(&service) {
                Ok(chosen) => chosen,
                Err((reason, expected_wait)) => {
                    let outcome = self.retries.outcome();
                    return Ok(self.refuse(outcome, reason, expected_wait));
                }
            };
            // A request is exposed to the new version once; retries and hedges go to the old one.
            self.canary = false;
            self.tried.push(chosen.record.node.clone());
            if !counted {
                self.count_first(&service);
                counted = true;
            }
            self.set_token_spent(true);
            let (result, chosen) = self.send_hedged(chosen, &service).await;
            if result.is_err() && self.is_replaced(&chosen) {
                // The node may be tried again, because another instance now runs there.
                self.tried.retain(|node| *node != chosen.record.node);
            }
            let (end, reason) = match result {
                Ok(answer) if self.is_final(&answer, &service) => {
                    return Ok(self.finish(answer, &chosen));
                }
                Ok(_) => (SendOutcome::FailedAnswer, RefusalReason::ConnectionLost),
                Err(refusal) => (send_end(&refusal), refusal.reason),
            };
            let answer = self.decide(end, reason, &chosen, &service);
            self.set_token_spent(self.retries.outcome() != CallOutcome::NotRun);
            if let Some(answer) = answer {
                return Ok(answer);
            }
        }
    }

    /// Takes a token of the tenant's quota. A nested call uses that of its parent.
    async fn take_token(&mut self) -> Result<(), QuotaRefusal> {
        let Some(access) = self.access.as_ref().filter(|_| self.parent.is_none()) else {
            return Ok(());
        };
        if let Some(quota) = access.tenant.quota {
            let name = &access.tenant.name;
            let deadline = self.routed.deadline;
            let quotas = &self.engine.quotas;
            let token = quotas.acquire(self.engine, name, quota, deadline).await?;
            self.token = Some(token);
        }
        Ok(())
    }

    /// Sets whether the request may have run and so uses its token up.
    fn set_token_spent(&mut self, spent: bool) {
        if let Some(token) = &mut self.token {
            token.set_spent(spent);
        }
    }

    /// Returns the name of the request's tenant for log lines, `-` if it has none.
    fn tenant_name(&self) -> &str {
        let access = self.access.as_ref();
        access.map_or("-", |access| &access.tenant.name)
    }

    /// Returns whether a newer table has withdrawn the key of the request.
    fn is_key_withdrawn(&self) -> bool {
        let Some(access) = &self.access else {
            return false;
        };
        let tables = &self.engine.tables;
        tables.version() != self.routed.version && !access.is_valid(&tables.current().table)
    }

    /// Returns for how long the request is refused at all nodes because it has crashed targets.
    fn block_left(&self) -> Option<Duration> {
        self.engine.crashes.block_left(|| self.fingerprint())
    }

    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let service = &self.engine.config.load().service;
        self.request.fingerprint(service)
    }

    /// Counts the request in the retry budget of its service. If the parent request is a retry,
    /// this call is counted as a retry too.
    fn count_first(&self, service: &ServiceName) {
        let now = Instant::now();
        let repeat = self.parent.as_ref().is_some_and(|run| run.summary.repeat);
        self.engine.with_budget(service, |budget| {
            budget.record_first(now);
            if repeat {
                budget.record_external_retry(now);
            }
        });
        self.engine.rollouts.view().record_request(service);
    }

    /// Returns whether another call of the parent request has ended without a response, so that a
    /// retry of this one would be useless.
    fn is_parent_failed(&self) -> bool {
        let parent = self.parent.as_ref();
        parent.is_some_and(|run| self.engine.runs().has_lost_call(&run.id))
    }

    fn choose_service(&self) -> Option<ServiceName> {
        let route = &self.routed.route;
        let mut selector = self.engine.selector();
        let mut split = self.engine.split();
        split
            .next_service(
                self.routed.version,
                &route.name,
                &route.parts,
                selector.random(),
            )
            .cloned()
    }

    fn choose_target(&self, service: &ServiceName) -> Result<ChosenTarget, NoTarget> {
        let chosen = self.find_target(service)?;
        if let Some(run) = &self.parent
            && chosen.pick.queueing > chosen.pick.service
        {
            self.engine.runs().note_call(&run.id, NestedCapacity::Queue);
        }
        let mut selector = self.engine.selector();
        selector.start(&chosen.record.node, Instant::now());
        Ok(chosen)
    }

    /// Selects the best target that has not been tried, without starting an attempt. A request that is
    /// meant for the new version of a rollout uses the others if that has no suitable target.
    pub(crate) fn find_target(&self, service: &ServiceName) -> Result<ChosenTarget, NoTarget> {
        if self.canary
            && let Ok(chosen) = self.find_in_group(service, VersionGroup::New)
        {
            return Ok(chosen);
        }
        let open = self.engine.rollouts.view().is_open(service);
        let group = if open {
            VersionGroup::Old
        } else {
            VersionGroup::Any
        };
        self.find_in_group(service, group)
    }

    fn find_in_group(
        &self,
        service: &ServiceName,
        group: VersionGroup,
    ) -> Result<ChosenTarget, NoTarget> {
        let engine = self.engine;
        let now = Instant::now();
        let own_node = engine.node();
        let registry = engine.registry();
        let mut instances: SmallVec<[(&InstanceRecord, Duration); 16]> =
            registry.ready(service, now).collect();
        {
            let view = engine.rollouts.view();
            if !view.is_empty() {
                let admits = |any_left| {
                    let view = &view;
                    move |(record, _): &(&InstanceRecord, Duration)| {
                        view.admits(service, group, record.version.as_ref(), any_left)
                    }
                };
                let any_left = !instances.iter().any(admits(false));
                let admitted = instances.iter().copied().filter(admits(any_left));
                instances = admitted.collect();
            }
        }
        let bulk = self.request.is_bulk();
        let inbound_waits = engine.inbound_waits();
        let candidates: SmallVec<[TargetCandidate<'_>; 16]> = instances
            .iter()
            .map(|(record, age)| TargetCandidate {
                node: &record.node,
                tier: engine.tier(&record.data_centre),
                slots: record.slots,
                cold: Engine::is_cold(record, *age),
                own: (record.node == own_node).then(|| engine.report()),
                bulk_bytes: if bulk { self.request.body.len() } else { 0 },
                inbound_wait: if bulk && record.node != own_node {
                    inbound_waits.wait(&record.node, now)
                } else {
                    Duration::ZERO
                },
            })
            .collect();
        drop(inbound_waits);
        if candidates.is_empty() {
            return Err((RefusalReason::NoTarget, None));
        }
        let mut selector = engine.selector();
        let route = &self.routed.route;
        let usual = selector.expected_service_time(&route.name);
        let left = self.useful_until(usual).saturating_duration_since(now);
        let pick = selector
            .pick(
                &route.name,
                self.rank(),
                &candidates,
                &self.tried,
                left,
                now,
            )
            .ok_or((RefusalReason::Overloaded, None))?;
        let useful = self.useful_until(pick.service);
        if !pick.is_worth_trying(useful.saturating_duration_since(now)) {
            return Err((RefusalReason::Overloaded, Some(pick.queueing / 2)));
        }
        let (record, age) = instances[pick.index];
        Ok(ChosenTarget {
            record: record.clone(),
            pick,
            young: Engine::is_young(age),
        })
    }

    /// Returns the priority and standing of the request. A nested call has the priority of its parent:
    /// with that of its route, calls of less urgent requests would overtake more urgent requests for
    /// the same service.
    pub(crate) fn rank(&self) -> (CallPriority, CallStanding) {
        let tenant = self
            .access
            .as_ref()
            .and_then(|access| access.tenant.priority);
        let own = tenant.unwrap_or(self.routed.route.priority);
        let parent = self.parent.as_ref().map(|run| run.summary.priority);
        (parent.unwrap_or(own), self.standing)
    }

    /// Returns the time until which the request should wait for a slot. A nested call waits until
    /// its deadline, because its parent waits for it anyway.
    pub(crate) fn useful_until(&self, service: Duration) -> Instant {
        match self.standing {
            CallStanding::Nested => self.routed.deadline,
            CallStanding::New | CallStanding::Returned => self.routed.useful_until(service),
        }
    }

    /// Returns whether a response goes to the caller. A server error does too, unless the request
    /// may be retried at another target.
    fn is_final(&self, answer: &TargetResponse, service: &ServiceName) -> bool {
        let route = &self.routed.route;
        let retriable = answer.status.is_server_error()
            && answer.calls != NestedCapacity::Refusal
            && route.repeat == RetrySafety::Idempotent
            && self.retries.arrivals() + 1 < route.max_attempts
            && self.routed.left() > self.engine.selector().expected_service_time(&route.name);
        !(retriable && self.may_spend_within(service, FAILURE_BUDGET_SHARE))
    }

    fn may_spend(&self, service: &ServiceName) -> bool {
        self.may_spend_within(service, 1.0)
    }

    pub(crate) fn may_spend_within(&self, service: &ServiceName, part: f64) -> bool {
        let now = Instant::now();
        self.engine
            .with_budget(service, |budget| budget.try_spend_within(part, now))
    }

    /// Decides how to go on after an attempt without a final response. Returns the caller's
    /// response when the call ends, or `None` to retry.
    fn decide(
        &mut self,
        end: SendOutcome,
        reason: RefusalReason,
        chosen: &ChosenTarget,
        service: &ServiceName,
    ) -> Option<Response<ResponseBody>> {
        let step = match self.retries.after(end, reason) {
            RetryDecision::Retry { .. } if self.is_parent_failed() => {
                RetryDecision::GiveUp(self.retries.outcome())
            }
            step => step,
        };
        let expected_wait = chosen.pick.queueing + chosen.pick.expected / 4;
        match step {
            RetryDecision::GiveUp(outcome) => {
                Some(self.refuse(outcome, reason, Some(expected_wait)))
            }
            RetryDecision::Retry { spends_budget } => {
                // For a failed response, `is_final` has already spent the budget.
                let paid = end == SendOutcome::FailedAnswer;
                if spends_budget && !paid && !self.may_spend(service) {
                    return Some(self.refuse(self.retries.outcome(), reason, Some(expected_wait)));
                }
                let left = self.routed.left();
                if left.is_zero() {
                    return Some(self.refuse(self.retries.outcome(), reason, None));
                }
                telemetry::count_repeat(reason.into());
                log_event!(
                    info,
                    CallRetried,
                    "id={} after {} {reason}, {left:?} left",
                    self.request.log_id(),
                    chosen.record.node
                );
                None
            }
        }
    }

    fn finish(&self, answer: TargetResponse, chosen: &ChosenTarget) -> Response<ResponseBody> {
        let route = &self.routed.route;
        let elapsed = self.routed.arrived.elapsed();
        let now = Instant::now();
        self.engine
            .parent_throttle()
            .record(&route.name, answer.calls, now);
        if self.engine.protocol.promises_not_run(answer.status) {
            // The status promises that the request did not run, but the target did not say so.
            return self.refuse(CallOutcome::MayHaveRun, RefusalReason::ConnectionLost, None);
        }
        log_event!(
            info,
            CallAnswered,
            "id={} route {} table {} target {} {} tries {} status {} after {elapsed:?} target {:?} expected {:?} load {}+{}/{} pace {}",
            self.request.log_id(),
            route.name,
            self.routed.version,
            chosen.record.node,
            chosen.record.instance,
            self.tried.len(),
            answer.status.as_u16(),
            answer.service,
            chosen.pick.expected,
            answer.report.running,
            answer.report.waiting,
            answer.report.slots,
            answer.report.pace
        );
        telemetry::record_call(CallOutcome::Ran, None, route.class, elapsed);
        let body = answer.body.cut_at(self.routed.deadline + STREAM_MARGIN);
        let mut response = Response::new(body.metered(&self.engine.link_meter));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        response
    }

    fn refuse(
        &self,
        outcome: CallOutcome,
        reason: RefusalReason,
        expected_wait: Option<Duration>,
    ) -> Response<ResponseBody> {
        let route = &self.routed.route;
        let elapsed = self.routed.arrived.elapsed();
        let left = self.routed.left();
        // A rejection by the target itself does not indicate a lack of capacity.
        let full = self.retries.arrivals() == 0
            && matches!(
                reason,
                RefusalReason::Overloaded | RefusalReason::DeadlineTooClose
            );
        if let Some(run) = &self.parent {
            let mut runs = self.engine.runs();
            runs.note_lost_call(&run.id);
            if full {
                runs.note_call(&run.id, NestedCapacity::Refusal);
            }
        }
        let retry_after = match (outcome, reason) {
            (CallOutcome::NotRun, RefusalReason::PoisonRequest) => self.block_left(),
            (CallOutcome::NotRun, RefusalReason::UnknownKey) => None,
            // The time at which a token is due.
            (CallOutcome::NotRun, RefusalReason::OverQuota) => expected_wait,
            (CallOutcome::NotRun, _) => {
                let expected_wait = expected_wait.unwrap_or(DEFAULT_RETRY_DELAY);
                advise_retry_after(expected_wait, left, self.engine.selector().random())
            }
            _ => None,
        };
        let share = self.engine.parent_throttle().share(&route.name);
        log_event!(
            info,
            CallRefused,
            "id={} route {} tenant {} table {} {outcome} {reason} {} tried {:?} admitted share {share:.2} after {elapsed:?}, {left:?} left, return in {retry_after:?}",
            self.request.log_id(),
            route.name,
            self.tenant_name(),
            self.routed.version,
            self.standing,
            self.tried
        );
        telemetry::record_call(outcome, Some(reason), route.class, elapsed);
        let refusal = CallRefusal {
            outcome,
            reason,
            retry_after,
        };
        write_refusal(self.engine, &refusal)
    }
}

fn find_parent(engine: &Engine, id: Option<&str>) -> Option<ParentRun> {
    let parent = engine.protocol.parent_id(id?)?;
    let summary = engine.runs().find(parent)?;
    Some(ParentRun {
        id: parent.into(),
        summary,
    })
}

fn send_end(refusal: &TargetRefusal) -> SendOutcome {
    match (refusal.outcome, refusal.arrived) {
        (CallOutcome::NotRun, false) => SendOutcome::BeforeTarget,
        (CallOutcome::NotRun, true) => SendOutcome::RejectedByTarget,
        _ => SendOutcome::MayHaveRun,
    }
}
