//! Quarantine of failing targets.

mod support;

use std::time::{Duration, Instant};

use apricotfold_model::{LoadBalancingPolicy, RefusalReason};
use apricotfold_policy::TargetChange;
use support::{ANSWERED, FAILED, LOST, TIMED_OUT, attempt, local_balancer, ms, refused};

/// Guards against calls to a target that is gone, and against a burst of calls to it when its
/// quarantine ends.
#[test]
fn failed_connection_quarantines_until_a_trial() {
    let now = Instant::now();
    for result in [FAILED, refused(RefusalReason::NoLocalTarget)] {
        let mut balancer = local_balancer(LoadBalancingPolicy::LeastLatency, 3, 1, now);
        let change = attempt(&mut balancer, "t1", result, ms(0), now);
        assert!(matches!(change, Some(TargetChange::Quarantined { .. })));
        let mut count_picks = |now| {
            let mut picks = 0;
            for _ in 0..100 {
                let node = balancer.pick(&[], now).unwrap().node;
                picks += i32::from(node == "t1");
                balancer.start_attempt(&node, now);
            }
            picks
        };
        assert_eq!(count_picks(now + ms(900)), 0);
        assert_eq!(count_picks(now + ms(1_100)), 1);
    }
}

/// Guards against a quarantine after one slow request, and against none after repeated ones.
#[test]
fn repeated_timeouts_quarantine() {
    let now = Instant::now();
    let mut balancer = local_balancer(LoadBalancingPolicy::LeastLatency, 3, 1, now);
    let mut try_target = |result| attempt(&mut balancer, "t1", result, ms(1), now);
    for result in [TIMED_OUT, TIMED_OUT, ANSWERED, TIMED_OUT, LOST] {
        assert_eq!(try_target(result), None, "{result:?}");
    }
    assert!(try_target(TIMED_OUT).is_some());
}

/// Guards against trying an unreachable target every second indefinitely, and against excluding one
/// for hours.
#[test]
fn time_grows_to_a_bound_and_an_answer_resets_it() {
    let mut now = Instant::now();
    let mut balancer = local_balancer(LoadBalancingPolicy::LeastLatency, 3, 1, now);
    let mut times = Vec::new();
    for _ in 0..8 {
        let change = attempt(&mut balancer, "t1", FAILED, ms(0), now);
        let Some(TargetChange::Quarantined { until }) = change else {
            panic!("no quarantine after {times:?}");
        };
        times.push((until - now).as_secs());
        now = until;
    }
    assert_eq!(times, [1, 2, 4, 8, 16, 30, 30, 30]);
    let change = attempt(&mut balancer, "t1", ANSWERED, ms(1), now);
    assert_eq!(change, Some(TargetChange::Released));
    let change = attempt(&mut balancer, "t1", FAILED, ms(0), now);
    let until = now + Duration::from_secs(1);
    assert_eq!(change, Some(TargetChange::Quarantined { until }));
}
