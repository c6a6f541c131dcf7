//! Targets of one service and load balancing among them. See `docs/design.md`, section 6.

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
use crate::target::{QuarantineState, TargetState};
use crate::{AttemptResult, ChoiceReason, LoadReport, PickCandidate, TargetPicker};

/// Consecutive timeouts or lost connections after which a target is quarantined. A single one may
/// be caused by the request.
const FAILURES_TO_QUARANTINE: u32 = 3;

/// Time for which a target that refused a call as draining gets no new work. Its endpoint record
/// announces the drain within 3 s.
const DRAIN_EXCLUSION: Duration = Duration::from_secs(5);

/// Network distance of a target from this node, nearest first.
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
    /// Same data centre.
    SameDataCentre,
    /// Another data centre of the same region.
    SameRegion,
    /// Another region, reached over a link that is billed by volume.
    Remote,
}

/// A target as reported by service discovery.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TargetEntry {
    /// Node that forwards requests to the target.
    pub node: NodeId,
    /// Network distance of the target from this node.
    pub tier: LocalityTier,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is draining and receives no new work.
    pub draining: bool,
}

/// Selected target and the reasons for the choice, which are logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// Node that forwards requests to the target.
    pub node: NodeId,
    /// Network distance of the target from this node.
    pub tier: LocalityTier,
    /// Why the target was chosen among those of its tier.
    pub reason: ChoiceReason,
    /// Why the tier was chosen.
    pub tier_reason: TierReason,
}

impl std::fmt::Display for TargetChoice {
    /// Formats the choice for its log line.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} ({}, {}, {})",
            self.node, self.tier, self.tier_reason, self.reason
        )
    }
}

/// Reason for the choice of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TierReason {
    /// The nearest tier with usable targets has free slots.
    NearestWithRoom,
    /// All nearer tiers are full.
    NearerTiersFull,
    /// All tiers are full, so the nearest one is used.
    AllTiersFull,
    /// All remaining targets are quarantined.
    OnlyQuarantined,
}

/// Change of a target's quarantine, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target was quarantined.
    Quarantined {
        /// Time at which the quarantine ends.
        until: Instant,
    },
    /// The target answered, which ended its quarantine.
    Released,
}

/// State of a target, for status pages and metrics.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct TargetStatus {
    /// Node that forwards requests to the target.
    pub node: NodeId,
    /// Network distance of the target from this node.
    pub tier: LocalityTier,
    /// Requests of this node in flight at the target.
    pub in_flight: u32,
    /// Expected latency; `None` before the first answer.
    pub latency: Option<Duration>,
    /// Whether the target receives work only if no other target is usable.
    pub quarantined: bool,
    /// Whether the target takes no new work, according to its record or to a recent refusal as
    /// draining.
    pub draining: bool,
}

/// Load balancer for the targets of one service.
///
/// Use one balancer per service and work class: a download takes many times longer than a page
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
    /// Creates a balancer without targets that uses the picker of the given kind.
    #[must_use]
    pub fn new(kind: LoadBalancingPolicy, seed: u64) -> Self {
        Self::with_picker(create_picker(kind), seed)
    }

    /// Creates a balancer without targets that uses the given picker.
    #[must_use]
    pub fn with_picker(picker: Box<dyn TargetPicker>, seed: u64) -> Self {
        Self {
            class: WorkClass::Short,
            picker,
            random: StdRng::seed_from_u64(seed),
            targets: Vec::new(),
        }
    }

    /// Sets the work class of the calls. Long work may use only its share of the slots.
    #[must_use]
    pub fn for_class(mut self, class: WorkClass) -> Self {
        self.class = class;
        self
    }

    /// Replaces the list of targets. Targets that remain keep their state; new ones go through a
    /// slow start.
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

    /// Chooses a target. `excluded` lists the nodes that the call was already sent to.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::NoTarget`] if every target is excluded, draining or unknown.
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
        if self.picker.excludes_quarantined() {
            let quarantine_state = |target: &TargetState| target.quarantine_state(now);
            let best = usable.iter().map(|target| quarantine_state(target)).min();
            usable.retain(|target| Some(quarantine_state(target)) == best);
            only_quarantined = best == Some(QuarantineState::Quarantined);
        }
        let class = self.class;
        let tier = choose_tier(&usable, class, now);
        let (tier, tier_reason) = tier.ok_or(RefusalReason::NoTarget)?;
        usable.retain(|target| target.tier == tier);
        let has_slot = |target: &TargetState| {
            let room = SlotCapacity::of(target, class, 1.0, now);
            room.is_free()
        };
        if self.picker.excludes_quarantined() && usable.iter().any(|target| has_slot(target)) {
            // Without this filter, a burst of calls would be refused by a full target while another
            // one still has a free slot.
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

    /// Updates the number of requests of other work classes that this node has in flight at each
    /// target.
    pub fn set_other_class_in_flight(&mut self, count: impl Fn(&NodeId) -> u32) {
        for target in &mut self.targets {
            target.other_class_in_flight = count(&target.node);
        }
    }

    /// Returns the number of requests that this balancer has in flight at a target.
    #[must_use]
    pub fn in_flight(&self, node: &NodeId) -> u32 {
        let index = self
            .targets
            .binary_search_by(|target| target.node.cmp(node));
        index.map_or(0, |index| self.targets[index].in_flight)
    }

    /// Records that an attempt is sent to a target.
    pub fn start_attempt(&mut self, node: &NodeId, now: Instant) {
        if let Some(target) = self.find_mut(node) {
            target.start(now);
        }
    }

    /// Records the end of an attempt that was started. `latency` is the time until the response
    /// head arrived, or until the attempt ended without one. Returns a change that should be
    /// logged.
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
            // A refusal is better evidence of the room for this class than the load reported with
            // it.
            target.record_report(report, now);
        }
        target.end(now);
        match health_of(result) {
            TargetHealth::Answering => target.release().then_some(TargetChange::Released),
            TargetHealth::Unknown => None,
            TargetHealth::Unreachable => {
                target.failures = target.failures.max(FAILURES_TO_QUARANTINE);
                quarantine(target, may_quarantine, now)
            }
            TargetHealth::Failing => {
                target.failures = target.failures.saturating_add(1);
                quarantine(target, may_quarantine, now)
            }
        }
    }

    /// Records a load report that arrived without an attempt.
    pub fn record_report(&mut self, node: &NodeId, report: LoadReport, now: Instant) {
        if let Some(target) = self.find_mut(node) {
            target.record_report(report, now);
        }
    }

    /// Returns the state of all targets, sorted by node.
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

    /// Maximum number of quarantined targets: half of those that are not draining. If all targets
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

    /// Ends the quarantines that expire first while more targets are quarantined than allowed.
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

/// What the result of an attempt says about the health of its target.
enum TargetHealth {
    Answering,
    Failing,
    Unreachable,
    Unknown,
}

fn health_of(result: AttemptResult) -> TargetHealth {
    match result {
        AttemptResult::Answered => TargetHealth::Answering,
        AttemptResult::ConnectFailed => TargetHealth::Unreachable,
        AttemptResult::ConnectionLost | AttemptResult::TimedOut => TargetHealth::Failing,
        AttemptResult::Cancelled => TargetHealth::Unknown,
        AttemptResult::Refused { reason, outcome } => match reason {
            RefusalReason::NoLocalTarget | RefusalReason::ConnectFailed => {
                TargetHealth::Unreachable
            }
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

/// Returns the nearest tier with free slots, or the nearest one if all are full.
fn choose_tier(
    usable: &[&TargetState],
    class: WorkClass,
    now: Instant,
) -> Option<(LocalityTier, TierReason)> {
    let mut tiers: SmallVec<[LocalityTier; 16]> = usable.iter().map(|target| target.tier).collect();
    tiers.sort_unstable();
    tiers.dedup();
    let nearest = *tiers.first()?;
    let tier_with_room = tiers
        .into_iter()
        .find(|tier| has_room(usable, class, *tier, now));
    Some(match tier_with_room {
        None => (nearest, TierReason::AllTiersFull),
        Some(tier) if tier == nearest => (tier, TierReason::NearestWithRoom),
        Some(tier) => (tier, TierReason::NearerTiersFull),
    })
}

fn has_room(usable: &[&TargetState], class: WorkClass, tier: LocalityTier, now: Instant) -> bool {
    let warmest = max_warmth(usable.iter().filter(|target| target.tier == tier), now);
    let mut room = SlotCapacity::default();
    for target in usable.iter().filter(|target| target.tier == tier) {
        room.add(&SlotCapacity::of(
            target,
            class,
            target.warmth(now) / warmest,
            now,
        ));
    }
    room.is_free()
}

/// Slots that a work class may use, and how many are taken, of one target or a tier.
#[derive(Clone, Copy, Debug, Default)]
struct SlotCapacity {
    /// Running and queued requests of all classes.
    load: f64,
    /// Slots that all classes may use together.
    slots: f64,
    /// Requests of this node of the class.
    own: f64,
    /// Slots that the class may use.
    share: f64,
}

impl SlotCapacity {
    /// Capacity of one target. The target's profile may set another share for long work; its
    /// refusals then show that it is full, see [`TargetState::record_full`].
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

/// Returns the highest warmth of the targets. Warmth counts relative to it: if all targets are new,
/// as after a restart of this node, none of them is held back.
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
