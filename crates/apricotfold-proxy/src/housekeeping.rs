//! Removes expired instances, closes idle connections, and publishes metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::log_event;
use apricotfold_policy::JumpDetector;

use crate::engine::Engine;
use crate::{quota, telemetry};

/// Interval at which expired state is removed and metrics are published.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time without use after which the statistics of a target are dropped.
const UNUSED_AGE: Duration = Duration::from_mins(2);

/// Runs until the process ends.
pub async fn run_housekeeping(engine: Arc<Engine>) {
    let mut jumps = JumpDetector::default();
    let mut checked_version = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = Instant::now();
        if let Some(jump) = jumps.observe(now, engine.clock.now()) {
            log_event!(
                warn,
                ClockJumped,
                "by {jump} ms against the steady clock, or the instance was suspended"
            );
        }
        for node in engine.registry().expire(now) {
            log_event!(info, InstanceChanged, "{node} is gone");
        }
        let ended = engine.registry().take_ended();
        for incarnation in &ended {
            engine.record_crash(incarnation);
        }
        let silence = engine.config.load().longest_announcement_delay();
        let incarnation = engine.current_incarnation();
        if engine.local().expire(silence, now) {
            log_event!(warn, TargetGone, "no announcement for {silence:?}");
            engine.change_registration();
            if let Some(incarnation) = incarnation {
                engine.record_crash(&incarnation);
            }
        }
        engine.crashes.prune();
        engine.target_connections.prune();
        engine.peer_connections.prune();
        engine.selector().prune(UNUSED_AGE, now);
        engine.prune_rate_limits();
        engine.inbound_waits().prune(now);
        quota::tick(&engine);
        publish_metrics(&engine);
        if engine.tables.version() != checked_version {
            checked_version = engine.tables.version();
            check_body_limit(&engine);
        }
    }
}

/// Logs a table that allows larger bodies than this node can hold. They are refused as not run.
fn check_body_limit(engine: &Engine) {
    let most = engine.tables.current().table.limits.body_bytes;
    let budget = engine.limits.held_bytes;
    if !engine.limits.fits_body(most) {
        let text = || format!("the table allows {most} bytes, the budget is {budget}");
        engine.held_memory.record_limit("body-size", text);
    }
}

fn publish_metrics(engine: &Engine) {
    telemetry::publish_held_bytes(engine.held_memory.total());
    let report = engine.report();
    let (suspects, blocked) = engine.crashes.sizes();
    let metrics = telemetry::StateMetrics {
        table_version: engine.tables.version(),
        instances: engine.registry().len() as u64,
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        run_limit: engine.run_limit(),
        store_age: engine.store_health.age().unwrap_or(Duration::MAX),
        suspects: suspects as u64,
        blocked: blocked as u64,
        ready: engine.is_ready(),
        clock_offset: engine.clock_offsets().own_offset(Instant::now()),
    };
    telemetry::publish_state(&metrics);
}
