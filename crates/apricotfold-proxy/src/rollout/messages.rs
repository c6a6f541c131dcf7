//! Messages between nodes about open rollouts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{ServiceName, log_event};
use apricotfold_policy::{
    EntryRevision, KnownRollout, RolloutDecider, RolloutGrant, RolloutReport,
};
use http::{HeaderName, Response};

use crate::call_body::ResponseBody;
use crate::engine::Engine;
use crate::peer_exchange::{self, json_response};
use crate::telemetry;

/// Header that distinguishes these messages from the calls of a peer.
pub const ROLLOUT_HEADER: HeaderName = HeaderName::from_static("apricotfold-rollout");

/// Longest time of one message and its answer. A grant that arrives later is worth nothing.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// A message about rollouts.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum RolloutMessage {
    /// Counts of a node, for the decider.
    Report {
        service: ServiceName,
        report: RolloutReport,
    },
    /// The decider has found the new version bad; the record follows.
    Stop {
        service: ServiceName,
        order_revision: EntryRevision,
    },
    /// The rollout has ended.
    Ended(KnownRollout),
}

/// Answer to a message.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RolloutAnswer {
    pub(super) grant: RolloutGrant,
    /// What the receiver knows of the rollout, if it does not decide on it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) known: Option<KnownRollout>,
}

/// Sends a message and returns the answer.
pub(super) async fn send(
    engine: &Arc<Engine>,
    address: SocketAddr,
    message: &RolloutMessage,
) -> eyre::Result<RolloutAnswer> {
    telemetry::count_rollout_message();
    let answer = peer_exchange::post(engine, address, ROLLOUT_HEADER, message);
    let answer = tokio::time::timeout(MESSAGE_TIMEOUT, answer).await??;
    Ok(serde_json::from_slice(&answer)?)
}

/// Takes a message of another node and answers it.
pub fn respond(engine: &Engine, body: &[u8]) -> Response<ResponseBody> {
    let answer = match serde_json::from_slice(body) {
        Ok(RolloutMessage::Report { service, report }) => take_report(engine, &service, report),
        Ok(RolloutMessage::Stop {
            service,
            order_revision,
        }) => {
            let grant = RolloutGrant {
                share: 0.0,
                stop: true,
            };
            let mut view = engine.rollouts.view();
            view.apply_grant(&service, order_revision, grant, Instant::now());
            RolloutAnswer::default()
        }
        Ok(RolloutMessage::Ended(known)) => {
            engine.rollouts.apply_known(engine, vec![known], false);
            RolloutAnswer::default()
        }
        Err(error) => {
            log_event!(warn, ExchangeFailed, "rollout message of a peer: {error}");
            RolloutAnswer::default()
        }
    };
    json_response(&answer)
}

/// Gives the counts of a node to the decider, if that is this node, and returns its grant.
pub(super) fn take_report(
    engine: &Engine,
    service: &ServiceName,
    report: RolloutReport,
) -> RolloutAnswer {
    let now = Instant::now();
    let revision = report.order_revision;
    let grant = engine.rollouts.with_decider(service, revision, |decider| {
        decider.record(report, now);
        decider.grant(now)
    });
    match grant {
        Some(grant) => RolloutAnswer { grant, known: None },
        None => RolloutAnswer {
            grant: RolloutGrant::default(),
            known: engine.rollouts.known(service),
        },
    }
}

impl super::RolloutKeeper {
    /// Runs a closure with the decider of an order, if this node is certain to decide on it.
    fn with_decider<T>(
        &self,
        service: &ServiceName,
        revision: EntryRevision,
        run: impl FnOnce(&mut RolloutDecider) -> T,
    ) -> Option<T> {
        let mut tasks = self.tasks.lock().expect("no panic while locked");
        let task = tasks.get_mut(service)?;
        if task.revision != revision || !task.claim.is_certain(Instant::now()) {
            return None;
        }
        task.decider.as_mut().map(run)
    }

    /// Returns what the node knows of the rollout of a service.
    pub(super) fn known(&self, service: &ServiceName) -> Option<KnownRollout> {
        let known = self.view().known(Instant::now());
        known.into_iter().find(|known| {
            let order = known.order.as_ref().map(|order| &order.service);
            let record = known.record.as_ref().map(|(_, record)| &record.service);
            order.or(record) == Some(service)
        })
    }
}
