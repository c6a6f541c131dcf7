//! Decisions of one node about quotas: whom to ask, and how to answer others.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, TenantName, TenantQuota};

use super::{OwnerCandidates, QuotaHolder, QuotaOwner, ShareAsk, ShareGrant};

/// Time from the start of the process until it owns quotas. Before, it may not know the other nodes
/// yet, and each of many nodes that restart at once would take itself for the owner.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a node that did not answer is not asked.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// Number of candidates that are asked for one tenant. Each that stands in for the owner hands out some
/// tokens beyond the limit.
const ASKED_CANDIDATES: usize = 2;

/// Most tenants in one message.
const MAX_TENANTS: usize = 4_096;

/// Most nodes whose message numbers are kept; far above the design size.
const MAX_NODES: usize = 20_000;

/// Number of a message: that of the sender's process, and one that grows within it.
pub type MessageNumber = (u64, u64);

/// Number of tenants whose limits a node owns, before and after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerChange {
    /// Number before the change.
    pub before: usize,
    /// Number after it.
    pub after: usize,
    /// Whether there are tenants that the node did not own before. Their shares have to be surveyed.
    pub grown: bool,
}

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MessageFault {
    /// It has numbers or a length that no node sends.
    Invalid,
    /// A later message of the sender has been answered.
    Outdated,
}

/// Quotas at one node.
#[derive(Debug)]
pub struct QuotaNode {
    own: NodeId,
    process: u64,
    started: Instant,
    /// This node's shares.
    pub holder: QuotaHolder,
    /// The limits that this node leases to others.
    pub owner: QuotaOwner,
    quotas: HashMap<TenantName, TenantQuota>,
    candidates: OwnerCandidates,
    /// Nodes that did not answer, and the time until which they are not asked.
    silent: HashMap<NodeId, Instant>,
    heard: HashMap<NodeId, MessageNumber>,
}

impl QuotaNode {
    /// Creates the state of a process that has just started. `process` differs from the numbers of the
    /// node's earlier processes.
    #[must_use]
    pub fn new(own: NodeId, process: u64, now: Instant) -> Self {
        Self {
            own,
            process,
            started: now,
            holder: QuotaHolder::default(),
            owner: QuotaOwner::default(),
            quotas: HashMap::new(),
            candidates: OwnerCandidates::default(),
            silent: HashMap::new(),
            heard: HashMap::new(),
        }
    }

    /// Returns the limit of a tenant.
    #[must_use]
    pub fn quota(&self, tenant: &str) -> Option<TenantQuota> {
        self.quotas.get(tenant).copied()
    }

    /// Returns whether any tenant has a limit.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Replaces the limits of all tenants.
    pub fn set_quotas(&mut self, quotas: HashMap<TenantName, TenantQuota>) {
        self.owner.set_limits(&quotas);
        self.quotas = quotas;
        if self.quotas.is_empty() {
            self.holder.clear();
            self.owner = QuotaOwner::default();
        }
    }

    /// Returns whether the owners have not been determined yet.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Determines the owners anew. `in_contact` tells whether the store has lately confirmed the
    /// candidates.
    pub fn update_owners(
        &mut self,
        candidates: OwnerCandidates,
        in_contact: bool,
        now: Instant,
    ) -> OwnerChange {
        self.candidates = candidates;
        let started = now.saturating_duration_since(self.started) >= START_TIME;
        let known: BTreeSet<TenantName> = self.owner.owned().cloned().collect();
        let owned = self.quotas.iter().filter(|(name, _)| {
            let first = self.candidates.owner(name) == Some(&self.own);
            // Only a node in contact knows that a former owner is gone.
            first && (known.contains(*name) || (in_contact && started))
        });
        let owned = owned.map(|(name, quota)| (name, *quota));
        let grown = self.owner.set_owned(owned, now);
        OwnerChange {
            before: known.len(),
            after: self.owner.owned().count(),
            grown,
        }
    }

    /// Returns the node to ask for a tenant: its owner, or while that is silent the next candidate.
    #[must_use]
    pub fn node_for(&self, tenant: &str, now: Instant) -> Option<NodeId> {
        let ranked = self.candidates.ranked(tenant);
        let mut asked = ranked.into_iter().take(ASKED_CANDIDATES);
        let is_silent = |node| self.silent.get(node).is_some_and(|until| now < *until);
        asked.find(|node| !is_silent(*node)).cloned()
    }

    /// Returns the nodes that are to be asked now.
    pub fn due(&mut self, now: Instant) -> BTreeSet<NodeId> {
        let due = self.holder.due(now);
        let nodes = due.iter().filter_map(|tenant| self.node_for(tenant, now));
        nodes.collect()
    }

    /// Records that a node did not answer. Returns whether it did before.
    pub fn record_silence(&mut self, node: &NodeId, now: Instant) -> bool {
        let former = self.silent.insert(node.clone(), now + SILENT_TIME);
        former.is_none()
    }

    /// Returns what to send to a node, with the number of the message.
    pub fn message_to(&mut self, node: &NodeId, now: Instant) -> (MessageNumber, Vec<ShareAsk>) {
        let tenants: Vec<TenantName> = self.holder.tenants().cloned().collect();
        let concerned = tenants
            .iter()
            .filter(|tenant| self.node_for(tenant, now).as_ref() == Some(node));
        let concerned: Vec<&TenantName> = concerned.collect();
        let asks = self.holder.asks(concerned.into_iter(), now);
        let age = now.saturating_duration_since(self.started).as_micros();
        let number = u64::try_from(age).unwrap_or(u64::MAX);
        ((self.process, number), asks)
    }

    /// Answers the message of another node.
    ///
    /// # Errors
    ///
    /// Returns the reason if the message must have no effect.
    pub fn answer(
        &mut self,
        node: &NodeId,
        number: MessageNumber,
        asks: &[ShareAsk],
        now: Instant,
    ) -> Result<Vec<ShareGrant>, MessageFault> {
        let known = self.heard.get(node);
        let room = known.is_some() || self.heard.len() < MAX_NODES;
        let valid = asks.len() <= MAX_TENANTS && asks.iter().all(ShareAsk::is_valid);
        if !valid || !room || *node == self.own {
            return Err(MessageFault::Invalid);
        }
        // An older message that was delayed must not replace what a later one has reported.
        if known.is_some_and(|known| known.0 == number.0 && known.1 >= number.1) {
            return Err(MessageFault::Outdated);
        }
        self.heard.insert(node.clone(), number);
        Ok(self.grants(node, asks, now))
    }

    /// Renews the shares of limits that this node owns, or stands in for. Returns whether it does for a
    /// tenant.
    pub fn answer_own(&mut self, tenant: &str, now: Instant) -> bool {
        let own = self.own.clone();
        let (_, asks) = self.message_to(&own, now);
        let grants = self.grants(&own, &asks, now);
        self.apply(&own, &asks, &grants, now, now);
        self.may_answer(tenant)
    }

    fn grants(&mut self, node: &NodeId, asks: &[ShareAsk], now: Instant) -> Vec<ShareGrant> {
        let answers = asks.iter().map(|ask| match self.quota(&ask.0) {
            Some(quota) if self.may_answer(&ask.0) => self.owner.answer(node, ask, quota, now),
            _ => ShareGrant::default(),
        });
        answers.collect()
    }

    /// Returns whether this node may answer for a tenant: it is the owner, or another one is.
    fn may_answer(&self, tenant: &str) -> bool {
        let first = self.candidates.owner(tenant) == Some(&self.own);
        !first || self.owner.owns(tenant)
    }

    /// Applies the answers of a node to asks that were sent at `sent`.
    pub fn apply(
        &mut self,
        node: &NodeId,
        asks: &[ShareAsk],
        grants: &[ShareGrant],
        sent: Instant,
        now: Instant,
    ) {
        self.silent.remove(node);
        for (ask, grant) in asks.iter().zip(grants) {
            if let Some(quota) = self.quota(&ask.0) {
                self.holder.apply(&ask.0, grant, quota, sent, now);
            }
        }
    }
}
