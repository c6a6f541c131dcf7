//! Sends an admitted request to the local target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, RefusalReason, StepError, TargetState, headers};
use apricotfold_policy::StoredAnswer;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode};
use salvo::Response;
use salvo::http::ResBody;

use crate::forward::{
    BufferedRequest, InFlightGuard, copy_end_to_end_headers, copy_response, set_deadline,
};
use crate::orders::{ClaimResult, GrantedClaim, OrderCoordinator};
use crate::refusal::{CallRefusal, read_header, set_outcome};
use crate::response_stream::{BodyEnd, stream_body};
use crate::state::NodeState;
use apricotfold_proxy::SlotGuard;

/// Timeout for the response to an order. It exceeds the caller's deadline, so that a repeated
/// request can still get the response.
const ORDER_TIMEOUT: Duration = Duration::from_mins(1);

/// An admitted request and the target that runs it.
pub struct TargetCall {
    /// State of the node.
    pub state: Arc<NodeState>,
    /// Local target when the request arrived.
    pub target: TargetState,
    /// Request as received from the entry node.
    pub request: BufferedRequest,
    /// Time after which the caller no longer needs the response.
    pub deadline: Instant,
}

impl TargetCall {
    /// Sends the request to the target and streams the response.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no response and whether the request ran.
    pub async fn run(self, slot: SlotGuard, res: &mut Response) -> Result<(), CallRefusal> {
        let started = Instant::now();
        let send = tokio::time::timeout_at(self.deadline.into(), self.send(self.deadline));
        let response = match send.await {
            Ok(Ok(response)) => response,
            Ok(Err(refusal)) => {
                slot.release();
                return Err(refusal);
            }
            Err(_) => {
                return Err(CallRefusal::may_have_run(RefusalReason::DeadlinePassed, ""));
            }
        };
        copy_response(&response, res);
        set_outcome(res.headers_mut(), CallOutcome::Ran);
        let guard = RunGuard {
            slot: Some(slot),
            _in_flight: self.state.in_flight.enter(),
        };
        let (state, request) = (self.state, self.request);
        let failed = response.status().is_server_error();
        let observer = Box::new(move |end| match end {
            // A target can fail a request before it begins to run it.
            BodyEnd::Complete if failed => {}
            BodyEnd::Complete => state.record_response(&request),
            BodyEnd::BrokenOff => state.report_crash(&request, started),
        });
        stream_body(response, res, self.deadline, None, guard, observer);
        Ok(())
    }

    /// Claims the request's order and runs it, or replays the response that the order got earlier.
    /// The order runs in its own task, so that it is not cancelled when the caller disconnects.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no response and whether the order ran.
    pub async fn run_order(
        self,
        orders: &Arc<OrderCoordinator>,
        slot: SlotGuard,
        res: &mut Response,
    ) -> Result<(), CallRefusal> {
        let granted_claim = match orders.claim(&self.request, self.deadline).await? {
            ClaimResult::Granted(granted_claim) => granted_claim,
            ClaimResult::Replay(response) => {
                write_stored_response(res, &response);
                return Ok(());
            }
        };
        let deadline = self.deadline;
        let guard = RunGuard {
            slot: Some(slot),
            _in_flight: self.state.in_flight.enter(),
        };
        let task = tokio::spawn(self.complete_order(orders.clone(), granted_claim, guard));
        match tokio::time::timeout_at(deadline.into(), task).await {
            Ok(Ok(Ok(response))) => {
                write_stored_response(res, &response);
                Ok(())
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) => Err(CallRefusal::may_have_run(RefusalReason::ConnectionLost, "")),
            Err(_) => Err(CallRefusal::may_have_run(RefusalReason::DeadlinePassed, "")),
        }
    }

    async fn complete_order(
        self,
        orders: Arc<OrderCoordinator>,
        granted_claim: GrantedClaim,
        _guard: RunGuard,
    ) -> Result<StoredAnswer, CallRefusal> {
        let result = tokio::time::timeout(ORDER_TIMEOUT, self.collect_response())
            .await
            .unwrap_or_else(|_| Err(CallRefusal::may_have_run(RefusalReason::DeadlinePassed, "")));
        match &result {
            Ok(response) => orders.finish(&granted_claim, response.clone()),
            Err(refusal) => orders.fail(&granted_claim, refusal.outcome),
        }
        result
    }

    async fn collect_response(&self) -> Result<StoredAnswer, CallRefusal> {
        let started = Instant::now();
        let response = self.send(started + ORDER_TIMEOUT).await?;
        let status = response.status();
        let header = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().into(), value.as_bytes().to_vec())
        };
        let headers = copy_end_to_end_headers(response.headers())
            .iter()
            .map(header)
            .collect();
        let body = response.bytes().await;
        let body = body.map_err(|error| self.refusal_for(error, started))?;
        if !status.is_server_error() {
            self.state.record_response(&self.request);
        }
        Ok(StoredAnswer {
            status: status.as_u16(),
            headers,
            body: body.to_vec(),
        })
    }

    /// Sends the request and waits for the head of the response.
    async fn send(&self, deadline: Instant) -> Result<reqwest::Response, CallRefusal> {
        let mut forwarded = self.request.clone();
        forwarded.headers.remove(headers::SERVICE);
        forwarded.headers.remove(headers::CLAIM);
        set_deadline(&mut forwarded.headers, deadline, Instant::now());
        let address = self.target.address.to_string();
        let builder = forwarded.build(&self.state.client, &address);
        let started = Instant::now();
        let response = builder.send().await;
        let response = response.map_err(|error| self.refusal_for(error, started))?;
        if read_header(response.headers(), headers::OUTCOME) == Some(CallOutcome::NotRun) {
            let detail = "shed by the target before it ran";
            return Err(CallRefusal::not_run(RefusalReason::Overloaded, detail));
        }
        Ok(response)
    }

    /// Converts a failed call to the target into a refusal. After a refused connection the request
    /// did not run; any other failure is reported as a crash of the target.
    fn refusal_for(&self, error: reqwest::Error, started: Instant) -> CallRefusal {
        let refused = error.is_connect();
        let step = StepError::new("call target", self.target.address.to_string(), error);
        let detail = step.to_string();
        if refused {
            return CallRefusal::not_run(RefusalReason::ConnectFailed, detail);
        }
        self.state.report_crash(&self.request, started);
        CallRefusal::may_have_run(RefusalReason::ConnectionLost, detail)
    }
}

/// Holds the target's slot until the response has been forwarded.
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

fn write_stored_response(res: &mut Response, response: &StoredAnswer) {
    res.status_code(StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in &response.headers {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_bytes(value),
        ) {
            res.headers_mut().append(name, value);
        }
    }
    set_outcome(res.headers_mut(), CallOutcome::Ran);
    res.replace_body(ResBody::Once(Bytes::from(response.body.clone())));
}
