//! What the decider tells other nodes without being asked.

use std::sync::Arc;
use std::time::Instant;

use apricotfold_model::log_event;
use apricotfold_policy::{RolloutGrant, RouteCounts};

use super::decisions::OrderWork;
use super::messages::{self, RolloutMessage};

impl OrderWork<'_> {
    /// Returns the counts for log lines.
    pub(super) fn describe(&self) -> String {
        self.with_task(|task| {
            let Some(decider) = &task.decider else {
                return "no counts".to_owned();
            };
            let total = decider.total();
            let sum =
                |count: fn(&RouteCounts) -> u32| -> u32 { total.routes.values().map(count).sum() };
            format!(
                "new {}/{} failed, old {}/{}, exposed {} of {} requests, after {:?}",
                sum(|route| route.new.failed),
                sum(|route| route.new.ended),
                sum(|route| route.old.failed),
                sum(|route| route.old.ended),
                total.exposed,
                total.requests,
                decider.age(Instant::now())
            )
        })
    }

    /// Tells the nodes that have reported, without waiting for their answers.
    pub(super) fn tell_nodes(&self, message: RolloutMessage) {
        let nodes: Vec<_> = self.with_task(|task| {
            let decider = task.decider.as_ref();
            decider.map_or_else(Vec::new, |decider| decider.nodes().cloned().collect())
        });
        let own = self.engine.node();
        if let RolloutMessage::Stop {
            service,
            order_revision,
        } = &message
        {
            let grant = RolloutGrant {
                share: 0.0,
                stop: true,
            };
            let mut view = self.engine.rollouts.view();
            view.apply_grant(service, *order_revision, grant, Instant::now());
        }
        let message = Arc::new(message);
        for node in nodes.into_iter().filter(|node| *node != own) {
            let address = {
                let registry = self.engine.registry();
                registry.record(&node).map(|record| record.address)
            };
            let Some(address) = address else {
                continue;
            };
            let (engine, message) = (self.engine.clone(), message.clone());
            tokio::spawn(async move {
                if let Err(cause) = messages::send(&engine, address, &message).await {
                    log_event!(debug, ExchangeFailed, "{address}: rollout: {cause}");
                }
            });
        }
    }
}
