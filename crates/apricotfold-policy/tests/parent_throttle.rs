//! Pages of a service with room, whose calls go to a service without.

use std::time::{Duration, Instant};

use apricotfold_model::RouteName;
use apricotfold_policy::{CallStanding, NestedCapacity, ParentThrottle};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const ROUTE: RouteName = RouteName::const_new("pages");
/// Pages that arrive in one turn.
const PAGES: usize = 100;
/// Calls that each page makes; it fails if any of them does.
const CALLS: usize = 2;
/// Calls that the other service answers in one turn.
const CAPACITY: usize = 120;
const TURNS: usize = 400;
/// Time of one turn.
const TURN: Duration = Duration::from_millis(250);

/// Plays turns of pages and returns the share of those that could be answered at best which were.
fn play(throttled: bool) -> f64 {
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

/// Guards against pages that all take part of a scarce service, so that hardly one gets all that it
/// needs.
#[test]
fn keeps_pages_whole() {
    let (without, with) = (play(false), play(true));
    assert!(without < 0.65, "{without}");
    assert!(with > 0.85, "{with}");
}

/// Guards against requests that are refused long after the shortage has ended, and against calls of
/// running requests that are thrown away for it.
#[test]
fn returns_to_all() {
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
