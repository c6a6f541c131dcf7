//! Limit of retries and hedges. See `docs/design.md`, section 6.

use std::time::{Duration, Instant};

use apricotfold_model::RetryPolicy;

use crate::window_count::WindowCount;

/// Time over which first attempts and retries are counted. It is long against one burst of
/// failures and short against an incident.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Retries per second that are allowed at any rate of calls. Without a minimum, a service that is
/// called rarely would never be retried.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// Allows retries up to a share of recent first attempts. The same type limits hedges.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    minimum: f64,
    first_attempts: WindowCount,
    retries: WindowCount,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 first attempts. Zero percent allows none.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            minimum: MIN_RETRIES_PER_SECOND,
            first_attempts: WindowCount::new(BUDGET_WINDOW),
            retries: WindowCount::new(BUDGET_WINDOW),
        }
    }

    /// Changes the retries per second that are allowed at any rate of calls. Nodes that share one
    /// limit each keep to their part of it.
    #[must_use]
    pub fn with_minimum(mut self, per_second: f64) -> Self {
        self.minimum = per_second;
        self
    }

    /// Like [`with_minimum`](Self::with_minimum), and keeps the counts.
    pub fn set_minimum(&mut self, per_second: f64) {
        self.minimum = per_second;
    }

    /// Changes the share and keeps the counts.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Instant) {
        self.first_attempts.add(now);
    }

    /// Counts a repeat that was not asked for here: a call that a repeated request makes again.
    pub fn record_external_retry(&mut self, now: Instant) {
        self.retries.add(now);
    }

    /// Takes one retry out of the budget. Returns false when none is left.
    #[must_use]
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.try_spend_within(1.0, now)
    }

    /// Takes one retry out of the budget if the retries, with it, stay within `part` of what is
    /// allowed. The rest is kept for retries that are worth more.
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

/// The budgets that all calls from a node to one service and work class share.
#[derive(Clone, Debug)]
pub struct CallBudgets {
    /// Limits retries.
    pub retries: RetryBudget,
    /// Limits hedges.
    pub hedges: RetryBudget,
}

impl CallBudgets {
    /// Creates empty budgets with the shares of a profile.
    #[must_use]
    pub fn new(rule: &RetryPolicy) -> Self {
        Self {
            retries: RetryBudget::new(rule.budget_percent),
            hedges: RetryBudget::new(rule.hedge_budget_percent),
        }
    }

    /// Takes over the shares of a changed profile and keeps the counts.
    pub fn set_rule(&mut self, rule: &RetryPolicy) {
        self.retries.set_percent(rule.budget_percent);
        self.hedges.set_percent(rule.hedge_budget_percent);
    }
}
