//! Conversion of durations for messages and headers.

use std::time::Duration;

/// Converts a duration to whole milliseconds; saturates at `u64::MAX`.
#[must_use]
pub fn saturating_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
