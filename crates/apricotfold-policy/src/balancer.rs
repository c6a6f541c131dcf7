//! Targets of one service and the choice among them. See `docs/design.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::{
    CallOutcome, LoadBalancingPolicy, NodeId, ProfileLimits, RefusalReason, WorkClass,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::picker::create_picker;
use crate::target::{TargetStanding, TargetState};
use crate::{AttemptResult, ChoiceReason, LoadReport, PickCandidate, TargetPicker};

/// Timeouts or lost connections in a row after which a target is quarantined. A single one may be
/// the fault of the request.
const FAILURES_TO_QUARANTINE: u32 = 3;

/// Time for which a target that refused as draining is left out. Its endpoint record says so within
/// 3 s.
const DRAIN_EXCLUSION: Duration = Duration::from_secs(5);

/// Distance of a target from this node, nearest first.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LocalityTier {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region, across the billed link.
    Remote,
}

/// A target as discovery knows it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TargetEntry {
    /// The target's node.
    pub node: NodeId,
    /// Its distance.
    pub tier: LocalityTier,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// The target's node.
    pub node: NodeId,
    /// Its distance.
    pub tier: LocalityTier,
    /// Why it was chosen among the targets of its tier.
    pub reason: ChoiceReason,
    /// Why this tier was chosen.
    pub tier_reason: TierReason,
}

impl std::fmt::Display for TargetChoice {
    /// Writes the text for the decision's log line.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} ({}, {}, {})",
            self.node, self.tier, self.tier_reason, self.reason
        )
    }
}

/// Why a tier was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TierReason {
    /// It is the nearest tier with usable targets, and it has room.
    NearestWithRoom,
    /// Nearer tiers are full.
    NearerTiersFull,
    /// No tier has room, and this is the nearest.
    AllTiersFull,
    /// Only quarantined targets are left.
    OnlyQuarantined,
}

/// A change in the treatment of a target, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// It is left out until this time.
    Quarantined {
        /// The time.
        until: Instant,
    },
    /// It answered and is used again.
    Released,
}

/// What a balancer knows about a target, for status pages and metrics.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct TargetStatus {
    /// The target's node.
    pub node: NodeId,
    /// Its distance.
    pub tier: LocalityTier,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Expected latency, `None` before the first answer.
    pub latency: Option<Duration>,
    /// Whether it is quarantined.
    pub quarantined: bool,
    /// Whether it is leaving, by its record or by its own word.
    pub draining: bool,
}

/// Chooses targets of one service.
///
/// Keep one balancer per service and work class: a download takes many times longer than a page
/// view, and its latency would make a fast target look slow to short work.
#[derive(Debug)]
pub struct ServiceBalancer {
    class: WorkClass,
    picker: Box<dyn TargetPicker>,
    random: StdRng,
    /// Sorted by node.
    targets: Vec<TargetState>,
}

impl ServiceBalancer {
    /// Creates a balancer without targets.
    #[must_use]
    pub fn new(kind: LoadBalancingPolicy, seed: u64) -> Self {
        Self::with_picker(create_picker(kind), seed)
    }

    /// Creates a balancer with another picker.
    #[must_use]
    pub fn with_picker(picker: Box<dyn TargetPicker>, seed: u64) -> Self {
        Self {
            class: WorkClass::Short,
            picker,
            random: StdRng::seed_from_u64(seed),
            targets: Vec::new(),
        }
    }

    /// Sets the class of the calls. Long work has room only in its share of the slots.
    #[must_use]
    pub fn for_class(mut self, class: WorkClass) -> Self {
        self.class = class;
        self
    }

    /// Replaces the list of targets. Targets that stay keep their state; new ones start slowly.
    pub fn update_targets(&mut self, entries: impl IntoIterator<Item = TargetEntry>, now: Instant) {
        let mut known: HashMap<NodeId, TargetState> = std::mem::take(&mut self.targets)
            .into_iter()
            .map(|target| (target.node.clone(), target))
            .collect();
        for entry in entries {
            let target = match known.remove(&entry.node) {
                Some(mut target) => {
                    target.update(&entry);
                    target
                }
                None => TargetState::new(entry, now),
            };
            self.targets.push(target);
        }
        self.targets
            .sort_by(|left, right| left.node.cmp(&right.node));
        self.targets.dedup_by(|left, right| left.node == right.node);
        self.enforce_quarantine_limit(now);
    }

    /// Chooses a target. `excluded` are the nodes that the call was already sent to.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::NoTarget`] when every target is excluded, draining or unknown.
    pub fn pick(
        &mut self,
        excluded: &[NodeId],
        now: Instant,
    ) -> Result<TargetChoice, RefusalReason> {
        let mut usable: SmallVec<[&TargetState; 16]> = self
            .targets
            .iter()
            .filter(|target| target.is_accepting(now) && !excluded.contains(&target.node))
            .collect();
        let mut only_quarantined = false;
        if self.picker.heeds_quarantine() {
            let standing = |target: &TargetState| target.standing(now);
            let best = usable.iter().map(|target| standing(target)).min();
            usable.retain(|target| Some(standing(target)) == best);
            only_quarantined = best == Some(TargetStanding::Quarantined);
        }
        let class = self.class;
        let tier = choose_tier(&usable, class, now);
        let (tier, tier_reason) = tier.ok_or(RefusalReason::NoTarget)?;
        usable.retain(|target| target.tier == tier);
        let has_slot = |target: &TargetState| {
            let room = SlotRoom::of(target, class, 1.0, now);
            room.is_free()
        };
        if self.picker.heeds_quarantine() && usable.iter().any(|target| has_slot(target)) {
            // A burst meets a full target with a refusal while another one still has a slot.
            usable.retain(|target| has_slot(target));
        }
        let candidates = list_candidates(&usable, now);
        let (index, reason) = self
            .picker
            .pick(&candidates, &mut self.random)
            .ok_or(RefusalReason::NoTarget)?;
        Ok(TargetChoice {
            node: usable[index].node.clone(),
            tier,
            reason,
            tier_reason: if only_quarantined {
                TierReason::OnlyQuarantined
            } else {
                tier_reason
            },
        })
    }

    /// Takes over how many requests of other work classes this node has in flight at each target.
    pub fn set_other_class_in_flight(&mut self, count: impl Fn(&NodeId) -> u32) {
        for target in &mut self.targets {
            target.elsewhere = count(&target.node);
        }
    }

    /// Own requests in flight at a target.
    #[must_use]
    pub fn in_flight(&self, node: &NodeId) -> u32 {
        let index = self
            .targets
            .binary_search_by(|target| target.node.cmp(node));
        index.map_or(0, |index| self.targets[index].in_flight)
    }

    /// Notes that an attempt is sent to a target.
    pub fn start_attempt(&mut self, node: &NodeId, now: Instant) {
        if let Some(target) = self.find_mut(node) {
            target.start(now);
        }
    }

    /// Notes the end of an attempt that was started. `latency` is the time until the head of the
    /// answer, or until the attempt ended without one. Returns a change that should be logged.
    pub fn finish_attempt(
        &mut self,
        node: &NodeId,
        result: AttemptResult,
        latency: Duration,
        report: Option<LoadReport>,
        now: Instant,
    ) -> Option<TargetChange> {
        let may_quarantine = self.may_quarantine(now);
        let target = self.find_mut(node)?;
        match result {
            AttemptResult::Answered => target.record_latency(latency, now),
            AttemptResult::TimedOut | AttemptResult::Cancelled => {
                target.raise_latency(latency, now);
            }
            AttemptResult::Refused { reason, .. } if is_full(reason) => target.record_full(now),
            AttemptResult::Refused {
                reason: RefusalReason::Draining,
                ..
            } => target.refuse_until(now + DRAIN_EXCLUSION),
            _ => {}
        }
        let refused_as_full =
            matches!(result, AttemptResult::Refused { reason, .. } if is_full(reason));
        if let Some(report) = report.filter(|_| !refused_as_full) {
            // A refusal says more about the room for this class than the load beside it.
            target.record_report(report, now);
        }
        target.end(now);
        match health_of(result) {
            TargetHealth::Answering => target.release().then_some(TargetChange::Released),
            TargetHealth::Unknown => None,
            TargetHealth::Gone => {
                target.failures = target.failures.max(FAILURES_TO_QUARANTINE);
                quarantine(target, may_quarantine, now)
            }
            TargetHealth::Failing => {
                target.failures = target.failures.saturating_add(1);
                quarantine(target, may_quarantine, now)
            }
        }
    }

    /// Takes over a load report that arrived without an attempt.
    pub fn record_report(&mut self, node: &NodeId, report: LoadReport, now: Instant) {
        if let Some(target) = self.find_mut(node) {
            target.record_report(report, now);
        }
    }

    /// Describes all targets, sorted by node.
    #[must_use]
    pub fn statuses(&self, now: Instant) -> Vec<TargetStatus> {
        self.targets
            .iter()
            .map(|target| TargetStatus {
                node: target.node.clone(),
                tier: target.tier,
                in_flight: target.in_flight,
                latency: target.expected_latency(now).map(Duration::from_secs_f64),
                quarantined: target.is_quarantined(now),
                draining: !target.is_accepting(now),
            })
            .collect()
    }

    fn find_mut(&mut self, node: &NodeId) -> Option<&mut TargetState> {
        let index = self
            .targets
            .binary_search_by(|target| target.node.cmp(node))
            .ok()?;
        self.targets.get_mut(index)
    }

    /// Largest number of quarantined targets: half of those that are not leaving. If all targets
    /// seem to fail, the cause is more likely this node's own network.
    fn quarantine_limit(&self) -> usize {
        let staying = self.targets.iter().filter(|target| !target.draining);
        staying.count() / 2
    }

    fn quarantined_count(&self, now: Instant) -> usize {
        let quarantined = self
            .targets
            .iter()
            .filter(|target| target.is_quarantined(now));
        quarantined.count()
    }

    fn may_quarantine(&self, now: Instant) -> bool {
        self.quarantined_count(now) < self.quarantine_limit()
    }

    /// Releases the targets whose quarantine ends first when too few targets are left.
    fn enforce_quarantine_limit(&mut self, now: Instant) {
        while self.quarantined_count(now) > self.quarantine_limit() {
            let first = self
                .targets
                .iter_mut()
                .filter(|target| target.is_quarantined(now))
                .min_by_key(|target| target.quarantine_end());
            if let Some(target) = first {
                target.release();
            }
        }
    }
}

/// What a result says about a target's health.
enum TargetHealth {
    Answering,
    Failing,
    Gone,
    Unknown,
}

fn health_of(result: AttemptResult) -> TargetHealth {
    match result {
        AttemptResult::Answered => TargetHealth::Answering,
        AttemptResult::ConnectFailed => TargetHealth::Gone,
        AttemptResult::ConnectionLost | AttemptResult::TimedOut => TargetHealth::Failing,
        AttemptResult::Cancelled => TargetHealth::Unknown,
        AttemptResult::Refused { reason, outcome } => match reason {
            RefusalReason::NoLocalTarget | RefusalReason::ConnectFailed => TargetHealth::Gone,
            RefusalReason::ConnectionLost => TargetHealth::Failing,
            _ if outcome == CallOutcome::NotRun => TargetHealth::Answering,
            _ => TargetHealth::Unknown,
        },
    }
}

fn is_full(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::QueueFull | RefusalReason::Overloaded | RefusalReason::DeadlineTooClose
    )
}

fn quarantine(target: &mut TargetState, allowed: bool, now: Instant) -> Option<TargetChange> {
    let due = target.failures >= FAILURES_TO_QUARANTINE && !target.is_quarantined(now);
    if !due || !allowed {
        return None;
    }
    let until = target.enter_quarantine(now);
    Some(TargetChange::Quarantined { until })
}

/// Finds the nearest tier that has room, or the nearest one when none has.
fn choose_tier(
    usable: &[&TargetState],
    class: WorkClass,
    now: Instant,
) -> Option<(LocalityTier, TierReason)> {
    let mut tiers: SmallVec<[LocalityTier; 16]> = usable.iter().map(|target| target.tier).collect();
    tiers.sort_unstable();
    tiers.dedup();
    let nearest = *tiers.first()?;
    let roomy = tiers
        .into_iter()
        .find(|tier| has_room(usable, class, *tier, now));
    Some(match roomy {
        None => (nearest, TierReason::AllTiersFull),
        Some(tier) if tier == nearest => (tier, TierReason::NearestWithRoom),
        Some(tier) => (tier, TierReason::NearerTiersFull),
    })
}

fn has_room(usable: &[&TargetState], class: WorkClass, tier: LocalityTier, now: Instant) -> bool {
    let warmest = max_warmth(usable.iter().filter(|target| target.tier == tier), now);
    let mut room = SlotRoom::default();
    for target in usable.iter().filter(|target| target.tier == tier) {
        room.add(&SlotRoom::of(
            target,
            class,
            target.warmth(now) / warmest,
            now,
        ));
    }
    room.is_free()
}

/// Slots that a class of work may use, and how many are taken.
#[derive(Clone, Copy, Debug, Default)]
struct SlotRoom {
    /// Requests of all classes that run or wait.
    load: f64,
    /// Slots that these may hold altogether.
    slots: f64,
    /// Own requests of the class.
    own: f64,
    /// Slots that the class may hold.
    share: f64,
}

impl SlotRoom {
    /// Room at one target. The target's profile may set another share for long work; its refusals
    /// then tell, see [`TargetState::record_full`].
    fn of(target: &TargetState, class: WorkClass, warmth: f64, now: Instant) -> Self {
        let (slots, share) = match class {
            WorkClass::Short => (target.slots(), target.slots()),
            WorkClass::Long => {
                let percent = f64::from(ProfileLimits::default().long_percent);
                // One slot is always left to short work.
                (
                    target.slots() - 1.0,
                    (target.slots() * percent / 100.0).max(1.0),
                )
            }
        };
        Self {
            load: target.load(now),
            slots: slots * warmth,
            own: f64::from(target.in_flight),
            share: share * warmth,
        }
    }

    fn add(&mut self, other: &Self) {
        self.load += other.load;
        self.slots += other.slots;
        self.own += other.own;
        self.share += other.share;
    }

    fn is_free(&self) -> bool {
        self.load < self.slots && self.own < self.share
    }
}

/// Warmth counts relative to the warmest target: when all are new, as after a restart of this node,
/// none of them is held back.
fn max_warmth<'a>(targets: impl Iterator<Item = &'a &'a TargetState>, now: Instant) -> f64 {
    targets.fold(f64::MIN_POSITIVE, |warmest, target| {
        warmest.max(target.warmth(now))
    })
}

fn list_candidates<'a>(
    usable: &[&'a TargetState],
    now: Instant,
) -> SmallVec<[PickCandidate<'a>; 16]> {
    let warmest = max_warmth(usable.iter(), now);
    usable
        .iter()
        .map(|target| PickCandidate {
            node: &target.node,
            in_flight: target.in_flight,
            latency: target.expected_latency(now),
            waited: target.waited(now),
            load_hint: target.reported_load(now) / target.slots(),
            report: target.last_report(),
            failures: target.failures,
            warmth: target.warmth(now) / warmest,
        })
        .collect()
}
