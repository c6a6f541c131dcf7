//! Retry and hedge budgets. See `docs/design.md`, section 6.

use std::time::{Duration, Instant};

use apricotfold_model::RetryPolicy;

use crate::window_count::WindowCount;

/// Window in which first attempts and retries are counted. It is long compared with a burst of
/// failures and short compared with an incident.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Minimum rate of retries per second, whatever the rate of calls. Without it, a service that is
/// rarely called would never get a retry.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// Limits retries to a share of the recent first attempts. Hedges are limited by the same type.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    minimum: f64,
    first_attempts: WindowCount,
    retries: WindowCount,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 first attempts. Zero percent disables retries.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            minimum: MIN_RETRIES_PER_SECOND,
            first_attempts: WindowCount::new(BUDGET_WINDOW),
            retries: WindowCount::new(BUDGET_WINDOW),
        }
    }

    /// Sets the minimum rate of retries per second. Nodes that share one limit each use a part of
    /// it.
    #[must_use]
    pub fn with_minimum(mut self, per_second: f64) -> Self {
        self.minimum = per_second;
        self
    }

    /// Sets the minimum rate of retries per second and keeps the counts.
    pub fn set_minimum(&mut self, per_second: f64) {
        self.minimum = per_second;
    }

    /// Sets the number of retries per 100 first attempts and keeps the counts.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Counts a first attempt, which raises the number of allowed retries.
    pub fn record_first(&mut self, now: Instant) {
        self.first_attempts.add(now);
    }

    /// Counts a retry that did not originate at this node: a call made again by a retried request.
    pub fn record_external_retry(&mut self, now: Instant) {
        self.retries.add(now);
    }

    /// Spends one retry. Returns false if the budget is used up.
    #[must_use]
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.try_spend_within(1.0, now)
    }

    /// Spends one retry if the retries, including this one, stay within `part` of the budget. The
    /// rest is reserved for retries of more value.
    #[must_use]
    pub fn try_spend_within(&mut self, part: f64, now: Instant) -> bool {
        if self.share <= 0.0 {
            return false;
        }
        let minimum = self.minimum * BUDGET_WINDOW.as_secs_f64();
        let allowed = (self.share * self.first_attempts.value_at(now)).max(minimum);
        if self.retries.value_at(now) + 1.0 > allowed * part {
            return false;
        }
        self.retries.add(now);
        true
    }
}

/// Budgets shared by all calls from a node to one service and work class.
#[derive(Clone, Debug)]
pub struct CallBudgets {
    /// Budget of retries.
    pub retries: RetryBudget,
    /// Budget of hedges.
    pub hedges: RetryBudget,
}

impl CallBudgets {
    /// Creates the budgets of a profile's retry rule.
    #[must_use]
    pub fn new(rule: &RetryPolicy) -> Self {
        Self {
            retries: RetryBudget::new(rule.budget_percent),
            hedges: RetryBudget::new(rule.hedge_budget_percent),
        }
    }

    /// Applies a changed retry rule and keeps the counts.
    pub fn set_rule(&mut self, rule: &RetryPolicy) {
        self.retries.set_percent(rule.budget_percent);
        self.hedges.set_percent(rule.hedge_budget_percent);
    }
}
