//! Time of day that jumps.

use std::sync::Mutex;
use std::time::{Duration, SystemTime};

use apricotfold_model::WallClock;

/// Time of day that is set apart from the system's.
#[derive(Debug, Default)]
pub struct JumpingClock(Mutex<ClockOffset>);

#[derive(Clone, Copy, Debug, Default)]
struct ClockOffset {
    ahead: Duration,
    behind: Duration,
}

impl JumpingClock {
    /// Sets the clock ahead of the system's.
    pub fn set_ahead(&self, ahead: Duration) {
        self.set(ahead, Duration::ZERO);
    }

    /// Sets the clock behind the system's.
    pub fn set_behind(&self, behind: Duration) {
        self.set(Duration::ZERO, behind);
    }

    fn set(&self, ahead: Duration, behind: Duration) {
        *self.0.lock().expect("no panic while locked") = ClockOffset { ahead, behind };
    }
}

impl WallClock for JumpingClock {
    fn now(&self) -> SystemTime {
        let offset = *self.0.lock().expect("no panic while locked");
        SystemTime::now() + offset.ahead - offset.behind
    }
}
