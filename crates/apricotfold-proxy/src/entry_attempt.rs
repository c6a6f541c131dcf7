//! Sends one attempt of a caller's request to a target.

use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, InstanceRecord, RefusalReason, log_event};
use apricotfold_policy::{AnswerSample, AttemptEnd, InstanceReport, NestedCapacity};
use http::header;

use crate::entry_call::{ChosenTarget, EntryCall};
use crate::peer_call;
use crate::target_call::{self, CallContext, TargetRefusal, TargetResponse};
use crate::telemetry;

/// Largest response that is buffered completely, so that one that breaks off can be fetched from
/// another target. Larger responses are streamed.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Time after the deadline at which an attempt is aborted if it has not ended by itself. The
/// attempt's own timeouts come first because only they know whether the request was sent.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(10);

/// Part of the time of an attempt that is not the target's, at most: a round trip between regions and
/// its jitter. An attempt that is dropped has taken the target the rest of its time.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Reports the end of an attempt to the target selector, also when the caller disconnects and the
/// attempt is dropped.
struct AttemptGuard<'a> {
    call: &'a EntryCall<'a>,
    record: &'a InstanceRecord,
    open: bool,
    started: Instant,
    young: bool,
}

impl AttemptGuard<'_> {
    fn finish(mut self, end: AttemptEnd, report: Option<InstanceReport>) {
        self.open = false;
        let now = Instant::now();
        let engine = self.call.engine;
        let route = &self.call.routed.route.name;
        let excluded = engine
            .selector()
            .finish(&self.record.node, route, end, report, now);
        if excluded {
            let node = &self.record.node;
            log_event!(warn, TargetQuarantined, "{node} after {end:?}");
        }
        if report.is_some() {
            engine.registry().record_answer(&self.record.node, now);
        } else if end == AttemptEnd::Lost {
            self.record_unanswered();
        }
    }

    /// Counts the end of the attempt for the rollout of the service, if there is one.
    fn record_sample(&self, failed: bool, time: Option<Duration>) {
        let mut view = self.call.engine.rollouts.view();
        if view.is_empty() {
            return;
        }
        let time = time.filter(|_| !self.young);
        let route = &self.call.routed.route.name;
        let version = self.record.version.as_ref();
        let sample = AnswerSample { failed, time };
        view.record_answer(&self.record.service, route, version, sample);
    }

    /// Records that the node did not say what became of the request. It may have ended together with
    /// its target, so that only this node can tell what the target was running.
    fn record_unanswered(&self) {
        let engine = self.call.engine;
        let fingerprint = self.call.fingerprint();
        let incarnation = self.record.incarnation();
        if engine.crashes.record_unanswered(&incarnation, fingerprint) {
            engine.record_crash(&incarnation);
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if self.open {
            let route = &self.call.routed.route.name;
            let end = AttemptEnd::Cancelled;
            let mut selector = self.call.engine.selector();
            selector.finish(&self.record.node, route, end, None, Instant::now());
            drop(selector);
            if let Some(time) = self.started.elapsed().checked_sub(TRANSIT_TIME) {
                self.record_sample(false, Some(time));
            }
            self.record_unanswered();
        }
    }
}

impl EntryCall<'_> {
    /// Sends the request to a target and buffers small responses. `hedge` is true if another
    /// attempt is in progress.
    pub(crate) async fn send(
        &self,
        chosen: &ChosenTarget,
        hedge: bool,
    ) -> Result<TargetResponse, TargetRefusal> {
        let engine = self.engine;
        let guard = AttemptGuard {
            call: self,
            record: &chosen.record,
            open: true,
            started: Instant::now(),
            young: chosen.young,
        };
        self.record_attempt(&chosen.record);
        let context = self.context(chosen, hedge);
        let sent = async {
            let answer = if chosen.record.node == engine.node() {
                target_call::run(engine, &context, &self.request).await?
            } else {
                let answer = peer_call::run(engine, &chosen.record, &context, &self.request);
                let answer = answer.await?;
                engine.inbound_meter.occupy(answer_bytes(&answer));
                answer
            };
            self.buffer_response(answer).await
        };
        let sent =
            tokio::time::timeout_at((self.routed.deadline + GIVE_UP_MARGIN).into(), sent).await;
        let result = sent.unwrap_or(Err(TargetRefusal {
            outcome: CallOutcome::MayHaveRun,
            reason: RefusalReason::DeadlinePassed,
            arrived: true,
            report: None,
        }));
        match &result {
            Ok(answer) => {
                let head = engine.protocol.read_answer(answer.status, &answer.headers);
                engine.record_rate_limit(&chosen.record.instance, head.rate_limit);
                if head.leaving {
                    self.record_departure(&chosen.record);
                }
                let end = if answer.status.is_server_error() {
                    AttemptEnd::Rejected
                } else {
                    AttemptEnd::Answered {
                        service: answer.service,
                        bytes: answer_bytes(answer),
                    }
                };
                // An error for want of capacity elsewhere says nothing about the target's version.
                if answer.calls != NestedCapacity::Refusal {
                    let failed = answer.status.is_server_error();
                    guard.record_sample(failed, Some(answer.service));
                }
                guard.finish(end, Some(answer.report));
            }
            Err(refusal) => {
                let node = &chosen.record.node;
                let instance = &chosen.record.instance;
                if refusal.reason == RefusalReason::Draining {
                    let now = Instant::now();
                    let changed = engine.registry().record_departure(node, instance, now);
                    if changed {
                        log_event!(
                            info,
                            InstanceChanged,
                            "{node} {instance} leaves, by its own word"
                        );
                    }
                }
                // A bulk body may be refused for the link of the target's machine, which does not concern
                // other requests. The node's answer states how long the link is occupied.
                let for_link =
                    self.request.is_bulk() && refusal.reason == RefusalReason::Overloaded;
                let end = if for_link || self.is_replaced(chosen) {
                    AttemptEnd::Cancelled
                } else {
                    attempt_end(refusal)
                };
                if refusal.outcome != CallOutcome::NotRun && end != AttemptEnd::Cancelled {
                    guard.record_sample(true, None);
                }
                guard.finish(end, refusal.report);
            }
        }
        result
    }

    /// Counts the attempt for the rollout of the service, if there is one.
    fn record_attempt(&self, record: &InstanceRecord) {
        let mut view = self.engine.rollouts.view();
        if !view.is_empty() && view.record_attempt(&record.service, record.version.as_ref()) {
            telemetry::count_canary_attempt();
        }
    }

    /// Records that an instance has stated in its answer that it leaves.
    fn record_departure(&self, record: &InstanceRecord) {
        let mut registry = self.engine.registry();
        if registry.record_stated_departure(record, Instant::now()) {
            let (node, instance) = (&record.node, &record.instance);
            log_event!(
                info,
                InstanceChanged,
                "{node} {instance} leaves, by its answer"
            );
        }
    }

    /// Returns whether the selected instance has been replaced by another one on the same node.
    pub(crate) fn is_replaced(&self, chosen: &ChosenTarget) -> bool {
        let registry = self.engine.registry();
        let known = registry.record(&chosen.record.node);
        known.is_some_and(|known| known.instance != chosen.record.instance)
    }

    fn context(&self, chosen: &ChosenTarget, hedge: bool) -> CallContext {
        let route = &self.routed.route;
        let service = self.engine.selector().expected_service_time(&route.name);
        CallContext {
            instance: chosen.record.instance.clone(),
            caller_service: self.engine.config.load().service.clone(),
            deadline: self.routed.deadline,
            useful_until: self.useful_until(service),
            class: route.class,
            priority: self.rank().0,
            repeat: route.repeat,
            standing: self.standing,
            answer_bytes: self.engine.selector().expected_answer_bytes(&route.name),
            remote: chosen.record.node != self.engine.node(),
            rate_limit: self.engine.rate_limit(&chosen.record.instance),
            again: self.retries.arrivals() > 0 || hedge,
            tenant: self
                .access
                .as_ref()
                .map(|access| access.tenant.name.clone()),
        }
    }

    async fn buffer_response(
        &self,
        answer: TargetResponse,
    ) -> Result<TargetResponse, TargetRefusal> {
        let TargetResponse { body, report, .. } = answer;
        let body = body.buffer(MAX_BUFFERED_BYTES).await.map_err(|error| {
            let id = self.request.log_id();
            log_event!(warn, AnswerCut, "id={id} {error}");
            TargetRefusal {
                outcome: CallOutcome::MayHaveRun,
                reason: RefusalReason::ConnectionLost,
                arrived: true,
                report: Some(report),
            }
        })?;
        Ok(TargetResponse { body, ..answer })
    }
}

fn attempt_end(refusal: &TargetRefusal) -> AttemptEnd {
    match refusal.reason {
        RefusalReason::Overloaded if refusal.arrived => AttemptEnd::Rejected,
        RefusalReason::QueueFull | RefusalReason::Overloaded | RefusalReason::DeadlineTooClose => {
            AttemptEnd::Full
        }
        RefusalReason::ConnectFailed if refusal.report.is_none() => AttemptEnd::Unreachable,
        RefusalReason::ConnectFailed | RefusalReason::Draining | RefusalReason::NoLocalTarget => {
            AttemptEnd::Unavailable
        }
        RefusalReason::ConnectionLost | RefusalReason::DeadlinePassed => AttemptEnd::Lost,
        _ => AttemptEnd::Cancelled,
    }
}

fn answer_bytes(answer: &TargetResponse) -> usize {
    let declared = answer.headers.get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse().ok());
    let buffered = http_body::Body::size_hint(&answer.body).exact();
    let buffered = buffered.and_then(|length| usize::try_from(length).ok());
    buffered.or(declared).unwrap_or_default()
}
