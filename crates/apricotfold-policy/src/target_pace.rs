//! Adaptive concurrency of the local target. See `docs/design/target-pace.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::{RetrySafety, WorkClass};
use strum::{Display, IntoStaticStr};

/// Lowest limit as a share of the slots. A target at this limit still answers often enough to show
/// within a second whether it takes more.
const MIN_SHARE: f64 = 0.25;

/// Factor by which the limit grows per round until the first rise of the answers' times. Two rounds
/// take a target from the lowest limit to all of its slots.
const FAST_GROWTH: f64 = 2.0;

/// Factor by which the limit shrinks when answers become slower.
const SLOWER_SHRINK: f64 = 0.8;

/// Factor by which the limit shrinks when the target resets, rejects or does not answer.
const FAULT_SHRINK: f64 = 0.7;

/// Ratio of the times of a round to the known level up to which they count as level. The mean of
/// eight times that vary by half of their mean stays under it in nine of ten rounds.
const LEVEL_RATIO: f64 = 1.25;

/// Ratio above which they count as risen. Between both, the limit is held.
const RISE_RATIO: f64 = 1.5;

/// Share of its former value to which the limit must have shrunk before its effect on the times is
/// judged. After a single step, the effect is hardly larger than the variation between two rounds.
const JUDGED_SHARE: f64 = 0.6;

/// Answers in a round after the first rise, at least. During the fast growth, as many as the limit
/// are enough, because a wrong step up is undone by the next round.
const MIN_ROUND: u32 = 8;

/// Answers of a kind of work from which its usual time is learned.
const LEARNING_ANSWERS: u32 = 4;

/// Weight of a later answer in the usual time of its kind, which follows changes of the work itself
/// over some hundred answers.
const USUAL_WEIGHT: f64 = 0.01;

/// Time without growth after a fault; each further fault doubles it.
const FIRST_HOLD: Duration = Duration::from_millis(250);

/// Longest time without growth, so that a target that has stopped failing is used fully again
/// within some seconds.
const MAX_HOLD: Duration = Duration::from_secs(4);

/// Time without a fault after which the next one counts as the first.
const CALM_PERIOD: Duration = Duration::from_secs(10);

/// Work whose times are compared with one another. Requests of different kinds take different
/// times, and a change of their mix must not look like a change of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind {
    /// Work class.
    pub class: WorkClass,
    /// Whether the request may run more than once.
    pub repeat: RetrySafety,
    /// Whether a running request made it.
    pub nested: bool,
}

/// How a run at the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The target answered after this time.
    Answered(Duration),
    /// The target answered with a server error, whose time says nothing about its speed.
    Failed,
    /// The target rejected the request or reset its connection.
    Rejected,
    /// The target had not answered after this time, when the deadline passed.
    Silent(Duration),
}

/// A run that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRun {
    /// Kind of work.
    pub kind: WorkKind,
    /// When the request was sent to the target.
    pub started: Instant,
    /// Requests that ran when it ended, with itself.
    pub running: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// Why the limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PaceReason {
    /// Answers stayed level or became faster while the limit was in use.
    Level,
    /// Answers became slower.
    Slower,
    /// The target rejected or reset a request.
    Rejected,
    /// The target left a request without an answer.
    Silent,
}

/// A change of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceChange {
    /// Limit before.
    pub from: u32,
    /// Limit after.
    pub to: u32,
    /// Why it changed.
    pub reason: PaceReason,
}

/// Usual time of a kind of work: that of its first answers.
#[derive(Clone, Copy, Debug)]
struct UsualTime {
    seconds: f64,
    answers: u32,
}

/// Limit and times before a series of shrinks.
#[derive(Clone, Copy, Debug)]
struct ShrinkStart {
    limit: u32,
    ratio: f64,
}

/// Answers since the last decision.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerRound {
    answers: u32,
    /// Answers whose usual time is known, and the sum of their ratios to it.
    compared: u32,
    ratios: f64,
    peak_running: u32,
}

/// Limit on the concurrent runs at a target, learned from how it answers.
///
/// The limit starts at a quarter of the slots and doubles with each round of answers that are not
/// slower than before. Slower answers shrink it. If that does not make them faster, concurrency is
/// not what makes the target slow: its speed becomes the new level, and the limit grows again.
///
/// It depends on nothing but ended runs: neither time since the start, nor health checks, nor what
/// the target announces about itself make it grow.
#[derive(Clone, Debug)]
pub struct TargetPace {
    slots: u32,
    limit: u32,
    /// Whether growth is by one per round: after the first rise or fault.
    careful: bool,
    /// Times relative to the usual ones that count as level.
    level: f64,
    /// Times of the last round relative to the usual ones.
    current: f64,
    usual: HashMap<WorkKind, UsualTime>,
    round: AnswerRound,
    /// Runs that started earlier say nothing about the current limit.
    changed: Option<Instant>,
    /// State before the shrinks whose effect is not known yet.
    before_shrink: Option<ShrinkStart>,
    faults: u32,
    last_fault: Option<Instant>,
    hold_until: Option<Instant>,
}

impl TargetPace {
    /// Creates the limit of a target of which nothing is known but its slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: min_limit(slots),
            careful: false,
            level: 1.0,
            current: 1.0,
            usual: HashMap::new(),
            round: AnswerRound::default(),
            changed: None,
            before_shrink: None,
            faults: 0,
            last_fault: None,
            hold_until: None,
        }
    }

    /// Returns the number of requests that may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Applies another number of slots of the same target.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.clamp(min_limit(slots), slots);
    }

    /// Takes an ended run into account. Returns the change of the limit, if any.
    pub fn record(&mut self, run: EndedRun, now: Instant) -> Option<PaceChange> {
        let precedes = |event: Option<Instant>| event.is_some_and(|event| run.started < event);
        match run.end {
            RunEnd::Answered(_) if precedes(self.changed) => None,
            RunEnd::Answered(service) => self.record_answer(&run, service, now),
            // Requests that ran at the same time fail for the same cause, which counts once.
            RunEnd::Rejected | RunEnd::Silent(_) if precedes(self.last_fault) => None,
            RunEnd::Rejected => self.record_fault(run.running, PaceReason::Rejected, now),
            RunEnd::Silent(elapsed) if self.is_late(run.kind, elapsed) => {
                self.record_fault(run.running, PaceReason::Silent, now)
            }
            // A broken target often fails faster than it works; that must not let the limit grow.
            RunEnd::Failed | RunEnd::Silent(_) => None,
        }
    }

    fn record_answer(
        &mut self,
        run: &EndedRun,
        service: Duration,
        now: Instant,
    ) -> Option<PaceChange> {
        let ratio = self.compare(run.kind, service.as_secs_f64());
        let round = &mut self.round;
        round.answers += 1;
        round.peak_running = round.peak_running.max(run.running);
        if let Some(ratio) = ratio {
            round.compared += 1;
            round.ratios += ratio;
        }
        let needed = if self.careful {
            self.limit.max(MIN_ROUND)
        } else {
            self.limit
        };
        if round.answers < needed {
            return None;
        }
        let round = std::mem::take(&mut self.round);
        self.decide(&round, now)
    }

    /// Returns whether an answer is overdue; callers with little time left give up before that.
    fn is_late(&self, kind: WorkKind, elapsed: Duration) -> bool {
        let usual = self.usual.get(&kind);
        usual.is_none_or(|usual| elapsed.as_secs_f64() > usual.seconds * self.level * RISE_RATIO)
    }

    /// Returns the ratio of a time to the usual one of its kind; `None` while that is being learned.
    fn compare(&mut self, kind: WorkKind, seconds: f64) -> Option<f64> {
        // Usual times follow the work, not the target: a rise of all times at once must not hide in
        // them.
        let seconds_at_level = seconds / self.current;
        let usual = self.usual.entry(kind).or_insert(UsualTime {
            seconds: seconds_at_level,
            answers: 0,
        });
        usual.answers = usual.answers.saturating_add(1);
        let learning = usual.answers <= LEARNING_ANSWERS;
        let ratio = (!learning && usual.seconds > 0.0).then(|| seconds / usual.seconds);
        let weight = (1.0 / f64::from(usual.answers)).max(USUAL_WEIGHT);
        let weight = if learning { weight } else { USUAL_WEIGHT };
        usual.seconds += (seconds_at_level - usual.seconds) * weight;
        ratio
    }

    fn decide(&mut self, round: &AnswerRound, now: Instant) -> Option<PaceChange> {
        let in_use = round.peak_running >= self.limit;
        let ratio = if round.compared == 0 {
            self.current
        } else {
            round.ratios / f64::from(round.compared)
        };
        self.current = ratio;
        if self.is_unaffected(ratio) {
            self.level = ratio;
            self.before_shrink = None;
        }
        let rise = ratio / self.level;
        if rise < 1.0 {
            // Halfway, because a single fast round may be chance.
            self.level = f64::midpoint(self.level, ratio);
        }
        if rise > RISE_RATIO {
            if !in_use {
                // Few requests run, so the rise is not due to them.
                self.level = ratio;
                return None;
            }
            self.careful = true;
            let limit = self.limit;
            let change = self.change(shrunk(limit, SLOWER_SHRINK), PaceReason::Slower, now);
            // A series begins with its slowest round: the first one after a rise still has answers
            // from before it.
            let slowest = self.before_shrink.map_or(0.0, |before| before.ratio);
            if change.is_some() && ratio >= slowest {
                self.before_shrink = Some(ShrinkStart { limit, ratio });
            }
            return change;
        }
        self.before_shrink = None;
        let held = self.hold_until.is_some_and(|until| now < until);
        if !in_use || held || rise > LEVEL_RATIO {
            return None;
        }
        let grown = if self.careful {
            self.limit.saturating_add(1)
        } else {
            grown(self.limit, FAST_GROWTH)
        };
        self.change(grown, PaceReason::Level, now)
    }

    /// Returns whether the last shrinks have left the times as they were. A saturated target becomes
    /// faster in proportion; half of that counts as an effect.
    fn is_unaffected(&self, ratio: f64) -> bool {
        let lowest = self.limit == min_limit(self.slots);
        self.before_shrink.is_some_and(|before| {
            let share = f64::from(self.limit) / f64::from(before.limit.max(1));
            let judged = lowest || share <= JUDGED_SHARE;
            judged && ratio / before.ratio > f64::midpoint(1.0, share)
        })
    }

    fn record_fault(
        &mut self,
        running: u32,
        reason: PaceReason,
        now: Instant,
    ) -> Option<PaceChange> {
        let calm = self
            .last_fault
            .is_none_or(|last| now.saturating_duration_since(last) >= CALM_PERIOD);
        self.faults = if calm {
            1
        } else {
            self.faults.saturating_add(1)
        };
        self.last_fault = Some(now);
        // At the fifth doubling the longest time is reached; the cap keeps the shift in range.
        let hold = FIRST_HOLD * (1 << (self.faults - 1).min(5));
        self.hold_until = Some(now + hold.min(MAX_HOLD));
        self.careful = true;
        self.before_shrink = None;
        self.round = AnswerRound::default();
        // A fault while few requests run is hardly due to their number.
        let base = running.clamp(self.limit.div_ceil(2), self.limit);
        self.change(shrunk(base, FAULT_SHRINK), reason, now)
    }

    fn change(&mut self, limit: u32, reason: PaceReason, now: Instant) -> Option<PaceChange> {
        let from = self.limit;
        let to = limit.clamp(min_limit(self.slots), self.slots);
        if from == to {
            return None;
        }
        self.limit = to;
        self.changed = Some(now);
        Some(PaceChange { from, to, reason })
    }
}

/// Returns the lowest limit of a target: 1 or more unless it has no slots.
fn min_limit(slots: u32) -> u32 {
    grown(slots, MIN_SHARE).max(1).min(slots)
}

fn grown(limit: u32, factor: f64) -> u32 {
    to_limit((f64::from(limit) * factor).ceil())
}

/// Returns a limit that is lower by at least 1.
fn shrunk(limit: u32, factor: f64) -> u32 {
    to_limit((f64::from(limit) * factor).floor())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and limits are not negative"
)]
fn to_limit(value: f64) -> u32 {
    value as u32
}
