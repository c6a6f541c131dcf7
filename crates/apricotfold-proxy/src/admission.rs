//! Asynchronous admission to the local target. The decisions are made by an [`AdmissionPolicy`];
//! this module wakes the requests that they concern.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::{ProfileLimits, RateLimit, RefusalReason, WorkClass};
use apricotfold_policy::{
    Admission, AdmissionEvent, AdmissionEvents, AdmissionId, AdmissionLimits, AdmissionPolicy,
    AdmissionQueue, AdmissionRequest, ExpectedWaits, LoadReport,
};
use tokio::sync::{Notify, oneshot};

type SlotDecision = Result<(), RefusalReason>;

/// Admits requests to the local target, or lets them wait for a slot.
#[derive(Clone)]
pub struct AdmissionController {
    state: Arc<Mutex<DeskState>>,
    /// Notified when a queued request is due earlier than before.
    earlier: Arc<Notify>,
}

struct DeskState {
    queue: Box<dyn AdmissionPolicy>,
    waiting: HashMap<AdmissionId, oneshot::Sender<SlotDecision>>,
    /// Limit that the policy has been given last.
    run_limit: Option<u32>,
    next_id: AdmissionId,
}

/// A slot or a place in the queue, which is given back on drop.
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
    /// Creates a controller without slots, which the target's first announcement sets.
    #[must_use]
    pub fn new() -> Self {
        let limits = AdmissionLimits::new(&ProfileLimits::default(), 0);
        Self::with_rule(Box::new(AdmissionQueue::new(limits)))
    }

    /// Creates a controller without slots that uses the given admission policy.
    #[must_use]
    pub fn with_rule(rule: Box<dyn AdmissionPolicy>) -> Self {
        let state = DeskState {
            queue: rule,
            waiting: HashMap::new(),
            run_limit: None,
            next_id: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            earlier: Arc::default(),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused or its wait ends without a slot.
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

    /// Waits for the policy's decision and expires queued requests when they are due.
    async fn wait(
        &self,
        mut guard: SlotGuard,
        mut answer: oneshot::Receiver<SlotDecision>,
    ) -> Result<SlotGuard, RefusalReason> {
        loop {
            let mut earlier = std::pin::pin!(self.earlier.notified());
            earlier.as_mut().enable();
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
                () = earlier => {}
                () = tokio::time::sleep_until(due.into()) => {
                    let mut state = self.lock();
                    let events = state.queue.expire(Instant::now());
                    state.deliver(events);
                }
            }
        }
    }

    /// Applies changed limits, and the number of slots that the target announced.
    pub fn set_limits(&self, rule: &ProfileLimits, announced_slots: u32) {
        let mut state = self.lock();
        let limits = AdmissionLimits::new(rule, announced_slots);
        let events = state.queue.set_limits(limits, Instant::now());
        state.deliver(events);
    }

    /// Applies the request rate that the target states.
    pub fn set_rate_limit(&self, limit: Option<RateLimit>) {
        let mut state = self.lock();
        let events = state.queue.set_rate_limit(limit, Instant::now());
        state.deliver(events);
        drop(state);
        self.earlier.notify_waiters();
    }

    /// Limits the running requests below the number of slots, or removes the limit.
    pub fn set_run_limit(&self, limit: Option<u32>) {
        let mut state = self.lock();
        if state.run_limit == limit {
            return;
        }
        state.run_limit = limit;
        let events = state.queue.set_run_limit(limit, Instant::now());
        state.deliver(events);
        drop(state);
        // Requests that waited for a slot may now wait for the target's rate instead.
        self.earlier.notify_waiters();
    }

    /// Counts a request that reaches the target without being admitted, such as a health check.
    pub fn count_request(&self) {
        self.lock().queue.count_request(Instant::now());
    }

    /// Sets whether new requests are refused because the target drains.
    pub fn set_draining(&self, draining: bool) {
        self.lock().queue.set_draining(draining);
    }

    /// Returns the requests in progress and the number of slots.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.lock().queue.load()
    }

    /// Returns the number of requests that run, without those that wait.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.lock().queue.running()
    }

    /// Returns the estimated service time of a work class at this target.
    #[must_use]
    pub fn expected_service_time(&self, class: WorkClass) -> Duration {
        self.lock().queue.expected_service_time(class)
    }

    /// Returns the waits that requests arriving now must expect.
    #[must_use]
    pub fn waits(&self) -> ExpectedWaits {
        self.lock().queue.waits(Instant::now())
    }

    /// Gives a slot or a place back. If the slot stays free because the target's rate does not allow
    /// another request yet, the queued requests have to wait for that instead.
    fn give_back(&self, give: impl FnOnce(&mut dyn AdmissionPolicy, Instant) -> AdmissionEvents) {
        let mut state = self.lock();
        let events = give(&mut *state.queue, Instant::now());
        let blocked = events.is_empty() && !state.waiting.is_empty();
        state.deliver(events);
        drop(state);
        if blocked {
            self.earlier.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().expect("no panic while locked")
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
                // If the receiver has been dropped, its guard gives the slot back.
                let _ = sender.send(answer);
            }
        }
    }
}

impl SlotGuard {
    /// Gives the slot back after the end of the target's response, so that the elapsed time counts
    /// in the service-time estimate. A slot that is dropped does not count.
    pub fn release(mut self) {
        self.finished = true;
        self.desk
            .give_back(|queue, now| queue.release(self.id, now));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        self.desk.lock().waiting.remove(&self.id);
        self.desk.give_back(|queue, now| queue.cancel(self.id, now));
    }
}
