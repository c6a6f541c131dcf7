//! Deciders of a rollout that die, lose answers, or write late.

use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, RolloutState};
use apricotfold_policy::{ClaimAction, DeciderClaim, decider_rank};
use proptest::prelude::*;

const TTL: u64 = 2_000;

/// Record of one order in the store, as conditional writes see it.
#[derive(Clone, Default)]
struct Store {
    revision: u64,
    /// Revision, state, holder and, unless the state is final, the time at which the lease ends.
    record: Option<(u64, RolloutState, usize, Option<u64>)>,
    finals: Vec<RolloutState>,
}

impl Store {
    fn expire(&mut self, now: u64) {
        let ended = |end: Option<u64>| end.is_some_and(|end| end <= now);
        if self.record.is_some_and(|(_, _, _, end)| ended(end)) {
            self.record = None;
        }
    }

    fn write(&mut self, node: usize, state: RolloutState, expected: u64, now: u64) -> Option<u64> {
        self.expire(now);
        if self.record.map_or(0, |(revision, ..)| revision) != expected {
            return None;
        }
        self.revision += 1;
        let end = (!state.is_final()).then_some(now + TTL);
        self.record = Some((self.revision, state, node, end));
        if state.is_final() {
            self.finals.push(state);
        }
        Some(self.revision)
    }
}

/// What happens to a node at a step.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It acts on what it sees, and would end the rollout in this way.
    Act(Option<RolloutState>),
    /// As before, but its answer is lost.
    ActUnanswered(Option<RolloutState>),
    /// As before, and the write takes effect only some steps later.
    ActLate(Option<RolloutState>, u8),
    /// It hears of the present record.
    Look,
    Die,
    Renew,
}

fn decisions() -> impl Strategy<Value = Option<RolloutState>> {
    prop_oneof![
        Just(None),
        Just(Some(RolloutState::Completed)),
        Just(Some(RolloutState::RolledBack)),
    ]
}

fn steps() -> impl Strategy<Value = (usize, u64, Step)> {
    let step = prop_oneof![
        4 => decisions().prop_map(Step::Act),
        2 => decisions().prop_map(Step::ActUnanswered),
        2 => (decisions(), 1..20_u8).prop_map(|(state, later)| Step::ActLate(state, later)),
        4 => Just(Step::Look),
        1 => Just(Step::Die),
        2 => Just(Step::Renew),
    ];
    (0..4_usize, 0..600_u64, step)
}

#[derive(Default)]
struct Node {
    claim: DeciderClaim,
    found: u64,
    vacant: Option<Instant>,
}

impl Node {
    /// Takes the present record, as after a conflict or a read.
    fn look(&mut self, own: usize, store: &Store, base: Instant, now: u64) {
        let known = store.record;
        self.found = known.map_or(0, |(revision, ..)| revision);
        self.vacant = known.is_none().then_some(base + Duration::from_millis(now));
        match known {
            Some((revision, RolloutState::Active, holder, _)) if holder == own => {
                self.claim
                    .record_written(RolloutState::Active, revision, base);
            }
            _ => self.claim.release(),
        }
    }
}

proptest! {
    /// Guards against a rollout that is completed by one decider and rolled back by another one, or
    /// decided again, when deciders die and writes are late or unanswered.
    #[test]
    fn final_states_agree(steps in prop::collection::vec(steps(), 1..300)) {
        let base = Instant::now();
        let mut store = Store::default();
        let mut nodes: Vec<Node> = (0..4).map(|_| Node::default()).collect();
        for node in &mut nodes {
            node.vacant = Some(base);
        }
        let mut late: Vec<(u8, usize, RolloutState, u64)> = Vec::new();
        let mut now = 0;
        for (index, pause, step) in steps {
            now += pause;
            store.expire(now);
            for (left, node, state, expected) in &mut late {
                *left = left.saturating_sub(1);
                if *left == 0 {
                    store.write(*node, *state, *expected, now);
                }
            }
            late.retain(|(left, ..)| *left > 0);
            let node = &mut nodes[index];
            let at = base + Duration::from_millis(now);
            let rank = u32::try_from(index).ok();
            let plan = |node: &Node, decision| {
                match node.claim.next(rank, node.found, node.vacant, decision, at) {
                    ClaimAction::Write { state, expected } => Some((state, expected)),
                    ClaimAction::Wait => None,
                }
            };
            match step {
                Step::Look => node.look(index, &store, base, now),
                Step::Die => *node = Node::default(),
                Step::Renew => {
                    if let Some((revision, _, holder, Some(end))) = &mut store.record
                        && *holder == index && node.claim.holds()
                    {
                        node.found = *revision;
                        *end = now + TTL;
                        node.claim.record_renewal(at);
                    }
                }
                Step::Act(decision) => if let Some((state, expected)) = plan(node, decision) {
                    match store.write(index, state, expected, now) {
                        Some(revision) => {
                            node.claim.record_written(state, revision, at);
                            node.found = revision;
                        }
                        None => node.look(index, &store, base, now),
                    }
                },
                Step::ActUnanswered(decision) => if let Some((state, expected)) = plan(node, decision) {
                    store.write(index, state, expected, now);
                    node.claim.record_unknown();
                },
                Step::ActLate(decision, left) => if let Some((state, expected)) = plan(node, decision) {
                    late.push((left, index, state, expected));
                    node.claim.record_unknown();
                },
            }
            prop_assert!(store.finals.len() <= 1, "{:?}", store.finals);
            if let Some(last) = store.finals.last() {
                prop_assert_eq!(store.record.map(|(_, state, ..)| state), Some(*last));
            }
        }
    }
}

/// Guards against several nodes that offer to decide at once, and against none that does.
#[test]
fn ranks_differ() {
    let nodes: Vec<NodeId> = (0..30).map(|index| format!("n-{index}").into()).collect();
    let service = "precios".into();
    let ranks = nodes
        .iter()
        .map(|own| decider_rank(&service, own, nodes.iter()));
    let mut ranks: Vec<u32> = ranks.flatten().collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..8).collect::<Vec<_>>());
}

/// Guards against a decider that goes on granting after its lease may have ended.
#[test]
fn doubts_old_leases() {
    let now = Instant::now();
    let mut claim = DeciderClaim::default();
    claim.record_written(RolloutState::Active, 7, now);
    assert!(claim.is_certain(now + Duration::from_millis(1_400)));
    assert!(!claim.is_certain(now + Duration::from_millis(1_600)));
    claim.record_renewal(now + Duration::from_millis(1_600));
    assert!(claim.is_certain(now + Duration::from_millis(1_700)));
}
