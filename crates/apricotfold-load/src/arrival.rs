//! Arrival times of a load. Does no input or output and reads no clock.

use std::time::Duration;

use apricotfold_model::WorkClass;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// A time with a constant mean rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// Mean calls per second.
    pub calls_per_second: u32,
    /// Length of the phase.
    pub duration: Duration,
}

/// One call of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Arrival, counted from the start of the load.
    pub at: Duration,
    /// Length of the work.
    pub class: WorkClass,
}

/// Draws Poisson arrivals for phases that follow each other. The same seed gives the same plan.
#[must_use]
pub fn plan_calls(phases: &[LoadPhase], long_percent: u32, seed: u64) -> Vec<PlannedCall> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut phase_start = Duration::ZERO;
    for phase in phases {
        let phase_end = phase_start + phase.duration;
        let mut at = phase_start + draw_gap(phase.calls_per_second, &mut random);
        while at < phase_end {
            let class = if random.random_range(0..100) < long_percent {
                WorkClass::Long
            } else {
                WorkClass::Short
            };
            calls.push(PlannedCall { at, class });
            at += draw_gap(phase.calls_per_second, &mut random);
        }
        phase_start = phase_end;
    }
    calls
}

/// Draws the time between two Poisson arrivals, which is exponentially distributed.
fn draw_gap(calls_per_second: u32, random: &mut StdRng) -> Duration {
    if calls_per_second == 0 {
        return Duration::from_secs(u64::from(u32::MAX));
    }
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / f64::from(calls_per_second))
}
