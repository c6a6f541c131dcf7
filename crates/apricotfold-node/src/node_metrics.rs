//! Metrics of the daemon, served by the admin endpoint in the Prometheus text format.

use std::time::Duration;

use apricotfold_model::{CallOutcome, RefusalReason};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Installs the recorder for the whole process.
pub fn install() -> eyre::Result<PrometheusHandle> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}

/// Counts a finished call at its entry node and records its duration.
pub fn record_call(outcome: CallOutcome, reason: Option<RefusalReason>, elapsed: Duration) {
    let reason: &'static str = reason.map_or("none", Into::into);
    let outcome: &'static str = outcome.into();
    counter!("apricotfold_calls_total", "outcome" => outcome, "reason" => reason).increment(1);
    histogram!("apricotfold_call_seconds").record(elapsed.as_secs_f64());
}

/// Counts an additional attempt of a call; `kind` is `retry` or `hedge`.
pub fn record_extra_attempt(kind: &'static str) {
    counter!("apricotfold_extra_attempts_total", "kind" => kind).increment(1);
}

/// Counts bytes of response bodies at the entry node; `tier` is the locality of the target.
pub fn record_response_bytes(tier: &'static str, bytes: usize) {
    counter!("apricotfold_answer_bytes_total", "tier" => tier).increment(bytes as u64);
}

/// Sets the gauge of the applied profile version.
#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
pub fn record_version(version: u64) {
    gauge!("apricotfold_applied_version").set(version as f64);
}

/// Counts bytes of control messages by kind and link; `direction` is `sent` or `received`.
pub fn record_control_bytes(
    kind: &'static str,
    link: &'static str,
    direction: &'static str,
    bytes: usize,
) {
    counter!(
        "apricotfold_control_bytes_total",
        "kind" => kind, "link" => link, "direction" => direction
    )
    .increment(bytes as u64);
}

/// Counts a request to the store; `kind` is the operation, such as `list` or `commit`.
pub fn record_store_call(kind: &'static str) {
    counter!("apricotfold_store_calls_total", "kind" => kind).increment(1);
}
