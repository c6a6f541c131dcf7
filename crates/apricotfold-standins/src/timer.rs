//! Waiting for a point in time.

use std::time::Instant;

/// Waits until `time`; returns at once if it has passed. A timer of the runtime always waits for its
/// next tick, which would add up to a millisecond to data that is not delayed.
pub async fn wait_until(time: Instant) {
    if time > Instant::now() {
        tokio::time::sleep_until(time.into()).await;
    }
}
