//! Choice among the candidates of one tier. See `docs/design.md`, section 6.

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

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PickCandidate<'a> {
    /// Its node.
    pub node: &'a NodeId,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Expected latency in seconds, `None` before the first answer.
    pub latency: Option<f64>,
    /// Seconds for which attempts have been in flight without any of them ending.
    pub waited: f64,
    /// Discounted load that other nodes cause, as a share of the slots.
    pub load_hint: f64,
    /// Latest load report, whatever its age.
    pub report: Option<LoadReport>,
    /// Failures since the last answer.
    pub failures: u32,
    /// Progress of the slow start relative to the warmest candidate, from above 0 to 1.
    pub warmth: f64,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ChoiceReason {
    /// It had the lower cost of two random candidates.
    LowerCost,
    /// It was the only candidate, or the only one that slow start let take part.
    OnlyCandidate,
    /// It was its turn.
    NextInTurn,
    /// At random.
    Random,
    /// It reported the least load.
    LeastReported,
}

/// Chooses one of several candidates. Implementations keep only what they need between choices.
pub trait TargetPicker: Send + std::fmt::Debug {
    /// Returns the index of the chosen candidate, `None` when there are no candidates.
    fn pick(
        &mut self,
        candidates: &[PickCandidate<'_>],
        random: &mut StdRng,
    ) -> Option<(usize, ChoiceReason)>;

    /// Tells whether quarantined targets are left out of the candidates.
    fn heeds_quarantine(&self) -> bool {
        false
    }
}

/// Creates the picker of a kind.
pub(crate) fn create_picker(kind: LoadBalancingPolicy) -> Box<dyn TargetPicker> {
    match kind {
        LoadBalancingPolicy::LeastLatency => Box::new(LeastLatencyPicker),
        LoadBalancingPolicy::RoundRobin => Box::new(RoundRobinPicker::default()),
        LoadBalancingPolicy::Random => Box::new(RandomPicker),
        LoadBalancingPolicy::LeastReportedLoad => Box::new(LeastReportedPicker),
    }
}

/// Takes the cheaper of two random candidates. Comparing two, and not all, keeps many nodes from
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
            .filter(|index| is_drawn(&candidates[*index], random))
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

    fn heeds_quarantine(&self) -> bool {
        true
    }
}

/// Lets a cold candidate take part in a share of the choices. The warmest one always takes part.
fn is_drawn(candidate: &PickCandidate<'_>, random: &mut StdRng) -> bool {
    candidate.warmth >= 1.0 || random.random::<f64>() < candidate.warmth
}

/// Mean latency of the candidates that have one, assumed for those that do not.
fn typical_latency(candidates: &[PickCandidate<'_>]) -> f64 {
    let known = candidates.iter().filter_map(|candidate| candidate.latency);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), latency| {
        (sum + latency, count + 1.0)
    });
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Cost of one more request. Reported load at most doubles it, because reports are late.
fn cost(candidate: &PickCandidate<'_>, typical: f64) -> f64 {
    let latency = candidate.latency.unwrap_or(typical);
    let latency = latency.max(candidate.waited).max(MIN_LATENCY);
    let queue = f64::from(candidate.in_flight) + 1.0;
    let hint = 1.0 + candidate.load_hint.min(1.0);
    let failures = f64::from(candidate.failures) + 1.0;
    queue * latency * hint * failures
}

/// Baseline: each candidate in turn.
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

/// Baseline: any candidate.
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

/// Baseline: the candidate with the least reported load, at random among equals. Candidates without
/// a report count as idle.
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
