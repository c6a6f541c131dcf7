//! Admission by deadline, for demand that rises above capacity within a second and stays there for
//! seconds, with urgent and less urgent work. The capacity is the number of slots, and the request
//! rate that the target states. See `docs/platform.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::{
    CallPriority, RateLimit, RefusalReason, RetrySafety, TenantName, WorkClass,
};

use crate::decay::DecayingSum;
use crate::rate_gate::RateGate;
use crate::service_time::ServiceTimes;
use crate::tenant_share::TenantShares;
use crate::{
    Admission, AdmissionEvent, AdmissionEvents, AdmissionId, AdmissionLimits, AdmissionPolicy,
    AdmissionRequest, CallStanding, LoadReport,
};

/// Share of its spare time (the time left after its service time) that a first attempt may spend in
/// the queue. A queue that is never empty keeps all slots busy, whatever its length; a short one
/// leaves refused callers time to retry, and admitted ones a margin for slow work.
const NEW_WAIT_SHARE: f64 = 0.4;

/// Share of its spare time that a retry of a refused caller may spend in the queue. It is high
/// because a second refusal leaves the caller without an answer.
const RETURNED_WAIT_SHARE: f64 = 0.9;

/// Share of its spare time that a call made by a running request may spend in the queue. It leaves
/// only a margin, because refusing the call wastes the work of the request that made it.
const NESTED_WAIT_SHARE: f64 = 0.7;

/// Share of the estimated service time that must be left before the deadline. Starting a request
/// with less time left wastes its slot.
const MIN_SERVICE_SHARE: f64 = 0.5;

/// The same for a request that must not run twice. If its deadline cuts it off, its caller cannot
/// safely repeat it.
const MIN_SERVICE_SHARE_ONCE: f64 = 1.0;

/// Time constant of the decaying counts of started requests per priority.
const SHARE_WINDOW: Duration = Duration::from_secs(1);

/// Upper bound of the share of slots assumed to go to more urgent work, so that wait estimates stay
/// finite.
const MAX_URGENT_SHARE: f64 = 0.9;

impl CallStanding {
    /// Returns the share of a request's spare time that it may spend waiting.
    #[must_use]
    pub fn wait_share(self) -> f64 {
        match self {
            Self::New => NEW_WAIT_SHARE,
            Self::Returned => RETURNED_WAIT_SHARE,
            Self::Nested => NESTED_WAIT_SHARE,
        }
    }
}

const PRIORITIES: usize = 3;

/// Expected queueing times of requests that arrive now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedWaits {
    /// Waits of first attempts, indexed by [`priority_index`].
    pub new: [Duration; PRIORITIES],
    /// Waits of calls made by running requests, indexed by [`priority_index`].
    pub nested: [Duration; PRIORITIES],
}

#[derive(Clone, Debug)]
struct RunningWork {
    class: WorkClass,
    repeat: RetrySafety,
    started: Instant,
    tenant: Option<TenantName>,
    /// Service time that was charged to the tenant at the start.
    charged: Duration,
}

#[derive(Clone, Debug)]
struct WaitingWork {
    id: AdmissionId,
    class: WorkClass,
    priority: CallPriority,
    standing: CallStanding,
    repeat: RetrySafety,
    tenant: Option<TenantName>,
    /// Latest start time with which it is still answered in time.
    start_by: Instant,
}

impl WaitingWork {
    /// Sort key for the start order; the request with the highest key starts first.
    fn order(&self) -> (CallPriority, CallStanding) {
        (self.priority, self.standing)
    }
}

/// Admits requests that can be answered in time and refuses all others on arrival.
///
/// Queued requests start by priority, then by [`CallStanding`] (those whose refusal would waste the
/// most work first), then by the slot time that their tenant had lately, least first, then by
/// arrival. A request is queued only if its expected wait, including more
/// urgent work that will overtake it, stays within a share of its spare time. Refusals are
/// immediate, so that the caller can retry later or use another target.
#[derive(Debug)]
pub struct DeadlineQueue {
    limits: AdmissionLimits,
    /// Upper bound of the running requests, see [`TargetPace`](crate::TargetPace).
    run_limit: Option<u32>,
    /// Request rate of a target that states one.
    gate: Option<RateGate>,
    draining: bool,
    running: HashMap<AdmissionId, RunningWork>,
    long_running: u32,
    waiting: Vec<WaitingWork>,
    services: ServiceTimes,
    /// Decaying counts of started requests, indexed by [`priority_index`].
    starts: [DecayingSum; PRIORITIES],
    shares: TenantShares,
}

impl DeadlineQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            run_limit: None,
            gate: None,
            draining: false,
            running: HashMap::new(),
            long_running: 0,
            waiting: Vec::new(),
            services: ServiceTimes::default(),
            starts: [DecayingSum::new(SHARE_WINDOW); PRIORITIES],
            shares: TenantShares::default(),
        }
    }

    fn service(&self, class: WorkClass) -> Duration {
        self.services.mean(class)
    }

    /// Mean service time of the running requests, which determines when the next slot becomes free.
    fn mean_service(&self) -> Duration {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        if running == 0 {
            return self.service(WorkClass::Short);
        }
        let long = self.service(WorkClass::Long) * self.long_running;
        let short = self.service(WorkClass::Short) * (running - self.long_running);
        (long + short) / running
    }

    /// Returns the number of requests that may run at once.
    fn run_slots(&self) -> u32 {
        let slots = self.limits.slots;
        self.run_limit.map_or(slots, |limit| limit.min(slots))
    }

    fn free_slots(&self) -> u32 {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.run_slots().saturating_sub(running)
    }

    fn is_gate_open(&self, now: Instant) -> bool {
        self.gate.is_none_or(|gate| gate.is_open(now))
    }

    /// Returns whether the slots and the target's rate allow one more request of a class. Long work
    /// leaves one slot free for short work, unless no long request is running.
    fn may_run(&self, class: WorkClass, now: Instant) -> bool {
        if !self.is_gate_open(now) {
            return false;
        }
        let free = self.free_slots();
        match class {
            WorkClass::Short => free > 0,
            WorkClass::Long => {
                let enough = free > 1 || (free == 1 && self.long_running == 0);
                enough && self.long_running < self.limits.long_slots().max(1)
            }
        }
    }

    /// Estimates the queueing time of a request that arrives now.
    fn expected_wait(
        &self,
        priority: CallPriority,
        standing: CallStanding,
        tenant: Option<&TenantName>,
        now: Instant,
    ) -> Duration {
        let ahead = self.count_ahead((priority, standing), tenant, now);
        if ahead == 0 && self.free_slots() > 0 && self.is_gate_open(now) {
            return Duration::ZERO;
        }
        let position = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let slot_interval = self.mean_service() / self.run_slots().max(1);
        let slot_wait = if ahead == 0 && self.free_slots() > 0 {
            Duration::ZERO
        } else {
            slot_interval.saturating_mul(position)
        };
        let rate_wait = self
            .gate
            .map_or(Duration::ZERO, |gate| gate.wait(position, now));
        let overtaking = tenant.map_or(0.0, |tenant| self.shares.overtaking_share(tenant, now));
        let urgent = self.urgent_share(priority, now);
        let available_share = ((1.0 - urgent) * (1.0 - overtaking)).max(1.0 - MAX_URGENT_SHARE);
        slot_wait.max(rate_wait).div_f64(available_share)
    }

    /// Returns the number of queued requests that start before one that arrives now.
    fn count_ahead(
        &self,
        order: (CallPriority, CallStanding),
        tenant: Option<&TenantName>,
        now: Instant,
    ) -> usize {
        let Some(tenant) = tenant else {
            let ahead = self.waiting.iter().filter(|known| known.order() >= order);
            return ahead.count();
        };
        let above = self.waiting.iter().filter(|known| known.order() > order);
        let equals = self.waiting.iter().filter(|known| known.order() == order);
        let queued = equals.map(|known| known.tenant.as_ref());
        let service = self.service(WorkClass::Short);
        above.count() + self.shares.ahead(tenant, queued, service, now)
    }

    /// Estimates the share of slots that goes to more urgent work, which overtakes queued requests.
    fn urgent_share(&self, priority: CallPriority, now: Instant) -> f64 {
        let count = |sum: &DecayingSum| sum.value_at(now);
        let total: f64 = self.starts.iter().map(count).sum();
        if total < 1.0 {
            return 0.0;
        }
        let urgent: f64 = self.starts[priority_index(priority) + 1..]
            .iter()
            .map(count)
            .sum();
        (urgent / total).min(MAX_URGENT_SHARE)
    }

    fn start(&mut self, work: WaitingWork, now: Instant) {
        let WaitingWork {
            id,
            class,
            priority,
            repeat,
            tenant,
            ..
        } = work;
        let charged = self.service(class);
        if let Some(tenant) = &tenant {
            self.shares.charge(tenant, charged.as_secs_f64(), now);
        }
        let work = RunningWork {
            class,
            repeat,
            started: now,
            tenant,
            charged,
        };
        self.running.insert(id, work);
        if let Some(gate) = &mut self.gate {
            gate.pass(now);
        }
        if class == WorkClass::Long {
            self.long_running += 1;
        }
        self.starts[priority_index(priority)].add(1.0, now);
    }

    fn stop(&mut self, id: AdmissionId, now: Instant) -> Option<RunningWork> {
        let ended = self.running.remove(&id)?;
        if let Some(tenant) = &ended.tenant {
            let taken = now.saturating_duration_since(ended.started).as_secs_f64();
            let correction = taken - ended.charged.as_secs_f64();
            self.shares.charge(tenant, correction, now);
        }
        if ended.class == WorkClass::Long {
            self.long_running -= 1;
        }
        Some(ended)
    }

    fn take_next(&mut self, now: Instant) -> Option<WaitingWork> {
        let mut best: Option<usize> = None;
        for (index, work) in self.waiting.iter().enumerate() {
            let better = best.is_none_or(|best| self.waiting[best].order() < work.order());
            if better && self.may_run(work.class, now) {
                best = Some(index);
            }
        }
        let index = best.map(|first| self.fairest(first, now))?;
        Some(self.waiting.remove(index))
    }

    /// Returns the queued request to start instead of `first`, the earliest of its rank: that of the
    /// tenant that had the least slot time. A request without a tenant keeps its place.
    fn fairest(&self, first: usize, now: Instant) -> usize {
        let order = self.waiting[first].order();
        let mut best: Option<(usize, f64)> = None;
        for (index, work) in self.waiting.iter().enumerate().skip(first) {
            if work.order() != order || !self.may_run(work.class, now) {
                continue;
            }
            let Some(tenant) = &work.tenant else {
                if index == first {
                    return first;
                }
                continue;
            };
            let used = self.shares.used(tenant, now);
            if best.is_none_or(|(_, least)| used < least) {
                best = Some((index, used));
            }
        }
        best.map_or(first, |(index, _)| index)
    }

    /// Estimates the queueing times of requests that arrive now. Nodes report them to the nodes
    /// that choose targets.
    #[must_use]
    pub fn waits(&self, now: Instant) -> ExpectedWaits {
        let by_priority = |standing| {
            [
                CallPriority::Sheddable,
                CallPriority::Normal,
                CallPriority::Critical,
            ]
            .map(|priority| self.expected_wait(priority, standing, None, now))
        };
        ExpectedWaits {
            new: by_priority(CallStanding::New),
            nested: by_priority(CallStanding::Nested),
        }
    }
}

impl AdmissionPolicy for DeadlineQueue {
    fn offer(
        &mut self,
        id: AdmissionId,
        offer: &AdmissionRequest,
        now: Instant,
    ) -> (Admission, AdmissionEvents) {
        let mut events = self.expire(now);
        if self.draining {
            return (Admission::Refuse(RefusalReason::Draining), events);
        }
        let service = self.services.mean_of(offer.class, offer.repeat);
        let min_share = match offer.repeat {
            RetrySafety::Idempotent => MIN_SERVICE_SHARE,
            RetrySafety::AtMostOnce => MIN_SERVICE_SHARE_ONCE,
        };
        if now + service.mul_f64(min_share) >= offer.deadline {
            return (Admission::Refuse(RefusalReason::DeadlineTooClose), events);
        }
        // A request that must not run twice can start now with little time left, but not later.
        let useful = offer.useful_until.min(offer.deadline);
        let reserve = self.services.reserve(offer.class, offer.repeat);
        let spare = useful
            .saturating_duration_since(now + service)
            .min(offer.deadline.saturating_duration_since(now + reserve));
        let work = WaitingWork {
            id,
            class: offer.class,
            priority: offer.priority,
            standing: offer.standing,
            repeat: offer.repeat,
            tenant: offer.tenant.clone(),
            start_by: now + spare,
        };
        let overtakes = !self
            .waiting
            .iter()
            .any(|known| known.order() >= work.order() && self.may_run(known.class, now));
        if overtakes && self.may_run(offer.class, now) {
            self.start(work, now);
            return (Admission::Run, events);
        }
        let wait = self.expected_wait(offer.priority, offer.standing, offer.tenant.as_ref(), now);
        if wait > spare.mul_f64(offer.standing.wait_share()) {
            return (Admission::Refuse(RefusalReason::Overloaded), events);
        }
        self.waiting.push(work);
        events.extend(self.expire(now));
        (Admission::Wait, events)
    }

    fn release(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents {
        if let Some(ended) = self.stop(id, now) {
            let service = now.saturating_duration_since(ended.started);
            self.services.record(ended.class, ended.repeat, service);
        }
        self.expire(now)
    }

    fn cancel(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents {
        if self.stop(id, now).is_none() {
            self.waiting.retain(|known| known.id != id);
        }
        self.expire(now)
    }

    fn expire(&mut self, now: Instant) -> AdmissionEvents {
        let mut events = AdmissionEvents::new();
        if let Some(gate) = &mut self.gate {
            gate.refill(now);
        }
        for work in self.waiting.extract_if(.., |work| work.start_by < now) {
            let reason = RefusalReason::DeadlineTooClose;
            events.push(AdmissionEvent::Refuse(work.id, reason));
        }
        while let Some(work) = self.take_next(now) {
            events.push(AdmissionEvent::Start(work.id));
            self.start(work, now);
        }
        events
    }

    fn next_expiry(&self) -> Option<Instant> {
        let expiry = self.waiting.iter().map(|work| work.start_by).min()?;
        // Without a free slot, the next request starts when one ends.
        let gate = self
            .gate
            .filter(|gate| gate.is_closed() && self.free_slots() > 0);
        Some(gate.map_or(expiry, |gate| expiry.min(gate.opens_at())))
    }

    fn set_rate_limit(&mut self, limit: Option<RateLimit>, now: Instant) -> AdmissionEvents {
        match (&mut self.gate, limit) {
            (Some(gate), Some(limit)) => gate.set_limit(limit, now),
            (gate, limit) => *gate = limit.map(|limit| RateGate::new(limit, now)),
        }
        self.expire(now)
    }

    fn set_run_limit(&mut self, limit: Option<u32>, now: Instant) -> AdmissionEvents {
        self.run_limit = limit;
        self.expire(now)
    }

    fn count_request(&mut self, now: Instant) {
        if let Some(gate) = &mut self.gate {
            gate.pass(now);
        }
    }

    fn set_limits(&mut self, limits: AdmissionLimits, now: Instant) -> AdmissionEvents {
        self.limits = limits;
        self.expire(now)
    }

    fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    fn load(&self) -> LoadReport {
        let in_flight = self.running.len() + self.waiting.len();
        LoadReport {
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            slots: self.limits.slots,
        }
    }

    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn expected_service_time(&self, class: WorkClass) -> Duration {
        self.service(class)
    }

    fn waits(&self, now: Instant) -> ExpectedWaits {
        Self::waits(self, now)
    }
}

/// Returns the array index of a priority; the least urgent has index 0.
#[must_use]
pub fn priority_index(priority: CallPriority) -> usize {
    match priority {
        CallPriority::Sheddable => 0,
        CallPriority::Normal => 1,
        CallPriority::Critical => 2,
    }
}
