//! Attempts, retries, hedges and outcome of one call.

mod support;

use std::time::Instant;

use apricotfold_model::{CallOutcome, RefusalReason, RetryPolicy};
use apricotfold_policy::{
    AttemptResult, CallBudgets, CallLimits, CallPlan, PlanAction, PlanActions, PlanEvent,
};
use rand::RngExt;
use strum::IntoEnumIterator;
use support::{ANSWERED, FAILED, LOST, TIMED_OUT, ms, refused, seeded};

struct Call {
    plan: CallPlan,
    budgets: CallBudgets,
    now: Instant,
}

impl Call {
    fn start(idempotent: bool, max_attempts: u32) -> Self {
        let now = Instant::now();
        let limits = CallLimits {
            idempotent,
            max_attempts,
            deadline: now + ms(100),
            hedge_delay: Some(ms(10)),
        };
        let mut call = Self {
            plan: CallPlan::new(limits),
            budgets: CallBudgets::new(&RetryPolicy::default()),
            now,
        };
        let actions = call.plan.start(&mut call.budgets, now);
        assert_eq!(actions[0], send(1, false));
        call
    }

    fn handle(&mut self, event: PlanEvent) -> PlanActions {
        self.plan.handle(event, &mut self.budgets, self.now)
    }

    fn finish(&mut self, attempt: u32, result: AttemptResult) -> PlanActions {
        self.handle(PlanEvent::AttemptFinished { attempt, result })
    }
}

fn send(attempt: u32, hedge: bool) -> PlanAction {
    PlanAction::SendAttempt { attempt, hedge }
}

const MAY_HAVE_RUN: CallOutcome = CallOutcome::MayHaveRun;

/// End of a call whose connection to the target was lost.
const CUT: PlanAction = PlanAction::FinishRefused {
    outcome: MAY_HAVE_RUN,
    reason: RefusalReason::ConnectionLost,
};

/// Refusal by the next hop after it lost its target.
const REFUSED_LOST: AttemptResult = AttemptResult::Refused {
    reason: RefusalReason::ConnectionLost,
    outcome: MAY_HAVE_RUN,
};

/// Guards against orders that run twice, and against orders that fail although another target could
/// have run them.
#[test]
fn order_is_sent_again_only_after_not_run() {
    for result in [LOST, REFUSED_LOST, TIMED_OUT] {
        let mut call = Call::start(false, 3);
        assert_eq!(call.finish(1, result).len(), 1);
        assert_eq!(call.plan.outcome(), Some(MAY_HAVE_RUN), "{result:?}");
    }
    for result in [FAILED, refused(RefusalReason::Draining)] {
        let actions = Call::start(false, 3).finish(1, result);
        assert_eq!(actions.as_slice(), [send(2, false)], "{result:?}");
    }
}

/// Guards against retries that add load to a call tree which is already overloaded, against retries
/// of requests that every target refuses, and against a call that ends although only one target
/// refused it.
#[test]
fn only_refusals_of_one_target_are_retried() {
    let is_retried = |reason: &RefusalReason| {
        let actions = Call::start(true, 3).finish(1, refused(*reason));
        actions[0] == send(2, false)
    };
    let retried: Vec<_> = RefusalReason::iter().filter(is_retried).collect();
    let expected = [
        RefusalReason::NotReady,
        RefusalReason::QueueFull,
        RefusalReason::Draining,
        RefusalReason::NoLocalTarget,
        RefusalReason::ConnectFailed,
        RefusalReason::ConnectionLost,
    ];
    assert_eq!(retried, expected);
}

/// Guards against hedges of orders, against a losing attempt that is not cancelled, and against a
/// call that fails with its first attempt although the hedge may still be answered.
#[test]
fn hedge_runs_beside_the_first_attempt() {
    let mut order = Call::start(false, 2);
    assert!(order.handle(PlanEvent::HedgeDue).is_empty());
    let mut call = Call::start(true, 3);
    assert_eq!(call.handle(PlanEvent::HedgeDue).as_slice(), [send(2, true)]);
    assert!(call.handle(PlanEvent::HedgeDue).is_empty());
    let answered = PlanAction::FinishAnswered { attempt: 2 };
    let cancelled = PlanAction::CancelAttempt { attempt: 1 };
    assert_eq!(call.finish(2, ANSWERED).as_slice(), [cancelled, answered]);
    let mut call = Call::start(true, 3);
    call.handle(PlanEvent::HedgeDue);
    assert!(call.finish(1, LOST).is_empty());
    assert_eq!(call.finish(2, ANSWERED).as_slice(), [answered]);
}

/// Guards against hedges that exceed their budget or use up the budget of retries.
#[test]
fn hedges_have_their_own_budget() {
    let mut call = Call::start(true, 3);
    while call.budgets.hedges.try_spend(call.now) {}
    assert!(call.handle(PlanEvent::HedgeDue).is_empty());
    while call.budgets.retries.try_spend(call.now) {}
    assert_eq!(call.finish(1, LOST).as_slice(), [CUT]);
}

/// Guards against attempts that continue after the deadline or after the caller has gone, and
/// against `not-run` although bytes were sent.
#[test]
fn deadline_and_lost_caller_cancel_work() {
    let cancelled = PlanAction::CancelAttempt { attempt: 1 };
    for (sent, outcome) in [(true, MAY_HAVE_RUN), (false, CallOutcome::NotRun)] {
        let mut call = Call::start(false, 2);
        let actions = call.handle(PlanEvent::DeadlineReached { sent });
        let reason = RefusalReason::DeadlinePassed;
        let end = PlanAction::FinishRefused { outcome, reason };
        assert_eq!(actions.as_slice(), [cancelled, end]);
        assert!(call.finish(1, ANSWERED).is_empty());
    }
    let mut call = Call::start(true, 2);
    assert_eq!(call.handle(PlanEvent::CallerGone).as_slice(), [cancelled]);
    assert!(call.handle(PlanEvent::HedgeDue).is_empty());
}

/// With random events, guards against an order that is sent again once it may have run, attempts
/// beyond the limit, a wrong `not-run`, and calls that end twice or never.
#[test]
fn random_events_keep_the_rules() {
    // Results of attempts, and whether the target certainly did not run the request.
    let results = [
        (ANSWERED, false),
        (LOST, false),
        (TIMED_OUT, false),
        (REFUSED_LOST, false),
        (refused(RefusalReason::Overloaded), true),
        (refused(RefusalReason::QueueFull), true),
        (FAILED, true),
    ];
    for seed in 0..2_000 {
        let mut random = seeded(seed);
        let idempotent = random.random_bool(0.5);
        let max_attempts = random.random_range(1..5);
        let mut call = Call::start(idempotent, max_attempts);
        let mut in_flight = vec![1];
        let mut may_have_run = false;
        for _ in 0..30 {
            call.now += ms(random.random_range(0..10));
            let attempt = random.random_range(1..6);
            let (result, not_run) = results[random.random_range(0..7)];
            let event = match random.random_range(0..20) {
                0 => PlanEvent::DeadlineReached { sent: true },
                1 => PlanEvent::CallerGone,
                2..6 => PlanEvent::HedgeDue,
                _ => PlanEvent::AttemptFinished { attempt, result },
            };
            if matches!(event, PlanEvent::AttemptFinished { .. }) {
                may_have_run |= in_flight.contains(&attempt) && !not_run;
                in_flight.retain(|known| *known != attempt);
            } else if event != PlanEvent::HedgeDue {
                may_have_run |= !in_flight.is_empty();
            }
            let was_open = call.plan.outcome().is_none();
            for action in call.handle(event) {
                assert!(was_open, "seed {seed}: {action:?} after the end");
                match action {
                    PlanAction::SendAttempt { attempt, .. } => {
                        let harmless = idempotent || (!may_have_run && in_flight.is_empty());
                        assert!(harmless, "seed {seed}: order sent again");
                        assert!(attempt <= max_attempts, "seed {seed}: attempt {attempt}");
                        in_flight.push(attempt);
                    }
                    PlanAction::CancelAttempt { attempt } => {
                        in_flight.retain(|known| *known != attempt);
                    }
                    PlanAction::FinishRefused { outcome, .. } => {
                        let not_run = outcome == CallOutcome::NotRun;
                        assert_eq!(not_run, !may_have_run, "seed {seed}");
                    }
                    PlanAction::FinishAnswered { .. } => {}
                    PlanAction::SetHedgeTimer { .. } => panic!("seed {seed}: second timer"),
                }
            }
            let is_open = call.plan.outcome().is_none();
            assert_eq!(is_open, !in_flight.is_empty(), "seed {seed}");
        }
    }
}

/// Guards against an idempotent request that crashes a third target within one call.
#[test]
fn second_lost_target_ends_the_call() {
    let mut call = Call::start(true, 5);
    assert_eq!(call.finish(1, REFUSED_LOST)[..], [send(2, false)]);
    assert_eq!(call.finish(2, REFUSED_LOST)[..], [CUT]);
    assert_eq!(call.plan.attempts(), 2);
}
