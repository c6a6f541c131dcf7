//! Whole rollouts in simulated time: many nodes, one decider, good and bad versions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotfold_model::{RolloutOrder, RolloutState};
use apricotfold_policy::{
    AnswerSample, OrderAge, RolloutDecider, RolloutGrant, RolloutRecord, RolloutView, VersionGroup,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SERVICE: &str = "precios";
const DURATION_MS: u64 = 12_000;
/// Time of a message or of an answer's way between nodes.
const TRANSIT_MS: u64 = 60;
/// Time without a decider when one dies: lease, election and news of the record.
const SUCCESSION_MS: u64 = 3_000;

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Half of the answers are errors from this time on.
    Errors(u64),
    /// Half of the answers take 8 times as long from this time on.
    Slow(u64),
    /// Half of the answers are errors, on the first of four routes only.
    OneRoute,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    /// Requests per second at all nodes.
    rate: f64,
    nodes: usize,
    fault: Fault,
    /// Time at which the decider dies.
    death: Option<u64>,
    /// Speed of the new version's machines.
    speed: f64,
    seed: u64,
}

#[derive(Default)]
struct Outcome {
    state: Option<RolloutState>,
    ended_ms: u64,
    requests: u32,
    exposed: u32,
    /// Time of the 50th bad answer and of the last request to the new version.
    fiftieth_ms: Option<u64>,
    last_exposed_ms: u64,
}

/// Returns the order and its record.
fn texts() -> (RolloutOrder, RolloutRecord) {
    let order = RolloutOrder {
        service: SERVICE.into(),
        target_version: "v2".into(),
        duration: Duration::from_millis(DURATION_MS),
    };
    let record = RolloutRecord {
        service: SERVICE.into(),
        target_version: "v2".into(),
        order_revision: 5,
        state: RolloutState::Active,
        decider: "d".into(),
        address: ([127, 0, 0, 1], 1).into(),
    };
    (order, record)
}

/// Draws the route, the answer and its time of arrival of a request.
fn draw_answer(case: Case, is_new: bool, now: u64, rng: &mut StdRng) -> (u32, AnswerSample, u64) {
    let route = rng.random_range(0..4_u32);
    let half = is_new && rng.random_bool(0.5);
    let failed = rng.random_bool(0.01)
        || match case.fault {
            Fault::Errors(from) => half && now >= from,
            Fault::OneRoute => half && route == 0,
            _ => false,
        };
    let slow = matches!(case.fault, Fault::Slow(from) if half && now >= from);
    let speed = if is_new {
        case.speed
    } else {
        rng.random_range(0.6..1.6)
    };
    let spread = rng.random_range(0.6..1.8);
    let pause = if rng.random_bool(0.05) { 2.5 } else { 1.0 };
    let factor = spread * pause / speed * if slow { 8.0 } else { 1.0 };
    let time = 20.0 * f64::from(route + 1) * factor;
    let time = Duration::from_secs_f64(time / 1_000.0);
    let cold = is_new && now < 2_500;
    let end = now + 1 + TRANSIT_MS + u64::try_from(time.as_millis()).expect("short");
    let sample = AnswerSample {
        failed,
        time: Some(time).filter(|_| !cold),
    };
    (route, sample, end)
}

fn run(case: Case) -> Outcome {
    let mut rng = StdRng::seed_from_u64(case.seed);
    let base = Instant::now();
    let at = |ms: u64| base + Duration::from_millis(ms);
    let version = "v2".into();
    let (order, record) = texts();
    let mut views: Vec<RolloutView> = vec![RolloutView::default(); case.nodes];
    // Nodes learn of the order and its record after up to 1.2 s.
    let learned: Vec<u64> = views.iter().map(|_| rng.random_range(200..1_200)).collect();
    let mut decider = Some(RolloutDecider::new(at(200), order.duration, at(500)));
    let mut answers: BTreeMap<u64, Vec<(usize, String, bool, AnswerSample)>> = BTreeMap::new();
    let mut grants: BTreeMap<u64, Vec<(usize, RolloutGrant, u64)>> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let (mut due, mut bad) = (0.0, 0);
    for now in 0..DURATION_MS {
        for (node, view) in views.iter_mut().enumerate() {
            if learned[node] == now {
                let age = OrderAge::Known(Duration::ZERO);
                view.apply_order(order.clone(), 5, age, at(now));
                view.apply_record(6, record.clone(), std::iter::empty());
            }
        }
        for (node, route, is_new, sample) in answers.remove(&now).unwrap_or_default() {
            let name = is_new.then_some(&version);
            views[node].record_answer(SERVICE, &route.into(), name, sample);
            let slow = sample.time.is_some_and(|time| time.as_millis() > 400);
            bad += u32::from(is_new && (sample.failed || slow) && case.fault != Fault::None);
            if bad == 50 {
                outcome.fiftieth_ms.get_or_insert(now);
            }
        }
        for (node, grant, sent) in grants.remove(&now).unwrap_or_default() {
            views[node].apply_grant(SERVICE, 5, grant, at(sent));
        }
        due += case.rate / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            let node = rng.random_range(0..case.nodes);
            let random = rng.random();
            let is_new = if learned[node] <= now {
                let group = views[node].choose_group(SERVICE, random, at(now));
                group == VersionGroup::New
            } else {
                // Without an order, one of ten targets has the new version.
                random < 0.1
            };
            outcome.requests += 1;
            views[node].record_request(SERVICE);
            views[node].record_attempt(SERVICE, is_new.then_some(&version));
            if is_new {
                outcome.exposed += 1;
                outcome.last_exposed_ms = now;
            }
            let (route, sample, end) = draw_answer(case, is_new, now, &mut rng);
            let answer = (node, format!("r-{route}"), is_new, sample);
            answers.entry(end).or_default().push(answer);
        }
        if case.death == Some(now) {
            decider = None;
        }
        if case.death.is_some_and(|death| now == death + SUCCESSION_MS) {
            decider = Some(RolloutDecider::new(at(200), order.duration, at(now)));
            for view in &mut views {
                view.apply_record(7, record.clone(), std::iter::empty());
            }
        }
        let Some(decider) = &mut decider else {
            continue;
        };
        for (node, view) in views.iter().enumerate() {
            if now % 500 == u64::try_from(node % 500).expect("small") {
                for (_, report) in view.reports(&format!("n-{node}").into(), 1, at(now)) {
                    decider.record(report, at(now));
                    let grant = (node, decider.grant(at(now)), now);
                    grants.entry(now + 2 * TRANSIT_MS).or_default().push(grant);
                }
            }
        }
        if now % 100 == 0
            && outcome.state.is_none()
            && let Some(state) = decider.decide(at(now))
        {
            outcome.state = Some(state);
            outcome.ended_ms = now;
            let stop = RolloutGrant {
                share: 0.0,
                stop: true,
            };
            let all = (0..case.nodes).map(|node| (node, stop, now));
            grants.entry(now + TRANSIT_MS).or_default().extend(all);
        }
    }
    outcome
}

fn check(case: Case) {
    let outcome = run(case);
    let expected = match case.fault {
        Fault::None => RolloutState::Completed,
        _ => RolloutState::RolledBack,
    };
    assert_eq!(
        outcome.state,
        Some(expected),
        "{case:?}, exposed {}",
        outcome.exposed
    );
    assert!(outcome.ended_ms < DURATION_MS * 95 / 100, "{case:?}");
    let bound = f64::from(outcome.requests) * 0.1 + 50.0;
    let exposed = f64::from(outcome.exposed);
    assert!(exposed <= bound, "{case:?}: {exposed} > {bound}");
    if let Some(fiftieth) = outcome.fiftieth_ms {
        let after = outcome.last_exposed_ms.saturating_sub(fiftieth);
        assert!(
            after < 4_000,
            "{case:?}: {after} ms after the 50th bad answer"
        );
    }
}

const CASE: Case = Case {
    rate: 100.0,
    nodes: 82,
    fault: Fault::None,
    death: None,
    speed: 1.0,
    seed: 0,
};

/// Guards against a good version that is rolled back: at any rate, on slow or fast machines, and when
/// the decider dies.
#[test]
fn good_versions() {
    for seed in 0..6 {
        for rate in [20.0, 100.0, 600.0] {
            for speed in [0.6, 1.0, 1.6] {
                check(Case {
                    rate,
                    speed,
                    seed,
                    ..CASE
                });
            }
        }
        check(Case {
            death: Some(2_000),
            seed,
            ..CASE
        });
        check(Case {
            death: Some(5_500),
            seed,
            ..CASE
        });
    }
}

/// Guards against a bad version that is completed, or that gets more requests than the bound allows.
#[test]
fn bad_versions() {
    let faults = [
        Fault::Errors(0),
        Fault::Errors(5_000),
        Fault::Slow(0),
        Fault::Slow(5_000),
    ];
    for seed in 0..6 {
        for fault in faults {
            for rate in [30.0, 100.0, 600.0] {
                for speed in [0.7, 1.4] {
                    check(Case {
                        rate,
                        fault,
                        speed,
                        seed,
                        ..CASE
                    });
                }
            }
            for death in [1_500, 3_000, 6_000] {
                // A fault that shows shortly before the decider's death leaves its successor with two
                // seconds of answers, which are too few at 100 requests per second.
                let late = death == 6_000 && fault == Fault::Slow(5_000);
                let rate = if late { 400.0 } else { CASE.rate };
                check(Case {
                    rate,
                    fault,
                    death: Some(death),
                    seed,
                    ..CASE
                });
            }
        }
        check(Case {
            fault: Fault::OneRoute,
            seed,
            ..CASE
        });
        check(Case {
            fault: Fault::OneRoute,
            rate: 600.0,
            seed,
            ..CASE
        });
    }
}
