//! Load, speed and reachability of one target as known to a node.

use std::time::{Duration, Instant};

use apricotfold_model::CallPriority;

use crate::CallStanding;
use crate::decay::remaining_share;
use crate::priority_index;

/// Time constant with which the weight of a load report decays: about one service time.
const REPORT_WINDOW: Duration = Duration::from_millis(700);

/// Time constant with which the failure rate of an unused target decays, so that it is tried again.
const FAULT_WINDOW: Duration = Duration::from_secs(3);

/// Duration of the first exclusion of an unreachable target; each further one doubles it.
const FIRST_EXCLUSION: Duration = Duration::from_millis(300);

/// Maximum duration of an exclusion, so that a recovered target is used again within about two
/// seconds.
const MAX_EXCLUSION: Duration = Duration::from_secs(2);

/// Load and speed of a target, as its node reports them with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Current service time on the target's machine, in percent of the usual one.
    pub pace: u32,
    /// Expected queueing times of first attempts, indexed by [`priority_index`], in milliseconds.
    pub waits: [u32; 3],
    /// Expected queueing times of calls made by running requests, indexed by [`priority_index`], in
    /// milliseconds.
    pub nested_waits: [u32; 3],
    /// Expected time that bulk waits for the link of the target's machine, in milliseconds.
    pub link_wait: u32,
    /// Time that 100 KB occupy that link, in milliseconds; 0 if it is not known.
    pub link_time: u32,
}

impl InstanceReport {
    /// Expected queueing time in seconds of a request that arrives now.
    pub(crate) fn wait(&self, priority: CallPriority, standing: CallStanding) -> f64 {
        let waits = match standing {
            CallStanding::New | CallStanding::Returned => &self.waits,
            CallStanding::Nested => &self.nested_waits,
        };
        seconds(waits[priority_index(priority)])
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) report: InstanceReport,
    /// Reported requests of other nodes.
    pub(crate) others: f64,
    /// Requests of this node in flight when the report arrived.
    pub(crate) own: u32,
    pub(crate) received: Instant,
}

/// Load and reachability of one target as known to a node.
#[derive(Clone, Debug)]
pub(crate) struct TargetLoad {
    pub(crate) in_flight: u32,
    pub(crate) waiting_since: Option<Instant>,
    pub(crate) slowness: f64,
    /// Moving average of the share of requests that the target rejects or fails to process.
    pub(crate) faults: f64,
    pub(crate) report: Option<ReceivedReport>,
    pub(crate) failures: u32,
    pub(crate) exclusions: u32,
    pub(crate) excluded_until: Option<Instant>,
    pub(crate) full_until: Option<Instant>,
    pub(crate) last_used: Instant,
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
            last_used: now,
        }
    }

    /// Expected number of requests of other nodes, which approaches the usual one as the report ages.
    pub(crate) fn others(&self, usual: f64, now: Instant) -> f64 {
        self.report.map_or(usual, |seen| {
            let age = now.saturating_duration_since(seen.received);
            usual + (seen.others - usual) * remaining_share(age, REPORT_WINDOW)
        })
    }

    /// Current slowness of the machine, which returns to 1 as the report ages.
    pub(crate) fn pace(&self, now: Instant) -> f64 {
        self.report.map_or(1.0, |seen| {
            let age = now.saturating_duration_since(seen.received);
            let reported = f64::from(seen.report.pace.max(1)) / 100.0;
            1.0 + (reported - 1.0) * remaining_share(age, REPORT_WINDOW)
        })
    }

    /// Queueing time in seconds that the target's node reported, which decays with the age of the
    /// report.
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

    /// Latest report of the target's node.
    pub(crate) fn latest_report(&self) -> Option<InstanceReport> {
        self.report.map(|seen| seen.report)
    }

    /// Weight of the latest report, which decays with its age.
    pub(crate) fn report_weight(&self, now: Instant) -> f64 {
        self.report.map_or(0.0, |seen| {
            let age = now.saturating_duration_since(seen.received);
            remaining_share(age, REPORT_WINDOW)
        })
    }

    /// Requests of this node that were sent after the report was made and are not part of it.
    pub(crate) fn sent_since_report(&self) -> f64 {
        let known = self.report.map_or(0, |seen| seen.own);
        f64::from(self.in_flight.saturating_sub(known))
    }

    /// Expected share of rejected and failed requests, which decays while the target is not used.
    pub(crate) fn expected_faults(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last_used);
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

/// Returns the time in seconds for which a target has not answered any request, beyond twice the
/// service time.
pub(crate) fn stall_time(target: &TargetLoad, service: f64, now: Instant) -> f64 {
    let silent = target.waiting_since.map_or(0.0, |since| {
        now.saturating_duration_since(since).as_secs_f64()
    });
    (silent - 2.0 * service).max(0.0)
}

pub(crate) fn seconds(millis: u32) -> f64 {
    f64::from(millis) / 1000.0
}
