//! Sends this node's counts to the deciders of open rollouts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{ServiceName, log_event};
use apricotfold_policy::RolloutReport;

use super::messages::{self, RolloutMessage};
use crate::engine::Engine;

/// Interval of reports. With three of them within the lifetime of a grant, one lost message does not
/// interrupt a rollout; and the decider hears of bad answers soon enough to stop within the 5 s that
/// operators allow.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between a change, such as a new decider, and the previous reports.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Reports until the process ends. Without an open rollout, it waits for one.
pub async fn run(engine: Arc<Engine>) {
    let mut changes = engine.rollouts.watch_changes();
    loop {
        changes.mark_unchanged();
        let open = engine.rollouts.view().open_orders().next().is_some();
        if open {
            report_all(&engine);
            tokio::time::sleep(MIN_PAUSE).await;
            let rest = REPORT_INTERVAL.saturating_sub(MIN_PAUSE);
            // A change, or the end of the wait, is the time of the next reports.
            let _ = tokio::time::timeout(rest, changes.changed()).await;
        } else if changes.changed().await.is_err() {
            return;
        }
    }
}

fn report_all(engine: &Arc<Engine>) {
    let node = engine.node();
    let session = engine.rollouts.session;
    let reports = engine
        .rollouts
        .view()
        .reports(&node, session, Instant::now());
    for (service, report) in reports {
        let engine = engine.clone();
        tokio::spawn(async move { send_report(&engine, service, report).await });
    }
}

async fn send_report(engine: &Arc<Engine>, service: ServiceName, report: RolloutReport) {
    let decider = engine.rollouts.view().decider(&service).cloned();
    let Some(record) = decider else {
        return;
    };
    let (sent, revision) = (Instant::now(), report.order_revision);
    let answer = if record.decider == engine.node() {
        messages::take_report(engine, &service, report)
    } else {
        let message = RolloutMessage::Report {
            service: service.clone(),
            report,
        };
        match messages::send(engine, record.address, &message).await {
            Ok(answer) => answer,
            Err(cause) => {
                let decider = &record.decider;
                log_event!(debug, ExchangeFailed, "decider {decider}: {cause}");
                return;
            }
        }
    };
    if let Some(known) = answer.known {
        engine.rollouts.apply_known(engine, vec![known], false);
    } else {
        let mut view = engine.rollouts.view();
        view.apply_grant(&service, revision, answer.grant, sent);
    }
}
