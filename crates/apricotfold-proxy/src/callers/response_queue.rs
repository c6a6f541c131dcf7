//! Requests of a caller's connection whose responses are not written yet. Its reading and its writing
//! side share them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use apricotfold_policy::{IntakePhase, RequestIntake};
use http::{Method, Response};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::connection_slots::ConnectionSlot;
use crate::call_body::ResponseBody;
use crate::connection::CallerDisconnected;
use crate::lifecycle::{InFlightGuard, Lifecycle, ProcessPhase};

/// A response in the queue, which keeps the order of the requests.
pub enum PendingResponse {
    /// The response of a request that runs.
    Running(ResponseTask),
    /// A response that the node makes itself.
    Ready(Box<Response<ResponseBody>>),
    /// The interim response that lets the caller send its body.
    Continue,
}

/// Task of a request, aborted when the connection ends.
pub struct ResponseTask(pub JoinHandle<Result<Response<ResponseBody>, CallerDisconnected>>);

impl Drop for ResponseTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request whose response is queued.
pub struct PendingEntry {
    /// Method of the request.
    pub method: Method,
    /// Its response.
    pub answer: PendingResponse,
    _in_flight: InFlightGuard,
}

/// State shared by the reading and the writing side of a connection.
#[derive(Default)]
pub struct QueueState {
    /// Responses in the order of their requests.
    pub pending: VecDeque<PendingEntry>,
    /// Which requests are started.
    pub intake: RequestIntake,
}

/// Requests of a connection whose responses are not written yet.
pub struct ResponseQueue {
    state: Mutex<QueueState>,
    /// Signals that a response was queued or that no further one will be.
    pub arrived: Notify,
    /// Signals that a response was written.
    pub written: Notify,
    /// The connection's place among those of its listener.
    pub slot: ConnectionSlot,
}

impl ResponseQueue {
    /// Creates an empty queue.
    pub fn new(slot: ConnectionSlot) -> Self {
        Self {
            state: Mutex::default(),
            arrived: Notify::new(),
            written: Notify::new(),
            slot,
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Starts a request whose head was read. Returns `None` if the connection is closing.
    pub fn begin(self: &Arc<Self>, lifecycle: &Lifecycle, last: bool) -> Option<StartedRequest> {
        let phase = intake_phase(lifecycle.phase());
        // A connection that another one has replaced is being closed.
        let is_open = if self.is_idle() {
            self.slot.begin_body()
        } else {
            self.slot.begin_request()
        };
        let started = is_open && self.lock().intake.begin(phase, last);
        started.then(|| StartedRequest {
            queue: self.clone(),
            in_flight: Some(lifecycle.begin_request()),
        })
    }

    /// Queues an interim response to the request that is being read.
    pub fn push_interim(&self, answer: PendingResponse, lifecycle: &Lifecycle) {
        let mut state = self.lock();
        state.intake.begin_interim();
        state.pending.push_back(PendingEntry {
            method: Method::GET,
            answer,
            _in_flight: lifecycle.begin_request(),
        });
        self.arrived.notify_one();
    }

    /// Has no further request started.
    pub fn end(&self) {
        self.lock().intake.end();
        self.arrived.notify_one();
    }

    /// Records that a response was written.
    pub fn finish_one(&self) {
        let mut state = self.lock();
        state.intake.finish(Instant::now());
        if state.intake.is_idle() {
            self.slot.finish_requests();
        }
        self.written.notify_one();
    }

    /// Returns when the last response was written; `None` before the first one and while a request
    /// is unanswered.
    pub fn idle_since(&self) -> Option<Instant> {
        self.lock().intake.idle_since()
    }

    /// Returns whether every request that was started has its response.
    pub fn is_idle(&self) -> bool {
        self.lock().intake.is_idle()
    }

    /// Returns whether no further request is started.
    pub fn is_ending(&self) -> bool {
        self.lock().intake.is_ending()
    }

    /// Waits until at most `most` requests are unanswered.
    pub async fn wait_below(&self, most: usize) {
        while self.lock().intake.unanswered() > most {
            self.written.notified().await;
        }
    }
}

/// A request that was started and whose response is not queued yet.
pub struct StartedRequest {
    queue: Arc<ResponseQueue>,
    in_flight: Option<InFlightGuard>,
}

impl StartedRequest {
    /// Queues the response.
    pub fn push(mut self, method: Method, answer: PendingResponse) {
        if let Some(in_flight) = self.in_flight.take() {
            self.queue.lock().pending.push_back(PendingEntry {
                method,
                answer,
                _in_flight: in_flight,
            });
            self.queue.arrived.notify_one();
        }
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        if self.in_flight.is_some() {
            self.queue.lock().intake.abandon();
        }
    }
}

/// Returns the phase of the process as it concerns a connection.
pub fn intake_phase(phase: ProcessPhase) -> IntakePhase {
    match phase {
        ProcessPhase::Serving => IntakePhase::Open,
        ProcessPhase::Draining => IntakePhase::Draining,
        ProcessPhase::Closing => IntakePhase::Closing,
    }
}
