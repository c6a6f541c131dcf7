//! Many nodes that choose among targets of unequal speed from reports of which most are old.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, NodeId, RouteName};
use apricotfold_policy::{
    AttemptEnd, CallStanding, InstanceReport, LinkCosts, LocalityTier, TargetCandidate,
    TargetSelector,
};
use rand::{RngExt, rngs::StdRng};
use support::{ms, seeded};

const ROUTE: RouteName = RouteName::const_new("orders");
const NODES: u32 = 40;
const TARGETS: u32 = 20;
const SLOTS: u32 = 9;
const QUEUE: usize = 36;
const SERVICE: Duration = Duration::from_millis(100);
/// Time within which answers are useful.
const USEFUL_TIME: Duration = Duration::from_millis(500);
/// Slow spells: their factor, duration, and the share of targets that have one.
const SPELL: (f64, Duration, f64) = (2.5, Duration::from_millis(600), 0.15);
const LENGTH: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, Debug)]
struct Call {
    node: usize,
    arrived: Instant,
    started: Instant,
}

struct Target {
    name: NodeId,
    speed: f64,
    slow: bool,
    running: u32,
    queued: VecDeque<Call>,
}

impl Target {
    fn report(&self) -> InstanceReport {
        let waiting = u32::try_from(self.queued.len()).expect("small");
        let each = SERVICE.as_secs_f64() / self.speed / f64::from(SLOTS);
        let wait = if self.running < SLOTS {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(each * f64::from(waiting + 1))
        };
        let wait = u32::try_from(wait.as_millis()).expect("small");
        InstanceReport {
            running: self.running,
            waiting,
            slots: SLOTS,
            pace: 100,
            waits: [wait; 3],
            nested_waits: [wait; 3],
            link_wait: 0,
            link_time: 0,
        }
    }

    fn work(&self, random: &mut StdRng) -> Duration {
        let factor = if self.slow { SPELL.0 } else { 1.0 };
        SERVICE.mul_f64(factor * random.random_range(0.7..1.3) / self.speed)
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrives,
    Ends(usize, Call),
    ChangesSpeed,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u32,
    in_time: u32,
    refused: u32,
    /// Sum of the times until the answers.
    latency: Duration,
}

fn selectors(seed: u64) -> Vec<TargetSelector> {
    let costs = LinkCosts {
        region_per_bulk_kb: Duration::from_millis(4),
        remote_per_bulk_kb: Duration::from_millis(6),
        data_centre: ms(1),
        region: ms(4),
        remote: ms(62),
        region_per_kb: Duration::ZERO,
        remote_per_kb: Duration::ZERO,
    };
    (0..NODES)
        .map(|node| TargetSelector::new(costs, seed * 1_000 + u64::from(node)))
        .collect()
}

/// Creates the targets, from the slowest to the fastest.
fn targets() -> Vec<Target> {
    (0..TARGETS)
        .map(|index| Target {
            name: format!("target-{index}").into(),
            speed: 0.6 + f64::from(index) / f64::from(TARGETS - 1),
            slow: false,
            running: 0,
            queued: VecDeque::new(),
        })
        .collect()
}

/// Sends requests at `load` times the capacity of all targets.
fn simulate(load: f64, seed: u64) -> Counts {
    // Arrivals and spells do not depend on how targets are selected.
    let (mut random, mut arrivals) = (seeded(seed), seeded(seed + 100));
    let mut spells = seeded(seed + 200);
    let (mut selectors, mut targets) = (selectors(seed), targets());
    let names: Vec<NodeId> = targets.iter().map(|target| target.name.clone()).collect();
    let candidates: Vec<TargetCandidate<'_>> = names
        .iter()
        .map(|node| TargetCandidate {
            inbound_wait: Duration::ZERO,
            bulk_bytes: 0,
            node,
            tier: LocalityTier::SameDataCentre,
            slots: SLOTS,
            cold: false,
            own: None,
        })
        .collect();
    let speeds: f64 = targets.iter().map(|target| target.speed).sum();
    let slowed = 1.0 - SPELL.2 + SPELL.2 / SPELL.0;
    let rate = speeds * slowed * f64::from(SLOTS) / SERVICE.as_secs_f64() * load;
    let start = Instant::now();
    let mut steps = BTreeMap::from([
        ((start, 0), Step::Arrives),
        ((start, 1), Step::ChangesSpeed),
    ]);
    let mut order = 1;
    let mut counts = Counts::default();
    while let Some(((now, _), step)) = steps.pop_first() {
        order += 1;
        match step {
            Step::ChangesSpeed if now < start + LENGTH => {
                for target in &mut targets {
                    target.slow = spells.random_bool(SPELL.2);
                }
                steps.insert((now + SPELL.1, order), step);
            }
            Step::Arrives if now < start + LENGTH => {
                let gap = -arrivals.random_range(0.001_f64..1.0).ln() / rate;
                steps.insert((now + Duration::from_secs_f64(gap), order), step);
                order += 1;
                counts.offered += 1;
                let node = arrivals.random_range(0..selectors.len());
                let selector = &mut selectors[node];
                let rank = (CallPriority::Normal, CallStanding::New);
                let pick = selector.pick(&ROUTE, rank, &candidates, &[], USEFUL_TIME, now);
                let Some(pick) = pick else {
                    counts.refused += 1;
                    continue;
                };
                selector.start(&names[pick.index], now);
                let target = &mut targets[pick.index];
                let call = Call {
                    node,
                    arrived: now,
                    started: now,
                };
                if target.running < SLOTS {
                    target.running += 1;
                    let end = now + target.work(&mut random);
                    steps.insert((end, order), Step::Ends(pick.index, call));
                } else if target.queued.len() < QUEUE {
                    target.queued.push_back(call);
                } else {
                    counts.refused += 1;
                    let (name, report) = (&names[pick.index], target.report());
                    selector.finish(name, &ROUTE, AttemptEnd::Full, Some(report), now);
                }
            }
            Step::Arrives | Step::ChangesSpeed => {}
            Step::Ends(index, call) => {
                let target = &mut targets[index];
                target.running -= 1;
                if let Some(next) = target.queued.pop_front() {
                    target.running += 1;
                    let end = now + target.work(&mut random);
                    let call = Call {
                        started: now,
                        ..next
                    };
                    steps.insert((end, order), Step::Ends(index, call));
                }
                counts.latency += now - call.arrived;
                counts.in_time += u32::from(now - call.arrived <= USEFUL_TIME);
                let end = AttemptEnd::Answered {
                    service: now - call.started,
                    bytes: 400,
                };
                let report = Some(targets[index].report());
                selectors[call.node].finish(&names[index], &ROUTE, end, report, now);
            }
        }
    }
    counts
}

/// Guards against nodes that all send to the targets whose old reports look free, and so to the
/// fastest ones, while others have free slots.
#[test]
fn spreads_over_speeds() {
    for (load, most_late) in [(0.7, 0.005), (0.85, 0.012), (0.95, 0.04)] {
        let (mut offered, mut in_time) = (0, 0);
        for seed in 0..3 {
            let counts = simulate(load, seed);
            let latency = counts.latency / (counts.offered - counts.refused);
            println!("load {load} seed {seed}: latency {latency:?}, {counts:?}");
            offered += counts.offered;
            in_time += counts.in_time;
        }
        let late = 1.0 - f64::from(in_time) / f64::from(offered);
        println!("load {load}: late or refused {late:.4}");
        assert!(late <= most_late, "load {load}: {late}");
    }
}
