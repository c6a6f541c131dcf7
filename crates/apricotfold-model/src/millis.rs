//! Times as they stand in messages and headers.

use std::time::Duration;

/// Whole milliseconds of a time; a time that is too long for the number becomes the largest one.
#[must_use]
pub fn saturating_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
