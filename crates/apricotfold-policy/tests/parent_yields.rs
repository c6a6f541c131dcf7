//! Two services: requests of a less urgent kind at one call the service of a more urgent kind, which
//! has not enough capacity for both.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, ProfileLimits, RetrySafety, RouteName, WorkClass};
use apricotfold_policy::{
    Admission, AdmissionEvent, AdmissionId, AdmissionLimits, AdmissionPolicy, AdmissionRequest,
    CallStanding, DeadlineQueue, NestedCapacity, ParentThrottle,
};
use rand::{RngExt, rngs::StdRng};
use support::seeded;

const ROUTE: RouteName = RouteName::const_new("pages");
/// Slots of the service that both kinds need.
const SLOTS_B: u32 = 54;
/// Slots of the service of the less urgent kind, more than it needs.
const SLOTS_A: u32 = 160;
const URGENT_WORK: Duration = Duration::from_millis(140);
const PAGE_WORK: Duration = Duration::from_millis(100);
const CALL_WORK: Duration = Duration::from_millis(30);
const CALLS: u32 = 2;
/// Share of less urgent requests that make calls.
const CALLING_SHARE: f64 = 0.7;
/// Demand of each kind at the scarce service, relative to its capacity; the sum is 1.3.
const URGENT_DEMAND: f64 = 0.8;
const CALL_DEMAND: f64 = 0.5;
const USEFUL_TIME: Duration = Duration::from_millis(700);
const LENGTH: Duration = Duration::from_secs(20);
/// Nodes at which requests enter; each has a throttle of its own.
const ENTRIES: usize = 4;

/// What happens at a time.
#[derive(Clone, Copy, Debug)]
enum Step {
    UrgentArrives,
    PageArrives,
    /// A request ends at the first or the second service.
    Ends(usize, AdmissionId),
}

#[derive(Clone, Copy, Debug)]
struct Page {
    entry: usize,
    deadline: Instant,
    calls_left: u32,
    met: NestedCapacity,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    urgent: u32,
    urgent_served: u32,
    urgent_lost: u32,
    pages: u32,
    pages_refused: u32,
    pages_served: u32,
    pages_failed: u32,
}

struct Services {
    random: StdRng,
    queues: [DeadlineQueue; 2],
    throttles: Vec<ParentThrottle>,
    throttled: bool,
    steps: BTreeMap<(Instant, u64), Step>,
    next_id: u64,
    /// Arrival of the urgent requests.
    urgent: BTreeMap<AdmissionId, Instant>,
    pages: BTreeMap<AdmissionId, Page>,
    /// Calls at the second service and the page that made each.
    calls: BTreeMap<AdmissionId, AdmissionId>,
    counts: Counts,
    busy: Duration,
}

impl Services {
    fn new(seed: u64, throttled: bool) -> Self {
        let limits = |slots| AdmissionLimits::new(&ProfileLimits::default(), slots);
        Self {
            random: seeded(seed),
            queues: [SLOTS_A, SLOTS_B].map(|slots| DeadlineQueue::new(limits(slots))),
            throttles: vec![ParentThrottle::default(); ENTRIES],
            throttled,
            steps: BTreeMap::new(),
            next_id: 0,
            urgent: BTreeMap::new(),
            pages: BTreeMap::new(),
            calls: BTreeMap::new(),
            counts: Counts::default(),
            busy: Duration::ZERO,
        }
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn schedule(&mut self, at: Instant, step: Step) {
        let id = self.id();
        self.steps.insert((at, id), step);
    }

    fn gap(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-self.random.random_range(0.001_f64..1.0).ln())
    }

    /// Offers a request to a service. Returns whether it runs or waits.
    fn offer(
        &mut self,
        service: usize,
        id: AdmissionId,
        rank: (CallPriority, CallStanding),
        useful_until: Instant,
        now: Instant,
    ) -> bool {
        let request = AdmissionRequest {
            class: WorkClass::Short,
            priority: rank.0,
            standing: rank.1,
            useful_until,
            deadline: useful_until,
            tenant: None,
            repeat: if rank.0 == CallPriority::Normal {
                RetrySafety::AtMostOnce
            } else {
                RetrySafety::Idempotent
            },
        };
        let (admission, mut events) = self.queues[service].offer(id, &request, now);
        if admission == Admission::Run {
            events.push(AdmissionEvent::Start(id));
        }
        self.apply(service, &events, now);
        !matches!(admission, Admission::Refuse(_))
    }

    fn apply(&mut self, service: usize, events: &[AdmissionEvent], now: Instant) {
        for event in events {
            match *event {
                AdmissionEvent::Start(id) => {
                    let mean = match (service, self.calls.contains_key(&id)) {
                        (0, _) => PAGE_WORK,
                        (_, true) => CALL_WORK,
                        (_, false) => URGENT_WORK,
                    };
                    let work = mean.mul_f64(self.random.random_range(0.6..1.4));
                    if service == 1 {
                        self.busy += work;
                    }
                    self.schedule(now + work, Step::Ends(service, id));
                }
                AdmissionEvent::Refuse(id, _) if service == 0 => {
                    self.pages.remove(&id);
                    self.counts.pages_failed += 1;
                }
                AdmissionEvent::Refuse(id, _) => {
                    if let Some(page) = self.calls.remove(&id) {
                        self.end_page(page, false, now);
                    } else {
                        self.counts.urgent_lost += 1;
                    }
                }
            }
        }
    }

    fn page_arrives(&mut self, now: Instant) {
        self.counts.pages += 1;
        let entry = self.random.random_range(0..ENTRIES);
        let calls = self.random.random_bool(CALLING_SHARE);
        let admitted = self.throttles[entry].admits(&ROUTE, CallStanding::New);
        let id = self.id();
        let page = Page {
            entry,
            deadline: now + USEFUL_TIME,
            calls_left: if calls { CALLS } else { 0 },
            met: NestedCapacity::Room,
        };
        self.pages.insert(id, page);
        let rank = (CallPriority::Sheddable, CallStanding::New);
        let starts = (admitted || !self.throttled) && self.offer(0, id, rank, page.deadline, now);
        if !starts {
            self.pages.remove(&id);
            self.counts.pages_refused += 1;
        }
    }

    fn call(&mut self, parent: AdmissionId, now: Instant) {
        let id = self.id();
        let waits = self.queues[1].waits(now).nested[0];
        let page = self.pages.get_mut(&parent).expect("the page runs");
        page.calls_left -= 1;
        if waits > CALL_WORK {
            page.met = page.met.max(NestedCapacity::Queue);
        }
        let deadline = page.deadline;
        self.calls.insert(id, parent);
        let rank = (CallPriority::Sheddable, CallStanding::Nested);
        if !self.offer(1, id, rank, deadline, now) {
            self.calls.remove(&id);
            self.end_page(parent, false, now);
        }
    }

    /// Ends a page, which frees its slot and reports to its entry node what its calls found.
    fn end_page(&mut self, id: AdmissionId, whole: bool, now: Instant) {
        let page = self.pages.remove(&id).expect("the page runs");
        let served = whole && now <= page.deadline;
        let met = if whole {
            page.met
        } else {
            NestedCapacity::Refusal
        };
        self.throttles[page.entry].record(&ROUTE, met, now);
        self.counts.pages_served += u32::from(served);
        self.counts.pages_failed += u32::from(!served);
        let events = self.queues[0].release(id, now);
        self.apply(0, &events, now);
    }

    fn run(mut self) -> (Counts, f64) {
        let start = Instant::now();
        let urgent_gap = URGENT_WORK.div_f64(URGENT_DEMAND * f64::from(SLOTS_B));
        let work_per_page = CALL_WORK.mul_f64(CALLING_SHARE * f64::from(CALLS));
        let page_gap = work_per_page.div_f64(CALL_DEMAND * f64::from(SLOTS_B));
        self.schedule(start, Step::UrgentArrives);
        self.schedule(start, Step::PageArrives);
        while let Some(((now, _), step)) = self.steps.pop_first() {
            for service in 0..2 {
                while let Some(at) = self.queues[service].next_expiry().filter(|at| *at < now) {
                    let events = self.queues[service].expire(at + Duration::from_nanos(1));
                    self.apply(service, &events, at);
                }
            }
            match step {
                Step::UrgentArrives if now < start + LENGTH => {
                    let gap = self.gap(urgent_gap);
                    self.schedule(now + gap, step);
                    self.counts.urgent += 1;
                    let id = self.id();
                    self.urgent.insert(id, now);
                    let rank = (CallPriority::Normal, CallStanding::New);
                    self.offer(1, id, rank, now + USEFUL_TIME, now);
                }
                Step::PageArrives if now < start + LENGTH => {
                    let gap = self.gap(page_gap);
                    self.schedule(now + gap, step);
                    self.page_arrives(now);
                }
                Step::UrgentArrives | Step::PageArrives => {}
                Step::Ends(0, id) => self.continue_page(id, now),
                Step::Ends(_, id) => {
                    let events = self.queues[1].release(id, now);
                    self.apply(1, &events, now);
                    if let Some(page) = self.calls.remove(&id) {
                        self.continue_page(page, now);
                    } else {
                        let in_time = now - self.urgent[&id] <= USEFUL_TIME;
                        self.counts.urgent_served += u32::from(in_time);
                        self.counts.urgent_lost += u32::from(!in_time);
                    }
                }
            }
        }
        let capacity = LENGTH.mul_f64(f64::from(SLOTS_B));
        (self.counts, self.busy.div_duration_f64(capacity))
    }

    fn continue_page(&mut self, id: AdmissionId, now: Instant) {
        let Some(page) = self.pages.get(&id) else {
            return;
        };
        if page.calls_left > 0 {
            self.call(id, now);
        } else {
            self.end_page(id, true, now);
        }
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole)
}

/// Guards against a less urgent kind whose calls take the capacity of a more urgent one, that fails
/// after its work instead of being refused where it enters, or that leaves that capacity idle.
#[test]
fn less_urgent_parents_yield() {
    for seed in 0..5 {
        let (before, _) = Services::new(seed, false).run();
        let (counts, busy) = Services::new(seed, true).run();
        let urgent = share(counts.urgent_served, counts.urgent);
        let pages = share(counts.pages_served, counts.pages);
        let failed = share(
            counts.pages_failed,
            counts.pages_failed + counts.pages_served,
        );
        let without = share(
            before.pages_failed,
            before.pages_failed + before.pages_served,
        );
        println!(
            "seed {seed}: urgent {urgent:.3}, pages {pages:.3} (without throttle {:.3}), failed {failed:.3} (without {without:.3}), busy {busy:.3}, lost {}",
            share(before.pages_served, before.pages),
            counts.urgent_lost
        );
        assert!(urgent >= pages && urgent >= 0.95, "{urgent} {pages}");
        assert!(failed <= 0.1, "{failed}");
        assert!(busy >= 0.9, "{busy}");
        assert!(
            share(counts.urgent_lost, counts.urgent) <= 0.01,
            "{counts:?}"
        );
    }
}
