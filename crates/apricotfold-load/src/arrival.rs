//! Plans the arrival times of a load. Performs no I/O and reads no clock.

use std::time::Duration;

use apricotfold_model::WorkClass;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Part of a load with a constant mean rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// Mean number of calls per second; 0 for a phase without calls.
    pub calls_per_second: u32,
    /// Duration of the phase.
    pub duration: Duration,
}

/// A call with its planned arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Planned arrival, relative to the start of the load.
    pub at: Duration,
    /// Work class of the call, which selects its path.
    pub class: WorkClass,
}

/// Draws Poisson arrivals for consecutive phases. `long_percent` of the calls are of the long
/// class. The same seed gives the same plan.
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

/// Draws the exponentially distributed time between two Poisson arrivals.
fn draw_gap(calls_per_second: u32, random: &mut StdRng) -> Duration {
    if calls_per_second == 0 {
        return Duration::from_secs(u64::from(u32::MAX));
    }
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / f64::from(calls_per_second))
}
