//! Load pattern: downloads that fill the link of a target's machine, so that every small answer
//! waits behind them. See `docs/platform.md`, section 6.

use std::time::{Duration, Instant};

use crate::CallStanding;

/// Bytes from which an answer counts as bulk. Smaller ones pass at once, bulk is paced so that they
/// need not wait behind it.
pub const BULK_MIN_BYTES: usize = 16 * 1024;

/// Part of the link's rate that paced answers may use. The rest is for small answers, requests and
/// the packets' own headers.
const BULK_SHARE: f64 = 0.95;

/// Time by which bulk may run ahead of the link, so that it does not fall idle between two turns
/// of a task. Small answers wait this much longer at most.
const LEAD: Duration = Duration::from_millis(10);

/// Follows how much of the link is taken: the time until which granted bytes occupy it, and bulk
/// that is admitted or waits to be sent.
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    /// Bytes per second for bulk; `None` for a link without a known limit.
    rate: Option<f64>,
    free_at: Option<Instant>,
    /// Bulk bytes of admitted requests that are not yet granted.
    pending: usize,
}

impl LinkPacer {
    /// Creates the gauge of an idle link with a rate in bytes per second.
    #[must_use]
    pub fn new(rate: Option<f64>) -> Self {
        Self {
            rate: rate.map(|rate| rate * BULK_SHARE),
            free_at: None,
            pending: 0,
        }
    }

    /// Time that bulk of this size occupies the link.
    #[must_use]
    pub fn transfer_time(&self, bytes: usize) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(to_float(bytes) / rate)
        })
    }

    /// Time that bulk which arrives now waits for the link.
    #[must_use]
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let occupied = self
            .free_at
            .map_or(Duration::ZERO, |free| free.saturating_duration_since(now));
        occupied + self.transfer_time(self.pending)
    }

    /// Tells whether a request should run that needs an answer of `bytes` within `left` and whose
    /// work takes `service`. Bulk that would wait too long for the link is refused before it runs.
    #[must_use]
    pub fn admits(
        &self,
        bytes: usize,
        standing: CallStanding,
        left: Duration,
        service: Duration,
        now: Instant,
    ) -> bool {
        if bytes < BULK_MIN_BYTES {
            return true;
        }
        let needed = service + self.transfer_time(bytes);
        let spare = left.saturating_sub(needed);
        self.expected_wait(now) <= spare.mul_f64(standing.wait_share())
    }

    /// Notes that a request with a bulk answer is admitted or that such an answer is held.
    pub fn reserve(&mut self, bytes: usize) {
        self.pending += bytes;
    }

    /// Gives back what was reserved and will not be sent.
    pub fn release(&mut self, bytes: usize) {
        self.pending = self.pending.saturating_sub(bytes);
    }

    /// Asks to send reserved bulk. Returns when to ask again if the link is taken until then.
    ///
    /// # Errors
    ///
    /// Returns the time at which the link is expected to be free.
    pub fn grant(&mut self, bytes: usize, now: Instant) -> Result<(), Instant> {
        if let Some(free) = self.free_at
            && free > now + LEAD
        {
            return Err(free.checked_sub(LEAD).unwrap_or(free));
        }
        self.release(bytes);
        self.occupy(bytes, now);
        Ok(())
    }

    /// Notes bytes that are sent without asking.
    pub fn occupy(&mut self, bytes: usize, now: Instant) {
        let start = self.free_at.map_or(now, |free| free.max(now));
        self.free_at = Some(start + self.transfer_time(bytes));
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes of answers are far below 2^52"
)]
fn to_float(bytes: usize) -> f64 {
    bytes as f64
}
