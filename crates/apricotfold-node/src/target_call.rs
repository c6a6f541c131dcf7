//! Passes an admitted request to the local target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, RefusalReason, StepError, TargetState, headers};
use apricotfold_policy::StoredAnswer;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode};
use salvo::Response;
use salvo::http::ResBody;

use crate::answer::{CallRefusal, read_header, set_outcome};
use crate::answer_stream::stream_body;
use crate::forward::{HeldRequest, InFlightGuard, copy_answer, copy_headers, set_deadline};
use crate::orders::{ClaimHold, ClaimResult, OrderDesk};
use crate::state::NodeState;
use apricotfold_proxy::SlotGuard;

/// Longest wait for the answer of a keyed order. It goes beyond the caller's deadline, so that a
/// repeat can still get the answer.
const ORDER_LIMIT: Duration = Duration::from_mins(1);

/// One request with everything that is needed to run it.
pub struct TargetCall {
    /// The node.
    pub state: Arc<NodeState>,
    /// The target.
    pub target: TargetState,
    /// The request.
    pub request: HeldRequest,
    /// Time after which the caller has no use for the answer.
    pub deadline: Instant,
}

impl TargetCall {
    /// Runs the request and streams the answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer and whether the request ran.
    pub async fn run(self, slot: SlotGuard, res: &mut Response) -> Result<(), CallRefusal> {
        let send = tokio::time::timeout_at(self.deadline.into(), self.send(self.deadline));
        let answer = match send.await {
            Ok(Ok(answer)) => answer,
            Ok(Err(refusal)) => {
                slot.release();
                return Err(refusal);
            }
            Err(_) => {
                return Err(CallRefusal::may_have_run(RefusalReason::DeadlinePassed, ""));
            }
        };
        self.state.note_answer(&self.request);
        copy_answer(&answer, res);
        set_outcome(res.headers_mut(), CallOutcome::Ran);
        let guard = RunGuard {
            slot: Some(slot),
            _in_flight: self.state.in_flight.enter(),
        };
        stream_body(answer, res, self.deadline, None, guard);
        Ok(())
    }

    /// Claims the request's order and runs it, or replays the answer that it had before. The order
    /// runs in a task of its own: a caller that goes away must not cut it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer and whether the order ran.
    pub async fn run_order(
        self,
        orders: &Arc<OrderDesk>,
        slot: SlotGuard,
        res: &mut Response,
    ) -> Result<(), CallRefusal> {
        let hold = match orders.claim(&self.request, self.deadline).await? {
            ClaimResult::Granted(hold) => hold,
            ClaimResult::Replay(answer) => {
                write_stored(res, &answer);
                return Ok(());
            }
        };
        let deadline = self.deadline;
        let guard = RunGuard {
            slot: Some(slot),
            _in_flight: self.state.in_flight.enter(),
        };
        let task = tokio::spawn(self.finish_order(orders.clone(), hold, guard));
        match tokio::time::timeout_at(deadline.into(), task).await {
            Ok(Ok(Ok(answer))) => {
                write_stored(res, &answer);
                Ok(())
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) => Err(CallRefusal::may_have_run(RefusalReason::ConnectionLost, "")),
            Err(_) => Err(CallRefusal::may_have_run(RefusalReason::DeadlinePassed, "")),
        }
    }

    async fn finish_order(
        self,
        orders: Arc<OrderDesk>,
        hold: ClaimHold,
        _guard: RunGuard,
    ) -> Result<StoredAnswer, CallRefusal> {
        let result = tokio::time::timeout(ORDER_LIMIT, self.collect_answer())
            .await
            .unwrap_or_else(|_| Err(CallRefusal::may_have_run(RefusalReason::DeadlinePassed, "")));
        match &result {
            Ok(answer) => orders.finish(&hold, answer.clone()),
            Err(refusal) => orders.fail(&hold, refusal.outcome),
        }
        result
    }

    async fn collect_answer(&self) -> Result<StoredAnswer, CallRefusal> {
        let started = Instant::now();
        let answer = self.send(started + ORDER_LIMIT).await?;
        self.state.note_answer(&self.request);
        let status = answer.status().as_u16();
        let header = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().into(), value.as_bytes().to_vec())
        };
        let headers = copy_headers(answer.headers()).iter().map(header).collect();
        let body = answer.bytes().await;
        let body = body.map_err(|error| self.explain(error, started))?;
        Ok(StoredAnswer {
            status,
            headers,
            body: body.to_vec(),
        })
    }

    /// Sends the request and waits for the head of the answer.
    async fn send(&self, deadline: Instant) -> Result<reqwest::Response, CallRefusal> {
        let mut onward = self.request.clone();
        onward.headers.remove(headers::SERVICE);
        onward.headers.remove(headers::CLAIM);
        set_deadline(&mut onward.headers, deadline, Instant::now());
        let address = self.target.address.to_string();
        let builder = onward.build(&self.state.client, &address);
        let started = Instant::now();
        let answer = builder.send().await;
        let answer = answer.map_err(|error| self.explain(error, started))?;
        if read_header(answer.headers(), headers::OUTCOME) == Some(CallOutcome::NotRun) {
            let detail = "shed by the target before it ran";
            return Err(CallRefusal::not_run(RefusalReason::Overloaded, detail));
        }
        Ok(answer)
    }

    /// Tells what a failed call to the target means for the request.
    fn explain(&self, error: reqwest::Error, started: Instant) -> CallRefusal {
        let refused = error.is_connect();
        let step = StepError::new("call target", self.target.address.to_string(), error);
        let detail = step.to_string();
        if refused {
            return CallRefusal::not_run(RefusalReason::ConnectFailed, detail);
        }
        self.state.note_crash(&self.request, started);
        CallRefusal::may_have_run(RefusalReason::ConnectionLost, detail)
    }
}

/// Holds the target's slot until its answer has been passed on.
struct RunGuard {
    slot: Option<SlotGuard>,
    _in_flight: InFlightGuard,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.release();
        }
    }
}

fn write_stored(res: &mut Response, answer: &StoredAnswer) {
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_bytes(value),
        ) {
            res.headers_mut().append(name, value);
        }
    }
    set_outcome(res.headers_mut(), CallOutcome::Ran);
    res.replace_body(ResBody::Once(Bytes::from(answer.body.clone())));
}
