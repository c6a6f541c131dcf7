//! Invariants that the soak checks against the records of callers and targets.

use std::collections::HashMap;
use std::time::Duration;

use super::load::{DOWNLOAD_BYTES, DOWNLOAD_TIMEOUT};
use super::{FaultPlan, LoadKind, LoadRecord};
use crate::Mesh;

/// Largest timeout of the short routes in any version of the soak's profile.
const MAX_SHORT_ROUTE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time beyond a route's timeout within which a caller must get a response or a connection error.
/// It covers the delay of passing through the processes on a busy machine.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Returns the versions that a node has applied, in the order of its log.
#[must_use]
pub fn applied_versions(log: &str) -> Vec<u64> {
    let lines = log.lines().filter(|line| line.contains("AF2001"));
    let version = |line: &str| {
        let rest = line.split("version ").nth(1)?;
        rest.split_whitespace().next()?.parse().ok()
    };
    lines.filter_map(version).collect()
}

/// Number of executions by idempotency key, or by request id for requests without a key.
pub type RunCounts = HashMap<String, usize>;

/// Checks the outcomes that callers received against the executions that targets recorded. Returns
/// a description of each violation.
#[must_use]
pub fn check_records(runs: &RunCounts, plan: &FaultPlan, records: &[LoadRecord]) -> Vec<String> {
    let mut violations = Vec::new();
    for record in records {
        let count = runs.get(&record.id).copied().unwrap_or_default();
        if matches!(record.kind, LoadKind::Work | LoadKind::Order) && count > 1 {
            violations.push(format!("executed {count} times: {record:?}"));
        }
        match record.outcome.as_str() {
            "ran" if count == 0 => violations.push(format!("ran without an execution: {record:?}")),
            // An order is sent several times with one key; another of these requests may have run.
            "not-run" if count > 0 && record.kind != LoadKind::Order => {
                violations.push(format!(
                    "reported as not-run, but executed {count} times: {record:?}"
                ));
            }
            _ => {}
        }
        let whole = record.bytes > DOWNLOAD_BYTES;
        if record.kind == LoadKind::Download && record.outcome == "ran" && !whole {
            violations.push(format!("download truncated: {record:?}"));
        }
        if is_late(plan, record) {
            violations.push(format!("response late: {record:?}"));
        }
    }
    violations
}

/// Counts the executions of each request in the journals of all targets.
#[must_use]
pub fn count_runs(mesh: &Mesh) -> RunCounts {
    let mut runs = RunCounts::new();
    for node in 0..mesh.nodes.len() {
        for line in mesh.journal_lines(node) {
            let id = line["idempotency_key"].as_str();
            let id = id.or(line["request_id"].as_str());
            if let Some(id) = id.filter(|_| line["event"] == "started") {
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
    }
    runs
}

/// Returns whether a caller waited too long although no fault affected its entry node.
fn is_late(plan: &FaultPlan, record: &LoadRecord) -> bool {
    let timeout = match record.kind {
        LoadKind::Download => DOWNLOAD_TIMEOUT,
        LoadKind::Page | LoadKind::Work | LoadKind::Order => MAX_SHORT_ROUTE_TIMEOUT,
    };
    let until = record.sent + record.elapsed;
    record.elapsed > timeout + RESPONSE_MARGIN
        && !plan.affects_node(record.entry, record.sent, until, RESPONSE_MARGIN)
}
