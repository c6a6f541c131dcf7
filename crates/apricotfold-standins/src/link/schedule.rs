//! Schedule of data in one direction of the link: computes when data that was read is delivered.
//! Performs no I/O and reads no clock.

use std::time::{Duration, Instant};

use apricotfold_model::LinkImpairment;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Maximum idle time that a transmission may make up for. Timers fire up to a millisecond late, so
/// without it a single connection would not reach the configured bandwidth.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);

/// State shared by all connections of a direction: the transmitter, which sends one chunk at a time at
/// the configured bandwidth, and the random number generator for the jitter.
#[derive(Debug)]
pub struct DirectionSchedule {
    free_at: Instant,
    bandwidth: Option<u64>,
    random: StdRng,
}

/// Times at which a chunk is transmitted and arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChunkTiming {
    /// Time at which the last byte is transmitted; the connection's next chunk is read after it.
    pub transmitted: Instant,
    /// Fraction of the maximum jitter that applies to this chunk, from 0 to 1.
    jitter_share: f64,
}

impl ChunkTiming {
    /// Time at which the chunk arrives under `impairment`. An earlier chunk of the same connection that
    /// arrives later delays it further.
    #[must_use]
    pub fn arrival(&self, impairment: &LinkImpairment) -> Instant {
        self.transmitted + impairment.delay + impairment.jitter.mul_f64(self.jitter_share)
    }
}

impl DirectionSchedule {
    /// Creates a schedule with an idle transmitter.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            free_at: now,
            bandwidth: None,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Schedules the transmission of a chunk of `bytes`, after those that are already scheduled.
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
            // Chunks that wait for their transmission are scheduled again, see `Forwarder`.
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

/// Counts the bytes that one direction of a connection forwards before it becomes half-open.
#[derive(Debug, Default)]
pub struct HalfOpenCounter {
    passed: u64,
}

impl HalfOpenCounter {
    /// Counts and returns how many of the next `bytes` are forwarded; the others must be discarded.
    pub fn pass(&mut self, impairment: &LinkImpairment, bytes: usize) -> usize {
        let left = match impairment.half_open_after {
            Some(limit) => limit.saturating_sub(self.passed),
            None => u64::MAX,
        };
        let passing = bytes.min(usize::try_from(left).unwrap_or(usize::MAX));
        self.passed += passing as u64;
        passing
    }

    /// True if nothing more is forwarded, not even the end of the stream.
    #[must_use]
    pub fn is_half_open(&self, impairment: &LinkImpairment) -> bool {
        impairment
            .half_open_after
            .is_some_and(|limit| self.passed >= limit)
    }
}
