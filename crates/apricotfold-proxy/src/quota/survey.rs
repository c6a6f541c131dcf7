//! Asks all nodes for the shares that they hold, after this node has become the owner of a quota.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::NodeId;
use apricotfold_policy::{LEASE_TIME, ShareAsk};
use futures_util::StreamExt;

use super::messages::{QuotaMessage, send};
use crate::engine::Engine;

/// Number of nodes that are asked at once.
const CONCURRENT_ASKS: usize = 16;

/// Time after which nodes that did not answer are asked again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Asks until all nodes have answered, another survey has begun, or all shares of other owners have
/// expired. Nodes that the store has lost count too, because they may still use their shares.
pub async fn run(engine: Arc<Engine>, number: u64) {
    let own = engine.node();
    let started = Instant::now();
    let mut open: Vec<(NodeId, SocketAddr)> = {
        let registry = engine.registry();
        let others = registry.records().filter(|record| record.node != own);
        others
            .map(|record| (record.node.clone(), record.address))
            .collect()
    };
    let message = QuotaMessage::Survey(own);
    let nodes = open.len();
    while started.elapsed() < LEASE_TIME {
        let asked = open.into_iter().map(|(node, address)| {
            let (engine, message) = (&engine, &message);
            async move {
                let answer = send::<ShareAsk>(engine, address, message).await;
                (node, address, answer)
            }
        });
        let mut answers = futures_util::stream::iter(asked).buffer_unordered(CONCURRENT_ASKS);
        let mut silent = Vec::new();
        while let Some((node, address, answer)) = answers.next().await {
            let now = Instant::now();
            let mut state = engine.quotas.lock();
            if state.survey != number {
                return;
            }
            match answer {
                Ok(asks) if asks.iter().all(ShareAsk::is_valid) => {
                    for ask in &asks {
                        state.quotas.owner.learn(&node, ask, now);
                    }
                }
                _ => silent.push((node, address)),
            }
        }
        drop(answers);
        open = silent;
        let heard = heard_part(open.len(), nodes);
        {
            let mut state = engine.quotas.lock();
            if state.survey != number {
                return;
            }
            state.quotas.owner.record_survey(heard);
        }
        if open.is_empty() {
            return;
        }
        tokio::time::sleep(REPEAT_INTERVAL).await;
    }
}

/// Returns the part of the nodes that have answered.
fn heard_part(silent: usize, nodes: usize) -> f64 {
    let count = |nodes| f64::from(u32::try_from(nodes).unwrap_or(u32::MAX));
    1.0 - count(silent) / count(nodes).max(1.0)
}
