//! Metrics of the proxy, exported in the Prometheus text format.

use std::sync::Mutex;
use std::time::Duration;

use apricotfold_model::{CallOutcome, RefusalReason, RolloutState, WorkClass};
use apricotfold_policy::{AnnouncementRefusal, OffsetMillis, WatchDoubt};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency buckets in seconds, from a local look-up to the longest deadline.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.5, 5.0];

/// Installs the process's metrics recorder, or returns the handle of the installed one.
pub fn install() -> eyre::Result<PrometheusHandle> {
    static RUNNING: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut running = RUNNING.lock().expect("no panic while locked");
    if let Some(handle) = running.as_ref() {
        return Ok(handle.clone());
    }
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS)?;
    let handle = builder.install_recorder()?;
    *running = Some(handle.clone());
    Ok(handle)
}

/// Records a finished call at the proxy that received it from the caller.
pub fn record_call(
    outcome: CallOutcome,
    reason: Option<RefusalReason>,
    class: WorkClass,
    elapsed: Duration,
) {
    let reason: &'static str = reason.map_or("none", Into::into);
    let outcome: &'static str = outcome.into();
    let class: &'static str = class.into();
    counter!("apricotfold_calls_total", "outcome" => outcome, "reason" => reason).increment(1);
    histogram!("apricotfold_call_seconds", "class" => class, "hop" => "caller")
        .record(elapsed.as_secs_f64());
}

/// Records the local target's service time of a call.
pub fn record_target_time(class: WorkClass, elapsed: Duration) {
    let class: &'static str = class.into();
    histogram!("apricotfold_call_seconds", "class" => class, "hop" => "target")
        .record(elapsed.as_secs_f64());
}

/// Counts a retry or a hedge.
pub fn count_repeat(reason: &'static str) {
    counter!("apricotfold_repeats_total", "reason" => reason).increment(1);
}

/// Counts a new connection; `kind` is `target` or `peer`.
pub fn count_connection(kind: &'static str) {
    counter!("apricotfold_connections_opened_total", "kind" => kind).increment(1);
}

/// Counts a call to the store; `kind` names the operation.
pub fn count_store_call(kind: &'static str, answered: bool) {
    let result = if answered { "answered" } else { "failed" };
    counter!("apricotfold_store_calls_total", "kind" => kind, "result" => result).increment(1);
}

/// Counts a message of a target that changed nothing.
pub fn count_refused_announcement(refusal: AnnouncementRefusal) {
    let reason: &'static str = refusal.into();
    counter!("apricotfold_announcements_refused_total", "reason" => reason).increment(1);
}

/// Counts a doubt for which the watches of the store were opened anew.
pub fn count_reopened_watches(doubt: WatchDoubt) {
    let reason: &'static str = doubt.into();
    counter!("apricotfold_watches_reopened_total", "reason" => reason).increment(1);
}

/// Records an exchange with another proxy at the side that requested it.
pub fn record_exchange(answered: bool, elapsed: Duration) {
    let result = if answered { "answered" } else { "failed" };
    histogram!("apricotfold_exchange_seconds", "result" => result).record(elapsed.as_secs_f64());
}

/// Counts what the response to an exchange contains.
pub fn count_exchange_parts(table: bool, instances: bool) {
    counter!("apricotfold_exchange_parts_total", "part" => "table").increment(table.into());
    counter!("apricotfold_exchange_parts_total", "part" => "instances").increment(instances.into());
}

/// Counts the bytes of a response to an exchange.
pub fn count_exchange_bytes(bytes: usize) {
    counter!("apricotfold_exchange_sent_bytes_total").increment(bytes as u64);
}

/// Counts the decision on a token of a tenant's quota.
pub fn count_quota_decision(refused: Option<RefusalReason>) {
    let result: &'static str = refused.map_or("granted", Into::into);
    counter!("apricotfold_quota_decisions_total", "result" => result).increment(1);
}

/// Counts a message about quotas to another node.
pub fn count_quota_message() {
    counter!("apricotfold_quota_messages_total").increment(1);
}

/// Sets the number of tenants whose quotas this node owns.
pub fn publish_quotas(owned: usize) {
    gauge!("apricotfold_quotas_owned").set(to_float(owned as u64));
}

/// Records the time of reading the route table from the store.
pub fn record_table_read(elapsed: Duration) {
    histogram!("apricotfold_table_read_seconds").record(elapsed.as_secs_f64());
}

/// Counts how often a limit on strangers was reached; `limit` names it.
pub fn count_limit(limit: &'static str) {
    counter!("apricotfold_limits_reached_total", "limit" => limit).increment(1);
}

/// Sets the gauge of the memory that strangers make the node hold.
pub fn publish_held_bytes(bytes: usize) {
    gauge!("apricotfold_held_bytes").set(to_float(bytes as u64));
}

/// Counts log lines that were dropped.
pub fn count_dropped_lines(lines: u64) {
    counter!("apricotfold_log_lines_dropped_total").increment(lines);
}

/// Counts a rollout that has reached a state, as far as this node has heard of it.
pub fn count_rollout_state(state: RolloutState) {
    let state: &'static str = state.into();
    counter!("apricotfold_rollouts_total", "state" => state).increment(1);
}

/// Counts a message about a rollout to another node.
pub fn count_rollout_message() {
    counter!("apricotfold_rollout_messages_total").increment(1);
}

/// Counts an attempt at a target of a version that is being rolled out.
pub fn count_canary_attempt() {
    counter!("apricotfold_canary_attempts_total").increment(1);
}

/// Sets the gauges of the node's state.
pub fn publish_state(state: &StateMetrics) {
    gauge!("apricotfold_route_table_version").set(to_float(state.table_version));
    gauge!("apricotfold_instances_known").set(to_float(state.instances));
    gauge!("apricotfold_target_running").set(f64::from(state.running));
    gauge!("apricotfold_target_waiting").set(f64::from(state.waiting));
    gauge!("apricotfold_target_slots").set(f64::from(state.slots));
    if let Some(limit) = state.run_limit {
        gauge!("apricotfold_target_run_limit").set(f64::from(limit));
    }
    gauge!("apricotfold_store_word_age_seconds").set(state.store_age.as_secs_f64());
    gauge!("apricotfold_suspect_requests").set(to_float(state.suspects));
    gauge!("apricotfold_blocked_requests").set(to_float(state.blocked));
    gauge!("apricotfold_ready").set(f64::from(u8::from(state.ready)));
    if let Some(offset) = state.clock_offset {
        gauge!("apricotfold_clock_offset_seconds").set(to_seconds(offset));
    }
}

/// Values for [`publish_state`].
pub struct StateMetrics {
    /// Version of the current route table.
    pub table_version: u64,
    /// Number of known instances.
    pub instances: u64,
    /// Requests running at the local target.
    pub running: u32,
    /// Requests waiting for a slot of the local target.
    pub waiting: u32,
    /// Slots of the local target.
    pub slots: u32,
    /// Learned limit on the requests running at the local target; `None` if it is not learned.
    pub run_limit: Option<u32>,
    /// Time since the store last answered.
    pub store_age: Duration,
    /// Requests that were in flight when targets crashed.
    pub suspects: u64,
    /// Those of them that are blocked.
    pub blocked: u64,
    /// Whether the node is ready for callers.
    pub ready: bool,
    /// How far the node's clock is ahead of the median of its peers' clocks; `None` if unknown.
    pub clock_offset: Option<OffsetMillis>,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
fn to_seconds(millis: OffsetMillis) -> f64 {
    millis as f64 / 1_000.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
fn to_float(value: u64) -> f64 {
    value as f64
}
