//! Spreads what is known of requests that crash targets among the proxies. See `docs/platform.md`,
//! section 6.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, log_event};
use apricotfold_policy::CrashEvidence;
use bytes::Bytes;
use http::{HeaderName, Response};
use rand::seq::IteratorRandom;
use smallvec::SmallVec;
use tokio::time::MissedTickBehavior;

use crate::call_body::ResponseBody;
use crate::compressed_json::{compress, decompress};
use crate::engine::Engine;
use crate::peer_exchange::{self, json_response};

/// Header that distinguishes these messages from the calls of a peer.
pub const CRASHES_HEADER: HeaderName = HeaderName::from_static("apricotfold-crashes");

/// Number of nodes of the own data centre, and of all others, to which a node passes news on.
const FANOUT: [usize; 2] = [3, 1];

/// Time for which news are gathered before they are passed on. A crash marks several requests, and
/// each node hears the same news from several others.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Interval at which a node compares its evidence with others' while that is likely to differ.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a node's start, and after the latest news, for which evidence is likely to differ.
const COMPARE_PERIOD: Duration = Duration::from_secs(10);

/// Longest time of one message and its answer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// News, or a request to compare all evidence.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
enum CrashMessage {
    /// Marks that the sender has made or heard of since its last message.
    News { node: NodeId, marks: CrashEvidence },
    /// Digest of the sender's evidence.
    Compare { node: NodeId, digest: u64 },
}

/// Answer to [`CrashMessage::Compare`].
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct CompareAnswer {
    /// Compressed evidence of the receiver, if its digest is another one.
    evidence: Option<String>,
}

/// Passes news on, and compares evidence with others, until the process ends.
pub async fn run(engine: Arc<Engine>) {
    let mut news = engine.crashes.watch_news();
    let mut ticks = tokio::time::interval(COMPARE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut active = Instant::now();
    loop {
        tokio::select! {
            // The sender lives as long as the engine.
            Ok(()) = news.changed() => {
                tokio::time::sleep(GATHER_TIME).await;
                news.mark_unchanged();
                active = Instant::now();
                pass_on_news(&engine);
            }
            _ = ticks.tick() => {
                if active.elapsed() < COMPARE_PERIOD {
                    compare(&engine);
                }
            }
        }
    }
}

fn pass_on_news(engine: &Arc<Engine>) {
    let marks = engine.crashes.take_news();
    if marks.is_empty() {
        return;
    }
    let node = engine.node();
    let message = Arc::new(CrashMessage::News { node, marks });
    for address in choose_peers(engine, FANOUT) {
        let (engine, message) = (engine.clone(), message.clone());
        tokio::spawn(async move {
            if let Err(cause) = send(&engine, address, &message).await {
                log_event!(debug, ExchangeFailed, "{address}: crashes: {cause}");
            }
        });
    }
}

/// Compares evidence with a node of the own data centre and one of another. Both then know what either
/// knew.
fn compare(engine: &Arc<Engine>) {
    for address in choose_peers(engine, [1, 1]) {
        let engine = engine.clone();
        tokio::spawn(async move {
            if let Err(cause) = compare_with(&engine, address).await {
                log_event!(debug, ExchangeFailed, "{address}: crashes: {cause}");
            }
        });
    }
}

async fn compare_with(engine: &Arc<Engine>, address: SocketAddr) -> eyre::Result<()> {
    let message = CrashMessage::Compare {
        node: engine.node(),
        digest: engine.crashes.digest(),
    };
    let answer = send(engine, address, &message).await?;
    let answer: CompareAnswer = serde_json::from_slice(&answer)?;
    let Some(compressed) = answer.evidence else {
        return Ok(());
    };
    let theirs: CrashEvidence = decompress(&compressed)?;
    engine.crashes.merge(&address.to_string(), &theirs);
    let node = engine.node();
    let marks = engine.crashes.evidence_beyond(&theirs);
    if !marks.is_empty() {
        send(engine, address, &CrashMessage::News { node, marks }).await?;
    }
    Ok(())
}

async fn send(
    engine: &Arc<Engine>,
    address: SocketAddr,
    message: &CrashMessage,
) -> eyre::Result<Bytes> {
    let answer = peer_exchange::post(engine, address, CRASHES_HEADER, message);
    tokio::time::timeout(MESSAGE_TIMEOUT, answer).await?
}

/// Chooses random nodes: some of the own data centre and some of the others. What one group lacks is
/// taken from the other.
fn choose_peers(engine: &Engine, [local, remote]: [usize; 2]) -> SmallVec<[SocketAddr; 4]> {
    let (own, data_centre) = {
        let config = engine.config.load();
        (config.node.clone(), config.data_centre.clone())
    };
    let registry = engine.registry();
    let others = registry.records().filter(|record| record.node != own);
    let (near, far): (Vec<_>, Vec<_>) =
        others.partition(|record| record.data_centre == data_centre);
    let count = local + remote;
    let far_count = remote.max(count.saturating_sub(near.len())).min(far.len());
    let mut selector = engine.selector();
    let random = selector.random();
    let chosen_far = far.into_iter().sample(random, far_count);
    let chosen_near = near.into_iter().sample(random, count - far_count);
    let chosen = chosen_near.into_iter().chain(chosen_far);
    chosen.map(|record| record.address).collect()
}

/// Merges what another node sends, and returns this node's evidence if that differs.
pub fn respond(engine: &Engine, body: &[u8]) -> Response<ResponseBody> {
    let answer = match serde_json::from_slice(body) {
        Ok(CrashMessage::News { node, marks }) => {
            engine.crashes.merge(&node, &marks);
            CompareAnswer::default()
        }
        Ok(CrashMessage::Compare { node: _, digest }) => {
            let differs = digest != engine.crashes.digest();
            let evidence = differs.then(|| compress(&engine.crashes.evidence()));
            CompareAnswer { evidence }
        }
        Err(error) => {
            log_event!(warn, ExchangeFailed, "crashes from a peer: {error}");
            CompareAnswer::default()
        }
    };
    json_response(&answer)
}
