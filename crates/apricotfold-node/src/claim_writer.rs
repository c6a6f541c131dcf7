//! Writes the claims of orders to the store for the nodes of a data centre. It runs on the acting
//! relay.
//!
//! Claims carry no fencing token: each is created only if its key is absent, so a relay that has
//! lost its slot can do no harm. See `docs/design.md`, section 6.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use apricotfold_model::{ClaimEntry, keys, log_event};
use apricotfold_policy::{ClaimBatch, ClaimRequest, ClaimTicket};
use apricotfold_schema::peer;
use apricotfold_store::{
    Compare, ConfigStore, LeaseId, StoreEntry, StoreError, StoreTxn, WriteEffect,
};
use tokio::sync::{Notify, oneshot};
use tonic::Status;

use crate::node_metrics;

/// Minimum time for which a claim stays in the store.
const CLAIM_TTL: Duration = Duration::from_hours(24);
/// Age at which the lease for new claims is replaced. Until then all new claims share it.
const MAX_LEASE_AGE: Duration = Duration::from_hours(1);
/// Maximum number of retries of a batch whose response from the store was lost.
const MAX_COMMIT_RETRIES: u32 = 2;

type ClaimReplyResult = Result<peer::ClaimReply, Status>;

/// Collects claims and writes each batch in one transaction.
pub struct ClaimWriter {
    store: Arc<dyn ConfigStore>,
    batch: Mutex<ClaimBatch>,
    waiting: Mutex<HashMap<ClaimTicket, Waiter>>,
    wake: Notify,
    next_ticket: AtomicU64,
    lease: tokio::sync::Mutex<Option<(LeaseId, Instant)>>,
}

struct Waiter {
    replaces: String,
    sender: oneshot::Sender<ClaimReplyResult>,
}

impl ClaimWriter {
    /// Creates the writer and starts the task that writes batches.
    pub fn start(store: Arc<dyn ConfigStore>) -> Arc<Self> {
        let writer = Arc::new(Self {
            store,
            batch: Mutex::new(ClaimBatch::new()),
            waiting: Mutex::new(HashMap::new()),
            wake: Notify::new(),
            next_ticket: AtomicU64::new(1),
            lease: tokio::sync::Mutex::new(None),
        });
        tokio::spawn(writer.clone().write_batches());
        writer
    }

    /// Adds a claim to the next batch and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer; the claim may then have been written.
    pub async fn claim(&self, request: peer::ClaimRequest) -> ClaimReplyResult {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            replaces: request.replaces,
            sender,
        };
        self.waiting
            .lock()
            .expect("no panic while locked")
            .insert(ticket, waiter);
        let claim = ClaimRequest {
            ticket,
            service: request.service.into(),
            key: request.key.into(),
            entry: ClaimEntry {
                claim_id: request.claim_id.into(),
                node: request.node.into(),
                incarnation: request.incarnation,
            },
        };
        self.batch
            .lock()
            .expect("no panic while locked")
            .add(claim, Instant::now());
        self.wake.notify_one();
        receiver
            .await
            .unwrap_or_else(|_| Err(Status::unavailable("the relay is stopping")))
    }

    async fn write_batches(self: Arc<Self>) {
        loop {
            let due = self.batch.lock().expect("no panic while locked").next_due();
            match due {
                None => self.wake.notified().await,
                Some(due) => tokio::select! {
                    () = self.wake.notified() => {}
                    () = tokio::time::sleep_until(due.into()) => {}
                },
            }
            loop {
                let now = Instant::now();
                let taken = self
                    .batch
                    .lock()
                    .expect("no panic while locked")
                    .take_due(now);
                let Some(claims) = taken else { break };
                // Only one transaction is open at a time, so that a burst makes the next batches
                // larger instead of exceeding the store's rate limit.
                self.write(claims).await;
            }
        }
    }

    /// Writes a batch. Claims whose key exists are settled one by one, and the rest of the batch is
    /// committed again without them.
    async fn write(&self, mut claims: Vec<ClaimRequest>) {
        claims.retain(|claim| self.is_still_waited_for(claim));
        while !claims.is_empty() {
            let found = match self.commit(&claims).await {
                Ok(None) => {
                    claims.drain(..).for_each(|claim| self.grant(&claim));
                    return;
                }
                Ok(Some(found)) => found,
                Err(error) => {
                    // The store may have rejected the lease, so the next batch gets a new one.
                    *self.lease.lock().await = None;
                    log_event!(warn, StoreUnavailable, "{} claims: {error}", claims.len());
                    for claim in &claims {
                        self.reply(claim, Err(Status::unavailable(error.to_string())));
                    }
                    return;
                }
            };
            let mut rest = Vec::new();
            for claim in claims {
                let key = keys::claim(&claim.service, &claim.key);
                match found.iter().find(|entry| entry.key == key) {
                    Some(entry) => self.settle(&claim, entry).await,
                    None => rest.push(claim),
                }
            }
            claims = rest;
        }
    }

    /// Tells whether the requester of a claim still waits for the reply. During an outage of the
    /// store, the repeated claims of each caller queue up; writing the abandoned ones would delay
    /// the others.
    fn is_still_waited_for(&self, claim: &ClaimRequest) -> bool {
        let mut waiting = self.waiting.lock().expect("no panic while locked");
        let abandoned = waiting
            .get(&claim.ticket)
            .is_none_or(|waiter| waiter.sender.is_closed());
        if abandoned {
            waiting.remove(&claim.ticket);
        }
        !abandoned
    }

    /// Commits a batch. Returns `None` if the whole batch was written, or else the existing entries
    /// that conflict with it. A batch whose response was lost is committed again: if it had taken
    /// effect, the conflicting entries are its own.
    async fn commit(&self, claims: &[ClaimRequest]) -> Result<Option<Vec<StoreEntry>>, StoreError> {
        let lease = self.current_lease().await?;
        let mut txn = StoreTxn::default();
        for claim in claims {
            let key = keys::claim(&claim.service, &claim.key);
            txn = txn.when(Compare::Absent { key: key.clone() }).put_leased(
                key,
                encode(&claim.entry),
                lease,
            );
        }
        let mut retries = 0;
        loop {
            node_metrics::record_store_call("claim");
            match self.store.commit(&txn).await {
                Ok(answer) if answer.succeeded => return Ok(None),
                Ok(answer) => return Ok(Some(answer.found)),
                Err(error)
                    if error.effect == WriteEffect::Unknown && retries < MAX_COMMIT_RETRIES =>
                {
                    retries += 1;
                    log_event!(info, LostAnswerSettled, "{} claims: {error}", claims.len());
                }
                Err(error) => return Err(error),
            }
        }
    }

    async fn current_lease(&self) -> Result<LeaseId, StoreError> {
        let mut lease = self.lease.lock().await;
        if let Some((id, granted)) = *lease
            && granted.elapsed() < MAX_LEASE_AGE
        {
            return Ok(id);
        }
        node_metrics::record_store_call("grant");
        let id = self
            .store
            .grant(CLAIM_TTL + MAX_LEASE_AGE)
            .await
            .map_err(|error| StoreError {
                effect: WriteEffect::None,
                ..error
            })?;
        *lease = Some((id, Instant::now()));
        Ok(id)
    }

    /// Replies to a claim whose key exists: the entry is the claim itself after a lost response, a
    /// claim that it may replace, or a claim of another holder.
    async fn settle(&self, claim: &ClaimRequest, entry: &StoreEntry) {
        let Ok(holder) = serde_json::from_str::<ClaimEntry>(&entry.value) else {
            self.reply(
                claim,
                Err(Status::data_loss("the claim in the store is not readable")),
            );
            return;
        };
        if holder.claim_id == claim.entry.claim_id {
            self.grant(claim);
            return;
        }
        let replaced = self.may_replace(claim, &holder) && self.replace(claim, entry).await;
        if replaced {
            self.grant(claim);
            return;
        }
        let reply = peer::ClaimReply {
            granted: false,
            holder_node: holder.node.into(),
            holder_incarnation: holder.incarnation,
            holder_claim_id: holder.claim_id.into(),
        };
        self.reply(claim, Ok(reply));
    }

    fn may_replace(&self, claim: &ClaimRequest, holder: &ClaimEntry) -> bool {
        let waiting = self.waiting.lock().expect("no panic while locked");
        waiting
            .get(&claim.ticket)
            .is_some_and(|waiter| waiter.replaces == holder.claim_id.as_str())
    }

    async fn replace(&self, claim: &ClaimRequest, entry: &StoreEntry) -> bool {
        let txn = StoreTxn::default()
            .when(Compare::ModRevision {
                key: entry.key.clone(),
                revision: entry.mod_revision,
            })
            .put_leased(&entry.key, encode(&claim.entry), entry.lease);
        node_metrics::record_store_call("claim");
        self.store
            .commit(&txn)
            .await
            .is_ok_and(|answer| answer.succeeded)
    }

    fn grant(&self, claim: &ClaimRequest) {
        let reply = peer::ClaimReply {
            granted: true,
            ..peer::ClaimReply::default()
        };
        self.reply(claim, Ok(reply));
    }

    fn reply(&self, claim: &ClaimRequest, answer: ClaimReplyResult) {
        let waiter = self
            .waiting
            .lock()
            .expect("no panic while locked")
            .remove(&claim.ticket);
        if let Some(waiter) = waiter {
            // The requester may have given up.
            let _ = waiter.sender.send(answer);
        }
    }
}

fn encode(entry: &ClaimEntry) -> String {
    serde_json::to_string(entry).expect("a claim can always be written as JSON")
}
