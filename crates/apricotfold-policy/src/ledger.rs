//! Outcomes of keyed orders at the node that ran them. See `docs/design.md`, sections 3 and 6.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;

/// Idempotency key of an order. A node runs orders of one service only, so the key alone identifies
/// an order there.
pub type OrderKey = CompactString;
/// Identifies the attempt that holds a claim.
pub type ClaimId = CompactString;

/// Maximum number of finished orders that are kept.
const MAX_FINISHED: usize = 256;

/// Maximum size of a stored answer, in bytes of headers and body. With 256 answers the ledger holds
/// at most 16 MiB.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// An answer that is replayed to a retry of the same order.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(CompactString, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Known outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is running; the outcome must be requested again later.
    Running,
    /// The order ran and has this answer.
    Answered(Arc<StoredAnswer>),
    /// The order ran, but its answer was too large to store.
    AnswerDropped,
    /// The order was claimed and certainly not run.
    NotRun,
    /// The order may have run: its target was lost, or this node does not know the claim or no
    /// longer does.
    MayHaveRun,
}

/// Maximum number of earlier claims of one order that are remembered as not run. If the store is
/// unavailable or slow, any of them may have been written, and each retry of the caller adds one.
const MAX_UNUSED_CLAIMS: usize = 256;

#[derive(Clone, Debug)]
struct OrderEntry {
    claim: ClaimId,
    outcome: OrderOutcome,
    /// Earlier claims under which the order was not run, oldest first.
    unused: VecDeque<ClaimId>,
}

impl OrderEntry {
    fn outcome_of(&self, claim: &ClaimId) -> OrderOutcome {
        if self.claim == *claim {
            return self.outcome.clone();
        }
        if self.unused.contains(claim) {
            return OrderOutcome::NotRun;
        }
        OrderOutcome::MayHaveRun
    }
}

/// Keeps the outcomes of the keyed orders that this node ran, for retries that request them.
#[derive(Clone, Debug, Default)]
pub struct OrderLedger {
    orders: HashMap<OrderKey, OrderEntry>,
    /// Keys of finished orders, oldest first.
    finished: VecDeque<OrderKey>,
}

impl OrderLedger {
    /// Creates a ledger without orders.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts an order after its claim was written to the store.
    ///
    /// # Errors
    ///
    /// Returns the known outcome if the order is running, has run or may have run here; it must not
    /// be sent to the target then. An order that was certainly not run can be started again under a
    /// new claim; the earlier claim may still be in the store and is remembered as not run.
    pub fn begin(&mut self, key: &OrderKey, claim: &ClaimId) -> Result<(), OrderOutcome> {
        let mut unused = VecDeque::new();
        if let Some(known) = self.orders.get_mut(key) {
            if known.outcome != OrderOutcome::NotRun {
                return Err(known.outcome.clone());
            }
            unused = std::mem::take(&mut known.unused);
            unused.push_back(known.claim.clone());
            if unused.len() > MAX_UNUSED_CLAIMS {
                unused.pop_front();
            }
        }
        let entry = OrderEntry {
            claim: claim.clone(),
            outcome: OrderOutcome::Running,
            unused,
        };
        self.orders.insert(key.clone(), entry);
        self.finished.retain(|known| known != key);
        Ok(())
    }

    /// Stores the answer of a running order. An answer above 64 KiB is not kept; the order then
    /// counts as [`OrderOutcome::AnswerDropped`].
    pub fn finish(&mut self, key: &OrderKey, claim: &ClaimId, answer: StoredAnswer) {
        let outcome = if answer.size() <= MAX_ANSWER_BYTES {
            OrderOutcome::Answered(Arc::new(answer))
        } else {
            OrderOutcome::AnswerDropped
        };
        self.settle(key, claim, outcome);
    }

    /// Records that a claimed order was certainly not run, and never will be under this claim. A
    /// retry then replaces the claim in the store.
    pub fn fail_not_run(&mut self, key: &OrderKey, claim: &ClaimId) {
        self.settle(key, claim, OrderOutcome::NotRun);
    }

    /// Records that the target was lost while the order ran.
    pub fn fail_may_have_run(&mut self, key: &OrderKey, claim: &ClaimId) {
        self.settle(key, claim, OrderOutcome::MayHaveRun);
    }

    /// Returns the outcome of an order under a claim.
    #[must_use]
    pub fn outcome(&self, key: &OrderKey, claim: &ClaimId) -> OrderOutcome {
        let known = self.orders.get(key);
        known.map_or(OrderOutcome::MayHaveRun, |known| known.outcome_of(claim))
    }

    /// Returns the outcome of the latest attempt of an order on this node.
    #[must_use]
    pub fn current(&self, key: &OrderKey) -> OrderOutcome {
        let known = self.orders.get(key);
        known.map_or(OrderOutcome::MayHaveRun, |known| known.outcome.clone())
    }

    fn settle(&mut self, key: &OrderKey, claim: &ClaimId, outcome: OrderOutcome) {
        let Some(known) = self.orders.get_mut(key) else {
            return;
        };
        if known.claim != *claim || known.outcome != OrderOutcome::Running {
            return;
        }
        known.outcome = outcome;
        self.finished.push_back(key.clone());
        if self.finished.len() > MAX_FINISHED
            && let Some(oldest) = self.finished.pop_front()
        {
            self.orders.remove(&oldest);
        }
    }
}
