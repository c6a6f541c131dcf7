//! Throttling of pages of a service with free capacity that calls a service without.

use std::time::{Duration, Instant};

use apricotfold_model::RouteName;
use apricotfold_policy::{CallStanding, NestedCapacity, ParentThrottle};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const ROUTE: RouteName = RouteName::const_new("pages");
/// Number of pages that arrive in one turn.
const PAGES: usize = 100;
/// Number of calls made by each page; the page fails if any of them fails.
const CALLS: usize = 2;
/// Number of calls that the called service answers in one turn.
const CAPACITY: usize = 120;
const TURNS: usize = 400;
/// Duration of one turn.
const TURN: Duration = Duration::from_millis(250);

/// Simulates turns of pages. Returns the number of answered pages relative to the maximum possible.
fn simulate(throttled: bool) -> f64 {
    let mut random = StdRng::seed_from_u64(7);
    let mut throttle = ParentThrottle::default();
    let mut answered = 0;
    let mut now = Instant::now();
    for _ in 0..TURNS {
        now += TURN;
        let admitted = (0..PAGES)
            .filter(|_| !throttled || throttle.admits(&ROUTE, CallStanding::New))
            .count();
        let mut calls: Vec<usize> = (0..admitted).flat_map(|page| [page; CALLS]).collect();
        calls.shuffle(&mut random);
        let refused: Vec<usize> = calls.split_off(calls.len().min(CAPACITY));
        for page in 0..admitted {
            if refused.contains(&page) {
                throttle.record(&ROUTE, NestedCapacity::Refusal, now);
            } else {
                answered += 1;
                throttle.record(&ROUTE, NestedCapacity::Room, now);
            }
        }
    }
    f64::from(answered) / f64::from(u32::try_from(TURNS * CAPACITY / CALLS).expect("small"))
}

/// Guards against the capacity of a scarce service being divided among all pages, so that hardly
/// any page gets all the calls that it needs.
#[test]
fn throttled_pages_complete() {
    let (without, with) = (simulate(false), simulate(true));
    assert!(without < 0.65, "{without}");
    assert!(with > 0.85, "{with}");
}

/// Guards against requests that are still refused long after the shortage has ended, and against
/// throttling calls of running requests.
#[test]
fn recovers_after_shortage() {
    let mut throttle = ParentThrottle::default();
    let mut now = Instant::now();
    for _ in 0..100 {
        now += TURN / 5;
        throttle.record(&ROUTE, NestedCapacity::Refusal, now);
    }
    assert!(throttle.share(&ROUTE) < 0.2);
    assert!(throttle.admits(&ROUTE, CallStanding::Nested));
    let admitted = |throttle: &mut ParentThrottle, standing| {
        (0..100)
            .filter(|_| throttle.admits(&ROUTE, standing))
            .count()
    };
    let new = admitted(&mut throttle, CallStanding::New);
    let returned = admitted(&mut throttle, CallStanding::Returned);
    assert!(new < 20 && returned > 50, "{new} {returned}");
    for _ in 0..100 {
        now += TURN / 5;
        throttle.record(&ROUTE, NestedCapacity::Room, now);
    }
    assert_eq!(admitted(&mut throttle, CallStanding::New), 100);
}
