//! Slow start of new targets.

mod support;

use std::time::{Duration, Instant};

use apricotfold_model::LoadBalancingPolicy;
use apricotfold_policy::ServiceBalancer;
use support::{ANSWERED, attempt, local_balancer, local_entries, ms};

fn share_of(balancer: &mut ServiceBalancer, name: &str, now: Instant) -> f64 {
    let mut count = 0;
    for _ in 0..1_000 {
        let node = balancer.pick(&[], now).unwrap().node;
        count += i32::from(node == name);
        attempt(balancer, &node, ANSWERED, ms(5), now);
    }
    f64::from(count) / 1_000.0
}

/// Guards against a cold target that gets its full share of calls, or all of them because it has
/// none in flight.
#[test]
fn new_target_ramps_up() {
    let start = Instant::now();
    let mut balancer = local_balancer(LoadBalancingPolicy::LeastLatency, 3, 9, start);
    let added = start + Duration::from_mins(1);
    share_of(&mut balancer, "t0", added);
    balancer.update_targets(local_entries(4), added);
    let first = share_of(&mut balancer, "t3", added + ms(100));
    let middle = share_of(&mut balancer, "t3", added + ms(5_000));
    let last = share_of(&mut balancer, "t3", added + ms(11_000));
    assert!((0.005..0.09).contains(&first), "first {first}");
    assert!((0.07..0.22).contains(&middle), "middle {middle}");
    assert!((0.18..0.35).contains(&last), "last {last}");
}

/// Guards against a restarted node that holds back every target, or sends most calls to the one it
/// learned of first, because all are new to it.
#[test]
fn equally_new_targets_share_equally() {
    let start = Instant::now();
    let mut balancer = local_balancer(LoadBalancingPolicy::LeastLatency, 1, 9, start);
    balancer.update_targets(local_entries(4), start + ms(300));
    let choice = balancer.pick(&[], start + ms(300)).unwrap();
    assert_eq!(choice.tier_reason.to_string(), "nearest-with-room");
    for name in ["t0", "t1", "t2", "t3"] {
        let share = share_of(&mut balancer, name, start + ms(400));
        assert!((0.15..0.35).contains(&share), "{name}: {share}");
    }
}
