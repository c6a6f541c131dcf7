//! The decider of a rollout: collects the counts of all nodes, grants shares of the requests, and
//! decides when the rollout ends.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, RolloutState};

use super::evidence::RolloutCounts;
use super::verdict::{VersionVerdict, compare_versions};
use crate::EntryRevision;

/// Part of an order's duration after which it is decided. Versions may turn bad late, and the status
/// must be written before the deadline, also if the store refuses a call or two.
pub const CANARY_DECISION_SHARE: f64 = 0.8;

/// Part of the duration after which it is decided even with little evidence.
const LAST_DECISION_SHARE: f64 = 0.93;

/// Answers within the longest period without which a version is not completed: what it answered before
/// a former decider died says little about the present.
const MIN_RECENT_ANSWERS: u32 = 8;

/// Time for which a decider must have heard of answers before it completes a rollout. A successor would
/// otherwise judge by what the first nodes tell it, and slow answers arrive last.
const HEARING_TIME: Duration = Duration::from_secs(2);

/// Age of an order from which on a new decider is a successor. The first counts that nodes send it are
/// of the whole time since the order; only the recent part of them belongs to the short periods.
const SUCCESSOR_AGE: Duration = Duration::from_secs(2);

/// Answers of the new version without which it is not completed at [`CANARY_DECISION_SHARE`]. A version
/// of which half of the answers are bad has 8 good ones in a row in 0.4 % of the cases.
const MIN_ANSWERS: u32 = 8;

/// Share of the requests that the new version gets at first.
const START_SHARE: f64 = 0.02;

/// Time for which it gets the first share: a version that fails every request is noticed within it.
const START_TIME: Duration = Duration::from_millis(500);

/// Share of all requests since the order that the new version gets in the long run. The bound of 0.1
/// leaves room for what is counted late.
const PLANNED_SHARE: f64 = 0.08;

/// Requests that the new version gets beyond [`PLANNED_SHARE`], so that services with few requests give
/// enough evidence. The bound of 50 leaves room for requests from before the nodes knew of the order
/// and from nodes that have died.
const PLANNED_SLACK: f64 = 24.0;

/// Time in which the slack is used up.
const SLACK_TIME_S: f64 = 3.0;

/// The same for a successor, which has little time left for answers of its own.
const SUCCESSOR_SLACK: f64 = 32.0;
const SUCCESSOR_SLACK_TIME_S: f64 = 1.5;

/// Largest share at any time, whatever the slack is.
const MAX_SHARE: f64 = 0.5;

/// Bad answers beyond the old version's that show a bad version before the decision. Fewer may come
/// from one machine that is lost with what it runs.
const CLEAR_EXCESS: f64 = 8.0;

/// The same at the decision, where a version is not given the benefit of the doubt.
const FINAL_EXCESS: f64 = 3.0;

/// Length of the time slots in which counts are kept.
const SLOT: Duration = Duration::from_millis(250);

/// Periods that are compared, besides the whole time: a version that turns bad is noticed in a short
/// one, and one with few requests in a long one.
const PERIODS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(5)];

/// Counts that a node sends to the decider.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutReport {
    /// The reporting node.
    pub node: NodeId,
    /// Number of the node's process; its counts begin anew with it.
    pub session: u64,
    /// Revision of the order.
    pub order_revision: EntryRevision,
    /// Time in milliseconds since the order, as far as the node knows.
    pub age_ms: u64,
    /// Whether a decider has told the node to stop.
    pub stopped: bool,
    /// Counts since the node learned of the order.
    pub counts: RolloutCounts,
    /// The latest part of them, for a decider that the node has not heard of yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recent: Option<RolloutCounts>,
}

/// Answer of the decider: the share of the node's requests that the new version may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct RolloutGrant {
    /// Share of the requests.
    pub share: f64,
    /// Whether the version is bad. No later decider grants a share then.
    pub stop: bool,
}

/// Decides on one order. A successor starts with the nodes' counts since the order.
#[derive(Clone, Debug)]
pub struct RolloutDecider {
    /// Time of the order, as far as known.
    ordered: Instant,
    duration: Duration,
    started: Instant,
    reports: HashMap<NodeId, (u64, RolloutCounts)>,
    slots: VecDeque<(Instant, RolloutCounts)>,
    total: RolloutCounts,
    stopped: bool,
}

impl RolloutDecider {
    /// Creates the decider of an order that was given at `ordered`.
    #[must_use]
    pub fn new(ordered: Instant, duration: Duration, now: Instant) -> Self {
        Self {
            ordered,
            duration,
            started: now,
            reports: HashMap::new(),
            slots: VecDeque::new(),
            total: RolloutCounts::default(),
            stopped: false,
        }
    }

    /// Takes the counts of a node.
    pub fn record(&mut self, report: RolloutReport, now: Instant) {
        self.stopped |= report.stopped;
        let age = Duration::from_millis(report.age_ms);
        if let Some(ordered) = now.checked_sub(age) {
            // A node that has just started does not know how old the order is.
            self.ordered = self.ordered.min(ordered);
        }
        let former = self.reports.get(&report.node);
        let (added, recent) = match former {
            Some((session, counts)) if *session == report.session => {
                let added = report.counts.since(counts);
                (added.clone(), added)
            }
            // A successor hears first of the whole time since the order.
            None if self.is_successor() => {
                let recent = report.recent.unwrap_or_default();
                (report.counts.clone(), recent)
            }
            _ => (report.counts.clone(), report.counts.clone()),
        };
        self.total.add(&added);
        match self.slots.back_mut() {
            Some((start, counts)) if now.saturating_duration_since(*start) < SLOT => {
                counts.add(&recent);
            }
            _ => self.slots.push_back((now, recent)),
        }
        let longest = PERIODS[PERIODS.len() - 1];
        while let Some((start, _)) = self.slots.front()
            && now.saturating_duration_since(*start) > longest
        {
            self.slots.pop_front();
        }
        let known = (report.session, report.counts);
        self.reports.insert(report.node, known);
    }

    /// Returns whether another decider is likely to have decided before.
    fn is_successor(&self) -> bool {
        self.started.saturating_duration_since(self.ordered) >= SUCCESSOR_AGE
    }

    /// Returns the nodes that have reported.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.reports.keys()
    }

    /// Returns the counts of all nodes.
    #[must_use]
    pub fn total(&self) -> &RolloutCounts {
        &self.total
    }

    /// Returns whether the new version gets no more requests.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Returns the time since the order.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ordered)
    }

    /// Returns the share of the requests that the new version may get.
    #[must_use]
    pub fn grant(&self, now: Instant) -> RolloutGrant {
        if self.stopped || self.age(now) >= self.duration {
            let stop = self.stopped;
            return RolloutGrant { share: 0.0, stop };
        }
        let begins = now.saturating_duration_since(self.started) < START_TIME;
        let share = if begins && !self.is_successor() {
            START_SHARE
        } else {
            let requests = f64::from(self.total.requests);
            let (slack, time) = if self.is_successor() {
                (SUCCESSOR_SLACK, SUCCESSOR_SLACK_TIME_S)
            } else {
                (PLANNED_SLACK, SLACK_TIME_S)
            };
            let planned = requests * PLANNED_SHARE + slack;
            let rest = planned - f64::from(self.total.exposed);
            let rate = requests / self.age(now).as_secs_f64().max(0.5);
            let share = PLANNED_SHARE + rest / (rate.max(1.0) * time);
            share.clamp(0.0, MAX_SHARE)
        };
        RolloutGrant { share, stop: false }
    }

    fn verdict(&self, min_excess: f64, now: Instant) -> VersionVerdict {
        let mut verdicts = PERIODS.iter().map(|period| {
            let mut sum = RolloutCounts::default();
            for (start, counts) in &self.slots {
                if now.saturating_duration_since(*start) <= *period {
                    sum.add(counts);
                }
            }
            compare_versions(&sum, &self.total, min_excess)
        });
        if verdicts.any(|verdict| verdict == VersionVerdict::Bad) {
            return VersionVerdict::Bad;
        }
        compare_versions(&self.total, &self.total, min_excess)
    }

    /// Returns the final state if it is time for it. Once the version is found bad, it stays so.
    pub fn decide(&mut self, now: Instant) -> Option<RolloutState> {
        if self.stopped || self.verdict(CLEAR_EXCESS, now) == VersionVerdict::Bad {
            self.stopped = true;
            return Some(RolloutState::RolledBack);
        }
        let age = self.age(now);
        if age < self.duration.mul_f64(CANARY_DECISION_SHARE) {
            return None;
        }
        if self.verdict(FINAL_EXCESS, now) == VersionVerdict::Bad {
            self.stopped = true;
            return Some(RolloutState::RolledBack);
        }
        let heard = now.saturating_duration_since(self.started) >= HEARING_TIME;
        let recent = self.slots.iter().map(|(_, counts)| counts.new_answers());
        let enough = recent.sum::<u32>() >= MIN_RECENT_ANSWERS;
        if heard && enough && self.total.new_answers() >= MIN_ANSWERS {
            return Some(RolloutState::Completed);
        }
        let last = age >= self.duration.mul_f64(LAST_DECISION_SHARE);
        last.then_some(RolloutState::RolledBack)
    }
}
