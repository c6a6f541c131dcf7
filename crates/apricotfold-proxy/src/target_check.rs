//! Checks whether calls can run at the local target, before their bodies are read and before they run.
//! See `docs/design/bulk-uploads.md`.

use std::time::Instant;

use apricotfold_model::{InstanceId, InstanceState, RefusalReason, StartTimeMillis};
use apricotfold_policy::priority_index;

use crate::engine::Engine;
use crate::target_call::CallContext;

/// Checks whether a call with a bulk body can be served before its body is asked for, and waits until
/// this instance's link is free for the body.
///
/// # Errors
///
/// Returns why the call is refused; none of its body has been sent then.
pub async fn schedule_body(
    engine: &Engine,
    context: &CallContext,
    bytes: usize,
) -> Result<(), RefusalReason> {
    check_target(engine, &context.instance)?;
    let now = Instant::now();
    let useful = context.useful_until.min(context.deadline);
    let left = useful.saturating_duration_since(now);
    let service = engine.admission.expected_service_time(context.class);
    let spare = left.saturating_sub(service);
    let wait = engine.admission.waits().new[priority_index(context.priority)];
    let pacer = engine.inbound_meter.pacer();
    let admitted = wait <= spare.mul_f64(context.standing.wait_share())
        && pacer.admits(bytes, context.standing, left, service, now);
    if !admitted {
        return Err(RefusalReason::Overloaded);
    }
    let granted = engine.inbound_meter.reserve(bytes).wait_granted();
    tokio::time::timeout_at(useful.into(), granted)
        .await
        .map_err(|_| RefusalReason::Overloaded)
}

/// Checks that an instance is the one running here, and that it takes work. Returns its start time.
pub fn check_target(
    engine: &Engine,
    instance: &InstanceId,
) -> Result<StartTimeMillis, RefusalReason> {
    let state = {
        let local = engine.local();
        let settled = engine.departures.is_settled();
        let current = local.current().filter(|_| settled);
        let meant = current.filter(|target| target.instance == *instance);
        meant.map(|target| (target.state, target.born))
    };
    match state {
        None => Err(RefusalReason::NoLocalTarget),
        Some((InstanceState::Ready, _)) if engine.is_target_down() => {
            Err(RefusalReason::ConnectFailed)
        }
        Some((InstanceState::Ready, born)) => Ok(born),
        Some((InstanceState::Draining | InstanceState::Gone, _)) => Err(RefusalReason::Draining),
    }
}
