//! Load pattern: targets of unequal and changing speed behind nodes that see each other's load
//! late. See `docs/platform.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, NodeId, RouteName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::target_load::{SeenReport, TargetLoad, seconds, stuck_time};
use crate::{BULK_MIN_BYTES, CallStanding, InstanceReport, LocalityTier};

/// Weight of a new sample in moving estimates of service times and speeds; they follow a change
/// within about ten answers.
const ESTIMATE_WEIGHT: f64 = 0.1;

/// Service time that is assumed before the first answer of a route.
const FIRST_SERVICE: Duration = Duration::from_millis(80);

/// Bounds of a target's learned speed, so that one odd sample does not exclude it.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 8.0);

/// Lost or late answers in a row after which a target counts as unreachable. A single one may be
/// the fault of the request.
const FAILURES_TO_EXCLUDE: u32 = 3;

/// Time for which a target that refused for lack of room gets no further try of the same node.
const FULL_PAUSE: Duration = Duration::from_millis(25);

/// Differences of cost below this share are noise; a random factor of this size keeps nodes with
/// equal knowledge from choosing alike.
const COST_NOISE: f64 = 0.1;

/// Weight of the share of rejected and failed requests in the cost: a target that serves half of
/// them costs three times as much, because a second target must be asked, within the budget.
const FAULT_COST: f64 = 4.0;

/// Part of the time that a request can spare up to which a wait is worth asking the target. It is
/// above the part that targets admit, because the estimate is a little old.
const ASK_SHARE: f64 = 0.6;

/// Bytes for which [`InstanceReport::link_time`] is given.
const LINK_TIME_BYTES: f64 = 100.0 * 1024.0;

/// Slowness of a target that has just started.
const COLD_FACTOR: f64 = 1.6;

/// What a route's work is known to cost.
#[derive(Clone, Copy, Debug)]
struct WorkEstimate {
    /// Seconds on a target of usual speed.
    service: f64,
    /// Bytes of an answer.
    answer_bytes: f64,
}

impl Default for WorkEstimate {
    fn default() -> Self {
        Self {
            service: FIRST_SERVICE.as_secs_f64(),
            answer_bytes: 0.0,
        }
    }
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct TargetCandidate<'a> {
    /// The target's node.
    pub node: &'a NodeId,
    /// Its distance.
    pub tier: LocalityTier,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has just started.
    pub cold: bool,
    /// Its exact load where it is the target beside this node.
    pub own: Option<InstanceReport>,
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedTarget {
    /// Index among the candidates.
    pub index: usize,
    /// Time until an answer that is expected there.
    pub expected: Duration,
    /// Part of it that is spent waiting for a slot.
    pub queueing: Duration,
    /// Part of it that the work itself takes there.
    pub service: Duration,
    /// Share of the target's slots that is known to be taken.
    pub use_of_slots: f64,
}

/// Multiple of the expected service time after which an answer counts as overdue. About one in
/// twenty answers takes longer.
const OVERDUE_FACTOR: f64 = 3.0;

/// Shortest time after which an answer counts as overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(25);

/// Part of the slots up to which a target may be used for second attempts. Above it, they would
/// take the slots of requests that have none.
const HEDGE_LOAD: f64 = 0.75;

impl SelectedTarget {
    /// Time after which an answer of the target is overdue.
    #[must_use]
    pub fn overdue_after(&self) -> Duration {
        let beyond = self.expected.saturating_sub(self.service);
        (self.service.mul_f64(OVERDUE_FACTOR) + beyond).max(MIN_OVERDUE)
    }

    /// Tells whether the target has slots to spare for a second attempt.
    #[must_use]
    pub fn may_hedge(&self) -> bool {
        self.use_of_slots <= HEDGE_LOAD
    }

    /// Tells whether the target is worth asking for a request that must be answered within `left`.
    /// A caller whose request would only be refused after a round trip is better told at once.
    #[must_use]
    pub fn is_worth_trying(&self, left: Duration) -> bool {
        let spare = left.saturating_sub(self.service);
        self.queueing <= spare.mul_f64(ASK_SHARE)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered; `service` is the time that its node measured.
    Answered {
        /// Time between the target's receipt of the request and its answer.
        service: Duration,
        /// Bytes of the answer.
        bytes: usize,
    },
    /// The target's node had no room.
    Full,
    /// The target itself rejected the request, or failed at it.
    Rejected,
    /// The target takes no work at present, though its node answers.
    Unavailable,
    /// No connection was made.
    Unreachable,
    /// The connection or the answer was lost, or came too late.
    Lost,
    /// The caller left.
    Cancelled,
}

/// Extra cost of answers from elsewhere. The links are shared and partly paid by volume, so
/// a large answer is worth some waiting nearby.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkCosts {
    /// Round trip within the data centre.
    pub data_centre: Duration,
    /// Round trip to another data centre of the region.
    pub region: Duration,
    /// Round trip to another region.
    pub remote: Duration,
    /// Waiting time that one kilobyte between data centres is worth.
    pub region_per_kb: Duration,
    /// Waiting time that one kilobyte between regions is worth.
    pub remote_per_kb: Duration,
}

impl LinkCosts {
    fn of(&self, tier: LocalityTier, answer_bytes: f64) -> f64 {
        let (trip, per_kb) = match tier {
            LocalityTier::SameDataCentre => (self.data_centre, Duration::ZERO),
            LocalityTier::SameRegion => (self.region, self.region_per_kb),
            LocalityTier::Remote => (self.remote, self.remote_per_kb),
        };
        trip.as_secs_f64() + per_kb.as_secs_f64() * answer_bytes / 1024.0
    }
}

/// Whether a target is unreachable, and whether it would answer too late or refuse.
type PickFlaws = (bool, bool);

/// What a choice knows about the request, for all candidates alike.
#[derive(Clone, Copy, Debug)]
struct ChoiceNeed {
    work: WorkEstimate,
    /// Mean service time of all routes in seconds, which is what the requests ahead in a queue take.
    mean_service: f64,
    priority: CallPriority,
    standing: CallStanding,
    now: Instant,
}

/// Chooses the target with the shortest expected time until the answer.
///
/// For each target the estimate adds up the service time of the route's work at the target's
/// learned and momentary speed, the wait for a slot under the node's own requests and the reported
/// ones of others, the round trip, and the weight of the answer on the link.
#[derive(Debug)]
pub struct TargetSelector {
    costs: LinkCosts,
    targets: HashMap<NodeId, TargetLoad>,
    works: HashMap<RouteName, WorkEstimate>,
    random: StdRng,
}

impl TargetSelector {
    /// Creates a chooser that knows nothing yet.
    #[must_use]
    pub fn new(costs: LinkCosts, seed: u64) -> Self {
        Self {
            costs,
            targets: HashMap::new(),
            works: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Chooses among the candidates that are not in `excluded` for a request that must be answered
    /// within `left`. Unreachable targets, and those that would answer too late or refuse, are left
    /// out while any other is left; targets that were just full are left out altogether.
    pub fn pick(
        &mut self,
        route: &RouteName,
        (priority, standing): (CallPriority, CallStanding),
        candidates: &[TargetCandidate<'_>],
        excluded: &[NodeId],
        left: Duration,
        now: Instant,
    ) -> Option<SelectedTarget> {
        let need = ChoiceNeed {
            work: self.works.get(route).copied().unwrap_or_default(),
            mean_service: self.mean_service(),
            priority,
            standing,
            now,
        };
        let mut best: Option<(PickFlaws, f64, SelectedTarget)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            if excluded.contains(candidate.node) {
                continue;
            }
            let target = self.targets.get(candidate.node);
            if target.is_some_and(|target| target.is_full(now)) {
                continue;
            }
            let out = target.is_some_and(|target| target.is_excluded(now));
            let (cost, pick) = self.estimate(&need, index, candidate);
            let noise = 1.0 + COST_NOISE * self.random.random::<f64>();
            let cost = cost * noise;
            let late = pick.expected > left || !pick.is_worth_trying(left);
            let flaws = (out, late);
            let better = best
                .as_ref()
                .is_none_or(|(least, best_cost, _)| (flaws, cost) < (*least, *best_cost));
            if better {
                best = Some((flaws, cost, pick));
            }
        }
        best.map(|(_, _, pick)| pick)
    }

    fn estimate(
        &self,
        need: &ChoiceNeed,
        index: usize,
        candidate: &TargetCandidate<'_>,
    ) -> (f64, SelectedTarget) {
        let ChoiceNeed {
            work,
            priority,
            standing,
            now,
            ..
        } = *need;
        let slots = f64::from(candidate.slots.max(1));
        let known = self.targets.get(candidate.node);
        let own = known.map_or(0.0, |target| f64::from(target.in_flight));
        let load = match candidate.own {
            Some(report) => f64::from(report.running + report.waiting),
            None => own + known.map_or(0.0, |target| target.others(now)),
        };
        let cold = if candidate.cold { COLD_FACTOR } else { 1.0 };
        let pace = known.map_or(1.0, |target| target.slowness * target.pace(now)) * cold;
        let service = work.service * pace;
        let mean_service = need.mean_service * pace;
        let told = match candidate.own {
            Some(report) => Some(report.wait(priority, standing)),
            None => known.and_then(|target| target.told_wait(priority, standing, now)),
        };
        let sent = known.map_or(0.0, TargetLoad::sent_since_report);
        let queueing = match told.filter(|wait| *wait > 0.0) {
            Some(wait) => wait + sent * mean_service / slots,
            None => queue_time(load, slots, mean_service),
        };
        // Every answer takes this node's link to the caller; one from elsewhere takes another, too.
        let report = match candidate.own {
            Some(_) => None,
            None => known.and_then(TargetLoad::latest_report),
        };
        let (transfer, link_wait) = link_times(report, work.answer_bytes, sent);
        let link_wait = known.map_or(0.0, |target| link_wait * target.report_weight(now));
        let service = service + transfer;
        let queueing = queueing.max(link_wait);
        let stuck = known.map_or(0.0, |target| stuck_time(target, service, now));
        let link = self.costs.of(candidate.tier, work.answer_bytes);
        let expected = service + queueing + stuck + link;
        let faults = known.map_or(0.0, |target| target.expected_faults(now));
        let cost = expected * (1.0 + FAULT_COST * faults);
        let pick = SelectedTarget {
            index,
            expected: Duration::from_secs_f64(expected),
            queueing: Duration::from_secs_f64(queueing),
            service: Duration::from_secs_f64(service),
            use_of_slots: load / slots,
        };
        (cost, pick)
    }

    fn mean_service(&self) -> f64 {
        if self.works.is_empty() {
            return FIRST_SERVICE.as_secs_f64();
        }
        let sum: f64 = self.works.values().map(|work| work.service).sum();
        let count = u32::try_from(self.works.len()).unwrap_or(u32::MAX);
        sum / f64::from(count)
    }

    /// Notes that an attempt is sent.
    pub fn start(&mut self, node: &NodeId, now: Instant) {
        let target = self
            .targets
            .entry(node.clone())
            .or_insert_with(|| TargetLoad::new(now));
        if target.in_flight == 0 {
            target.waiting_since = Some(now);
        }
        target.in_flight += 1;
        target.used = now;
    }

    /// Notes the end of an attempt that was started. Returns whether the target is now excluded
    /// for a while, to be logged.
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
            target.report = Some(SeenReport {
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
                blend(&mut target.faults, 0.0);
                self.learn(node, route, service, bytes);
                false
            }
            AttemptEnd::Full => {
                target.full_until = Some(now + FULL_PAUSE);
                false
            }
            AttemptEnd::Rejected => {
                blend(&mut target.faults, 1.0);
                false
            }
            AttemptEnd::Unavailable | AttemptEnd::Unreachable => {
                target.exclude(now);
                true
            }
            AttemptEnd::Lost => {
                target.failures += 1;
                blend(&mut target.faults, 1.0);
                let excluded = target.failures >= FAILURES_TO_EXCLUDE;
                if excluded {
                    target.exclude(now);
                }
                excluded
            }
            AttemptEnd::Cancelled => false,
        }
    }

    /// Notes that an attempt, whose end was told as cancelled, was overtaken by a later one.
    pub fn record_superseded(&mut self, node: &NodeId) {
        if let Some(target) = self.targets.get_mut(node) {
            blend(&mut target.faults, 1.0);
        }
    }

    fn learn(&mut self, node: &NodeId, route: &RouteName, service: Duration, bytes: usize) {
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
        blend(&mut target.slowness, slowness);
        blend(&mut work.service, seconds / target.slowness.max(least));
        blend(&mut work.answer_bytes, to_float(bytes));
    }

    /// Drops targets that have not been used for `age`.
    pub fn prune(&mut self, age: Duration, now: Instant) {
        self.targets.retain(|_, target| {
            target.in_flight > 0 || now.saturating_duration_since(target.used) < age
        });
    }

    /// Bytes that an answer of a route is expected to have.
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

    /// Time that a route's work is expected to take on a target of usual speed.
    #[must_use]
    pub fn expected_service_time(&self, route: &RouteName) -> Duration {
        let work = self.works.get(route).copied().unwrap_or_default();
        Duration::from_secs_f64(work.service)
    }

    /// Draws from the chooser's generator.
    pub fn random(&mut self) -> &mut StdRng {
        &mut self.random
    }
}

/// Expected wait for a slot. Below saturation it grows steeply as the last slots fill, since the
/// load that is known is a little old; above it, each waiting request adds its share of a turn.
fn queue_time(load: f64, slots: f64, service: f64) -> f64 {
    let turn = service / slots;
    let use_of_slots = ((load + 1.0) / slots).min(1.0);
    let waiting = (load + 1.0 - slots).max(0.0);
    turn * (use_of_slots.powi(6) * 2.0 + waiting)
}

/// Time that an answer occupies the link of the target's machine, and its wait for it, in seconds.
/// `sent` requests of this node are not part of the report yet.
fn link_times(report: Option<InstanceReport>, answer_bytes: f64, sent: f64) -> (f64, f64) {
    let bulk = answer_bytes >= to_float(BULK_MIN_BYTES);
    let Some(report) = report.filter(|_| bulk) else {
        return (0.0, 0.0);
    };
    let transfer = seconds(report.link_time) * answer_bytes / LINK_TIME_BYTES;
    (transfer, seconds(report.link_wait) + sent * transfer)
}

fn blend(estimate: &mut f64, sample: f64) {
    *estimate += ESTIMATE_WEIGHT * (sample - *estimate);
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes of answers are far below 2^52"
)]
fn to_float(bytes: usize) -> f64 {
    bytes as f64
}
