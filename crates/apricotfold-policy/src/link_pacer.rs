//! Pacing of bulk answers on the network link of a target's machine, so that small answers do not
//! queue behind downloads that fill the link. See `docs/platform.md`, section 6.

use std::time::{Duration, Instant};

use crate::CallStanding;

/// Minimum size of a bulk answer in bytes. Smaller answers are sent at once; bulk is paced so that
/// they do not queue behind it.
pub const BULK_MIN_BYTES: usize = 16 * 1024;

/// Share of the link's rate that paced answers may use. The rest is for small answers, requests and
/// packet headers.
const BULK_SHARE: f64 = 0.95;

/// Share of the link's rate that bulk request bodies may use on their way in. It is lower than that of
/// answers, because other callers' requests and answers arrive without being scheduled.
const INBOUND_SHARE: f64 = 0.85;

/// Time by which bulk may be granted ahead of the link, so that the link does not become idle
/// between two polls of a task. It delays small answers by no more than this.
const MAX_LEAD: Duration = Duration::from_millis(10);

/// Tracks the use of the link: the time until which granted bytes occupy it, and the bulk that is
/// admitted or waits to be sent.
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    /// Rate for bulk in bytes per second; `None` for a link without a known limit.
    rate: Option<f64>,
    free_at: Option<Instant>,
    /// Reserved bulk bytes that are not yet granted.
    pending: usize,
}

impl LinkPacer {
    /// Creates the pacer of an idle link with a rate in bytes per second; `None` disables pacing.
    #[must_use]
    pub fn new(rate: Option<f64>) -> Self {
        Self {
            rate: rate.map(|rate| rate * BULK_SHARE),
            free_at: None,
            pending: 0,
        }
    }

    /// Creates the pacer of bulk request bodies that arrive over an idle link.
    #[must_use]
    pub fn inbound(rate: Option<f64>) -> Self {
        Self {
            rate: rate.map(|rate| rate * INBOUND_SHARE),
            ..Self::new(None)
        }
    }

    /// Time that an answer of this size occupies the link; zero without a known rate.
    #[must_use]
    pub fn transfer_time(&self, bytes: usize) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(to_float(bytes) / rate)
        })
    }

    /// Time that a bulk answer which arrives now waits for the link.
    #[must_use]
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let occupied = self
            .free_at
            .map_or(Duration::ZERO, |free| free.saturating_duration_since(now));
        occupied + self.transfer_time(self.pending)
    }

    /// Returns whether a request should run that takes `service` and needs an answer of `bytes`
    /// within `left`. A request whose bulk answer would wait too long for the link is refused
    /// before it runs.
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

    /// Reserves the bytes of a bulk answer, when its request is admitted or when the answer is held
    /// back.
    pub fn reserve(&mut self, bytes: usize) {
        self.pending += bytes;
    }

    /// Releases reserved bytes that will not be sent.
    pub fn release(&mut self, bytes: usize) {
        self.pending = self.pending.saturating_sub(bytes);
    }

    /// Grants reserved bulk bytes for sending.
    ///
    /// # Errors
    ///
    /// Returns the time at which to call again if the link is occupied until then.
    pub fn grant(&mut self, bytes: usize, now: Instant) -> Result<(), Instant> {
        if let Some(free) = self.free_at
            && free > now + MAX_LEAD
        {
            return Err(free.checked_sub(MAX_LEAD).unwrap_or(free));
        }
        self.release(bytes);
        self.occupy(bytes, now);
        Ok(())
    }

    /// Records bytes that are sent without a grant.
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
