//! Service of one target under more demand than it can serve.

mod support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, ProfileLimits, WorkClass};
use apricotfold_policy::{Admission, AdmissionEvent, AdmissionLimits, AdmissionQueue};
use rand::{RngExt, rngs::StdRng};
use support::{ms, seeded};

const SLOTS: u32 = 12;

/// A seeded simulation of one target whose calls run for about 5 ms.
struct Simulation {
    queue: AdmissionQueue,
    /// Arrivals; the index is the id.
    calls: Vec<Instant>,
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    random: StdRng,
    /// Arrival and latency of answered calls.
    answered: Vec<(Instant, Duration)>,
    /// Arrival and wait of refused calls.
    refused: Vec<(Instant, Duration)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            queue: AdmissionQueue::new(AdmissionLimits::new(&ProfileLimits::default(), SLOTS)),
            calls: Vec::new(),
            ends: BinaryHeap::new(),
            random: seeded(seed),
            answered: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Offers calls with an average gap in microseconds.
    fn offer(&mut self, gap: u64, patience: Duration, span: [Instant; 2]) {
        let mut now = span[0];
        while now < span[1] {
            self.advance(now);
            let id = self.calls.len() as u64;
            self.calls.push(now);
            let (class, priority) = (WorkClass::Short, CallPriority::Normal);
            let deadline = now + patience;
            let (admission, mut events) = self.queue.offer(id, class, priority, deadline, now);
            match admission {
                Admission::Run => events.push(AdmissionEvent::Start(id)),
                Admission::Refuse(reason) => events.push(AdmissionEvent::Refuse(id, reason)),
                Admission::Wait => {}
            }
            self.apply(&events, now);
            now += self.spread(gap);
        }
    }

    fn advance(&mut self, now: Instant) {
        loop {
            let end = self.ends.peek().map(|end| end.0.0);
            let next = end.into_iter().chain(self.queue.next_expiry()).min();
            let Some(at) = next.filter(|at| *at <= now) else {
                return;
            };
            let events = if end == Some(at) {
                let Reverse((_, id)) = self.ends.pop().unwrap();
                let arrival = self.calls[usize::try_from(id).unwrap()];
                self.answered.push((arrival, at - arrival));
                self.queue.release(id, at)
            } else {
                self.queue.expire(at)
            };
            self.apply(&events, at);
        }
    }

    fn apply(&mut self, events: &[AdmissionEvent], now: Instant) {
        for event in events {
            match *event {
                AdmissionEvent::Refuse(id, _) => {
                    let arrival = self.calls[usize::try_from(id).unwrap()];
                    self.refused.push((arrival, now - arrival));
                }
                AdmissionEvent::Start(id) => {
                    let end = now + self.spread(5_000);
                    self.ends.push(Reverse((end, id)));
                }
            }
        }
    }

    fn spread(&mut self, micros: u64) -> Duration {
        Duration::from_micros(self.random.random_range(micros / 2..=micros * 3 / 2))
    }
}

/// Guards against a target that, at five times its capacity for 10 s, spends its time on answers
/// that come too late, tells callers late that they are refused, or stays overloaded afterwards.
#[test]
fn goodput_stays_near_capacity() {
    for (seed, patience) in [(1, ms(20)), (2, ms(50)), (3, ms(1_000))] {
        let start = Instant::now();
        let (peak, end) = (start + ms(10_000), start + ms(15_000));
        let mut target = Simulation::new(seed);
        target.offer(83, patience, [start, peak]);
        target.offer(830, patience, [peak, end]);
        let is_good = |call: &&(_, _)| call.0 < peak && call.1 <= patience;
        let good = u32::try_from(target.answered.iter().filter(is_good).count()).unwrap();
        let share = f64::from(good) / f64::from(SLOTS * 10_000 / 5);
        let longest = target.refused.iter().map(|call| call.1).max().unwrap();
        let last = target.refused.iter().map(|call| call.0).max().unwrap() - start;
        println!(
            "patience {patience:?}: goodput {share:.3}, refused after {longest:?} until {last:?}"
        );
        assert!(share >= 0.9, "patience {patience:?}: goodput {share}");
        assert!(longest <= patience.min(ms(50)), "refused after {longest:?}");
        assert!(last <= ms(12_000), "refused at {last:?}");
    }
}
