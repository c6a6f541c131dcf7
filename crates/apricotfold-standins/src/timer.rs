//! Waiting for a time.

use std::time::Instant;

/// Waits until `time`, and not at all if it has passed. The runtime's own timer always waits for its
/// next tick, which would add up to a millisecond to every piece of data that is not delayed.
pub async fn wait_until(time: Instant) {
    if time > Instant::now() {
        tokio::time::sleep_until(time.into()).await;
    }
}
