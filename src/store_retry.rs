//! Retries store calls with exponential backoff and full jitter.

use std::future::Future;
use std::time::Duration;

use apricotfold_model::log_event;
use apricotfold_store::{ConfigStore, StoreError};
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::CommandError;

const BASE_DELAY: Duration = Duration::from_millis(50);
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Returns the delay before a retry, distributed uniformly between zero and a bound that doubles
/// with each failure. The jitter keeps commands that failed together from retrying together.
pub fn jitter_delay(generator: &mut impl RngExt, failures: u32) -> Duration {
    let bound = BASE_DELAY
        .saturating_mul(2_u32.saturating_pow(failures.saturating_sub(1)))
        .min(MAX_DELAY);
    bound.mul_f64(generator.random::<f64>())
}

/// Retries read-only and idempotent store calls until a deadline.
pub struct StoreRetry<'a> {
    /// Store that receives the calls; also used directly for calls that must not be retried.
    pub store: &'a dyn ConfigStore,
    generator: StdRng,
    min_attempts: u32,
    deadline: Instant,
}

impl<'a> StoreRetry<'a> {
    /// Creates a retry policy that makes at least `min_attempts` attempts of each call and retries
    /// until `wait` has passed from now.
    #[must_use]
    pub fn new(store: &'a dyn ConfigStore, min_attempts: u32, wait: Duration) -> Self {
        Self {
            store,
            generator: rand::make_rng(),
            min_attempts: min_attempts.max(1),
            deadline: Instant::now() + wait,
        }
    }

    /// Returns a policy for the same store whose deadline is at least `wait` from now.
    #[must_use]
    pub fn extended(&self, wait: Duration) -> Self {
        let mut retry = Self::new(self.store, self.min_attempts, wait);
        retry.deadline = retry.deadline.max(self.deadline);
        retry
    }

    /// Whether the deadline for retries has passed.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Makes a call and retries it until it succeeds.
    ///
    /// # Errors
    ///
    /// Returns the last error once the minimum number of attempts is made and the deadline has
    /// passed.
    pub async fn run<T, F>(
        &mut self,
        call: impl Fn(&'a dyn ConfigStore) -> F,
    ) -> Result<T, CommandError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut failures = 0;
        loop {
            match call(self.store).await {
                Ok(answer) => return Ok(answer),
                Err(error) => self.backoff(&mut failures, &error).await?,
            }
        }
    }

    /// Counts a failure and waits before the next attempt.
    ///
    /// # Errors
    ///
    /// Returns `error` once the minimum number of attempts is made and the deadline has passed.
    pub async fn backoff(
        &mut self,
        failures: &mut u32,
        error: &StoreError,
    ) -> Result<(), CommandError> {
        *failures += 1;
        if *failures >= self.min_attempts && self.is_expired() {
            return Err(CommandError::store_unavailable(error));
        }
        log_event!(info, StoreUnavailable, "retrying: {error}");
        let left = self.deadline.saturating_duration_since(Instant::now());
        let delay = jitter_delay(&mut self.generator, *failures);
        let delay = if left.is_zero() {
            delay
        } else {
            delay.min(left)
        };
        tokio::time::sleep(delay).await;
        Ok(())
    }
}
