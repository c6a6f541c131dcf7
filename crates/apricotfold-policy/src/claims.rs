//! Groups claims of keyed orders at the acting relay. See `docs/design.md`, section 6.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotfold_model::{ClaimEntry, ServiceName};

use crate::OrderKey;

/// Claims in one store transaction.
const MAX_CLAIMS: usize = 64;

/// Longest time that a claim waits for others. Seven data centres that each write every 20 ms make
/// 350 writes a second, which the store handles.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// Identifies a claim request within the relay, so that its answer finds the asker.
pub type ClaimTicket = u64;

/// A claim that a node asks the relay to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Identifies the request; the relay gives each a new one.
    pub ticket: ClaimTicket,
    /// Service of the order.
    pub service: ServiceName,
    /// Idempotency key of the order.
    pub key: OrderKey,
    /// What is written when the key is free.
    pub entry: ClaimEntry,
}

impl ClaimRequest {
    fn is_same_order(&self, other: &Self) -> bool {
        self.service == other.service && self.key == other.key
    }
}

/// Collects claims until a batch is full or has waited long enough.
///
/// A batch names each order once. A second claim for an order waits for a later batch, where the
/// store refuses it when the first one was written; one transaction could not tell them apart.
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

    /// Adds a claim. Afterwards the daemon calls [`take_due`](Self::take_due).
    pub fn add(&mut self, request: ClaimRequest, now: Instant) {
        let names_order = |known: &ClaimRequest| known.is_same_order(&request);
        if self.open.len() >= MAX_CLAIMS || self.open.iter().any(names_order) {
            self.deferred.push_back(request);
            return;
        }
        self.open.push(request);
        self.opened.get_or_insert(now);
    }

    /// Returns the open batch when it is full or has waited long enough. Call it again until it
    /// returns `None`: claims that were deferred may fill the next batch at once.
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

    /// Time at which the open batch is due, `None` when it is empty.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.opened.map(|opened| opened + MAX_WAIT)
    }
}
