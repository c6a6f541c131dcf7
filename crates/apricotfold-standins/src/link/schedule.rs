//! When data that entered one direction of the link leaves it. Does no input or output and reads no
//! clock.

use std::time::{Duration, Instant};

use apricotfold_model::LinkImpairment;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// How far transmission may run behind the clock and catch up. Timers wake up to a millisecond late;
/// without this a single connection would not reach the bandwidth.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);

/// State that all connections of a direction share: the line that transmits one piece after the
/// other, and the source of jitter.
#[derive(Debug)]
pub struct DirectionSchedule {
    free_at: Instant,
    bandwidth: Option<u64>,
    random: StdRng,
}

/// The way of one piece of data along the line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChunkTiming {
    /// When its last byte is on the line; the connection's next piece may start then.
    pub transmitted: Instant,
    /// Its share of the largest jitter, from 0 to 1.
    jitter_share: f64,
}

impl ChunkTiming {
    /// When the piece arrives under the given faults, unless an earlier piece of its connection
    /// arrives later.
    #[must_use]
    pub fn arrival(&self, impairment: &LinkImpairment) -> Instant {
        self.transmitted + impairment.delay + impairment.jitter.mul_f64(self.jitter_share)
    }
}

impl DirectionSchedule {
    /// Starts with a free line.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            free_at: now,
            bandwidth: None,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Puts a piece of `bytes` on the line.
    pub fn transmit(
        &mut self,
        impairment: &LinkImpairment,
        bytes: usize,
        now: Instant,
    ) -> ChunkTiming {
        ChunkTiming {
            transmitted: self.reserve_bandwidth(impairment, bytes, now),
            jitter_share: self.random.random_range(0.0..=1.0),
        }
    }

    fn reserve_bandwidth(
        &mut self,
        impairment: &LinkImpairment,
        bytes: usize,
        now: Instant,
    ) -> Instant {
        if self.bandwidth != impairment.bandwidth {
            // What waits for the line is put on it anew, see `Forwarder`.
            self.bandwidth = impairment.bandwidth;
            self.free_at = now;
        }
        let Some(bandwidth) = impairment.bandwidth else {
            return now;
        };
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        let start = self.free_at.max(earliest);
        self.free_at = start + transmission_time(bytes, bandwidth);
        self.free_at.max(now)
    }
}

fn transmission_time(bytes: usize, bandwidth: u64) -> Duration {
    let nanoseconds = bytes as u128 * 1_000_000_000 / u128::from(bandwidth.max(1));
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
}

/// Bytes of one connection and direction that still pass before it goes half-open.
#[derive(Debug, Default)]
pub struct HalfOpenCounter {
    passed: u64,
}

impl HalfOpenCounter {
    /// Number of the next `bytes` that pass; the rest is dropped.
    pub fn pass(&mut self, impairment: &LinkImpairment, bytes: usize) -> usize {
        let left = match impairment.half_open_after {
            Some(limit) => limit.saturating_sub(self.passed),
            None => u64::MAX,
        };
        let passing = bytes.min(usize::try_from(left).unwrap_or(usize::MAX));
        self.passed += passing as u64;
        passing
    }

    /// True if nothing passes any more, not even the end of the connection.
    #[must_use]
    pub fn is_half_open(&self, impairment: &LinkImpairment) -> bool {
        impairment
            .half_open_after
            .is_some_and(|limit| self.passed >= limit)
    }
}
