//! Admission of requests that must not run twice, with service times of which a few are long.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, ProfileLimits, RefusalReason, RetrySafety, WorkClass};
use apricotfold_policy::{
    Admission, AdmissionEvent, AdmissionId, AdmissionLimits, AdmissionPolicy, AdmissionRequest,
    CallStanding, DeadlineQueue,
};
use rand::{RngExt, rngs::StdRng};
use support::{ms, seeded};

const SLOTS: u32 = 9;
const MEAN: Duration = Duration::from_millis(140);
/// Service time of the slow requests relative to the mean, and their share.
const SLOW: (f64, f64) = (7.0, 0.03);
/// Time after which an answer is cut off; slow requests take up to 1,080 ms.
const TIMEOUT: Duration = Duration::from_millis(1_200);
const LENGTH: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    started: u32,
    answered: u32,
    /// Started and cut off by the deadline.
    cut_off: u32,
    /// Refused after having been queued.
    expired: u32,
}

/// Draws a service time with the mean [`MEAN`], of which slow ones take seven times as long.
fn work(random: &mut StdRng) -> Duration {
    let (factor, share) = SLOW;
    if random.random_bool(share) {
        return MEAN.mul_f64(factor * random.random_range(0.9..1.1));
    }
    let rest = (1.0 - share * factor) / (1.0 - share);
    MEAN.mul_f64(rest * random.random_range(0.6..1.4))
}

/// Offers requests at `load` times the capacity and cuts those off that miss their deadline.
fn simulate(load: f64, repeat: RetrySafety, seed: u64) -> Counts {
    let mut random = seeded(seed);
    let limits = AdmissionLimits::new(&ProfileLimits::default(), SLOTS);
    let mut queue = DeadlineQueue::new(limits);
    let mut counts = Counts::default();
    let mut deadlines: BTreeMap<AdmissionId, Instant> = BTreeMap::new();
    let mut ends: BTreeSet<(Instant, AdmissionId)> = BTreeSet::new();
    let start = Instant::now();
    let gap = MEAN.div_f64(f64::from(SLOTS) * load);
    let (mut next, mut id) = (start, 0);
    while next < start + LENGTH || !ends.is_empty() {
        let end = ends.first().map(|(at, _)| *at);
        let arrival = Some(next).filter(|next| *next < start + LENGTH);
        let due = arrival.into_iter().chain(end).min();
        let expiry = queue.next_expiry().filter(|at| Some(*at) < due);
        let (now, events) = if let Some(at) = expiry {
            let now = at + Duration::from_nanos(1);
            (now, queue.expire(now))
        } else if due == arrival {
            let now = next;
            next += gap.mul_f64(-random.random_range(0.001_f64..1.0).ln());
            id += 1;
            deadlines.insert(id, now + TIMEOUT);
            let request = AdmissionRequest {
                class: WorkClass::Short,
                priority: CallPriority::Critical,
                standing: CallStanding::New,
                repeat,
                useful_until: now + TIMEOUT,
                deadline: now + TIMEOUT,
                tenant: None,
            };
            let (admission, mut events) = queue.offer(id, &request, now);
            if admission == Admission::Run {
                events.push(AdmissionEvent::Start(id));
            }
            (now, events)
        } else {
            let (now, ended) = ends.pop_first().expect("a request is running");
            if now < deadlines[&ended] {
                counts.answered += 1;
            } else {
                counts.cut_off += 1;
            }
            (now, queue.release(ended, now))
        };
        for event in events {
            match event {
                AdmissionEvent::Start(id) => {
                    counts.started += 1;
                    let end = (now + work(&mut random)).min(deadlines[&id]);
                    ends.insert((end, id));
                }
                AdmissionEvent::Refuse(..) => counts.expired += 1,
            }
        }
    }
    counts
}

/// Guards against requests that wait, start and are cut off by their deadline, which leaves their
/// callers without a safe retry, and against slots left idle to prevent that.
#[test]
fn started_in_time() {
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole);
    // A seed's capacity varies by about 2 % with its slow requests, so answers are compared in sum.
    let (mut plain_answers, mut once_answers) = (0, 0);
    for seed in 0..5 {
        let plain = simulate(1.3, RetrySafety::Idempotent, seed);
        let once = simulate(1.3, RetrySafety::AtMostOnce, seed);
        println!("seed {seed}: repeatable {plain:?}, once {once:?}");
        plain_answers += plain.answered;
        once_answers += once.answered;
        assert!(share(once.cut_off, once.started) <= 0.003, "{once:?}");
        assert!(once.cut_off * 4 <= plain.cut_off, "{once:?} {plain:?}");
        assert!(share(once.expired, once.started) <= 0.01, "{once:?}");
    }
    let answers = share(once_answers, plain_answers);
    assert!(answers >= 0.95, "{answers}");
}

/// Guards against refusing a request that can start at once because a slow one would be cut off, and
/// against starting one with less time left than it usually takes.
#[test]
fn starts_at_once() {
    let start = Instant::now();
    let limits = AdmissionLimits::new(&ProfileLimits::default(), SLOTS);
    let mut queue = DeadlineQueue::new(limits);
    let request = |left: Duration, now: Instant| AdmissionRequest {
        class: WorkClass::Short,
        priority: CallPriority::Critical,
        standing: CallStanding::New,
        repeat: RetrySafety::AtMostOnce,
        useful_until: now + left,
        deadline: now + left,
        tenant: None,
    };
    let mut now = start;
    for id in 0..100 {
        queue.offer(id, &request(TIMEOUT, now), now);
        now += if id % 20 == 0 { ms(980) } else { ms(120) };
        queue.release(id, now);
    }
    let (short, _) = queue.offer(200, &request(ms(100), now), now);
    assert_eq!(short, Admission::Refuse(RefusalReason::DeadlineTooClose));
    for id in 300..300 + u64::from(SLOTS) {
        let (admission, _) = queue.offer(id, &request(ms(600), now), now);
        assert_eq!(admission, Admission::Run);
    }
    let (full, _) = queue.offer(400, &request(ms(600), now), now);
    assert_eq!(full, Admission::Refuse(RefusalReason::Overloaded));
}
