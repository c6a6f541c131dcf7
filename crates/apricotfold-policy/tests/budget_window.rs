//! Retry budget shared by many nodes, checked over any window of ten seconds.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotfold_policy::RetryBudget;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);
const PERCENT: u32 = 20;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against retries beyond the share when the call rate falls or failures begin after a
    /// quiet time: a limit whose count of retries decays gradually allows twice as many then.
    #[test]
    fn holds_in_any_window(rates in prop::collection::vec((0..20_u32, 0..20_u32), 1..60)) {
        let mut budget = RetryBudget::new(PERCENT).with_minimum(0.2);
        let mut now = Instant::now();
        let mut firsts: VecDeque<Instant> = VecDeque::new();
        let mut repeats: VecDeque<Instant> = VecDeque::new();
        for (rate, failures) in rates {
            for _ in 0..rate {
                budget.record_first(now);
                firsts.push_back(now);
            }
            for _ in 0..failures {
                if budget.try_spend(now) {
                    repeats.push_back(now);
                }
            }
            // First attempts of the preceding window count too: the budget's window consists of
            // buckets that expire late, so it is slightly longer than ten seconds.
            firsts.retain(|at| now - *at <= WINDOW * 2);
            repeats.retain(|at| now - *at <= WINDOW);
            let limit = f64::from(PERCENT) / 100.0 * f64::from(u32::try_from(firsts.len()).expect("small"));
            let sent = f64::from(u32::try_from(repeats.len()).expect("small"));
            prop_assert!(sent <= limit.max(2.0), "{sent} {limit}");
            now += Duration::from_millis(500);
        }
    }
}
