//! What a node knows about the load, speed and reach of one target.

use std::time::{Duration, Instant};

use apricotfold_model::CallPriority;

use crate::CallStanding;
use crate::decay::remaining_share;
use crate::priority_index;

/// Time constant with which reported load of other nodes loses its meaning: about one service time.
const REPORT_WINDOW: Duration = Duration::from_millis(700);

/// Time constant with which the faults of an unused target are forgotten, so that it is tried again.
const FAULT_WINDOW: Duration = Duration::from_secs(3);

/// Length of the first exclusion of an unreachable target; each further one doubles it.
const FIRST_EXCLUSION: Duration = Duration::from_millis(300);

/// Longest exclusion, so that a target that returns is found within about two seconds.
const MAX_EXCLUSION: Duration = Duration::from_secs(2);

/// Load and speed of a target, as its node reports them with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// How long work takes on the target's machine at present, in percent of the usual time.
    pub pace: u32,
    /// Expected waits of first tries by priority, the least urgent first, in milliseconds.
    pub waits: [u32; 3],
    /// Expected waits of calls that running requests make, likewise.
    pub nested_waits: [u32; 3],
    /// Expected wait of bulk for the link of the target's machine, in milliseconds.
    pub link_wait: u32,
    /// Time that 100 KB occupy that link, in milliseconds; 0 where it is not known.
    pub link_time: u32,
}

impl InstanceReport {
    /// Expected wait of a request that arrives now.
    pub(crate) fn wait(&self, priority: CallPriority, standing: CallStanding) -> f64 {
        let waits = match standing {
            CallStanding::New | CallStanding::Returned => &self.waits,
            CallStanding::Nested => &self.nested_waits,
        };
        seconds(waits[priority_index(priority)])
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct SeenReport {
    pub(crate) report: InstanceReport,
    /// Reported requests that are not this node's own.
    pub(crate) others: f64,
    /// Own requests in flight when it arrived.
    pub(crate) own: u32,
    pub(crate) received: Instant,
}

/// What a node knows about the load and reach of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetLoad {
    pub(crate) in_flight: u32,
    pub(crate) waiting_since: Option<Instant>,
    pub(crate) slowness: f64,
    /// Share of requests that the target rejects or fails at.
    pub(crate) faults: f64,
    pub(crate) report: Option<SeenReport>,
    pub(crate) failures: u32,
    pub(crate) exclusions: u32,
    pub(crate) excluded_until: Option<Instant>,
    pub(crate) full_until: Option<Instant>,
    pub(crate) used: Instant,
}

impl TargetLoad {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            waiting_since: None,
            slowness: 1.0,
            faults: 0.0,
            report: None,
            failures: 0,
            exclusions: 0,
            excluded_until: None,
            full_until: None,
            used: now,
        }
    }

    pub(crate) fn others(&self, now: Instant) -> f64 {
        self.report.map_or(0.0, |seen| {
            let age = now.saturating_duration_since(seen.received);
            seen.others * remaining_share(age, REPORT_WINDOW)
        })
    }

    /// Momentary slowness of the machine, which fades to the usual as the report ages.
    pub(crate) fn pace(&self, now: Instant) -> f64 {
        self.report.map_or(1.0, |seen| {
            let age = now.saturating_duration_since(seen.received);
            let reported = f64::from(seen.report.pace.max(1)) / 100.0;
            1.0 + (reported - 1.0) * remaining_share(age, REPORT_WINDOW)
        })
    }

    /// Wait that the target's node reported for a priority, which fades as the report ages.
    pub(crate) fn reported_wait(
        &self,
        priority: CallPriority,
        standing: CallStanding,
        now: Instant,
    ) -> Option<f64> {
        let seen = self.report?;
        let age = now.saturating_duration_since(seen.received);
        let wait = seen.report.wait(priority, standing);
        Some(wait * remaining_share(age, REPORT_WINDOW))
    }

    /// What the target's node reported last.
    pub(crate) fn latest_report(&self) -> Option<InstanceReport> {
        self.report.map(|seen| seen.report)
    }

    /// Weight of what the target's node reported last, which falls as the report ages.
    pub(crate) fn report_weight(&self, now: Instant) -> f64 {
        self.report.map_or(0.0, |seen| {
            let age = now.saturating_duration_since(seen.received);
            remaining_share(age, REPORT_WINDOW)
        })
    }

    /// Own requests that were sent after the report was made and are not part of it.
    pub(crate) fn sent_since_report(&self) -> f64 {
        let known = self.report.map_or(0, |seen| seen.own);
        f64::from(self.in_flight.saturating_sub(known))
    }

    /// Share of rejected and failed requests to expect.
    pub(crate) fn expected_faults(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.used);
        self.faults * remaining_share(age, FAULT_WINDOW)
    }

    pub(crate) fn is_excluded(&self, now: Instant) -> bool {
        self.excluded_until.is_some_and(|until| until > now)
    }

    pub(crate) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| until > now)
    }

    pub(crate) fn exclude(&mut self, now: Instant) {
        let factor = 1_u32.checked_shl(self.exclusions).unwrap_or(u32::MAX);
        let time = FIRST_EXCLUSION.saturating_mul(factor).min(MAX_EXCLUSION);
        self.exclusions += 1;
        self.excluded_until = Some(now + time);
    }
}

/// Time for which a target has answered nothing beyond what its work takes.
pub(crate) fn stall_time(target: &TargetLoad, service: f64, now: Instant) -> f64 {
    let silent = target.waiting_since.map_or(0.0, |since| {
        now.saturating_duration_since(since).as_secs_f64()
    });
    (silent - 2.0 * service).max(0.0)
}

pub(crate) fn seconds(millis: u32) -> f64 {
    f64::from(millis) / 1000.0
}
