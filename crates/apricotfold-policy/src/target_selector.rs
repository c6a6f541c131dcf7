//! Target selection by expected response time, for targets of unequal and changing speed whose load
//! the nodes learn with a delay. See `docs/platform.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, NodeId, RouteName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::target_load::{ReceivedReport, TargetLoad, seconds, stall_time};
use crate::{BULK_MIN_BYTES, CallStanding, InstanceReport, LocalityTier};

/// Weight of a new sample in moving averages of service times and speeds, which follow a change
/// within about ten answers.
const ESTIMATE_WEIGHT: f64 = 0.1;

/// Service time assumed before the first answer of a route.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(80);

/// Bounds of the learned slowness of a target, so that a single outlier does not rule the target
/// out.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 8.0);

/// Consecutive lost or late answers after which a target counts as unreachable. A single one may be
/// caused by the request.
const FAILURES_TO_EXCLUDE: u32 = 3;

/// Time for which a target that refused for lack of capacity is not selected again by the same
/// node.
const FULL_EXCLUSION: Duration = Duration::from_millis(25);

/// Relative size of the random factor on the time that a target takes. Smaller differences are
/// noise, and the factor keeps nodes with equal information from selecting the same target. The way
/// to the target is known, so that the factor does not lead to another data centre.
const COST_JITTER: f64 = 0.2;

/// Weight of the failure rate in the cost. A target that fails half of its requests costs three
/// times as much, because each failure needs another target and a retry from the budget.
const FAULT_WEIGHT: f64 = 4.0;

/// Share of a request's spare time up to which the expected wait makes a target worth trying. It is
/// larger than the share that targets admit, because the estimate is slightly out of date.
const MAX_WAIT_SHARE: f64 = 0.6;

/// Answer size, in bytes, that [`InstanceReport::link_time`] refers to.
const LINK_TIME_BYTES: f64 = 100.0 * 1024.0;

/// Slowness factor of a target that has just started.
const COLD_START_FACTOR: f64 = 1.6;

/// Moving averages of the cost of a route's requests.
#[derive(Clone, Copy, Debug)]
struct WorkEstimate {
    /// Service time in seconds on a target of usual speed.
    service: f64,
    /// Answer size in bytes.
    answer_bytes: f64,
}

impl Default for WorkEstimate {
    fn default() -> Self {
        Self {
            service: DEFAULT_SERVICE_TIME.as_secs_f64(),
            answer_bytes: 0.0,
        }
    }
}

/// A target that can be selected.
#[derive(Clone, Copy, Debug)]
pub struct TargetCandidate<'a> {
    /// Node that forwards requests to the target.
    pub node: &'a NodeId,
    /// Network distance of the target from this node.
    pub tier: LocalityTier,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target has just started and is still warming up.
    pub cold: bool,
    /// Exact load of the target if this node forwards to it directly; `None` for targets of other
    /// nodes.
    pub own: Option<InstanceReport>,
    /// Expected wait of the request's body for the link of the target's machine.
    pub inbound_wait: Duration,
    /// Size of the request's body in bytes, if it is bulk.
    pub bulk_bytes: usize,
}

/// The selected target with the estimates that led to its selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedTarget {
    /// Index of the target in the list of candidates.
    pub index: usize,
    /// Expected time until the answer.
    pub expected: Duration,
    /// Part of `expected` that is spent waiting for a slot.
    pub queueing: Duration,
    /// Part of `expected` that the request takes at the target once it runs.
    pub service: Duration,
    /// Known load of the target as a share of its slots; above 1 if requests are queued.
    pub slot_utilisation: f64,
}

/// Multiple of the expected service time after which an answer counts as overdue. About one in
/// twenty answers takes longer.
const OVERDUE_FACTOR: f64 = 3.0;

/// Lower bound of the time after which an answer counts as overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(25);

/// Highest slot utilisation at which a target may receive hedges. Above it, hedges would take slots
/// from first attempts.
const HEDGE_LOAD: f64 = 0.75;

impl SelectedTarget {
    /// Time after which an answer from the target counts as overdue.
    #[must_use]
    pub fn overdue_after(&self) -> Duration {
        let beyond = self.expected.saturating_sub(self.service);
        (self.service.mul_f64(OVERDUE_FACTOR) + beyond).max(MIN_OVERDUE)
    }

    /// Returns whether the target has enough free slots for a hedge.
    #[must_use]
    pub fn may_hedge(&self) -> bool {
        self.slot_utilisation <= HEDGE_LOAD
    }

    /// Returns whether the target is worth trying for a request that must be answered within
    /// `left`. If the target would most likely refuse, refusing at once saves the caller a round
    /// trip.
    #[must_use]
    pub fn is_worth_trying(&self, left: Duration) -> bool {
        let spare = left.saturating_sub(self.service);
        self.queueing <= spare.mul_f64(MAX_WAIT_SHARE)
    }
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered.
    Answered {
        /// Time between the arrival of the request and the answer, as measured by the target's
        /// node.
        service: Duration,
        /// Answer size in bytes.
        bytes: usize,
    },
    /// The target's node refused the request for lack of capacity.
    Full,
    /// The target rejected the request or failed to process it.
    Rejected,
    /// The target takes no work at present, but its node answers.
    Unavailable,
    /// The connection could not be established.
    Unreachable,
    /// The connection or the answer was lost, or the answer was late.
    Lost,
    /// The caller closed its connection.
    Cancelled,
}

/// Network cost of answers by distance. Links between data centres are shared, and some are billed
/// by volume, so for a large answer some waiting at a nearby target is preferable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkCosts {
    /// Round-trip time within the data centre.
    pub data_centre: Duration,
    /// Round-trip time to another data centre of the region.
    pub region: Duration,
    /// Round-trip time to another region.
    pub remote: Duration,
    /// Waiting time that is preferred over transferring 1 KiB between data centres of the region.
    pub region_per_kb: Duration,
    /// Waiting time that is preferred over transferring 1 KiB between regions.
    pub remote_per_kb: Duration,
    /// The same as [`region_per_kb`](Self::region_per_kb) for bulk request bodies.
    pub region_per_bulk_kb: Duration,
    /// The same as [`remote_per_kb`](Self::remote_per_kb) for bulk request bodies.
    pub remote_per_bulk_kb: Duration,
}

impl LinkCosts {
    fn of(&self, tier: LocalityTier, answer_bytes: f64, bulk_bytes: usize) -> f64 {
        let (trip, per_kb, per_bulk_kb) = match tier {
            LocalityTier::SameDataCentre => (self.data_centre, Duration::ZERO, Duration::ZERO),
            LocalityTier::SameRegion => (self.region, self.region_per_kb, self.region_per_bulk_kb),
            LocalityTier::Remote => (self.remote, self.remote_per_kb, self.remote_per_bulk_kb),
        };
        let bulk = per_bulk_kb.as_secs_f64() * to_float(bulk_bytes) / 1024.0;
        trip.as_secs_f64() + per_kb.as_secs_f64() * answer_bytes / 1024.0 + bulk
    }
}

/// Whether a target is excluded as unreachable, and whether it would answer late or refuse.
/// Compared before the cost.
type CandidatePenalty = (bool, bool);

/// Properties of the request that apply to all candidates.
#[derive(Clone, Copy, Debug)]
struct SelectionContext {
    work: WorkEstimate,
    /// Mean service time of all routes in seconds, which is the expected service time of the
    /// requests ahead in a queue.
    mean_service: f64,
    priority: CallPriority,
    standing: CallStanding,
    now: Instant,
}

/// Selects the target with the shortest expected response time.
///
/// The estimate for a target is the sum of the service time of the route at the target's learned
/// and current speed, the wait for a slot given this node's own requests and the reported requests
/// of other nodes, the round-trip time, and the cost of transferring the answer.
#[derive(Debug)]
pub struct TargetSelector {
    costs: LinkCosts,
    targets: HashMap<NodeId, TargetLoad>,
    works: HashMap<RouteName, WorkEstimate>,
    /// Moving average of the reported share of busy slots. Queued requests do not count: a node that
    /// gets no reports because it refuses everything must try again once the reports are old.
    usual_load: f64,
    random: StdRng,
}

impl TargetSelector {
    /// Creates a selector without any measurements.
    #[must_use]
    pub fn new(costs: LinkCosts, seed: u64) -> Self {
        Self {
            costs,
            targets: HashMap::new(),
            works: HashMap::new(),
            usual_load: 0.0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Selects one of the candidates that are not in `excluded`, for a request that must be
    /// answered within `left`. Unreachable targets and those that would answer late or refuse are
    /// selected only if there is no other; targets that have just refused for lack of capacity are
    /// never selected.
    pub fn pick(
        &mut self,
        route: &RouteName,
        (priority, standing): (CallPriority, CallStanding),
        candidates: &[TargetCandidate<'_>],
        excluded: &[NodeId],
        left: Duration,
        now: Instant,
    ) -> Option<SelectedTarget> {
        let need = SelectionContext {
            work: self.works.get(route).copied().unwrap_or_default(),
            mean_service: self.mean_service(),
            priority,
            standing,
            now,
        };
        let mut best: Option<(CandidatePenalty, f64, SelectedTarget)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            if excluded.contains(candidate.node) {
                continue;
            }
            let target = self.targets.get(candidate.node);
            if target.is_some_and(|target| target.is_full(now)) {
                continue;
            }
            let unreachable = target.is_some_and(|target| target.is_excluded(now));
            let noise = 1.0 + COST_JITTER * self.random.random::<f64>();
            let (cost, pick) = self.estimate(&need, index, candidate, noise);
            let late = pick.expected > left || !pick.is_worth_trying(left);
            let penalty = (unreachable, late);
            let better = best
                .as_ref()
                .is_none_or(|(least, best_cost, _)| (penalty, cost) < (*least, *best_cost));
            if better {
                best = Some((penalty, cost, pick));
            }
        }
        best.map(|(_, _, pick)| pick)
    }

    fn estimate(
        &self,
        need: &SelectionContext,
        index: usize,
        candidate: &TargetCandidate<'_>,
        noise: f64,
    ) -> (f64, SelectedTarget) {
        let SelectionContext {
            work,
            priority,
            standing,
            now,
            ..
        } = *need;
        let slots = f64::from(candidate.slots.max(1));
        let known = self.targets.get(candidate.node);
        let own = known.map_or(0.0, |target| f64::from(target.in_flight));
        let usual = self.usual_load * slots;
        let load = candidate.own.map_or_else(
            || own + known.map_or(usual, |target| target.others(usual, now)),
            |report| f64::from(report.running + report.waiting),
        );
        let cold = if candidate.cold {
            COLD_START_FACTOR
        } else {
            1.0
        };
        let pace = known.map_or(1.0, |target| target.slowness * target.pace(now)) * cold;
        let service = work.service * pace;
        let mean_service = need.mean_service * pace;
        let reported = match candidate.own {
            Some(report) => Some(report.wait(priority, standing)),
            None => known.and_then(|target| target.reported_wait(priority, standing, now)),
        };
        let sent = known.map_or(0.0, TargetLoad::sent_since_report);
        let queueing = match reported.filter(|wait| *wait > 0.0) {
            Some(wait) => {
                let age = known.map_or(0.0, |target| 1.0 - target.report_weight(now));
                wait + sent * mean_service / slots + age * queue_time(load, slots, mean_service)
            }
            None => queue_time(load, slots, mean_service),
        };
        // Every answer uses this node's link to the caller; an answer from another node also uses
        // the link of the target's machine.
        let report = match candidate.own {
            Some(_) => None,
            None => known.and_then(TargetLoad::latest_report),
        };
        let (transfer, link_wait) = link_times(report, work.answer_bytes, sent);
        let link_wait = known.map_or(0.0, |target| link_wait * target.report_weight(now));
        let service = service + transfer;
        let queueing = queueing.max(link_wait);
        let queueing = queueing.max(candidate.inbound_wait.as_secs_f64());
        let stall = known.map_or(0.0, |target| stall_time(target, service, now));
        let link = self
            .costs
            .of(candidate.tier, work.answer_bytes, candidate.bulk_bytes);
        let expected = service + queueing + stall + link;
        let faults = known.map_or(0.0, |target| target.expected_faults(now));
        let cost = ((expected - link) * noise + link) * (1.0 + FAULT_WEIGHT * faults);
        let pick = SelectedTarget {
            index,
            expected: Duration::from_secs_f64(expected),
            queueing: Duration::from_secs_f64(queueing),
            service: Duration::from_secs_f64(service),
            slot_utilisation: load / slots,
        };
        (cost, pick)
    }

    fn mean_service(&self) -> f64 {
        if self.works.is_empty() {
            return DEFAULT_SERVICE_TIME.as_secs_f64();
        }
        let sum: f64 = self.works.values().map(|work| work.service).sum();
        let count = u32::try_from(self.works.len()).unwrap_or(u32::MAX);
        sum / f64::from(count)
    }

    /// Records that an attempt is sent to a target.
    pub fn start(&mut self, node: &NodeId, now: Instant) {
        let target = self
            .targets
            .entry(node.clone())
            .or_insert_with(|| TargetLoad::new(now));
        if target.in_flight == 0 {
            target.waiting_since = Some(now);
        }
        target.in_flight += 1;
        target.last_used = now;
    }

    /// Records the end of an attempt that was started. Returns whether the target is now excluded
    /// for a while, which should be logged.
    pub fn finish(
        &mut self,
        node: &NodeId,
        route: &RouteName,
        end: AttemptEnd,
        report: Option<InstanceReport>,
        now: Instant,
    ) -> bool {
        let Some(target) = self.targets.get_mut(node) else {
            return false;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        target.waiting_since = (target.in_flight > 0).then_some(now);
        if let Some(report) = report {
            let total = f64::from(report.running + report.waiting);
            let load = total / f64::from(report.slots.max(1));
            update_average(&mut self.usual_load, load.min(1.0));
            target.report = Some(ReceivedReport {
                report,
                others: (total - f64::from(target.in_flight)).max(0.0),
                own: target.in_flight,
                received: now,
            });
        }
        match end {
            AttemptEnd::Answered { service, bytes } => {
                target.failures = 0;
                target.exclusions = 0;
                target.excluded_until = None;
                update_average(&mut target.faults, 0.0);
                self.update_estimates(node, route, service, bytes);
                false
            }
            AttemptEnd::Full => {
                target.full_until = Some(now + FULL_EXCLUSION);
                false
            }
            AttemptEnd::Rejected => {
                update_average(&mut target.faults, 1.0);
                false
            }
            AttemptEnd::Unavailable | AttemptEnd::Unreachable => {
                target.exclude(now);
                true
            }
            AttemptEnd::Lost => {
                target.failures += 1;
                update_average(&mut target.faults, 1.0);
                let excluded = target.failures >= FAILURES_TO_EXCLUDE;
                if excluded {
                    target.exclude(now);
                }
                excluded
            }
            AttemptEnd::Cancelled => false,
        }
    }

    /// Records that an attempt which ended as cancelled was superseded by a later one.
    pub fn record_superseded(&mut self, node: &NodeId) {
        if let Some(target) = self.targets.get_mut(node) {
            update_average(&mut target.faults, 1.0);
        }
    }

    fn update_estimates(
        &mut self,
        node: &NodeId,
        route: &RouteName,
        service: Duration,
        bytes: usize,
    ) {
        let Some(target) = self.targets.get_mut(node) else {
            return;
        };
        let pace = target
            .report
            .map_or(1.0, |seen| f64::from(seen.report.pace.max(1)) / 100.0);
        let seconds = service.as_secs_f64() / pace;
        let first = WorkEstimate {
            service: seconds / target.slowness,
            answer_bytes: to_float(bytes),
        };
        let work = self.works.entry(route.clone()).or_insert(first);
        let (least, most) = SLOWNESS_RANGE;
        let slowness = (seconds / work.service.max(1e-4)).clamp(least, most);
        update_average(&mut target.slowness, slowness);
        update_average(&mut work.service, seconds / target.slowness.max(least));
        update_average(&mut work.answer_bytes, to_float(bytes));
    }

    /// Removes targets that have not been used for `age`.
    pub fn prune(&mut self, age: Duration, now: Instant) {
        self.targets.retain(|_, target| {
            target.in_flight > 0 || now.saturating_duration_since(target.last_used) < age
        });
    }

    /// Expected answer size of a route in bytes; 0 before its first answer.
    #[must_use]
    pub fn expected_answer_bytes(&self, route: &RouteName) -> u32 {
        let work = self.works.get(route).copied().unwrap_or_default();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a size is not negative, and one beyond 4 GB is as good as 4 GB"
        )]
        let bytes = work.answer_bytes as u32;
        bytes
    }

    /// Expected service time of a route on a target of usual speed.
    #[must_use]
    pub fn expected_service_time(&self, route: &RouteName) -> Duration {
        let work = self.works.get(route).copied().unwrap_or_default();
        Duration::from_secs_f64(work.service)
    }

    /// Returns the selector's random number generator.
    pub fn random(&mut self) -> &mut StdRng {
        &mut self.random
    }
}

/// Estimates the wait for a slot in seconds. Below saturation it grows steeply as the last slots
/// fill, because the known load is slightly out of date; above it, each queued request adds the
/// service time divided by the slots.
fn queue_time(load: f64, slots: f64, service: f64) -> f64 {
    let slot_interval = service / slots;
    let slot_utilisation = ((load + 1.0) / slots).min(1.0);
    let waiting = (load + 1.0 - slots).max(0.0);
    slot_interval * (slot_utilisation.powi(6) * 2.0 + waiting)
}

/// Returns the time that an answer occupies the link of the target's machine, and its wait for that
/// link, in seconds. `sent` counts requests of this node that the report does not include yet.
fn link_times(report: Option<InstanceReport>, answer_bytes: f64, sent: f64) -> (f64, f64) {
    let bulk = answer_bytes >= to_float(BULK_MIN_BYTES);
    let Some(report) = report.filter(|_| bulk) else {
        return (0.0, 0.0);
    };
    let transfer = seconds(report.link_time) * answer_bytes / LINK_TIME_BYTES;
    (transfer, seconds(report.link_wait) + sent * transfer)
}

fn update_average(estimate: &mut f64, sample: f64) {
    *estimate += ESTIMATE_WEIGHT * (sample - *estimate);
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes of answers are far below 2^52"
)]
fn to_float(bytes: usize) -> f64 {
    bytes as f64
}
