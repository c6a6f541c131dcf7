//! Retry budget of one node and of a tree of calls.

mod support;

use std::time::{Duration, Instant};

use apricotfold_model::RetryPolicy;
use apricotfold_policy::{
    AttemptResult, CallBudgets, CallLimits, CallPlan, PlanAction, PlanEvent, RetryBudget,
};
use support::{ANSWERED, LOST, ms};

/// Guards against rarely called services that never get a retry, against a minimum that accumulates
/// without bound, and against a budget that remains large after a past burst of calls.
#[test]
fn minimum_is_small_and_the_past_decays() {
    let mut now = Instant::now();
    let mut budget = RetryBudget::new(10);
    for _ in 0..10_000 {
        budget.record_first(now);
    }
    now += Duration::from_mins(2);
    let burst = (0..1_000).filter(|_| budget.try_spend(now)).count();
    assert_eq!(burst, 10);
    let mut granted = 0;
    for _ in 0..1_000 {
        now += ms(100);
        granted += u32::from(budget.try_spend(now));
    }
    assert!((80..=110).contains(&granted), "{granted} in 100 s");
    assert!(!RetryBudget::new(0).try_spend(now));
}

/// Call tree with one node at each depth; calls of the last node fail.
struct CallTree {
    budgets: Vec<CallBudgets>,
    attempts: Vec<u32>,
    /// Whether each depth returns the failure to its caller, which may then retry too.
    pass_on: bool,
}

impl CallTree {
    fn call(&mut self, depth: usize, now: Instant) -> AttemptResult {
        if depth == self.budgets.len() {
            return LOST;
        }
        let mut plan = CallPlan::new(CallLimits {
            idempotent: true,
            max_attempts: 3,
            deadline: now + ms(1_000),
            hedge_delay: None,
        });
        let mut actions = plan.start(&mut self.budgets[depth], now);
        while let PlanAction::SendAttempt { attempt, .. } = actions[0] {
            self.attempts[depth] += 1;
            let result = self.call(depth + 1, now);
            let event = PlanEvent::AttemptFinished { attempt, result };
            actions = plan.handle(event, &mut self.budgets[depth], now);
        }
        match actions[0] {
            PlanAction::FinishRefused { outcome, reason } if self.pass_on => {
                AttemptResult::Refused { reason, outcome }
            }
            _ => ANSWERED,
        }
    }
}

/// Guards against attempts that multiply with the depth when a leaf nine calls below fails. Without
/// a budget, three attempts per depth would make 19,683 attempts of one call; a budget of 10 % at
/// nine depths allows 2.36, and retries next to the failure alone 1.1.
#[test]
fn failing_leaf_at_depth_nine_stays_inside_the_budget() {
    const CALLS: u32 = 2_000;
    for pass_on in [false, true] {
        let mut tree = CallTree {
            budgets: vec![CallBudgets::new(&RetryPolicy::default()); 9],
            attempts: vec![0; 9],
            pass_on,
        };
        let mut now = Instant::now();
        for _ in 0..CALLS {
            now += ms(6);
            tree.call(0, now);
        }
        println!("pass on {pass_on}: attempts {:?}", tree.attempts);
        let mut firsts = CALLS;
        for attempts in tree.attempts.iter().copied() {
            let bound = f64::from(firsts) * 1.1 + 23.0;
            assert!(f64::from(attempts) <= bound, "{attempts} of {bound}");
            firsts = attempts;
        }
        let share = f64::from(tree.attempts[8]) / f64::from(CALLS);
        let bound = if pass_on { 2.5 } else { 1.12 };
        assert!((1.05..bound).contains(&share), "{share} attempts per call");
    }
}

/// Guards against retries of low value that use up the budget of those of higher value, and against
/// nodes whose minimum rates add up to more than the limit that they share.
#[test]
fn parts_of_the_budget() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(10).with_minimum(0.0);
    for _ in 0..1_000 {
        budget.record_first(now);
    }
    let small = (0..1_000)
        .filter(|_| budget.try_spend_within(0.4, now))
        .count();
    assert_eq!(small, 40);
    let rest = (0..1_000).filter(|_| budget.try_spend(now)).count();
    assert_eq!(rest, 60);
    let mut idle = RetryBudget::new(10).with_minimum(0.0);
    assert!(!idle.try_spend(now));
}
