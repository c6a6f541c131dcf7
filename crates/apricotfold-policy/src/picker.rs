//! Load balancing algorithms that choose one of the targets of a tier. See `docs/design.md`,
//! section 6.

use apricotfold_model::{LoadBalancingPolicy, NodeId};
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::LoadReport;

/// Latency in seconds below which targets count as equally fast, so that their requests in flight
/// decide.
const MIN_LATENCY: f64 = 0.000_1;

/// A target that can be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PickCandidate<'a> {
    /// Node that forwards requests to the target.
    pub node: &'a NodeId,
    /// Requests of this node in flight at the target.
    pub in_flight: u32,
    /// Expected latency in seconds; `None` before the first answer.
    pub latency: Option<f64>,
    /// Seconds for which attempts have been in flight without any of them ending.
    pub waited: f64,
    /// Load caused by other nodes as a share of the slots, discounted by the age of the report.
    pub load_hint: f64,
    /// Latest load report, whatever its age.
    pub report: Option<LoadReport>,
    /// Timeouts and lost connections since the last answer.
    pub failures: u32,
    /// Progress of the slow start relative to the warmest candidate, above 0 and at most 1.
    pub warmth: f64,
}

/// Reason for the choice of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ChoiceReason {
    /// It had the lower cost of two random candidates.
    LowerCost,
    /// It was the only candidate, or the only one that its slow start did not hold back.
    OnlyCandidate,
    /// It was the next candidate in round-robin order.
    NextInTurn,
    /// It was chosen at random.
    Random,
    /// It reported the least load.
    LeastReported,
}

/// Load balancing algorithm that chooses one of several candidates. Implementations store only what
/// they need between choices.
pub trait TargetPicker: Send + std::fmt::Debug {
    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    fn pick(
        &mut self,
        candidates: &[PickCandidate<'_>],
        random: &mut StdRng,
    ) -> Option<(usize, ChoiceReason)>;

    /// Returns whether quarantined and full targets are left out of the candidates.
    fn excludes_quarantined(&self) -> bool {
        false
    }
}

/// Creates a picker of the given kind.
pub(crate) fn create_picker(kind: LoadBalancingPolicy) -> Box<dyn TargetPicker> {
    match kind {
        LoadBalancingPolicy::LeastLatency => Box::new(LeastLatencyPicker),
        LoadBalancingPolicy::RoundRobin => Box::new(RoundRobinPicker::default()),
        LoadBalancingPolicy::Random => Box::new(RandomPicker),
        LoadBalancingPolicy::LeastReportedLoad => Box::new(LeastReportedPicker),
    }
}

/// Chooses the cheaper of two random candidates. Comparing two instead of all keeps many nodes from
/// sending to the same target at once.
#[derive(Debug)]
struct LeastLatencyPicker;

impl TargetPicker for LeastLatencyPicker {
    fn pick(
        &mut self,
        candidates: &[PickCandidate<'_>],
        random: &mut StdRng,
    ) -> Option<(usize, ChoiceReason)> {
        let warm: SmallVec<[usize; 16]> = (0..candidates.len())
            .filter(|index| passes_slow_start(&candidates[*index], random))
            .collect();
        let first = *warm.choose(random)?;
        let others: SmallVec<[usize; 16]> =
            warm.into_iter().filter(|index| *index != first).collect();
        let Some(second) = others.choose(random).copied() else {
            return Some((first, ChoiceReason::OnlyCandidate));
        };
        let typical = typical_latency(candidates);
        let first_cost = cost(&candidates[first], typical);
        let second_cost = cost(&candidates[second], typical);
        let chosen = if second_cost < first_cost {
            second
        } else {
            first
        };
        Some((chosen, ChoiceReason::LowerCost))
    }

    fn excludes_quarantined(&self) -> bool {
        true
    }
}

/// Returns whether a candidate takes part in this choice. A cold one does so with a probability of
/// its warmth, the warmest one always.
fn passes_slow_start(candidate: &PickCandidate<'_>, random: &mut StdRng) -> bool {
    candidate.warmth >= 1.0 || random.random::<f64>() < candidate.warmth
}

/// Mean latency of the candidates that have one, used as an estimate for those that do not.
fn typical_latency(candidates: &[PickCandidate<'_>]) -> f64 {
    let known = candidates.iter().filter_map(|candidate| candidate.latency);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), latency| {
        (sum + latency, count + 1.0)
    });
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Cost of one more request. The reported load at most doubles it, because reports arrive late.
fn cost(candidate: &PickCandidate<'_>, typical: f64) -> f64 {
    let latency = candidate.latency.unwrap_or(typical);
    let latency = latency.max(candidate.waited).max(MIN_LATENCY);
    let queue = f64::from(candidate.in_flight) + 1.0;
    let hint = 1.0 + candidate.load_hint.min(1.0);
    let failures = f64::from(candidate.failures) + 1.0;
    queue * latency * hint * failures
}

/// Baseline for comparisons: round robin.
#[derive(Debug, Default)]
struct RoundRobinPicker {
    turn: usize,
}

impl TargetPicker for RoundRobinPicker {
    fn pick(
        &mut self,
        candidates: &[PickCandidate<'_>],
        _random: &mut StdRng,
    ) -> Option<(usize, ChoiceReason)> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.turn % candidates.len();
        self.turn = self.turn.wrapping_add(1);
        Some((index, ChoiceReason::NextInTurn))
    }
}

/// Baseline for comparisons: a random candidate.
#[derive(Debug)]
struct RandomPicker;

impl TargetPicker for RandomPicker {
    fn pick(
        &mut self,
        candidates: &[PickCandidate<'_>],
        random: &mut StdRng,
    ) -> Option<(usize, ChoiceReason)> {
        if candidates.is_empty() {
            return None;
        }
        let index = random.random_range(0..candidates.len());
        Some((index, ChoiceReason::Random))
    }
}

/// Baseline for comparisons: the candidate with the least reported load, at random among equals.
/// Candidates without a report count as idle.
#[derive(Debug)]
struct LeastReportedPicker;

impl TargetPicker for LeastReportedPicker {
    fn pick(
        &mut self,
        candidates: &[PickCandidate<'_>],
        random: &mut StdRng,
    ) -> Option<(usize, ChoiceReason)> {
        let load = |index: usize| {
            let report = candidates[index].report;
            report.map_or(0, |report| report.in_flight)
        };
        let least = (0..candidates.len()).map(load).min()?;
        let equals: SmallVec<[usize; 16]> = (0..candidates.len())
            .filter(|index| load(*index) == least)
            .collect();
        let index = *equals.choose(random)?;
        Some((index, ChoiceReason::LeastReported))
    }
}
