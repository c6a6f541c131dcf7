//! Selection among targets of unequal and changing speed.

use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, NodeId, RouteName};
use apricotfold_policy::{
    AttemptEnd, CallStanding, InstanceReport, LinkCosts, LocalityTier, TargetCandidate,
    TargetSelector,
};

/// Time within which requests must be answered.
const LEFT: Duration = Duration::from_secs(1);
const RANK: (CallPriority, CallStanding) = (CallPriority::Normal, CallStanding::New);
const ROUTE: RouteName = RouteName::const_new("almanac");
const SLOTS: u32 = 10;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn selector(seed: u64) -> TargetSelector {
    let costs = LinkCosts {
        region_per_bulk_kb: Duration::from_millis(4),
        remote_per_bulk_kb: Duration::from_millis(6),
        data_centre: ms(1),
        region: ms(4),
        remote: ms(62),
        region_per_kb: ms(1),
        remote_per_kb: ms(4),
    };
    TargetSelector::new(costs, seed)
}

fn candidate(node: &NodeId, tier: LocalityTier) -> TargetCandidate<'_> {
    TargetCandidate {
        inbound_wait: Duration::ZERO,
        bulk_bytes: 0,
        node,
        tier,
        slots: SLOTS,
        cold: false,
        own: None,
    }
}

fn report(running: u32, pace: u32, wait_ms: u32) -> InstanceReport {
    InstanceReport {
        running,
        waiting: 0,
        slots: SLOTS,
        pace,
        waits: [wait_ms; 3],
        nested_waits: [wait_ms; 3],
        link_wait: 0,
        link_time: 0,
    }
}

/// A selector with two targets, the first one in the own data centre, and a clock.
struct TwoTargets {
    selector: TargetSelector,
    nodes: [NodeId; 2],
    tiers: [LocalityTier; 2],
    now: Instant,
}

impl TwoTargets {
    fn new(tiers: [LocalityTier; 2]) -> Self {
        Self {
            selector: selector(1),
            nodes: ["near".into(), "other".into()],
            tiers,
            now: Instant::now(),
        }
    }

    fn pick(&mut self) -> usize {
        let candidates = [0, 1].map(|index| candidate(&self.nodes[index], self.tiers[index]));
        let pick = self
            .selector
            .pick(&ROUTE, RANK, &candidates, &[], LEFT, self.now);
        pick.expect("a target").index
    }

    /// Sends one request to a target and ends it with the given result and report.
    fn run(&mut self, index: usize, end: AttemptEnd, report: InstanceReport) {
        let node = &self.nodes[index];
        self.selector.start(node, self.now);
        self.now += ms(1);
        self.selector
            .finish(node, &ROUTE, end, Some(report), self.now);
    }

    /// Returns the share of selections that go to the first target.
    fn first_share(&mut self) -> f64 {
        let first = (0..200).filter(|_| self.pick() == 0).count();
        f64::from(u32::try_from(first).expect("small")) / 200.0
    }
}

fn answered(service: u64, bytes: usize) -> AttemptEnd {
    AttemptEnd::Answered {
        service: ms(service),
        bytes,
    }
}

/// Guards against selecting a target whose machine is currently slowed down by other load.
#[test]
fn slow_machine() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre; 2]);
    for _ in 0..20 {
        targets.run(0, answered(80, 400), report(2, 100, 0));
        targets.run(1, answered(200, 400), report(2, 250, 0));
    }
    assert!(targets.first_share() > 0.95);
}

/// Guards against a target that is still avoided long after a bad report: reports lose their weight
/// with age.
#[test]
fn old_reports_fade() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre; 2]);
    targets.run(1, answered(80, 400), report(10, 100, 400));
    targets.run(0, answered(80, 400), report(2, 100, 0));
    assert!(targets.first_share() > 0.95);
    targets.now += Duration::from_secs(6);
    assert!(targets.first_share() < 0.9);
}

/// Guards against answers that cross the billed link while a nearby target has free slots, and
/// against waiting at a nearby target for much longer than the round trip to a remote one.
#[test]
fn billed_link() {
    let tiers = [LocalityTier::SameDataCentre, LocalityTier::Remote];
    let mut targets = TwoTargets::new(tiers);
    targets.run(0, answered(80, 400), report(8, 100, 0));
    targets.run(1, answered(80, 400), report(0, 100, 0));
    assert!(targets.first_share() > 0.95, "room nearby");
    targets.run(0, answered(80, 400), report(10, 100, 300));
    assert!(targets.first_share() < 0.05, "a long wait nearby");
}

/// Guards against downloads that cross the billed link to save a short wait.
#[test]
fn large_answers_stay() {
    let tiers = [LocalityTier::SameDataCentre, LocalityTier::Remote];
    let mut targets = TwoTargets::new(tiers);
    for _ in 0..30 {
        targets.run(0, answered(80, 90_000), report(8, 100, 0));
    }
    targets.run(0, answered(80, 90_000), report(10, 100, 200));
    assert!(targets.first_share() > 0.95);
}

/// Guards against a target that rejects half of its requests and is selected because its load and
/// latency look good.
#[test]
fn rejecting_target() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre; 2]);
    for turn in 0..20 {
        targets.run(0, answered(80, 400), report(2, 100, 0));
        let end = if turn % 2 == 0 {
            AttemptEnd::Rejected
        } else {
            answered(80, 400)
        };
        targets.run(1, end, report(1, 100, 0));
    }
    assert!(targets.first_share() > 0.95);
}

/// Guards against an unreachable target that keeps getting requests, and against one that is never
/// tried again.
#[test]
fn unreachable_target() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre; 2]);
    let node = targets.nodes[0].clone();
    targets.selector.start(&node, targets.now);
    let now = targets.now;
    let excluded = targets
        .selector
        .finish(&node, &ROUTE, AttemptEnd::Unreachable, None, now);
    assert!(excluded);
    assert!(targets.first_share() < f64::EPSILON);
    targets.now += Duration::from_secs(3);
    assert!(targets.first_share() > 0.2);
}

/// Guards against sending more requests to a target that does not answer those it has.
#[test]
fn stalled_target() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre; 2]);
    for _ in 0..5 {
        targets.run(0, answered(80, 400), report(1, 100, 0));
        targets.run(1, answered(80, 400), report(1, 100, 0));
    }
    let node = targets.nodes[1].clone();
    targets.selector.start(&node, targets.now);
    targets.now += ms(600);
    assert!(targets.first_share() > 0.95);
}

/// Guards against a round trip that only ends in a refusal: a target whose reported wait is longer
/// than the request can spare is not worth trying.
#[test]
fn target_with_long_wait() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre; 2]);
    for index in [0, 1] {
        targets.run(index, answered(80, 400), report(10, 100, 300));
    }
    let candidates = [0, 1].map(|index| candidate(&targets.nodes[index], targets.tiers[index]));
    let pick = targets
        .selector
        .pick(&ROUTE, RANK, &candidates, &[], LEFT, targets.now);
    let pick = pick.expect("a target");
    assert!(!pick.is_worth_trying(ms(400)));
    assert!(pick.is_worth_trying(ms(1_000)));
}

/// Guards against a node that refuses everything for good after an overload: without attempts, it
/// gets no reports that would show its end.
#[test]
fn tries_again_after_overload() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre; 2]);
    for _ in 0..50 {
        for index in [0, 1] {
            let queued = InstanceReport {
                waiting: 36,
                ..report(SLOTS, 100, 400)
            };
            targets.run(index, answered(80, 400), queued);
        }
    }
    let pick = |targets: &mut TwoTargets| {
        let candidates = [0, 1].map(|index| candidate(&targets.nodes[index], targets.tiers[index]));
        let selector = &mut targets.selector;
        let pick = selector.pick(&ROUTE, RANK, &candidates, &[], LEFT, targets.now);
        pick.expect("a target")
    };
    assert!(!pick(&mut targets).is_worth_trying(ms(400)));
    targets.now += Duration::from_secs(3);
    assert!(pick(&mut targets).is_worth_trying(ms(400)));
}

/// Guards against selecting a near target whose wait would lead to a refusal, while one in another
/// data centre would answer in time.
#[test]
fn in_time_first() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre, LocalityTier::SameRegion]);
    let bytes = 600 * 1024;
    for _ in 0..20 {
        targets.run(0, answered(80, bytes), report(2, 100, 0));
        targets.run(1, answered(80, bytes), report(2, 100, 0));
    }
    assert!(targets.first_share() > 0.99);
    for _ in 0..20 {
        targets.run(0, answered(80, bytes), report(SLOTS, 100, 600));
        targets.run(1, answered(80, bytes), report(2, 100, 0));
    }
    assert!(targets.first_share() < 0.01);
}

/// Guards against downloads that all wait for the link of one machine while that of another is
/// idle.
#[test]
fn free_link_first() {
    let mut targets = TwoTargets::new([LocalityTier::SameDataCentre; 2]);
    let busy = InstanceReport {
        link_wait: 300,
        link_time: 25,
        ..report(2, 100, 0)
    };
    let free = InstanceReport {
        link_wait: 0,
        ..busy
    };
    for _ in 0..20 {
        targets.run(0, answered(80, 280_000), busy);
        targets.run(1, answered(80, 280_000), free);
    }
    assert!(targets.first_share() < 0.01);
}

/// Guards against bulk bodies that fill the links between data centres although a target in the own one
/// is free soon, and against ones that wait for it when it is not.
#[test]
fn bulk_stays_near() {
    let now = Instant::now();
    let mut selector = selector(1);
    let nodes = [NodeId::from("near"), NodeId::from("far")];
    let mut pick = |wait| {
        let mut near = candidate(&nodes[0], LocalityTier::SameDataCentre);
        let mut far = candidate(&nodes[1], LocalityTier::SameRegion);
        near.inbound_wait = ms(wait);
        (near.bulk_bytes, far.bulk_bytes) = (60 * 1024, 60 * 1024);
        let picked = selector.pick(&ROUTE, RANK, &[near, far], &[], LEFT * 3, now);
        picked.expect("a target").index
    };
    assert_eq!(pick(100), 0);
    assert_eq!(pick(600), 1);
}
