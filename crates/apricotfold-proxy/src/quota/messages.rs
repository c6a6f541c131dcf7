//! Messages between nodes about shares of quotas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, log_event};
use apricotfold_policy::{MessageNumber, ShareAsk, ShareGrant};
use http::{HeaderName, Response};

use super::state::GateState;
use crate::call_body::ResponseBody;
use crate::engine::Engine;
use crate::peer_exchange::{self, json_response};
use crate::telemetry;

/// Header that distinguishes these messages from the calls of a peer.
pub const QUOTA_HEADER: HeaderName = HeaderName::from_static("apricotfold-quota");

/// Shortest interval of messages to one node. Requests wait for a message to be sent and answered, so
/// it is well below the time for which they may.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time of one message and its answer: a round trip between regions takes 60 ms, and nodes may
/// be busy.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Message to a node that owns quotas, or to one that may hold shares.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaMessage {
    /// Shares to renew: the sender, the number of the message, and the shares.
    Shares(NodeId, MessageNumber, Vec<ShareAsk>),
    /// A new owner asks which shares the receiver holds.
    Survey(NodeId),
}

/// Sends a node what it is to know, unless that is about to happen.
pub fn schedule(engine: &Arc<Engine>, state: &mut GateState, node: NodeId) {
    let peer = state.peers.entry(node.clone()).or_default();
    if !peer.busy {
        peer.busy = true;
        let sent = peer.sent;
        tokio::spawn(exchange(engine.clone(), node, sent));
    }
}

async fn exchange(engine: Arc<Engine>, node: NodeId, sent: Option<Instant>) {
    if let Some(sent) = sent {
        tokio::time::sleep_until((sent + MESSAGE_INTERVAL).into()).await;
    }
    let now = Instant::now();
    let address = engine.registry().record(&node).map(|known| known.address);
    let (asks, message) = {
        let own = engine.node();
        let mut state = engine.quotas.lock();
        let (number, asks) = state.quotas.message_to(&node, now);
        let peer = state.peers.entry(node.clone()).or_default();
        peer.sent = Some(now);
        if asks.is_empty() {
            peer.busy = false;
            drop(state);
            engine.quotas.wake();
            return;
        }
        let message = QuotaMessage::Shares(own, number, asks.clone());
        (asks, message)
    };
    let answer = match address {
        Some(address) => send::<ShareGrant>(&engine, address, &message).await,
        None => Err(eyre::eyre!("unknown address")),
    };
    let answer = answer.and_then(|grants| {
        let valid = grants.len() == asks.len() && grants.iter().all(ShareGrant::is_valid);
        eyre::ensure!(valid, "an answer with invalid shares");
        Ok(grants)
    });
    let mut state = engine.quotas.lock();
    match answer {
        Ok(grants) => {
            let answered = Instant::now();
            state.quotas.apply(&node, &asks, &grants, now, answered);
        }
        Err(cause) => {
            if state.quotas.record_silence(&node, Instant::now()) {
                log_event!(warn, QuotaOwnerSilent, "{node}: {cause}");
            }
        }
    }
    state.peers.entry(node).or_default().busy = false;
    drop(state);
    engine.quotas.wake();
}

/// Sends a message and reads the list in its answer.
pub async fn send<T: serde::de::DeserializeOwned>(
    engine: &Arc<Engine>,
    address: SocketAddr,
    message: &QuotaMessage,
) -> eyre::Result<Vec<T>> {
    telemetry::count_quota_message();
    let answer = peer_exchange::post(engine, address, QUOTA_HEADER, message);
    let answer = tokio::time::timeout(MESSAGE_TIMEOUT, answer).await??;
    Ok(serde_json::from_slice(&answer)?)
}

/// Answers the message of another node. An invalid one gets an empty list.
pub fn respond(engine: &Arc<Engine>, body: &[u8]) -> Response<ResponseBody> {
    let now = Instant::now();
    let message = serde_json::from_slice::<QuotaMessage>(body);
    let mut state = engine.quotas.lock();
    if !state.update_table(engine) {
        return json_response(&[(); 0]);
    }
    match message {
        Ok(QuotaMessage::Survey(_)) => json_response(&state.quotas.holder.report(now)),
        Ok(QuotaMessage::Shares(node, number, asks)) => {
            match state.quotas.answer(&node, number, &asks, now) {
                Ok(grants) => json_response(&grants),
                Err(fault) => {
                    log_event!(warn, QuotaMessageRefused, "of {node}: {fault}");
                    json_response(&[(); 0])
                }
            }
        }
        Err(error) => {
            log_event!(warn, QuotaMessageRefused, "{error}");
            json_response(&[(); 0])
        }
    }
}
