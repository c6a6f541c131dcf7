//! Choice of a target by the balancer: tiers, exclusions, latency and baselines.

mod support;

use std::time::Instant;

use apricotfold_model::{LoadBalancingPolicy, NodeId, RefusalReason, WorkClass};
use apricotfold_policy::{LoadReport, LocalityTier, ServiceBalancer, TierReason};
use rand::RngExt;
use support::{
    ANSWERED, FAILED, SEEDS, TIMED_OUT, attempt, entry, local_balancer, local_entries, ms, refused,
    seeded,
};

const NEAR: LocalityTier = LocalityTier::SameDataCentre;
const FAR: LocalityTier = LocalityTier::Remote;

/// Guards against calls that cross the billed link while a nearer target has free slots, and
/// against calls that wait at a full near target while a remote one is idle.
#[test]
fn nearest_tier_with_room_is_chosen() {
    let now = Instant::now();
    let mut balancer = ServiceBalancer::new(LoadBalancingPolicy::LeastLatency, 1);
    let middle = LocalityTier::SameRegion;
    let slots = [("a", NEAR, 2), ("b", middle, 1), ("c", FAR, 1)];
    balancer.update_targets(
        slots.map(|(node, tier, slots)| entry(node, tier, slots)),
        now,
    );
    let mut tiers = Vec::new();
    for _ in 0..5 {
        let choice = balancer.pick(&[], now).unwrap();
        balancer.start_attempt(&choice.node, now);
        tiers.push(choice.tier);
    }
    assert_eq!(tiers, [NEAR, NEAR, middle, FAR, NEAR]);
    balancer.finish_attempt(&"b".into(), ANSWERED, ms(5), None, now);
    assert_eq!(balancer.pick(&[], now).unwrap().tier, middle);
}

/// Guards against reports that never lose their weight, and against counting this node's own
/// requests twice because the report includes them.
#[test]
fn reported_load_counts_until_it_is_old() {
    let now = Instant::now();
    let mut balancer = ServiceBalancer::new(LoadBalancingPolicy::LeastLatency, 1);
    balancer.update_targets([entry("a", NEAR, 4), entry("c", FAR, 4)], now);
    let node = NodeId::from("a");
    let slots = 4;
    let report = |in_flight| Some(LoadReport { in_flight, slots });
    for _ in 0..3 {
        balancer.start_attempt(&node, now);
    }
    balancer.finish_attempt(&node, ANSWERED, ms(5), report(3), now);
    assert_eq!(balancer.pick(&[], now).unwrap().tier, NEAR);
    balancer.finish_attempt(&node, ANSWERED, ms(5), report(6), now);
    assert_eq!(balancer.pick(&[], now).unwrap().tier, FAR);
    assert_eq!(balancer.pick(&[], now + ms(2_000)).unwrap().tier, NEAR);
}

/// Guards against new work for a target that refused a call as draining before its record says so.
#[test]
fn draining_refusal_excludes_at_once() {
    let now = Instant::now();
    let mut balancer = local_balancer(LoadBalancingPolicy::RoundRobin, 2, 1, now);
    let leaving = refused(RefusalReason::Draining);
    attempt(&mut balancer, "t0", leaving, ms(1), now);
    for _ in 0..20 {
        assert_eq!(balancer.pick(&[], now + ms(3_000)).unwrap().node, "t1");
    }
    let late = now + ms(6_000);
    assert!((0..4).any(|_| balancer.pick(&[], late).unwrap().node == "t0"));
}

/// Guards against a slow target that keeps its share of the calls, and against one that is not
/// tried again after it has recovered.
#[test]
fn slow_target_is_avoided_and_tried_again() {
    let mut now = Instant::now();
    let mut balancer = local_balancer(LoadBalancingPolicy::LeastLatency, 4, 7, now);
    let mut share = |slow, calls: u32| {
        let mut count = 0;
        for _ in 0..calls {
            now += ms(10);
            let node = balancer.pick(&[], now).unwrap().node;
            let is_slow = node == "t2";
            count += u32::from(is_slow);
            let latency = if is_slow && slow { ms(100) } else { ms(5) };
            attempt(&mut balancer, &node, ANSWERED, latency, now);
        }
        f64::from(count) / f64::from(calls)
    };
    let slow_share = share(true, 4_000);
    assert!(slow_share < 0.01, "slow target got {slow_share}");
    assert!(slow_share > 0.0, "slow target was never tried again");
    share(false, 4_000);
    let recovered = share(false, 2_000);
    assert!(recovered > 0.15, "recovered target got {recovered}");
}

/// Guards against hanging attempts that go unnoticed because a target without answers has no
/// measured latency.
#[test]
fn hung_target_loses_calls_before_it_answers() {
    let mut now = Instant::now();
    let mut balancer = local_balancer(LoadBalancingPolicy::LeastLatency, 2, 3, now);
    for node in ["t0", "t1"] {
        attempt(&mut balancer, node, ANSWERED, ms(5), now);
    }
    now += ms(10);
    balancer.start_attempt(&"t0".into(), now);
    now += ms(200);
    for _ in 0..10 {
        assert_eq!(balancer.pick(&[], now).unwrap().node, "t1");
        balancer.start_attempt(&"t1".into(), now);
    }
}

/// Guards against baselines that use quarantine or latency, which would invalidate comparisons with
/// them.
#[test]
fn baselines_ignore_quarantine_and_latency() {
    let now = Instant::now();
    let least = LoadBalancingPolicy::LeastReportedLoad;
    for kind in [
        LoadBalancingPolicy::RoundRobin,
        LoadBalancingPolicy::Random,
        least,
    ] {
        let mut balancer = local_balancer(kind, 4, 5, now);
        attempt(&mut balancer, "t1", FAILED, ms(1), now);
        attempt(&mut balancer, "t2", ANSWERED, ms(900), now);
        let mut counts = [0; 4];
        for _ in 0..400 {
            let node = balancer.pick(&[], now + ms(5)).unwrap().node;
            counts[node[1..].parse::<usize>().unwrap()] += 1;
        }
        assert!(counts.iter().all(|count| *count > 60), "{kind}: {counts:?}");
    }
}

/// With random histories, guards against choosing an excluded, draining or quarantined target while
/// a better one is left, and against quarantining more than half of the targets.
#[test]
fn choice_is_always_usable() {
    for seed in SEEDS {
        let mut random = seeded(seed);
        let mut now = Instant::now();
        let mut balancer = local_balancer(LoadBalancingPolicy::LeastLatency, 8, seed, now);
        for _ in 0..200 {
            now += ms(random.random_range(0..300));
            if random.random_bool(0.05) {
                balancer.update_targets(local_entries(random.random_range(0..9)), now);
            }
            let mut usable = balancer.statuses(now);
            let quarantined = usable.iter().filter(|status| status.quarantined);
            assert!(
                quarantined.count() <= usable.len() / 2,
                "seed {seed}: {usable:?}"
            );
            usable.retain(|status| !status.draining && status.node != "t0");
            let healthy = usable.iter().filter(|status| !status.quarantined);
            let names: Vec<_> = healthy.map(|status| status.node.clone()).collect();
            let Ok(choice) = balancer.pick(&["t0".into()], now) else {
                assert!(usable.is_empty(), "seed {seed}: refused with {usable:?}");
                continue;
            };
            let is_best = names.is_empty() || names.contains(&choice.node);
            assert!(is_best, "seed {seed}: {choice} instead of {names:?}");
            let draining = refused(RefusalReason::Draining);
            let results = [ANSWERED, TIMED_OUT, draining, FAILED, FAILED, FAILED];
            let result = results[random.random_range(0..6)];
            attempt(&mut balancer, &choice.node, result, ms(1), now);
        }
    }
}

/// Guards against a burst of calls that a full target refuses while another one of the same tier
/// has free slots, even if the full one has a lower latency.
#[test]
fn full_target_is_left_out() {
    let now = Instant::now();
    let mut balancer = ServiceBalancer::new(LoadBalancingPolicy::LeastLatency, 1);
    balancer.update_targets([entry("a", NEAR, 2), entry("b", NEAR, 2)], now);
    for (node, latency) in [("a", 1), ("b", 50)] {
        let node = NodeId::from(node);
        balancer.start_attempt(&node, now);
        balancer.finish_attempt(&node, ANSWERED, ms(latency), None, now);
    }
    let mut counts = [0, 0];
    for _ in 0..4 {
        let choice = balancer.pick(&[], now).unwrap();
        balancer.start_attempt(&choice.node, now);
        counts[usize::from(choice.node == "b")] += 1;
    }
    assert_eq!(counts, [2, 2]);
}

/// Guards against ignoring downloads in the choice for short work, although both use the same
/// slots.
#[test]
fn other_classes_hold_slots() {
    let now = Instant::now();
    let mut balancer = ServiceBalancer::new(LoadBalancingPolicy::LeastLatency, 1);
    balancer.update_targets([entry("a", NEAR, 2), entry("b", NEAR, 2)], now);
    balancer.set_other_class_in_flight(|node| if node == "a" { 2 } else { 0 });
    for _ in 0..2 {
        let choice = balancer.pick(&[], now).unwrap();
        balancer.start_attempt(&choice.node, now);
        assert_eq!(choice.node, "b");
    }
}

/// Guards against downloads that are all sent to the nearest target although long work may use only
/// a share of its slots, and against a refusal that is overridden by the load reported with it.
#[test]
fn long_work_spills_over() {
    let now = Instant::now();
    let mut balancer =
        ServiceBalancer::new(LoadBalancingPolicy::LeastLatency, 1).for_class(WorkClass::Long);
    balancer.update_targets([entry("a", NEAR, 4), entry("c", FAR, 4)], now);
    let mut tiers = Vec::new();
    for _ in 0..4 {
        let choice = balancer.pick(&[], now).unwrap();
        balancer.start_attempt(&choice.node, now);
        tiers.push(choice.tier);
    }
    assert_eq!(tiers, [NEAR, NEAR, FAR, FAR]);
    let node = NodeId::from("a");
    let full = refused(RefusalReason::QueueFull);
    let (in_flight, slots) = (1, 4);
    let report = LoadReport { in_flight, slots };
    balancer.finish_attempt(&node, full, ms(1), Some(report), now);
    assert_eq!(
        balancer.pick(&[], now).unwrap().tier_reason,
        TierReason::AllTiersFull
    );
}
