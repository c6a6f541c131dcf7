//! State of [`QuotaGate`](super::QuotaGate).

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, TableVersion, TenantDirectory, log_event};
use apricotfold_policy::{QuotaNode, STORE_SILENCE, choose_candidates};

use crate::engine::{Engine, random_seed};

/// Interval at which the owners are determined anew. It costs a look at all known nodes, and a share outlasts
/// the loss of its owner by far.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Another node that this one asks.
#[derive(Debug, Default)]
pub struct PeerState {
    /// Whether a message is on its way or about to be sent.
    pub busy: bool,
    /// When the last message was sent.
    pub sent: Option<Instant>,
}

/// Decisions about quotas, and what they are based on.
#[derive(Debug)]
pub struct GateState {
    /// Decisions of this node.
    pub quotas: QuotaNode,
    /// Nodes that this one asks.
    pub peers: HashMap<NodeId, PeerState>,
    /// Number of the latest survey.
    pub survey: u64,
    version: TableVersion,
    /// When the owners were last determined; `None` if the table has changed since.
    updated: Option<Instant>,
    /// Whether another node may own what this one has owned.
    succeeded: bool,
}

impl GateState {
    /// Starts without any shares.
    pub fn new(node: NodeId) -> Self {
        // Short numbers make short messages; two processes of a node rarely draw the same.
        let process = random_seed(&node) & u64::from(u32::MAX);
        Self {
            quotas: QuotaNode::new(node, process, Instant::now()),
            peers: HashMap::new(),
            survey: 0,
            version: 0,
            updated: None,
            succeeded: false,
        }
    }

    /// Adopts a changed table. Returns whether any tenant has a quota.
    pub fn update_table(&mut self, engine: &Engine) -> bool {
        let version = engine.tables.version();
        if version != self.version {
            self.version = version;
            self.updated = None;
            let cached = engine.tables.current();
            let tenants = cached.table.tenants.iter().flat_map(TenantDirectory::iter);
            let quotas = tenants.filter_map(|known| Some((known.name.clone(), known.quota?)));
            self.quotas.set_quotas(quotas.collect());
        }
        self.quotas.has_quotas()
    }

    /// Determines the owners anew, if it is time. Returns whether this node owns limits that it did not own
    /// before.
    pub fn update_owners(&mut self, engine: &Engine, now: Instant) -> bool {
        let own = engine.node();
        let succeeded = {
            let registry = engine.registry();
            let alone = registry.records().all(|record| record.node == own);
            engine.store_health.may_be_succeeded(alone)
        };
        let recent = |updated| now.saturating_duration_since(updated) < UPDATE_INTERVAL;
        let unchanged = succeeded == self.succeeded && !self.quotas.is_unknown();
        if self.updated.is_some_and(recent) && unchanged {
            return false;
        }
        self.updated = Some(now);
        self.succeeded = succeeded;
        // What the store has decides: a node that is cut off is gone from there. It asks its successor then.
        let candidates = {
            let registry = engine.registry();
            let confirmed = registry.confirmed();
            choose_candidates(confirmed.filter(|record| !succeeded || record.node != own))
        };
        let age = engine.store_health.age();
        let in_contact = age.is_some_and(|age| age <= STORE_SILENCE);
        let change = self.quotas.update_owners(candidates, in_contact, now);
        if change.grown || change.after < change.before {
            let (before, after) = (change.before, change.after);
            log_event!(info, QuotaOwnerChanged, "{before} before, {after} now");
        }
        change.grown
    }
}
