//! Helpers shared by the tests of this crate.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, LoadBalancingPolicy, NodeId, RefusalReason};
use apricotfold_policy::{AttemptResult, LocalityTier, ServiceBalancer, TargetChange, TargetEntry};
use rand::{SeedableRng, rngs::StdRng};

pub const ANSWERED: AttemptResult = AttemptResult::Answered;
pub const FAILED: AttemptResult = AttemptResult::ConnectFailed;
pub const LOST: AttemptResult = AttemptResult::ConnectionLost;
pub const TIMED_OUT: AttemptResult = AttemptResult::TimedOut;
pub const SEEDS: std::ops::Range<u64> = 0..200;

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn seeded(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

pub fn refused(reason: RefusalReason) -> AttemptResult {
    let outcome = CallOutcome::NotRun;
    AttemptResult::Refused { reason, outcome }
}

pub fn entry(node: &str, tier: LocalityTier, slots: u32) -> TargetEntry {
    TargetEntry {
        node: node.into(),
        tier,
        slots,
        draining: false,
    }
}

/// Creates the targets `t0`, `t1` and so on in the same data centre, with 12 slots each.
pub fn local_entries(count: usize) -> Vec<TargetEntry> {
    (0..count)
        .map(|index| entry(&format!("t{index}"), LocalityTier::SameDataCentre, 12))
        .collect()
}

pub fn local_balancer(
    kind: LoadBalancingPolicy,
    count: usize,
    seed: u64,
    now: Instant,
) -> ServiceBalancer {
    let mut balancer = ServiceBalancer::new(kind, seed);
    balancer.update_targets(local_entries(count), now);
    balancer
}

/// Sends one attempt to a node and ends it `latency` later.
pub fn attempt(
    balancer: &mut ServiceBalancer,
    node: &str,
    result: AttemptResult,
    latency: Duration,
    now: Instant,
) -> Option<TargetChange> {
    let node = NodeId::from(node);
    balancer.start_attempt(&node, now);
    balancer.finish_attempt(&node, result, latency, None, now + latency)
}
