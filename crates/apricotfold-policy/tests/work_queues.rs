//! Slots, queues and priorities of a target.

mod support;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, RefusalReason, WorkClass};
use apricotfold_policy::{
    Admission, AdmissionEvent, AdmissionEvents, AdmissionId, AdmissionLimits, AdmissionQueue,
};
use rand::RngExt;
use support::{SEEDS, ms, seeded};

const LONG: WorkClass = WorkClass::Long;
const SHORT: WorkClass = WorkClass::Short;
const LOW: CallPriority = CallPriority::Sheddable;
const NORMAL: CallPriority = CallPriority::Normal;
const HIGH: CallPriority = CallPriority::Critical;

fn limits(slots: u32) -> AdmissionLimits {
    AdmissionLimits {
        slots,
        long_percent: 50,
        short_queue: 3,
        long_queue: 2,
        queue_wait: ms(40),
    }
}

/// Offers a request of normal priority with a distant deadline.
fn offer(queue: &mut AdmissionQueue, id: AdmissionId, class: WorkClass, now: Instant) -> Admission {
    let (admission, events) = queue.offer(id, class, NORMAL, now + ms(10_000), now);
    assert!(events.is_empty(), "{events:?}");
    admission
}

/// Guards against downloads that take every slot, and against targets that never run one.
#[test]
fn long_work_leaves_slots_to_short_work() {
    let now = Instant::now();
    let expected = [(0, 0), (1, 0), (2, 1), (3, 1), (4, 2), (12, 6)];
    for (slots, long_slots) in expected {
        let mut queue = AdmissionQueue::new(limits(slots));
        for id in 0..20 {
            offer(&mut queue, id, LONG, now);
        }
        assert_eq!(queue.long_running(), long_slots, "{slots} slots");
    }
    for (long_percent, long_slots) in [(0, 1), (100, 3)] {
        let mut limits = limits(4);
        limits.long_percent = long_percent;
        assert_eq!(limits.long_slots(), long_slots);
    }
}

/// Guards against a download that takes the last free slot while another one is running, and
/// against downloads that wait indefinitely behind steady short work.
#[test]
fn long_work_waits_for_a_spare_slot() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(limits(4));
    for id in 0..4 {
        assert_eq!(offer(&mut queue, id, SHORT, now), Admission::Run);
    }
    assert_eq!(offer(&mut queue, 10, LONG, now), Admission::Wait);
    assert_eq!(offer(&mut queue, 11, LONG, now), Admission::Wait);
    assert_eq!(offer(&mut queue, 12, SHORT, now), Admission::Wait);
    let start = |id| AdmissionEvents::from_elem(AdmissionEvent::Start(id), 1);
    assert_eq!(queue.release(0, now), start(10));
    assert_eq!(queue.release(1, now), start(12));
    assert!(queue.release(2, now).is_empty());
    assert_eq!(queue.release(3, now), start(11));
}

/// Guards against downloads that wait for a spare slot until they are refused, because steady short
/// work takes each slot that becomes free.
#[test]
fn overdue_long_work_goes_first() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(limits(4));
    assert_eq!(offer(&mut queue, 0, LONG, now), Admission::Run);
    for id in 1..4 {
        assert_eq!(offer(&mut queue, id, SHORT, now), Admission::Run);
    }
    assert_eq!(offer(&mut queue, 10, LONG, now), Admission::Wait);
    let soon = now + ms(10);
    assert_eq!(offer(&mut queue, 11, SHORT, soon), Admission::Wait);
    assert_eq!(queue.release(1, soon)[..], [AdmissionEvent::Start(11)]);
    let late = now + ms(25);
    assert_eq!(offer(&mut queue, 12, SHORT, late), Admission::Wait);
    assert_eq!(queue.release(2, late)[..], [AdmissionEvent::Start(10)]);
}

/// Guards against refusing important calls while less important ones are queued.
#[test]
fn higher_priority_displaces_the_lowest() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(limits(1));
    offer(&mut queue, 0, SHORT, now);
    let mut offer = |id, priority| queue.offer(id, SHORT, priority, now + ms(1_000), now);
    offer(1, LOW);
    offer(2, NORMAL);
    offer(3, HIGH);
    let refusal = AdmissionEvent::Refuse(1, RefusalReason::Overloaded);
    let displaced = AdmissionEvents::from_elem(refusal, 1);
    assert_eq!(offer(4, NORMAL), (Admission::Wait, displaced));
    let full = Admission::Refuse(RefusalReason::QueueFull);
    assert_eq!(offer(5, NORMAL).0, full);
    let order: Vec<_> = [0, 3, 2].map(|id| queue.release(id, now)[0]).into();
    assert_eq!(order, [3, 2, 4].map(AdmissionEvent::Start));
}

/// Guards against queueing requests that cannot be answered in time.
#[test]
fn unmeetable_deadlines_are_refused_at_once() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(limits(1));
    offer(&mut queue, 0, SHORT, now);
    queue.release(0, now + ms(20));
    let now = now + ms(20);
    offer(&mut queue, 1, SHORT, now);
    let mut offer = |id, left| queue.offer(id, SHORT, NORMAL, now + ms(left), now).0;
    let too_late = Admission::Refuse(RefusalReason::DeadlineTooClose);
    assert_eq!(offer(2, 30), too_late);
    assert_eq!(offer(3, 50), Admission::Wait);
    assert_eq!(offer(4, 50), too_late);
    assert_eq!(queue.next_expiry(), Some(now + ms(30)));
    let refusal = AdmissionEvent::Refuse(3, RefusalReason::DeadlineTooClose);
    assert_eq!(queue.expire(now + ms(30)).as_slice(), [refusal]);
}

/// Guards against sending new work to a draining target, and against dropping queued work.
#[test]
fn draining_refuses_only_new_work() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(limits(1));
    offer(&mut queue, 0, SHORT, now);
    offer(&mut queue, 1, SHORT, now);
    queue.set_draining(true);
    let refusal = Admission::Refuse(RefusalReason::Draining);
    assert_eq!(offer(&mut queue, 2, SHORT, now), refusal);
    assert_eq!(queue.load().in_flight, 2);
    assert_eq!(queue.release(0, now).as_slice(), [AdmissionEvent::Start(1)]);
}

/// State of the requests of a queue as the daemon tracks it.
#[derive(Default)]
struct Daemon {
    waiting: HashMap<AdmissionId, Instant>,
    running: HashSet<AdmissionId>,
}

impl Daemon {
    fn apply(&mut self, events: &[AdmissionEvent], now: Instant) {
        for event in events {
            let (AdmissionEvent::Start(id) | AdmissionEvent::Refuse(id, _)) = *event;
            let offered = self.waiting.remove(&id).expect("request is queued");
            assert!(now - offered <= ms(40), "request {id} waited too long");
            if *event == AdmissionEvent::Start(id) {
                self.running.insert(id);
            }
        }
    }
}

/// With random histories, guards against more running requests than slots, long work in the slots
/// left to short work, a request that is decided twice or never, and a wait beyond `queue_wait`.
#[test]
fn every_request_is_decided_once_within_limits() {
    for seed in SEEDS {
        let mut random = seeded(seed);
        let mut now = Instant::now();
        let limits = limits(random.random_range(1..9));
        let mut queue = AdmissionQueue::new(limits);
        let mut daemon = Daemon::default();
        for id in 0..400 {
            now += Duration::from_micros(random.random_range(0..8_000));
            while let Some(at) = queue.next_expiry().filter(|at| *at <= now) {
                daemon.apply(&queue.expire(at), at);
            }
            let class = if random.random_bool(0.3) { LONG } else { SHORT };
            let priority = [LOW, NORMAL, HIGH][random.random_range(0..3)];
            let deadline = now + ms(random.random_range(0..200));
            let (admission, events) = queue.offer(id, class, priority, deadline, now);
            daemon.apply(&events, now);
            match admission {
                Admission::Run => assert!(daemon.running.insert(id)),
                Admission::Wait => assert!(daemon.waiting.insert(id, now).is_none()),
                Admission::Refuse(_) => {}
            }
            let oldest = daemon.running.iter().copied().min();
            if let Some(ended) = oldest.filter(|_| random.random_bool(0.6)) {
                daemon.running.remove(&ended);
                daemon.apply(&queue.release(ended, now), now);
            }
            let oldest = daemon.waiting.keys().copied().min();
            if let Some(gone) = oldest.filter(|_| random.random_bool(0.1)) {
                daemon.waiting.remove(&gone);
                daemon.apply(&queue.cancel(gone, now), now);
            }
            assert_eq!(
                daemon.running.len(),
                queue.running() as usize,
                "seed {seed}"
            );
            assert!(queue.running() <= limits.slots, "seed {seed}");
            assert!(queue.long_running() <= limits.long_slots(), "seed {seed}");
        }
        while let Some(at) = queue.next_expiry() {
            daemon.apply(&queue.expire(at), at);
        }
        assert!(daemon.waiting.is_empty(), "seed {seed}: undecided requests");
    }
}
