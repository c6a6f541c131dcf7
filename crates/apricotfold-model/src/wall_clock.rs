//! The time of day, which may jump. See `docs/design.md`, section 2.2.

use std::time::SystemTime;

/// Source of the time of day.
///
/// The time of day can differ between nodes and jump in either direction, also between two starts of
/// a process, so no decision may depend on it. It stands behind a trait so that tests can make it
/// jump.
pub trait WallClock: Send + Sync {
    /// Returns the time of day.
    fn now(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn now(&self) -> SystemTime {
        SystemTime::now()
    }
}
