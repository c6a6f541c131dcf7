//! Admission at a target while demand exceeds its capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use apricotfold_model::{
    CallPriority, ProfileLimits, RateLimit, RefusalReason, RetrySafety, WorkClass,
};
use apricotfold_policy::{
    Admission, AdmissionEvent, AdmissionId, AdmissionLimits, AdmissionPolicy, AdmissionRequest,
    CallStanding, DeadlineQueue,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 4;
const SERVICE: Duration = Duration::from_millis(80);
/// Time for which an answer is useful.
const USEFUL_TIME: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(1);

fn queue() -> DeadlineQueue {
    let rule = ProfileLimits {
        slots: Some(SLOTS),
        long_percent: 75,
        short_queue: 256,
        long_queue: 64,
        queue_wait: Duration::from_secs(3),
    };
    DeadlineQueue::new(AdmissionLimits::new(&rule, SLOTS))
}

fn offer(priority: CallPriority, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        class: WorkClass::Short,
        priority,
        standing: CallStanding::New,
        useful_until: now + USEFUL_TIME,
        deadline: now + TIMEOUT,
        tenant: None,
        repeat: RetrySafety::Idempotent,
    }
}

/// Fills the slots after a first round of requests from which the queue learns the service time.
fn fill(queue: &mut DeadlineQueue, now: Instant) {
    for id in 0..u64::from(SLOTS) {
        let (admission, _) = queue.offer(id, &offer(CallPriority::Sheddable, now), now);
        assert_eq!(admission, Admission::Run);
    }
    for id in 0..u64::from(SLOTS) {
        queue.release(id, now + SERVICE);
    }
    for id in 100..100 + u64::from(SLOTS) {
        let now = now + SERVICE;
        let (admission, _) = queue.offer(id, &offer(CallPriority::Sheddable, now), now);
        assert_eq!(admission, Admission::Run);
    }
}

/// Guards against refusing calls of running requests in favour of first attempts: the work done for
/// the requests that made them would be lost.
#[test]
fn nested_first() {
    let now = Instant::now();
    let mut queue = queue();
    fill(&mut queue, now);
    let now = now + SERVICE;
    let mut id = 200;
    while queue.offer(id, &offer(CallPriority::Sheddable, now), now).0 == Admission::Wait {
        id += 1;
    }
    let nested = AdmissionRequest {
        standing: CallStanding::Nested,
        ..offer(CallPriority::Sheddable, now)
    };
    let waits = queue.waits(now);
    assert!(waits.nested[0] < waits.new[0], "{waits:?}");
    assert_eq!(queue.offer(900, &nested, now).0, Admission::Wait);
    let events = queue.release(100, now + SERVICE / 2);
    assert!(events.contains(&AdmissionEvent::Start(900)), "{events:?}");
}

/// Guards against a queue that grows until every request in it is late: requests that cannot be
/// answered in time must be refused on arrival, not after a wait.
#[test]
fn refuses_on_arrival() {
    let start = Instant::now();
    let mut queue = queue();
    fill(&mut queue, start);
    let now = start + SERVICE;
    let mut waiting = 0;
    for id in 200..300 {
        match queue.offer(id, &offer(CallPriority::Sheddable, now), now) {
            (Admission::Wait, _) => waiting += 1,
            (Admission::Refuse(reason), _) => assert_eq!(reason, RefusalReason::Overloaded),
            (Admission::Run, _) => panic!("all slots are taken"),
        }
    }
    // A slot becomes free every 20 ms, and 0.4 of the spare 320 ms may be spent waiting.
    assert!((5..=7).contains(&waiting), "{waiting} queued");
}

/// Guards against urgent work that waits behind less urgent work.
#[test]
fn urgent_first() {
    let start = Instant::now();
    let mut queue = queue();
    fill(&mut queue, start);
    let now = start + SERVICE;
    queue.offer(200, &offer(CallPriority::Sheddable, now), now);
    queue.offer(201, &offer(CallPriority::Normal, now), now);
    queue.offer(202, &offer(CallPriority::Critical, now), now);
    let order: Vec<AdmissionId> = (100..103)
        .flat_map(|id| queue.release(id, now))
        .map(|event| match event {
            AdmissionEvent::Start(id) => id,
            AdmissionEvent::Refuse(id, _) => panic!("{id} refused"),
        })
        .collect();
    assert_eq!(order, [202, 201, 200]);
}

/// Guards against refusing callers a second time, after they retried as advised, in favour of new
/// ones.
#[test]
fn returned_first() {
    let start = Instant::now();
    let mut queue = queue();
    fill(&mut queue, start);
    let now = start + SERVICE;
    let mut id = 200;
    while let (Admission::Wait, _) = queue.offer(id, &offer(CallPriority::Sheddable, now), now) {
        id += 1;
    }
    let returned = AdmissionRequest {
        standing: CallStanding::Returned,
        ..offer(CallPriority::Sheddable, now)
    };
    let (admission, _) = queue.offer(900, &returned, now);
    assert_eq!(admission, Admission::Wait);
    let events = queue.release(100, now);
    assert_eq!(events.as_slice(), [AdmissionEvent::Start(900)]);
}

/// Guards against starting work that cannot end before its caller's deadline.
#[test]
fn late_work_is_not_started() {
    let start = Instant::now();
    let mut queue = queue();
    fill(&mut queue, start);
    let now = start + SERVICE;
    for id in 100..100 + u64::from(SLOTS) {
        queue.release(id, now + SERVICE);
    }
    let now = now + SERVICE;
    let late = AdmissionRequest {
        deadline: now + SERVICE / 4,
        ..offer(CallPriority::Normal, now)
    };
    let (admission, _) = queue.offer(300, &late, now);
    let refused = Admission::Refuse(RefusalReason::DeadlineTooClose);
    assert_eq!(admission, refused);
}

/// Result of a simulated load.
#[derive(Default)]
struct SimulationResult {
    in_time: BTreeMap<CallPriority, u32>,
    late: u32,
    refused: u32,
    /// Number of refusals after more than an eighth of the useful time.
    late_refusals: u32,
}

/// Simulates arrivals at `load` times the capacity for `length`; a quarter of them are urgent.
fn simulate(load: f64, length: Duration, seed: u64) -> SimulationResult {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut queue = queue();
    let mut result = SimulationResult::default();
    let mut arrived: BTreeMap<AdmissionId, (Instant, CallPriority)> = BTreeMap::new();
    let mut ends: BTreeSet<(Instant, AdmissionId)> = BTreeSet::new();
    let gap = SERVICE.div_f64(f64::from(SLOTS) * load);
    let mut next = start;
    let mut id = 0;
    while next < start + length || !ends.is_empty() {
        let arrival = next < start + length;
        let first_end = ends.first().map(|(at, _)| *at);
        let (now, events) = if arrival && first_end.is_none_or(|end| next <= end) {
            let now = next;
            next += gap.mul_f64(-random.random_range(0.001_f64..1.0).ln());
            id += 1;
            let urgent = random.random_range(0..4) == 0;
            let priority = if urgent {
                CallPriority::Normal
            } else {
                CallPriority::Sheddable
            };
            arrived.insert(id, (now, priority));
            let (admission, mut events) = queue.offer(id, &offer(priority, now), now);
            match admission {
                Admission::Run => events.push(AdmissionEvent::Start(id)),
                Admission::Refuse(reason) => events.push(AdmissionEvent::Refuse(id, reason)),
                Admission::Wait => {}
            }
            (now, events)
        } else {
            let (now, ended) = ends.pop_first().expect("a request is running");
            let (since, priority) = arrived[&ended];
            if now - since <= USEFUL_TIME {
                *result.in_time.entry(priority).or_default() += 1;
            } else {
                result.late += 1;
            }
            (now, queue.release(ended, now))
        };
        for event in events {
            match event {
                AdmissionEvent::Start(id) => {
                    let work = SERVICE.mul_f64(random.random_range(0.4..1.6));
                    ends.insert((now + work, id));
                }
                AdmissionEvent::Refuse(id, _) => {
                    result.refused += 1;
                    let waited = now - arrived[&id].0;
                    result.late_refusals += u32::from(waited > USEFUL_TIME / 8);
                }
            }
        }
        assert!(queue.running() <= SLOTS);
    }
    result
}

/// Guards against a target that spends its capacity on late answers under overload. At twice the
/// capacity, at least 90 % of the answers that the target can give must be in time, all urgent work
/// must be served, and 99 % of refusals must come within an eighth of the useful time.
#[test]
fn goodput_under_overload() {
    let length = Duration::from_secs(20);
    for seed in 0..5 {
        let result = simulate(2.0, length, seed);
        let capacity = length.as_secs_f64() / SERVICE.as_secs_f64() * f64::from(SLOTS);
        let in_time: u32 = result.in_time.values().sum();
        assert!(f64::from(in_time) >= 0.9 * capacity, "{in_time}/{capacity}");
        let urgent = f64::from(result.in_time[&CallPriority::Normal]);
        // A quarter of the load of twice the capacity is urgent.
        assert!(urgent >= 0.9 * capacity / 2.0, "{urgent}");
        let late = f64::from(result.late_refusals) / f64::from(result.refused);
        assert!(late <= 0.01, "{late}");
        assert!(f64::from(result.late) <= 0.02 * capacity, "{}", result.late);
    }
}

/// Guards against refusals while demand is below capacity.
#[test]
fn serves_below_capacity() {
    let result = simulate(0.6, Duration::from_secs(20), 7);
    let served: u32 = result.in_time.values().sum();
    let share = f64::from(result.refused) / f64::from(served + result.refused);
    assert!(share <= 0.01, "{share}");
}

/// One step of a random history.
#[derive(Clone, Debug)]
enum QueueStep {
    Offer(u8, bool, usize, u64, u64),
    Release(usize),
    Cancel(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<QueueStep>> {
    let offer = (0..3_u8, any::<bool>(), 0..3_usize, 0..600_u64, 0..1_200_u64);
    let step = prop_oneof![
        offer.prop_map(|(priority, long, standing, useful, deadline)| {
            QueueStep::Offer(priority, long, standing, useful, deadline)
        }),
        (0..64_usize).prop_map(QueueStep::Release),
        (0..64_usize).prop_map(QueueStep::Cancel),
        (0..120_u64).prop_map(QueueStep::Wait),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against missing, duplicate or superfluous decisions: every queued request is decided
    /// once or cancelled, and the running requests never exceed the slots.
    #[test]
    fn one_decision_each(steps in steps()) {
        let mut now = Instant::now();
        let mut queue = queue();
        let mut running: BTreeSet<AdmissionId> = BTreeSet::new();
        let mut waiting: BTreeSet<AdmissionId> = BTreeSet::new();
        let mut next_id = 0;
        for step in steps {
            let events = match step {
                QueueStep::Offer(priority, long, standing, useful, deadline) => {
                    next_id += 1;
                    let offer = AdmissionRequest {
                        class: if long { WorkClass::Long } else { WorkClass::Short },
                        priority: [CallPriority::Sheddable, CallPriority::Normal, CallPriority::Critical][usize::from(priority)],
                        standing: [CallStanding::New, CallStanding::Returned, CallStanding::Nested][standing],
                        useful_until: now + Duration::from_millis(useful),
                        deadline: now + Duration::from_millis(deadline),
                        tenant: None,
                        repeat: RetrySafety::Idempotent,
                    };
                    let (admission, events) = queue.offer(next_id, &offer, now);
                    match admission {
                        Admission::Run => { running.insert(next_id); }
                        Admission::Wait => { waiting.insert(next_id); }
                        Admission::Refuse(_) => {}
                    }
                    events
                }
                QueueStep::Release(index) => {
                    let Some(id) = running.iter().nth(index).copied() else { continue };
                    running.remove(&id);
                    queue.release(id, now)
                }
                QueueStep::Cancel(index) => {
                    let Some(id) = waiting.iter().chain(&running).nth(index).copied() else { continue };
                    running.remove(&id);
                    waiting.remove(&id);
                    queue.cancel(id, now)
                }
                QueueStep::Wait(time) => {
                    now += Duration::from_millis(time);
                    queue.expire(now)
                }
            };
            for event in events {
                match event {
                    AdmissionEvent::Start(id) => {
                        prop_assert!(waiting.remove(&id));
                        running.insert(id);
                    }
                    AdmissionEvent::Refuse(id, _) => prop_assert!(waiting.remove(&id)),
                }
            }
            prop_assert!(running.len() <= SLOTS as usize);
            prop_assert_eq!(queue.running() as usize, running.len());
            prop_assert_eq!(queue.load().in_flight as usize, running.len() + waiting.len());
        }
    }
}

/// Guards against a rate limit that refuses urgent work while less urgent work passes, that leaves
/// queued requests waiting although the rate allows them, and that is hardly used.
#[test]
fn rate_limited_target() {
    let start = Instant::now();
    let mut queue = queue();
    fill(&mut queue, start);
    let start = start + SERVICE * 2;
    for id in 100..100 + u64::from(SLOTS) {
        queue.release(id, start);
    }
    queue.set_rate_limit(Some(RateLimit::try_from(20.0).expect("valid")), start);
    let mut now = start;
    let mut running: BTreeMap<AdmissionId, Instant> = BTreeMap::new();
    let mut priorities = BTreeMap::new();
    let mut started: Vec<AdmissionId> = Vec::new();
    for step in 0..5_000_u64 {
        let mut begun = Vec::new();
        if step % 20 == 0 {
            let urgent = step % 80 == 0;
            let priority = if urgent {
                CallPriority::Critical
            } else {
                CallPriority::Sheddable
            };
            let id = 1_000 + step;
            priorities.insert(id, priority);
            let (admission, events) = queue.offer(id, &offer(priority, now), now);
            if admission == Admission::Run {
                begun.push(id);
            }
            begun.extend(starts(&events));
        }
        if queue.next_expiry().is_some_and(|expiry| expiry <= now) {
            begun.extend(starts(&queue.expire(now)));
        }
        let ended: Vec<AdmissionId> = running
            .iter()
            .filter(|(_, at)| **at + SERVICE <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            running.remove(&id);
            begun.extend(starts(&queue.release(id, now)));
        }
        for id in begun {
            running.insert(id, now);
            started.push(id);
        }
        now += Duration::from_millis(1);
    }
    let urgent = |id: &&AdmissionId| priorities[*id] == CallPriority::Critical;
    let offered = priorities
        .values()
        .filter(|known| **known == CallPriority::Critical);
    let served = started.iter().filter(urgent).count();
    assert!((95..=110).contains(&started.len()), "{}", started.len());
    assert!(served * 100 >= offered.count() * 95, "{served} urgent ones");
}

fn starts(events: &[AdmissionEvent]) -> Vec<AdmissionId> {
    let started = events.iter().filter_map(|event| match event {
        AdmissionEvent::Start(id) => Some(*id),
        AdmissionEvent::Refuse(..) => None,
    });
    started.collect()
}
