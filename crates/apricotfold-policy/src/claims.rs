//! Batches claims of keyed orders at the acting relay. See `docs/design.md`, section 6.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotfold_model::{ClaimEntry, ServiceName};

use crate::OrderKey;

/// Maximum number of claims in one store transaction.
const MAX_CLAIMS: usize = 64;

/// Maximum time that a claim waits for its batch to fill. Seven data centres that each write every
/// 20 ms make 350 writes a second, which the store can handle.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// Identifies a claim request within the relay, so that its answer can be returned to the
/// requester.
pub type ClaimTicket = u64;

/// A node's request to the relay to write a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Identifies the request; unique within the relay.
    pub ticket: ClaimTicket,
    /// Service that the order is sent to.
    pub service: ServiceName,
    /// Idempotency key of the order.
    pub key: OrderKey,
    /// Entry that is written if the key has no claim yet.
    pub entry: ClaimEntry,
}

impl ClaimRequest {
    fn is_same_order(&self, other: &Self) -> bool {
        self.service == other.service && self.key == other.key
    }
}

/// Collects claims until a batch is full or due.
///
/// A batch contains at most one claim per order. A second claim for an order is deferred to a later
/// batch, where the store refuses it if the first one was written; within one transaction both
/// would succeed.
#[derive(Clone, Debug, Default)]
pub struct ClaimBatch {
    open: Vec<ClaimRequest>,
    opened: Option<Instant>,
    deferred: VecDeque<ClaimRequest>,
}

impl ClaimBatch {
    /// Creates an empty batch.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a claim. The daemon must call [`take_due`](Self::take_due) afterwards.
    pub fn add(&mut self, request: ClaimRequest, now: Instant) {
        let names_order = |known: &ClaimRequest| known.is_same_order(&request);
        if self.open.len() >= MAX_CLAIMS || self.open.iter().any(names_order) {
            self.deferred.push_back(request);
            return;
        }
        self.open.push(request);
        self.opened.get_or_insert(now);
    }

    /// Returns the open batch if it is full or due. Must be called until it returns `None`, because
    /// deferred claims may fill the next batch at once.
    pub fn take_due(&mut self, now: Instant) -> Option<Vec<ClaimRequest>> {
        let due = self.next_due()?;
        if now < due && self.open.len() < MAX_CLAIMS {
            return None;
        }
        let batch = std::mem::take(&mut self.open);
        self.opened = None;
        for request in std::mem::take(&mut self.deferred) {
            self.add(request, now);
        }
        Some(batch)
    }

    /// Time at which the open batch is due; `None` if it is empty.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.opened.map(|opened| opened + MAX_WAIT)
    }
}
