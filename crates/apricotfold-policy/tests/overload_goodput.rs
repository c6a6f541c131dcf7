//! Goodput of one target under overload.

mod support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, ProfileLimits, WorkClass};
use apricotfold_policy::{Admission, AdmissionEvent, AdmissionLimits, AdmissionQueue};
use rand::{RngExt, rngs::StdRng};
use support::{ms, seeded};

const SLOTS: u32 = 12;

/// Seeded simulation of one target whose calls run for about 5 ms.
struct Simulation {
    queue: AdmissionQueue,
    /// Arrival time of each call, indexed by call id.
    calls: Vec<Instant>,
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    random: StdRng,
    /// Arrival time and latency of answered calls.
    answered: Vec<(Instant, Duration)>,
    /// Arrival time of refused calls and time until the refusal.
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

    /// Offers calls within `span` with an average gap in microseconds.
    fn offer(&mut self, gap: u64, timeout: Duration, span: [Instant; 2]) {
        let mut now = span[0];
        while now < span[1] {
            self.advance(now);
            let id = self.calls.len() as u64;
            self.calls.push(now);
            let (class, priority) = (WorkClass::Short, CallPriority::Normal);
            let deadline = now + timeout;
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

/// Guards against a target that, at five times its capacity for 10 s, spends its time on late
/// answers, delays refusals, or remains overloaded afterwards.
#[test]
fn goodput_stays_near_capacity() {
    for (seed, timeout) in [(1, ms(20)), (2, ms(50)), (3, ms(1_000))] {
        let start = Instant::now();
        let (peak, end) = (start + ms(10_000), start + ms(15_000));
        let mut target = Simulation::new(seed);
        target.offer(83, timeout, [start, peak]);
        target.offer(830, timeout, [peak, end]);
        let is_good = |call: &&(_, _)| call.0 < peak && call.1 <= timeout;
        let good = u32::try_from(target.answered.iter().filter(is_good).count()).unwrap();
        let share = f64::from(good) / f64::from(SLOTS * 10_000 / 5);
        let longest = target.refused.iter().map(|call| call.1).max().unwrap();
        let last = target.refused.iter().map(|call| call.0).max().unwrap() - start;
        println!(
            "timeout {timeout:?}: goodput {share:.3}, refused after {longest:?} until {last:?}"
        );
        assert!(share >= 0.9, "timeout {timeout:?}: goodput {share}");
        assert!(longest <= timeout.min(ms(50)), "refused after {longest:?}");
        assert!(last <= ms(12_000), "refused at {last:?}");
    }
}
