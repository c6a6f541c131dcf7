//! Adaptive concurrency of the local target, against modelled targets with full demand.

use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, ProfileLimits, RetrySafety, WorkClass};
use apricotfold_policy::{
    Admission, AdmissionEvent, AdmissionLimits, AdmissionPolicy, AdmissionRequest, CallStanding,
    DeadlineQueue, EndedRun, RunEnd, TargetPace, WorkKind,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 9;
/// A quarter of the slots, rounded up.
const LOWEST: u32 = 3;
/// Usual service time in milliseconds.
const SERVICE: f64 = 120.0;
const TIMEOUT: Duration = Duration::from_secs(1);
const SHORT: WorkKind = WorkKind {
    class: WorkClass::Short,
    repeat: RetrySafety::Idempotent,
    nested: false,
};

/// What a modelled target does with a request.
#[derive(Clone, Copy)]
enum Reaction {
    /// Answers after a multiple of the usual time.
    Slow(f64),
    /// Answers at once with a server error.
    Fail,
    /// Resets the connection at once.
    Reset,
    /// Never answers.
    Ignore,
}

/// Time of a target that can run `cores` requests at full speed.
fn shared(running: u32, cores: u32) -> Reaction {
    Reaction::Slow((f64::from(running) / f64::from(cores)).max(1.0))
}

struct Run {
    started: Instant,
    ends: Instant,
    end: RunEnd,
}

/// A target, its pace, and callers that always have one more request for it.
struct Model {
    pace: TargetPace,
    now: Instant,
    running: Vec<Run>,
    random: StdRng,
    peak: u32,
    answered: u32,
    changes: u32,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            pace: TargetPace::new(SLOTS),
            now: Instant::now(),
            running: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            peak: 0,
            answered: 0,
            changes: 0,
        }
    }

    fn step(&mut self, react: impl Fn(u32) -> Reaction) {
        self.now += Duration::from_millis(1);
        while let Some(index) = self.running.iter().position(|run| run.ends <= self.now) {
            let running = u32::try_from(self.running.len()).unwrap();
            let run = self.running.swap_remove(index);
            self.answered += u32::from(matches!(run.end, RunEnd::Answered(_)));
            let ended = EndedRun {
                kind: SHORT,
                started: run.started,
                running,
                end: run.end,
            };
            self.changes += u32::from(self.pace.record(ended, self.now).is_some());
        }
        // A request that fails at once comes back after a moment, and only once at a time.
        while self.running.len() < self.pace.limit() as usize {
            let running = u32::try_from(self.running.len()).unwrap() + 1;
            let spread = self.random.random_range(0.7..1.3);
            let (time, end) = match react(running) {
                Reaction::Slow(factor) => {
                    let time = Duration::from_secs_f64(SERVICE * factor * spread / 1_000.0);
                    if time < TIMEOUT {
                        (time, RunEnd::Answered(time))
                    } else {
                        (TIMEOUT, RunEnd::Silent(TIMEOUT))
                    }
                }
                Reaction::Fail => (Duration::from_millis(5), RunEnd::Failed),
                Reaction::Reset => (Duration::from_millis(20), RunEnd::Rejected),
                Reaction::Ignore => (TIMEOUT, RunEnd::Silent(TIMEOUT)),
            };
            let started = self.now;
            let ends = started + time;
            self.running.push(Run { started, ends, end });
            self.peak = self.peak.max(running);
        }
    }

    fn run(&mut self, millis: u32, react: impl Fn(u32) -> Reaction) {
        for _ in 0..millis {
            self.step(&react);
        }
    }

    /// Returns the milliseconds until all slots are in use.
    fn time_to_full(&mut self, react: impl Fn(u32) -> Reaction) -> u32 {
        let mut millis = 0;
        while self.pace.limit() < SLOTS {
            self.step(&react);
            millis += 1;
            assert!(millis < 60_000, "limit {} for a minute", self.pace.limit());
        }
        millis
    }
}

fn usual(_: u32) -> Reaction {
    Reaction::Slow(1.0)
}

/// Guards against a cold target that is flooded at once, or held back until it is warm.
#[test]
fn cold_start() {
    for (seed, cold_millis) in [(1, 3_000), (2, 30_000)] {
        let mut model = Model::new(seed);
        model.step(|_| Reaction::Slow(2.0));
        assert_eq!(model.peak, LOWEST);
        let millis = model.time_to_full(|_| Reaction::Slow(2.0));
        assert!(millis < 1_500, "full after {millis} ms");
        model.run(cold_millis - millis, |_| Reaction::Slow(2.0));
        model.run(5_000, usual);
        assert_eq!(model.pace.limit(), SLOTS);
    }
}

/// Guards against a target that is flooded by what piled up while it did not answer, and against an
/// idle one that loses its limit.
#[test]
fn recovery_after_silence() {
    let mut model = Model::new(3);
    model.time_to_full(usual);
    model.run(4_000, |_| Reaction::Ignore);
    assert!(model.pace.limit() <= 4, "limit {}", model.pace.limit());
    let millis = model.time_to_full(usual);
    assert!(millis < 8_000, "full after {millis} ms");
    model.running.clear();
    model.now += Duration::from_mins(1);
    model.run(2_000, usual);
    assert_eq!(model.pace.limit(), SLOTS);
}

/// Guards against callers with little time left whose leaving counts as the target's silence.
#[test]
fn early_timeouts() {
    let mut model = Model::new(4);
    model.time_to_full(usual);
    let elapsed = Duration::from_millis(60);
    let run = EndedRun {
        kind: SHORT,
        started: model.now,
        running: SLOTS,
        end: RunEnd::Silent(elapsed),
    };
    assert!(model.pace.record(run, model.now + elapsed).is_none());
}

/// Guards against a target that stays overloaded by its own requests, and against one that is kept
/// low after the overload is over. In few of the runs, chance makes the overload look like a slow
/// target.
#[test]
fn overload_and_back() {
    let mut high = 0;
    for seed in 10..210 {
        let mut model = Model::new(seed);
        model.time_to_full(usual);
        model.run(6_000, |running| shared(running, 3));
        let limit = model.pace.limit();
        high += u32::from(limit > 6);
        let millis = model.time_to_full(usual);
        assert!(millis < 5_000, "seed {seed}: full after {millis} ms");
    }
    assert!(high <= 10, "{high} of 200 stayed high");
}

/// Guards against trust in anything but answers: a target that reports itself as ready while it
/// rejects its requests or fails them at once, and one that does so for a moment only.
#[test]
fn false_health() {
    for reaction in [Reaction::Reset, Reaction::Fail] {
        let mut model = Model::new(5);
        for _ in 0..20 {
            model.pace.set_slots(SLOTS);
            model.run(250, |_| reaction);
        }
        assert_eq!(model.peak, LOWEST);
        model.run(30, usual);
        let millis = model.time_to_full(usual);
        assert!(millis < 8_000, "full after {millis} ms");
    }
}

/// Guards against a slow target that is held low for ever, although fewer requests do not make it
/// faster.
#[test]
fn stays_slow() {
    for seed in 20..220 {
        let mut model = Model::new(seed);
        model.time_to_full(usual);
        model.run(2_000, usual);
        let before = model.changes;
        model.run(10_000, |_| Reaction::Slow(2.5));
        assert!(model.changes > before, "seed {seed}: the rise was missed");
        let millis = model.time_to_full(|_| Reaction::Slow(2.5));
        assert!(millis < 2_000, "seed {seed}: full after {millis} ms");
    }
}

/// Guards against a flapping target that is filled anew in each of its good moments.
#[test]
fn flapping_target() {
    let mut model = Model::new(6);
    model.time_to_full(usual);
    for round in 0..20 {
        model.run(500, |_| Reaction::Reset);
        model.run(500, usual);
        if round >= 5 {
            assert!(model.pace.limit() <= 4, "round {round}");
        }
    }
    let millis = model.time_to_full(usual);
    assert!(millis < 10_000, "full after {millis} ms");
}

/// Guards against ten new targets that take a flood of requests, stay idle, or change the limits of
/// the seventy that were there.
#[test]
fn ten_among_seventy() {
    let mut known: Vec<Model> = (0..70).map(Model::new).collect();
    for model in &mut known {
        model.time_to_full(usual);
    }
    let mut added: Vec<Model> = (100..110).map(Model::new).collect();
    let mut full_after = Vec::new();
    for millis in 0..3_000 {
        for model in &mut known {
            model.step(usual);
            assert_eq!(model.pace.limit(), SLOTS);
        }
        for model in &mut added {
            let before = model.pace.limit();
            model.step(|_| Reaction::Slow(2.0));
            if before < SLOTS && model.pace.limit() == SLOTS {
                full_after.push(millis);
            }
        }
        if millis < 100 {
            assert!(added.iter().all(|model| model.peak == LOWEST));
        }
    }
    assert_eq!(full_after.len(), 10, "{full_after:?}");
    assert!(full_after.iter().all(|millis| *millis < 1_500));
}

/// Guards against a mesh whose targets are all new and wait for one another, or of which some get
/// ahead.
#[test]
fn all_new() {
    let mut times: Vec<u32> = (0..80)
        .map(|seed| Model::new(seed).time_to_full(usual))
        .collect();
    times.sort_unstable();
    assert!(times[79] < 700, "{times:?}");
    assert!(times[79] < times[0] * 3, "{times:?}");
}

/// Guards against a node that has just started and takes a warm target for a weak one, or fills a
/// target that is weaker than its slots without looking.
#[test]
fn node_without_past() {
    let millis = Model::new(7).time_to_full(usual);
    assert!(millis < 700, "full after {millis} ms");
    for seed in 30..230 {
        let mut model = Model::new(seed);
        model.run(10_000, |running| shared(running, 3));
        // Three requests per usual time for ten seconds, less a tenth for its steps.
        let possible = 3.0 * 10_000.0 / SERVICE;
        assert!(f64::from(model.answered) > possible * 0.9);
        assert!(model.pace.limit() <= 6, "limit {}", model.pace.limit());
    }
}

/// Guards against another mix of requests being taken for another speed of the target.
#[test]
fn mix_changes() {
    let mut pace = TargetPace::new(SLOTS);
    let nested = WorkKind {
        nested: true,
        ..SHORT
    };
    let mut now = Instant::now();
    for round in 0..400 {
        let (kind, millis) = if round % 20 < 10 {
            (nested, 30)
        } else {
            (SHORT, 140)
        };
        let service = Duration::from_millis(millis);
        let started = now;
        now += service;
        for _ in 0..SLOTS {
            let run = EndedRun {
                kind,
                started,
                running: SLOTS,
                end: RunEnd::Answered(service),
            };
            pace.record(run, now);
        }
        assert!(round < 4 || pace.limit() == SLOTS, "round {round}");
    }
}

/// Guards against limits outside of the slots, also for targets with one slot or none.
#[test]
fn few_slots() {
    for slots in 0..4 {
        let mut pace = TargetPace::new(slots);
        let mut now = Instant::now();
        for step in 0..200 {
            let end = if step % 7 == 0 {
                RunEnd::Rejected
            } else {
                RunEnd::Answered(Duration::from_millis(50))
            };
            let run = EndedRun {
                kind: SHORT,
                started: now,
                running: pace.limit(),
                end,
            };
            now += Duration::from_millis(50);
            pace.record(run, now);
            assert!(pace.limit() <= slots && pace.limit() >= slots.min(1));
        }
    }
}

/// Guards against a limit that the queue does not hold, and waiting requests that stay when it
/// grows.
#[test]
fn queue_holds_limit() {
    let rule = ProfileLimits {
        slots: Some(SLOTS),
        long_percent: 75,
        short_queue: 256,
        long_queue: 64,
        queue_wait: TIMEOUT,
    };
    let mut queue = DeadlineQueue::new(AdmissionLimits::new(&rule, SLOTS));
    let now = Instant::now();
    let offer = AdmissionRequest {
        repeat: apricotfold_model::RetrySafety::Idempotent,
        tenant: None,
        class: WorkClass::Short,
        priority: CallPriority::Normal,
        standing: CallStanding::New,
        useful_until: now + TIMEOUT,
        deadline: now + TIMEOUT,
    };
    queue.set_run_limit(Some(2), now);
    let admissions: Vec<_> = (0..4).map(|id| queue.offer(id, &offer, now).0).collect();
    let (run, wait) = (Admission::Run, Admission::Wait);
    assert_eq!(admissions, [run, run, wait, wait]);
    let events = queue.set_run_limit(Some(3), now);
    assert_eq!(events.as_slice(), [AdmissionEvent::Start(2)]);
    let events = queue.set_run_limit(None, now);
    assert_eq!(events.as_slice(), [AdmissionEvent::Start(3)]);
}
