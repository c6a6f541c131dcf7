//! At-most-once execution of orders, the requests with an idempotency key. See `docs/design.md`,
//! section 6.
//!
//! The target's node writes a claim for the order to the store before it forwards the request. A
//! repeated request finds the claim, asks the claim's holder for the outcome and gets the same
//! response.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, NodeId, RefusalReason, StepError, headers, log_event};
use apricotfold_policy::{ClaimId, OrderKey, OrderLedger, OrderOutcome, StoredAnswer};
use apricotfold_schema::peer::peer_control_client::PeerControlClient;
use apricotfold_schema::peer::{
    AnswerHeader, ClaimReply, ClaimRequest, OrderState, OutcomeReply, OutcomeRequest,
};
use apricotfold_store::ConfigStore;
use compact_str::format_compact;
use tonic::Status;

use crate::claim_writer::ClaimWriter;
use crate::forward::BufferedRequest;
use crate::peer_streams::endpoint;
use crate::refusal::{CallRefusal, read_header};
use crate::state::NodeState;

/// Timeout of a call to the relay or to the holder of a claim. A claim waits up to 20 ms for others
/// to fill its batch and crosses the link between regions twice.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two queries for the outcome of an order that is still running.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of claims for an order within one call. Each claim after the first replaces one
/// whose holder did not run the order.
const MAX_CLAIM_ATTEMPTS: u32 = 4;

/// Tracks the orders of this node and, while the node is the acting relay, writes claims for other
/// nodes.
pub struct OrderCoordinator {
    state: Arc<NodeState>,
    ledger: Mutex<OrderLedger>,
    claims: Arc<ClaimWriter>,
}

/// A claim that was granted, so that its order may run.
pub struct GrantedClaim {
    order: OrderKey,
    claim: ClaimId,
}

/// Guard of a claim that was requested from a relay. If it is dropped before the claim is granted,
/// for example because the caller disconnected, the order is recorded as not run: the claim may
/// have been written, and a repeated request can then replace it.
struct PendingClaim<'a> {
    coordinator: &'a OrderCoordinator,
    order: &'a OrderKey,
    claim: &'a ClaimId,
}

impl PendingClaim<'_> {
    /// Drops the guard without recording the order as not run, after the claim was granted.
    fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        self.coordinator
            .ledger()
            .fail_not_run(self.order, self.claim);
    }
}

/// Result of a successful [`OrderCoordinator::claim`].
pub enum ClaimResult {
    /// The order may run.
    Granted(GrantedClaim),
    /// The order ran earlier; this is its stored response.
    Replay(Arc<StoredAnswer>),
}

impl OrderCoordinator {
    /// Creates the coordinator and starts the task that writes claims.
    pub fn start(state: Arc<NodeState>, store: Arc<dyn ConfigStore>) -> Arc<Self> {
        Arc::new(Self {
            state,
            ledger: Mutex::new(OrderLedger::new()),
            claims: ClaimWriter::start(store),
        })
    }

    /// Claims a request's order, or returns the response that the order got earlier.
    ///
    /// # Errors
    ///
    /// Returns the reason why the order does not run now. The outcome is `not-run` only if no
    /// earlier attempt can have run either.
    pub async fn claim(
        &self,
        request: &BufferedRequest,
        deadline: Instant,
    ) -> Result<ClaimResult, CallRefusal> {
        let (service, key) = read_key(request)?;
        let order: OrderKey = format_compact!("{service}/{key}");
        let mut replaces = String::new();
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let claim = self.new_claim_id();
            let registered = self.ledger().begin(&order, &claim);
            if let Err(known) = registered {
                return self.await_local_outcome(&order, known, deadline).await;
            }
            let pending = PendingClaim {
                coordinator: self,
                order: &order,
                claim: &claim,
            };
            let reply = self.request_claim(&service, &key, &claim, &replaces).await;
            let reply = reply.map_err(|error| {
                CallRefusal::not_run(RefusalReason::StoreUnavailable, error.to_string())
            })?;
            if reply.granted {
                pending.disarm();
                log_event!(info, OrderClaim, "{order} granted to {claim}");
                return Ok(ClaimResult::Granted(GrantedClaim { order, claim }));
            }
            drop(pending);
            let holder = &reply.holder_node;
            log_event!(
                info,
                OrderClaim,
                "{order} held by {holder} claim {}",
                reply.holder_claim_id
            );
            match self
                .await_holder_outcome(&service, &key, &reply, deadline)
                .await
            {
                OrderOutcome::Answered(answer) => return Ok(ClaimResult::Replay(answer)),
                OrderOutcome::NotRun => replaces = reply.holder_claim_id,
                other => return Err(refusal_for(&other)),
            }
        }
        Err(CallRefusal::not_run(
            RefusalReason::AlreadyClaimed,
            "other attempts came first",
        ))
    }

    /// Returns a claim id that has never been used. Once an order was not run under a claim id,
    /// other nodes may have been told that this claim may be replaced, so a claim with the same id
    /// must not be granted later.
    fn new_claim_id(&self) -> ClaimId {
        let state = &self.state;
        let (node, incarnation) = (&state.config.node, state.incarnation);
        format_compact!("{node}-{incarnation}-{:016x}", state.random())
    }

    /// Records the response to an order that ran.
    pub fn finish(&self, granted_claim: &GrantedClaim, answer: StoredAnswer) {
        self.ledger()
            .finish(&granted_claim.order, &granted_claim.claim, answer);
    }

    /// Records that a granted order ended without a response. It counts as not run if the outcome
    /// is `not-run`, and as possibly run otherwise.
    pub fn fail(&self, granted_claim: &GrantedClaim, outcome: CallOutcome) {
        if outcome == CallOutcome::NotRun {
            self.ledger()
                .fail_not_run(&granted_claim.order, &granted_claim.claim);
        } else {
            self.ledger()
                .fail_may_have_run(&granted_claim.order, &granted_claim.claim);
        }
    }

    /// Claims an order for another node of the data centre, on the acting relay.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer; the claim may then have been written.
    pub async fn claim_for_peer(&self, request: ClaimRequest) -> Result<ClaimReply, Status> {
        self.claims.claim(request).await
    }

    /// Returns the outcome of an order that this node claimed, for the node that asks.
    pub fn local_outcome(&self, request: &OutcomeRequest) -> OutcomeReply {
        let order: OrderKey = format_compact!("{}/{}", request.service, request.key);
        let claim = request.claim_id.as_str().into();
        write_outcome(&self.ledger().outcome(&order, &claim))
    }

    fn ledger(&self) -> std::sync::MutexGuard<'_, OrderLedger> {
        self.ledger.lock().expect("no panic while locked")
    }

    async fn request_claim(
        &self,
        service: &str,
        key: &str,
        claim: &ClaimId,
        replaces: &str,
    ) -> Result<ClaimReply, StepError> {
        let request = ClaimRequest {
            service: service.to_owned(),
            key: key.to_owned(),
            claim_id: claim.to_string(),
            node: self.state.config.node.to_string(),
            incarnation: self.state.incarnation,
            replaces: replaces.to_owned(),
        };
        let relay = self.state.control.load().acting_relay.clone();
        let Some(relay) = relay else {
            return Err(StepError::new(
                "claim",
                "relay",
                eyre::eyre!("no acting relay is known"),
            ));
        };
        let query = async {
            if relay.node == self.state.config.node {
                return self.claims.claim(request).await;
            }
            let mut client = connect(&self.state, &relay.control_address).await?;
            Ok(client.claim(request).await?.into_inner())
        };
        let answer = tokio::time::timeout(CLAIM_TIMEOUT, query).await;
        let fail = |cause| StepError::new("claim", relay.node.clone(), cause);
        match answer {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(status)) => Err(fail(eyre::Report::from(status))),
            Err(elapsed) => Err(fail(elapsed.into())),
        }
    }

    /// Waits until an order that this node claimed earlier has ended or the deadline has passed.
    async fn await_local_outcome(
        &self,
        order: &OrderKey,
        mut known: OrderOutcome,
        deadline: Instant,
    ) -> Result<ClaimResult, CallRefusal> {
        while known == OrderOutcome::Running && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
            known = self.ledger().current(order);
        }
        match known {
            OrderOutcome::Answered(answer) => Ok(ClaimResult::Replay(answer)),
            OrderOutcome::NotRun => {
                let detail = "an earlier attempt did not run; ask again";
                Err(CallRefusal::not_run(RefusalReason::AlreadyClaimed, detail))
            }
            other => Err(refusal_for(&other)),
        }
    }

    /// Polls the holder of a claim until the order has ended or the next poll would come after the
    /// deadline.
    async fn await_holder_outcome(
        &self,
        service: &str,
        key: &str,
        reply: &ClaimReply,
        deadline: Instant,
    ) -> OrderOutcome {
        let request = OutcomeRequest {
            service: service.to_owned(),
            key: key.to_owned(),
            claim_id: reply.holder_claim_id.clone(),
        };
        let holder: NodeId = reply.holder_node.as_str().into();
        loop {
            let outcome = self.query_holder(&holder, &request).await;
            let running = outcome == OrderOutcome::Running;
            if !running || Instant::now() + POLL_INTERVAL >= deadline {
                return outcome;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn query_holder(&self, holder: &NodeId, request: &OutcomeRequest) -> OrderOutcome {
        if *holder == self.state.config.node {
            return read_outcome(self.local_outcome(request));
        }
        let view = self.state.view.load();
        let Some(member) = view.members.get(holder) else {
            return OrderOutcome::MayHaveRun;
        };
        let query = async {
            let mut client = connect(&self.state, &member.control_address).await?;
            Ok::<_, Status>(client.outcome(request.clone()).await?.into_inner())
        };
        match tokio::time::timeout(CLAIM_TIMEOUT, query).await {
            Ok(Ok(reply)) => read_outcome(reply),
            _ => OrderOutcome::MayHaveRun,
        }
    }
}

async fn connect(
    state: &NodeState,
    address: &str,
) -> Result<PeerControlClient<tonic::transport::Channel>, Status> {
    let failed = |error: tonic::transport::Error| Status::unavailable(error.to_string());
    let endpoint = endpoint(&state.config, address).map_err(failed)?;
    let channel = endpoint.connect().await.map_err(failed)?;
    Ok(PeerControlClient::new(channel))
}

fn read_key(request: &BufferedRequest) -> Result<(String, String), CallRefusal> {
    let service = read_header(&request.headers, headers::SERVICE);
    let key: Option<String> = read_header(&request.headers, headers::IDEMPOTENCY_KEY);
    let key = key.filter(|key| is_valid_key(key));
    if let (Some(service), Some(key)) = (service, key) {
        return Ok((service, key));
    }
    let detail = "idempotency-key must be 1 to 128 letters, digits, - or _";
    Err(CallRefusal::not_run(RefusalReason::KeyMissing, detail))
}

/// Tells whether an idempotency key is valid. It becomes part of a store key, so it must not
/// contain slashes or control characters.
fn is_valid_key(key: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=128).contains(&key.len()) && key.bytes().all(allowed)
}

fn refusal_for(outcome: &OrderOutcome) -> CallRefusal {
    let detail = match outcome {
        OrderOutcome::Running => "an earlier attempt is still running; ask again",
        OrderOutcome::AnswerDropped => "an earlier attempt ran; its answer was too large to keep",
        _ => "an earlier attempt may have run and its answer is lost",
    };
    CallRefusal::may_have_run(RefusalReason::AlreadyClaimed, detail)
}

fn write_outcome(outcome: &OrderOutcome) -> OutcomeReply {
    let state = match outcome {
        OrderOutcome::Running => OrderState::Running,
        OrderOutcome::Answered(_) => OrderState::Done,
        OrderOutcome::NotRun => OrderState::NotRun,
        OrderOutcome::AnswerDropped | OrderOutcome::MayHaveRun => OrderState::Unknown,
    };
    let mut reply = OutcomeReply {
        state: state.into(),
        ..OutcomeReply::default()
    };
    if let OrderOutcome::Answered(answer) = outcome {
        let header = |(name, value): &(compact_str::CompactString, Vec<u8>)| AnswerHeader {
            name: name.to_string(),
            value: value.clone().into(),
        };
        reply.status = answer.status.into();
        reply.headers = answer.headers.iter().map(header).collect();
        reply.answer = answer.body.clone().into();
    }
    reply
}

fn read_outcome(reply: OutcomeReply) -> OrderOutcome {
    match reply.state() {
        OrderState::Unknown => OrderOutcome::MayHaveRun,
        OrderState::Running => OrderOutcome::Running,
        OrderState::NotRun => OrderOutcome::NotRun,
        OrderState::Done => {
            let header = |header: AnswerHeader| (header.name.into(), header.value.to_vec());
            OrderOutcome::Answered(Arc::new(StoredAnswer {
                status: u16::try_from(reply.status).unwrap_or(502),
                headers: reply.headers.into_iter().map(header).collect(),
                body: reply.answer.to_vec(),
            }))
        }
    }
}
