//! Takes tokens for requests and asks the owners for more.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, RefusalReason, TenantName, TenantQuota};
use apricotfold_policy::TakeResult;
use tokio::sync::Notify;

use super::state::GateState;
use super::{messages, survey};
use crate::engine::Engine;
use crate::telemetry;

/// Longest time for which a request waits for an owner's answer: the interval of messages and a round
/// trip between regions.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Time after which a request without any answer may come back.
const UNVERIFIED_DELAY: Duration = Duration::from_millis(300);

/// Tokens of the tenants' quotas at this node.
#[derive(Debug)]
pub struct QuotaGate {
    state: Mutex<GateState>,
    /// Notified when an owner has answered, or has failed to.
    answered: Notify,
}

/// A token, which is returned on drop unless it was spent.
pub struct QuotaToken {
    engine: Arc<Engine>,
    tenant: TenantName,
    spent: bool,
}

/// Why there is no token, and the time until one is due.
pub type QuotaRefusal = (RefusalReason, Duration);

impl QuotaToken {
    /// Sets whether the request may have run.
    pub fn set_spent(&mut self, spent: bool) {
        self.spent = spent;
    }
}

impl Drop for QuotaToken {
    fn drop(&mut self) {
        if !self.spent {
            let mut state = self.engine.quotas.lock();
            state.quotas.holder.give_back(&self.tenant, Instant::now());
        }
    }
}

/// Counts a waiting request, also when its caller disconnects.
struct WaitGuard<'a> {
    gate: &'a QuotaGate,
    tenant: &'a TenantName,
}

impl<'a> WaitGuard<'a> {
    fn new(gate: &'a QuotaGate, tenant: &'a TenantName) -> Self {
        gate.lock().quotas.holder.set_waiting(tenant, true);
        Self { gate, tenant }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.quotas.holder.set_waiting(self.tenant, false);
        state.quotas.holder.trim(self.tenant);
    }
}

impl QuotaGate {
    /// Creates a gate without any tokens.
    pub fn new(node: NodeId) -> Self {
        Self {
            state: Mutex::new(GateState::new(node)),
            answered: Notify::new(),
        }
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Wakes the requests that wait for an answer.
    pub(super) fn wake(&self) {
        self.answered.notify_waiters();
    }

    /// Takes a token for a request. If the owner may have one, the request waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no token.
    pub async fn acquire(
        &self,
        engine: &Arc<Engine>,
        tenant: &TenantName,
        quota: TenantQuota,
        deadline: Instant,
    ) -> Result<QuotaToken, QuotaRefusal> {
        let result = self.take(engine, tenant, quota, deadline).await;
        telemetry::count_quota_decision(result.as_ref().err().map(|(reason, _)| *reason));
        result.map(|()| QuotaToken {
            engine: engine.clone(),
            tenant: tenant.clone(),
            spent: false,
        })
    }

    async fn take(
        &self,
        engine: &Arc<Engine>,
        tenant: &TenantName,
        quota: TenantQuota,
        deadline: Instant,
    ) -> Result<(), QuotaRefusal> {
        let now = Instant::now();
        let first = self.lock().quotas.holder.take(tenant, quota, now);
        if let Some(decided) = decide(first) {
            return decided;
        }
        let until = deadline.min(now + MAX_WAIT);
        let _waiting = WaitGuard::new(self, tenant);
        loop {
            let mut answered = std::pin::pin!(self.answered.notified());
            answered.as_mut().enable();
            if !self.ask(engine, tenant) {
                return Err((RefusalReason::QuotaUnverified, UNVERIFIED_DELAY));
            }
            let again = self
                .lock()
                .quotas
                .holder
                .take_again(tenant, quota, Instant::now());
            if let Some(decided) = decide(again) {
                return decided;
            }
            if tokio::time::timeout_at(until.into(), answered)
                .await
                .is_err()
            {
                return Err((RefusalReason::QuotaUnverified, UNVERIFIED_DELAY));
            }
            let again = self
                .lock()
                .quotas
                .holder
                .take_again(tenant, quota, Instant::now());
            if let Some(decided) = decide(again) {
                return decided;
            }
        }
    }

    /// Asks the owner of a tenant for tokens: at once if it is this node, otherwise with a message unless
    /// one is about to be sent. Returns whether there is a node to ask.
    fn ask(&self, engine: &Arc<Engine>, tenant: &TenantName) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        if state.update_table(engine) && state.quotas.is_unknown() {
            update_owners(&mut state, engine, now);
        }
        match state.quotas.node_for(tenant, now) {
            None => false,
            Some(node) if node == engine.node() => state.quotas.answer_own(tenant, now),
            Some(node) => {
                messages::schedule(engine, &mut state, node);
                true
            }
        }
    }
}

fn decide(result: TakeResult) -> Option<Result<(), QuotaRefusal>> {
    match result {
        TakeResult::Taken => Some(Ok(())),
        TakeResult::AskOwner => None,
        TakeResult::Exhausted(due) => Some(Err((RefusalReason::OverQuota, due))),
    }
}

fn update_owners(state: &mut GateState, engine: &Arc<Engine>, now: Instant) {
    if state.update_owners(engine, now) {
        state.survey += 1;
        tokio::spawn(survey::run(engine.clone(), state.survey));
    }
}

/// Renews shares, and determines the owners anew. Does nothing unless a tenant has a quota.
pub fn tick(engine: &Arc<Engine>) {
    let now = Instant::now();
    let own = engine.node();
    let mut state = engine.quotas.lock();
    if !state.update_table(engine) {
        return;
    }
    update_owners(&mut state, engine, now);
    for node in state.quotas.due(now) {
        if node == own {
            state.quotas.answer_own("", now);
        } else {
            messages::schedule(engine, &mut state, node);
        }
    }
    telemetry::publish_quotas(state.quotas.owner.owned().count());
}
