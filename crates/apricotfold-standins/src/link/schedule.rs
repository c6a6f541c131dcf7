//! When data that entered one direction of the link leaves it. Does no input or output and reads no
//! clock.

use std::time::{Duration, Instant};

use apricotfold_model::LinkImpairment;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// How far transmission may run behind the clock and catch up. Timers wake up to a millisecond late;
/// without this a single connection would not reach the bandwidth.
const CATCH_UP: Duration = Duration::from_millis(5);

/// State that all connections of a direction share: the line that transmits one piece after the
/// other, and the source of jitter.
#[derive(Debug)]
pub struct DirectionSchedule {
    line_free: Instant,
    bandwidth: Option<u64>,
    random: StdRng,
}

/// The way of one piece of data along the line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PieceTransit {
    /// When its last byte is on the line; the connection's next piece may start then.
    pub transmitted: Instant,
    /// Its share of the largest jitter, from 0 to 1.
    jitter_share: f64,
}

impl PieceTransit {
    /// When the piece arrives under the given faults, unless an earlier piece of its connection
    /// arrives later.
    #[must_use]
    pub fn arrives(&self, rule: &LinkImpairment) -> Instant {
        self.transmitted + rule.delay + rule.jitter.mul_f64(self.jitter_share)
    }
}

impl DirectionSchedule {
    /// Starts with a free line.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            line_free: now,
            bandwidth: None,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Puts a piece of `bytes` on the line.
    pub fn transmit(&mut self, rule: &LinkImpairment, bytes: usize, now: Instant) -> PieceTransit {
        PieceTransit {
            transmitted: self.take_line(rule, bytes, now),
            jitter_share: self.random.random_range(0.0..=1.0),
        }
    }

    fn take_line(&mut self, rule: &LinkImpairment, bytes: usize, now: Instant) -> Instant {
        if self.bandwidth != rule.bandwidth {
            // What waits for the line is put on it anew, see `DataPump`.
            self.bandwidth = rule.bandwidth;
            self.line_free = now;
        }
        let Some(bandwidth) = rule.bandwidth else {
            return now;
        };
        let earliest = now.checked_sub(CATCH_UP).unwrap_or(now);
        let start = self.line_free.max(earliest);
        self.line_free = start + transmission_time(bytes, bandwidth);
        self.line_free.max(now)
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
    pub fn pass(&mut self, rule: &LinkImpairment, bytes: usize) -> usize {
        let left = match rule.half_open_after {
            Some(limit) => limit.saturating_sub(self.passed),
            None => u64::MAX,
        };
        let passing = bytes.min(usize::try_from(left).unwrap_or(usize::MAX));
        self.passed += passing as u64;
        passing
    }

    /// True if nothing passes any more, not even the end of the connection.
    #[must_use]
    pub fn is_half_open(&self, rule: &LinkImpairment) -> bool {
        rule.half_open_after
            .is_some_and(|limit| self.passed >= limit)
    }
}
