//! Lets requests wait for a slot of the local target. The decisions are those of
//! [`AdmissionQueue`]; this module only wakes the requests that they concern.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::{ProfileLimits, RefusalReason, WorkClass};
use apricotfold_policy::{
    Admission, AdmissionEvent, AdmissionEvents, AdmissionId, AdmissionLimits, AdmissionPolicy,
    AdmissionQueue, AdmissionRequest, ExpectedWaits, LoadReport,
};
use tokio::sync::oneshot;

type SlotAnswer = Result<(), RefusalReason>;

/// Admission of requests to the local target.
#[derive(Clone)]
pub struct AdmissionController(Arc<Mutex<DeskState>>);

struct DeskState {
    queue: Box<dyn AdmissionPolicy>,
    waiting: HashMap<AdmissionId, oneshot::Sender<SlotAnswer>>,
    next_id: AdmissionId,
}

/// A slot, or a place in the queue; given back when dropped.
pub struct SlotGuard {
    desk: AdmissionController,
    id: AdmissionId,
    finished: bool,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self::new()
    }
}

impl AdmissionController {
    /// Starts without slots, until the target has announced itself.
    #[must_use]
    pub fn new() -> Self {
        let limits = AdmissionLimits::new(&ProfileLimits::default(), 0);
        Self::with_rule(Box::new(AdmissionQueue::new(limits)))
    }

    /// Like [`new`](Self::new), with another rule.
    #[must_use]
    pub fn with_rule(rule: Box<dyn AdmissionPolicy>) -> Self {
        Self(Arc::new(Mutex::new(DeskState {
            queue: rule,
            waiting: HashMap::new(),
            next_id: 0,
        })))
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns why the request is not run.
    pub async fn admit(&self, offer: &AdmissionRequest) -> Result<SlotGuard, RefusalReason> {
        let (guard, answer) = {
            let mut state = self.lock();
            let id = state.next_id;
            state.next_id += 1;
            let now = Instant::now();
            let (admission, events) = state.queue.offer(id, offer, now);
            state.deliver(events);
            let guard = SlotGuard {
                desk: self.clone(),
                id,
                finished: false,
            };
            match admission {
                Admission::Run => return Ok(guard),
                Admission::Refuse(reason) => {
                    std::mem::forget(guard);
                    return Err(reason);
                }
                Admission::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(id, sender);
                    (guard, receiver)
                }
            }
        };
        self.wait(guard, answer).await
    }

    /// Waits for the queue's decision and reminds the queue of the time meanwhile.
    async fn wait(
        &self,
        mut guard: SlotGuard,
        mut answer: oneshot::Receiver<SlotAnswer>,
    ) -> Result<SlotGuard, RefusalReason> {
        loop {
            let expiry = self.lock().queue.next_expiry();
            let due = expiry.unwrap_or_else(|| Instant::now() + Duration::from_secs(1));
            tokio::select! {
                decided = &mut answer => {
                    return match decided {
                        Ok(Ok(())) => Ok(guard),
                        Ok(Err(reason)) => {
                            guard.finished = true;
                            Err(reason)
                        }
                        Err(_) => Err(RefusalReason::Overloaded),
                    };
                }
                () = tokio::time::sleep_until(due.into()) => {
                    let mut state = self.lock();
                    let events = state.queue.expire(Instant::now());
                    state.deliver(events);
                }
            }
        }
    }

    /// Takes over changed limits.
    pub fn set_limits(&self, rule: &ProfileLimits, announced_slots: u32) {
        let mut state = self.lock();
        let limits = AdmissionLimits::new(rule, announced_slots);
        let events = state.queue.set_limits(limits, Instant::now());
        state.deliver(events);
    }

    /// Starts or stops refusing new requests.
    pub fn set_draining(&self, draining: bool) {
        self.lock().queue.set_draining(draining);
    }

    /// Requests in progress and slots.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.lock().queue.load()
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.lock().queue.running()
    }

    /// Time that work of a class takes here.
    #[must_use]
    pub fn expected_service_time(&self, class: WorkClass) -> Duration {
        self.lock().queue.expected_service_time(class)
    }

    /// Expected waits of requests that arrive now.
    #[must_use]
    pub fn waits(&self) -> ExpectedWaits {
        self.lock().queue.waits(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.0.lock().expect("no panic while locked")
    }
}

impl DeskState {
    fn deliver(&mut self, events: AdmissionEvents) {
        for event in events {
            let (id, answer) = match event {
                AdmissionEvent::Start(id) => (id, Ok(())),
                AdmissionEvent::Refuse(id, reason) => (id, Err(reason)),
            };
            if let Some(sender) = self.waiting.remove(&id) {
                // A receiver that is gone gives its slot back through its guard.
                let _ = sender.send(answer);
            }
        }
    }
}

impl SlotGuard {
    /// Gives the slot back after the target's answer has ended, so that its time counts in the
    /// estimate of the service time.
    pub fn release(mut self) {
        self.finished = true;
        let mut state = self.desk.lock();
        let events = state.queue.release(self.id, Instant::now());
        state.deliver(events);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let mut state = self.desk.lock();
        state.waiting.remove(&self.id);
        let events = state.queue.cancel(self.id, Instant::now());
        state.deliver(events);
    }
}
