//! Request admission at the target's node. See `docs/design.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, ProfileLimits, RefusalReason, WorkClass};
use smallvec::SmallVec;

use crate::waiting::{WaitingQueue, WaitingRequest};
use crate::{Admission, AdmissionEvent, AdmissionPolicy, AdmissionRequest, LoadReport};

/// Identifies a request at this node; never reused.
pub type AdmissionId = u64;

/// Events of one call, in the order in which they must be carried out.
pub type AdmissionEvents = SmallVec<[AdmissionEvent; 4]>;

/// Time for which a queue must have been non-empty before it counts as overloaded. Bursts that
/// drain sooner are served oldest first. It must not exceed the default `queue_wait`: a request
/// that expires after that wait must not be retried at another target, because a second wait would
/// delay the refusal to its caller beyond 50 ms.
const OVERLOAD_AFTER: Duration = Duration::from_millis(40);

/// Weight of a new sample in the moving average of service times, which follows a change within
/// about ten requests.
const ESTIMATE_WEIGHT: f64 = 0.1;

/// Concurrency and queue limits of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of running requests.
    pub slots: u32,
    /// Maximum share of the slots that long work may hold, in percent.
    pub long_percent: u32,
    /// Maximum number of queued short requests.
    pub short_queue: u32,
    /// Maximum number of queued long requests.
    pub long_queue: u32,
    /// Maximum time in a queue.
    pub queue_wait: Duration,
}

impl AdmissionLimits {
    /// Creates the limits of a profile. If the profile sets no slots, `announced`, the number of
    /// slots that the target announced, applies.
    #[must_use]
    pub fn new(rule: &ProfileLimits, announced: u32) -> Self {
        Self {
            slots: rule.slots.unwrap_or(announced),
            long_percent: rule.long_percent,
            short_queue: rule.short_queue,
            long_queue: rule.long_queue,
            queue_wait: rule.queue_wait,
        }
    }

    /// Maximum number of running long requests. One slot is always left to short work, so a target
    /// with a single slot runs no long work.
    #[must_use]
    pub fn long_slots(&self) -> u32 {
        if self.slots < 2 {
            return 0;
        }
        let share = u64::from(self.slots) * u64::from(self.long_percent) / 100;
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        share.clamp(1, self.slots - 1)
    }

    fn queue_limit(&self, class: WorkClass) -> usize {
        let limit = match class {
            WorkClass::Short => self.short_queue,
            WorkClass::Long => self.long_queue,
        };
        limit as usize
    }
}

impl AdmissionPolicy for AdmissionQueue {
    fn offer(
        &mut self,
        id: AdmissionId,
        offer: &AdmissionRequest,
        now: Instant,
    ) -> (Admission, AdmissionEvents) {
        Self::offer(self, id, offer.class, offer.priority, offer.deadline, now)
    }

    fn release(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents {
        Self::release(self, id, now)
    }

    fn cancel(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents {
        Self::cancel(self, id, now)
    }

    fn expire(&mut self, now: Instant) -> AdmissionEvents {
        Self::expire(self, now)
    }

    fn next_expiry(&self) -> Option<Instant> {
        Self::next_expiry(self)
    }

    fn set_limits(&mut self, limits: AdmissionLimits, now: Instant) -> AdmissionEvents {
        Self::set_limits(self, limits, now)
    }

    fn set_draining(&mut self, draining: bool) {
        Self::set_draining(self, draining);
    }

    fn load(&self) -> LoadReport {
        Self::load(self)
    }

    fn running(&self) -> u32 {
        Self::running(self)
    }
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    class: WorkClass,
    started: Instant,
}

/// Decides which requests a target runs, which are queued, and which are refused.
///
/// Short and long work have separate queues, ordered by priority. Within a priority, requests are
/// served oldest first until the queue has been non-empty for 40 ms, and newest first after that.
/// Under sustained overload most queued requests will be refused in any order, and the newest ones
/// have the most time left, so the target does not spend work on answers that arrive too late.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limits: AdmissionLimits,
    draining: bool,
    running: HashMap<AdmissionId, RunningRequest>,
    long_running: u32,
    short: ClassQueue,
    long: ClassQueue,
}

#[derive(Clone, Debug, Default)]
struct ClassQueue {
    waiting: WaitingQueue,
    /// Time since when the queue has been non-empty.
    non_empty_since: Option<Instant>,
    /// Moving average of the service time; `None` before the first sample.
    estimate: Option<Duration>,
}

impl ClassQueue {
    fn is_overloaded(&self, now: Instant) -> bool {
        self.non_empty_since
            .is_some_and(|since| now.saturating_duration_since(since) >= OVERLOAD_AFTER)
    }

    fn update_non_empty_since(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            self.non_empty_since = None;
        } else {
            self.non_empty_since.get_or_insert(now);
        }
    }

    fn record_service(&mut self, service: Duration) {
        let estimate = self.estimate.map_or(service, |estimate| {
            estimate.mul_f64(1.0 - ESTIMATE_WEIGHT) + service.mul_f64(ESTIMATE_WEIGHT)
        });
        self.estimate = Some(estimate);
    }

    fn service_time(&self) -> Duration {
        self.estimate.unwrap_or_default()
    }
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            draining: false,
            running: HashMap::new(),
            long_running: 0,
            short: ClassQueue::default(),
            long: ClassQueue::default(),
        }
    }

    /// Decides about a new request. The returned events concern other requests, which expired or
    /// were displaced by this one.
    pub fn offer(
        &mut self,
        id: AdmissionId,
        class: WorkClass,
        priority: CallPriority,
        deadline: Instant,
        now: Instant,
    ) -> (Admission, AdmissionEvents) {
        let mut events = self.expire(now);
        if self.draining {
            return (Admission::Refuse(RefusalReason::Draining), events);
        }
        if deadline <= now {
            return (Admission::Refuse(RefusalReason::DeadlineTooClose), events);
        }
        if self.queue(class).waiting.is_empty() && self.may_run(class, now) {
            self.run(id, class, now);
            return (Admission::Run, events);
        }
        let wait = self.expected_wait(class, priority, now);
        let service = self.queue(class).service_time();
        if now + wait + service > deadline {
            return (Admission::Refuse(RefusalReason::DeadlineTooClose), events);
        }
        let latest_start = deadline.checked_sub(service).unwrap_or(now);
        let longest_wait = now + self.limits.queue_wait;
        let request = WaitingRequest {
            id,
            priority,
            expires: latest_start.min(longest_wait),
            deadline_bound: latest_start < longest_wait,
        };
        let admission = self.enqueue(class, request, now, &mut events);
        (admission, events)
    }

    /// Records that a running request has ended, with or without an answer from the target.
    pub fn release(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents {
        if let Some(ended) = self.stop(id) {
            let service = now.saturating_duration_since(ended.started);
            self.queue_mut(ended.class).record_service(service);
        }
        self.expire(now)
    }

    /// Records that the caller of a queued or running request has gone. The running time of a
    /// cancelled request is left out of the service time average, because the request was cut
    /// short.
    pub fn cancel(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents {
        if self.stop(id).is_none() {
            self.short.waiting.remove(id);
            self.long.waiting.remove(id);
        }
        self.expire(now)
    }

    /// Refuses requests whose time in the queue has run out and starts those that can run.
    pub fn expire(&mut self, now: Instant) -> AdmissionEvents {
        let mut events = AdmissionEvents::new();
        for class in [WorkClass::Short, WorkClass::Long] {
            let overloaded = self.queue(class).is_overloaded(now);
            for request in self.queue_mut(class).waiting.take_expired(now) {
                let reason = expiry_reason(&request, overloaded);
                events.push(AdmissionEvent::Refuse(request.id, reason));
            }
        }
        while let Some((id, class)) = self.take_next(now) {
            self.run(id, class, now);
            events.push(AdmissionEvent::Start(id));
        }
        self.short.update_non_empty_since(now);
        self.long.update_non_empty_since(now);
        events
    }

    /// Returns the time at which [`expire`](Self::expire) must be called, or `None` if nothing is
    /// queued.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let short = self.short.waiting.next_expiry();
        let long = self.long.waiting.next_expiry();
        short.into_iter().chain(long).min()
    }

    /// Changes the limits. Running requests continue, even if there are more of them than slots in
    /// the new limits.
    pub fn set_limits(&mut self, limits: AdmissionLimits, now: Instant) -> AdmissionEvents {
        self.limits = limits;
        self.expire(now)
    }

    /// Starts or stops refusing new requests with `draining`. Requests that are already queued
    /// still run or expire within `queue_wait`.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Load to report to callers: number of running and queued requests, and of slots.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let waiting = self.short.waiting.len() + self.long.waiting.len();
        let in_flight = self.running.len() + waiting;
        LoadReport {
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            slots: self.limits.slots,
        }
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Number of running long requests.
    #[must_use]
    pub fn long_running(&self) -> u32 {
        self.long_running
    }

    fn queue(&self, class: WorkClass) -> &ClassQueue {
        match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        }
    }

    fn queue_mut(&mut self, class: WorkClass) -> &mut ClassQueue {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }

    fn run(&mut self, id: AdmissionId, class: WorkClass, now: Instant) {
        let request = RunningRequest {
            class,
            started: now,
        };
        self.running.insert(id, request);
        if class == WorkClass::Long {
            self.long_running += 1;
        }
    }

    fn stop(&mut self, id: AdmissionId) -> Option<RunningRequest> {
        let ended = self.running.remove(&id)?;
        if ended.class == WorkClass::Long {
            self.long_running -= 1;
        }
        Some(ended)
    }

    /// Returns whether a queued long request expires within half of `queue_wait`. It then goes
    /// before short work, because steady short work would otherwise keep it queued until it is
    /// refused.
    fn is_long_overdue(&self, now: Instant) -> bool {
        let expiry = self.long.waiting.next_expiry();
        expiry.is_some_and(|expiry| expiry <= now + self.limits.queue_wait / 2)
    }

    /// Returns whether the slots allow one more request of a class. Long work leaves one slot free
    /// for short work, unless no long request is running or a queued one is overdue.
    fn may_run(&self, class: WorkClass, now: Instant) -> bool {
        let free = self.limits.slots.saturating_sub(self.running());
        match class {
            WorkClass::Short => free > 0,
            WorkClass::Long => {
                let last = self.long_running == 0 || self.is_long_overdue(now);
                let enough = free > 1 || (free == 1 && last);
                enough && self.long_running < self.limits.long_slots()
            }
        }
    }

    fn enqueue(
        &mut self,
        class: WorkClass,
        request: WaitingRequest,
        now: Instant,
        events: &mut AdmissionEvents,
    ) -> Admission {
        let overloaded = self.queue(class).is_overloaded(now);
        let limit = self.limits.queue_limit(class);
        let never_runs = class == WorkClass::Long && self.limits.long_slots() == 0;
        if limit == 0 || never_runs {
            return Admission::Refuse(full_reason(overloaded));
        }
        let queue = self.queue_mut(class);
        if queue.waiting.len() >= limit {
            let Some(displaced) = queue.waiting.displace(request.priority, overloaded) else {
                return Admission::Refuse(full_reason(overloaded));
            };
            let reason = RefusalReason::Overloaded;
            events.push(AdmissionEvent::Refuse(displaced.id, reason));
        }
        queue.waiting.push(request);
        queue.update_non_empty_since(now);
        Admission::Wait
    }

    /// Estimates the queueing time of a new request: the service time of those that go before it,
    /// divided by the slots available to its class.
    fn expected_wait(&self, class: WorkClass, priority: CallPriority, now: Instant) -> Duration {
        let queue = self.queue(class);
        let newest_first = self.queue(class).is_overloaded(now);
        let ahead = queue.waiting.count_ahead(priority, newest_first);
        let slots = match class {
            WorkClass::Short => self.limits.slots.saturating_sub(self.long_running),
            WorkClass::Long => self.limits.long_slots(),
        };
        let position = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        queue.service_time().saturating_mul(position) / slots.max(1)
    }

    /// Removes and returns the queued request that runs next. The class with the higher queued
    /// priority goes first; at equal priority short work does, unless no long request is running or
    /// a queued one is overdue.
    fn take_next(&mut self, now: Instant) -> Option<(AdmissionId, WorkClass)> {
        let top = |class| {
            let priority = self.queue(class).waiting.top_priority();
            priority.filter(|_| self.may_run(class, now))
        };
        let class = match (top(WorkClass::Short), top(WorkClass::Long)) {
            (None, None) => return None,
            (None, Some(_)) => WorkClass::Long,
            (Some(short), Some(long)) if long > short => WorkClass::Long,
            (Some(short), Some(long))
                if long == short && (self.long_running == 0 || self.is_long_overdue(now)) =>
            {
                WorkClass::Long
            }
            (Some(_), _) => WorkClass::Short,
        };
        let queue = self.queue_mut(class);
        let newest_first = queue.is_overloaded(now);
        let request = queue.waiting.take_first(newest_first)?;
        Some((request.id, class))
    }
}

fn expiry_reason(request: &WaitingRequest, overloaded: bool) -> RefusalReason {
    if request.deadline_bound {
        return RefusalReason::DeadlineTooClose;
    }
    full_reason(overloaded)
}

/// Returns `queue-full`, which lets the caller's node try another target, or `overloaded`, which
/// does not.
fn full_reason(overloaded: bool) -> RefusalReason {
    if overloaded {
        RefusalReason::Overloaded
    } else {
        RefusalReason::QueueFull
    }
}
