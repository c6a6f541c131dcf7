//! Graceful shutdown: notify peers, refuse new work, finish requests in flight, exit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::log_event;
use tokio::signal::unix::{SignalKind, signal};

use crate::server::ServerSet;
use crate::state::NodeState;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time that connections get to send the last bytes of finished responses.
const MIN_FLUSH_TIME: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when signals cannot be received.
pub async fn wait_for_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Drains the node. Requests that exceed the profile's grace period are cut off.
pub async fn drain(state: &Arc<NodeState>, servers: ServerSet) {
    let rule = state.snapshot.load().profile.drain;
    state.start_drain();
    tokio::time::sleep(rule.notice).await;
    let limit = Instant::now() + rule.grace;
    while state.in_flight.count() > 0 && Instant::now() < limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for number in 0..state.in_flight.count() {
        log_event!(
            warn,
            DrainGraceExpired,
            "request {number} still running after {:?}",
            rule.grace
        );
    }
    state.leave();
    let remaining = limit.saturating_duration_since(Instant::now());
    servers.stop(remaining.max(MIN_FLUSH_TIME)).await;
    log_event!(info, Stopped, "node {}", state.config.node);
}
