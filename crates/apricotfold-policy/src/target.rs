//! State that a balancer keeps about one target.

use std::time::{Duration, Instant};

use apricotfold_model::NodeId;

use crate::decay::remaining_share;
use crate::{LoadReport, LocalityTier, TargetEntry};

/// Time constant of the latency average and of its decay while a target is not used. A target with
/// ten times the latency of the others is tried again after about 12 s.
const LATENCY_WINDOW: Duration = Duration::from_secs(5);

/// Time constant with which the weight of a load report decays. Reports arrive seconds late.
const REPORT_WINDOW: Duration = Duration::from_secs(1);

/// Time in which a new target ramps up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Share of traffic that a target gets when it has just appeared. It is above zero so that the
/// target can warm up.
const MIN_WARMTH: f64 = 0.1;

/// Duration of the first quarantine; it doubles with each further one until the target answers.
const FIRST_QUARANTINE: Duration = Duration::from_secs(1);

/// Maximum duration of a quarantine, so that a recovered target is used again within half a minute.
const MAX_QUARANTINE: Duration = Duration::from_secs(30);

/// Time after which a target may be tried again although its last trial has not ended.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Latency average that rises to a slow sample at once and falls slowly, so that a target that
/// becomes slow loses its traffic after one answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyAverage {
    sample: Option<(f64, Instant)>,
}

impl LatencyAverage {
    pub(crate) fn record(&mut self, latency: Duration, now: Instant) {
        let latency = latency.as_secs_f64();
        let value = match self.sample {
            Some((value, updated)) if value > latency => {
                let age = now.saturating_duration_since(updated);
                let share = remaining_share(age, LATENCY_WINDOW);
                value * share + latency * (1.0 - share)
            }
            _ => latency,
        };
        self.sample = Some((value, now));
    }

    /// Uses the duration of an attempt without an answer as a lower bound.
    pub(crate) fn raise(&mut self, latency: Duration, now: Instant) {
        let known = self.sample.map_or(0.0, |(value, _)| value);
        if latency.as_secs_f64() > known {
            self.record(latency, now);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: LoadReport,
    /// Reported requests of other nodes.
    others: u32,
    received: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: Instant,
    last_trial: Option<Instant>,
}

/// Quarantine state of a target, best first. A target is used only if no target with a better state
/// is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QuarantineState {
    /// Not quarantined, or its quarantine has ended and it is due for a trial.
    Usable,
    /// Its quarantine has ended, and the attempt that tries it has not been answered yet.
    InTrial,
    Quarantined,
}

#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) node: NodeId,
    pub(crate) tier: LocalityTier,
    pub(crate) draining: bool,
    pub(crate) in_flight: u32,
    /// Requests of this node in flight of other work classes, which another balancer counts.
    pub(crate) other_class_in_flight: u32,
    /// Number of timeouts and lost connections since the last answer.
    pub(crate) failures: u32,
    slots: u32,
    added: Instant,
    latency: LatencyAverage,
    /// Time since when attempts have been in flight without any of them ending.
    waiting_since: Option<Instant>,
    report: Option<ReceivedReport>,
    quarantine: Option<Quarantine>,
    /// Number of quarantines since the last answer.
    quarantines: u32,
    refused_until: Option<Instant>,
}

impl TargetState {
    pub(crate) fn new(entry: TargetEntry, now: Instant) -> Self {
        Self {
            node: entry.node,
            tier: entry.tier,
            draining: entry.draining,
            in_flight: 0,
            other_class_in_flight: 0,
            failures: 0,
            slots: entry.slots.max(1),
            added: now,
            latency: LatencyAverage::default(),
            waiting_since: None,
            report: None,
            quarantine: None,
            quarantines: 0,
            refused_until: None,
        }
    }

    pub(crate) fn update(&mut self, entry: &TargetEntry) {
        self.tier = entry.tier;
        self.draining = entry.draining;
        self.slots = entry.slots.max(1);
    }

    pub(crate) fn start(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.waiting_since = Some(now);
        }
        self.in_flight += 1;
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.last_trial = Some(now);
        }
    }

    pub(crate) fn end(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.waiting_since = (self.in_flight > 0).then_some(now);
    }

    pub(crate) fn record_latency(&mut self, latency: Duration, now: Instant) {
        self.latency.record(latency, now);
    }

    pub(crate) fn raise_latency(&mut self, latency: Duration, now: Instant) {
        self.latency.raise(latency, now);
    }

    /// Stores a report that arrived with an attempt which `in_flight` still includes.
    pub(crate) fn record_report(&mut self, report: LoadReport, now: Instant) {
        self.report = Some(ReceivedReport {
            report,
            others: report
                .in_flight
                .saturating_sub(self.in_flight + self.other_class_in_flight),
            received: now,
        });
    }

    /// Records that the target's node refused a request for lack of capacity.
    pub(crate) fn record_full(&mut self, now: Instant) {
        self.report = Some(ReceivedReport {
            report: LoadReport {
                in_flight: self.slots,
                slots: self.slots,
            },
            others: self.slots,
            received: now,
        });
    }

    pub(crate) fn refuse_until(&mut self, until: Instant) {
        self.refused_until = Some(until);
    }

    /// Estimated number of requests at the target, running or queued.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight + self.other_class_in_flight) + self.reported_load(now)
    }

    /// Returns whether the target may receive new work: it is not draining and has not recently
    /// refused as draining.
    pub(crate) fn is_accepting(&self, now: Instant) -> bool {
        !self.draining && self.refused_until.is_none_or(|until| until <= now)
    }

    pub(crate) fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantine
            .is_some_and(|quarantine| quarantine.until > now)
    }

    pub(crate) fn quarantine_state(&self, now: Instant) -> QuarantineState {
        let Some(quarantine) = self.quarantine else {
            return QuarantineState::Usable;
        };
        if quarantine.until > now {
            return QuarantineState::Quarantined;
        }
        let in_trial = quarantine
            .last_trial
            .is_some_and(|trial| now.saturating_duration_since(trial) < TRIAL_INTERVAL);
        if in_trial {
            QuarantineState::InTrial
        } else {
            QuarantineState::Usable
        }
    }

    /// Quarantines the target for a time that doubles with each quarantine since the last answer.
    /// Returns the end of the quarantine.
    pub(crate) fn enter_quarantine(&mut self, now: Instant) -> Instant {
        let factor = 1_u32.checked_shl(self.quarantines).unwrap_or(u32::MAX);
        let time = FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE);
        let until = now + time;
        self.quarantines += 1;
        self.quarantine = Some(Quarantine {
            until,
            last_trial: None,
        });
        until
    }

    /// Ends the quarantine. Returns whether there was one.
    pub(crate) fn release(&mut self) -> bool {
        self.failures = 0;
        self.quarantines = 0;
        self.quarantine.take().is_some()
    }

    /// Time at which the quarantine ends; `None` if there is none.
    pub(crate) fn quarantine_end(&self) -> Option<Instant> {
        self.quarantine.map(|quarantine| quarantine.until)
    }

    /// Expected latency in seconds. The average of an idle target decays, so that a target with an
    /// old bad average is tried again; while an attempt is in flight it does not, so that only one
    /// is sent.
    pub(crate) fn expected_latency(&self, now: Instant) -> Option<f64> {
        let (value, updated) = self.latency.sample?;
        if self.in_flight > 0 {
            return Some(value);
        }
        let age = now.saturating_duration_since(updated);
        Some(value * remaining_share(age, LATENCY_WINDOW))
    }

    /// Seconds for which attempts have been in flight without any of them ending, a lower bound of
    /// the latency.
    pub(crate) fn waited(&self, now: Instant) -> f64 {
        self.waiting_since.map_or(0.0, |since| {
            now.saturating_duration_since(since).as_secs_f64()
        })
    }

    /// Requests of other nodes that the target's node reported, discounted by the age of the
    /// report.
    pub(crate) fn reported_load(&self, now: Instant) -> f64 {
        self.report.map_or(0.0, |seen| {
            let age = now.saturating_duration_since(seen.received);
            f64::from(seen.others) * remaining_share(age, REPORT_WINDOW)
        })
    }

    pub(crate) fn last_report(&self) -> Option<LoadReport> {
        self.report.map(|seen| seen.report)
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.slots)
    }

    /// Progress of the slow start, from [`MIN_WARMTH`] to 1.
    pub(crate) fn warmth(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.added);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(MIN_WARMTH, 1.0)
    }
}
