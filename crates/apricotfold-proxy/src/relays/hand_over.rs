//! Hand-over of the relays of a data centre when their instances leave. See `docs/platform.md`, section 4.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{InstanceState, NodeId, log_event};
use apricotfold_policy::choose_successors;
use smallvec::SmallVec;

use crate::engine::Engine;
use crate::peer_exchange::tell_record;

/// Time for which a relay that is replaced is still polled while the new ones do not follow the store yet.
/// A process that stops answers others for longer.
const HAND_OVER_TIME: Duration = Duration::from_secs(3);

/// Tells the relays of the data centre, and the nodes that take their place, that this node's instance
/// leaves. Their lists of instances tell it to all others, sooner than the entry in the store does.
pub fn notify_relays(engine: &Arc<Engine>) {
    let addresses: SmallVec<[SocketAddr; 4]> = {
        let config = engine.config.load();
        let registry = engine.registry();
        let is_own = |node: &NodeId| *node == config.node;
        let relays = choose_successors(&config.data_centre, is_own, registry.staying());
        let records = relays.iter().filter_map(|relay| registry.record(relay));
        records.map(|record| record.address).collect()
    };
    for address in addresses {
        let engine = engine.clone();
        tokio::spawn(async move {
            if let Err(cause) = tell_record(&engine, address).await {
                log_event!(debug, ExchangeFailed, "departure to {address}: {cause}");
            }
        });
    }
}

/// Enters the departure of this node's instance into its own list of instances, so that those who poll it
/// learn of it at once. The store tells it to this node only together with other changes.
pub fn list_own_departure(engine: &Engine) {
    let record = engine.own_record();
    if let Some(record) = record.filter(|record| record.state != InstanceState::Ready) {
        engine.registry().apply_peer_record(record, Instant::now());
    }
}

/// Relay that has given a usable answer.
#[derive(Clone, Debug)]
struct ServingRelay {
    node: NodeId,
    /// The list of instances may no longer have it.
    address: SocketAddr,
    answered: Instant,
}

/// Relays that have lately given usable answers, which serve until those that replace them do.
#[derive(Clone, Debug, Default)]
pub struct FormerRelays(SmallVec<[ServingRelay; 4]>);

impl FormerRelays {
    /// Records the result of polling a relay.
    pub fn record(&mut self, node: &NodeId, address: SocketAddr, usable: bool, now: Instant) {
        self.0.retain(|relay| {
            relay.node != *node && now.saturating_duration_since(relay.answered) < HAND_OVER_TIME
        });
        if usable {
            self.0.push(ServingRelay {
                node: node.clone(),
                address,
                answered: now,
            });
        }
    }

    /// Returns the one that answered last and is none of `relays`, the present ones.
    pub fn latest(&self, relays: &[NodeId], now: Instant) -> Option<(NodeId, SocketAddr)> {
        let mut serving = self.0.iter().rev();
        let former = serving.find(|relay| {
            let recent = now.saturating_duration_since(relay.answered) < HAND_OVER_TIME;
            recent && !relays.contains(&relay.node)
        });
        former.map(|relay| (relay.node.clone(), relay.address))
    }
}
