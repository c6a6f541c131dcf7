//! State exchange between proxies, for nodes that cannot reach the store. See `docs/platform.md`,
//! section 4.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use apricotfold_model::{
    InstanceRecord, InstanceState, NodeEpoch, NodeId, TableVersion, TargetIncarnation, log_event,
    saturating_millis,
};
use apricotfold_policy::{KnownRollout, NodeDeparture, STORE_SILENCE, WatchProgress};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use futures_util::future::select_ok;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body::Body;
use http_body_util::BodyExt;
use rand::seq::IteratorRandom;
use serde::Serialize;

use crate::call_body::{ConnectionLease, ResponseBody};
use crate::callers::body_pieces::BodyPieces;
use crate::compressed_json::{compress, decompress};
use crate::engine::Engine;
use crate::gated_body::GatedBody;
use crate::relays::hand_over::list_own_departure;
use crate::store::watch_monitor;
use crate::table_cache::TableTransfer;
use crate::telemetry;

/// Header that distinguishes an exchange from the calls of a peer.
pub const EXCHANGE_HEADER: HeaderName = HeaderName::from_static("apricotfold-exchange");

/// Age of a polled node's last answer from the store above which it calls the store, so that the
/// nodes that poll it learn soon when it has lost the store.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(400);

/// Size of an answer from which on its parts are reported as progress. Shorter ones arrive at once.
const LONG_ANSWER_BYTES: u64 = 32 * 1024;

/// Interval of exchanges while the store does not respond. With two peers each time, a change
/// reaches a node well within the seconds that operators wait for it.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Time from the start until the first exchange, and until the next try while the store's table is on its
/// way.
const FIRST_EXCHANGE: Duration = Duration::from_millis(200);

/// Number of peers contacted in each interval.
const PEERS_PER_EXCHANGE: usize = 2;

/// Longest time without any bytes of a response. On a busy link, the first bytes wait behind what
/// is already queued there; an exchange that is given up has to start anew and makes the queue
/// longer.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(4);

/// Receives the times at which parts of a long response arrive.
pub type ProgressReport<'a> = &'a (dyn Fn(Instant) + Send + Sync);

/// State that a node sends to a peer.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ExchangeRequest {
    node: NodeId,
    /// Version of the route table that deltas may be based on; 0 asks for a whole table.
    table_version: TableVersion,
    /// Digest of the instances known to the node.
    digest: u64,
    /// Whether the node asks for nothing but a newer table.
    #[serde(default)]
    table_only: bool,
    /// Whether the node asks for nothing but how far the peer's watches have come.
    #[serde(default)]
    progress_only: bool,
    record: Option<InstanceRecord>,
    /// Digest of the rollouts known to the node; 0 if there are none.
    #[serde(default, skip_serializing_if = "is_zero")]
    rollouts: u64,
    /// Empty; earlier releases, which share crash counts here, need it.
    #[serde(skip_deserializing)]
    crashes: BTreeMap<NodeId, u32>,
}

/// State that the peer returns.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ExchangeResponse {
    /// Whether the peer watches the store itself, and no relay that it replaces has to be polled meanwhile.
    pub follows_store: bool,
    /// Time in milliseconds since the store last answered the peer; `None` if it never has.
    pub store_age_ms: Option<u64>,
    /// How far the peer's watches have come; `None` from earlier releases.
    #[serde(default)]
    pub progress: Option<WatchProgress>,
    /// Set if the peer monitors the watches of its region.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub monitor: Option<MonitorReport>,
    /// The peer's route table, if it is newer than the node's.
    table: Option<TableTransfer>,
    /// Compressed list of the instances that the store has, as far as the peer knows, if the digests
    /// differ.
    records: Option<String>,
    /// Instances that are not in the list because they have left; empty from earlier releases.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    departures: Vec<NodeDeparture>,
    /// Epoch that the node must exceed for its record to count, as far as the peer knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    refuting_epoch: Option<NodeEpoch>,
    /// Incarnation beside the asking node that has announced its departure, as far as the peer knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    departed: Option<TargetIncarnation>,
    /// All rollouts that the peer knows, if the digests differ.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    rollouts: Option<Vec<KnownRollout>>,
    /// The peer's time of day; `None` from earlier releases.
    #[serde(default)]
    clock: Option<ClockReading>,
    /// Empty; earlier releases, which share crash counts here, need it.
    #[serde(skip_deserializing)]
    crashes: BTreeMap<NodeId, u32>,
}

/// What the node that monitors the watches of its region has found.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MonitorReport {
    /// Time in milliseconds since it last found one of its watches lost; `None` if it never has.
    pub loss_age_ms: Option<u64>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_zero(digest: &u64) -> bool {
    *digest == 0
}

/// Time of day of a node, which others only display.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClockReading {
    node: NodeId,
    /// Milliseconds since the Unix epoch.
    unix_ms: u64,
}

/// Compressed list of instances, which is created once for all nodes that ask for the same one.
#[derive(Debug, Default)]
pub struct InstanceList(Mutex<Option<(u64, String)>>);

impl InstanceList {
    /// Returns the compressed list with a digest; `list` is called if the last one had another.
    fn compressed(&self, digest: u64, list: impl FnOnce() -> Vec<InstanceRecord>) -> String {
        let mut cached = self.0.lock().expect("no panic while locked");
        if let Some((known, text)) = &*cached
            && *known == digest
        {
            return text.clone();
        }
        let text = compress(&list());
        *cached = Some((digest, text.clone()));
        text
    }
}

/// Time after the start, and after a return of the store to an older copy, for which peers are asked for a
/// newer table: the store may not have the newest one, and a node that has just started has no other. It
/// begins anew with the first target, because peers may know its record from a former process.
const DOUBT_PERIOD: Duration = Duration::from_secs(5);

/// Tells peers of this node's record until one of them has answered.
pub async fn tell_peers(engine: &Arc<Engine>) {
    loop {
        let scope = ExchangeScope::Table;
        let peers = choose_peers(engine);
        let answers = peers
            .iter()
            .map(|address| timed_exchange(engine, *address, scope, &|_| {}).boxed());
        let told = match peers.len() {
            0 => false,
            _ => select_ok(answers).await.is_ok(),
        };
        if told {
            return;
        }
        tokio::time::sleep(FIRST_EXCHANGE).await;
    }
}

/// Gives this node's record to a peer.
///
/// # Errors
///
/// Returns an error if the peer gave no usable response.
pub async fn tell_record(engine: &Arc<Engine>, address: SocketAddr) -> eyre::Result<()> {
    timed_exchange(engine, address, ExchangeScope::Table, &|_| {}).await?;
    Ok(())
}

/// Gives this node's record to one that knows no target beside it. If it has started while the store turned
/// it away, it has no table to ask its target by, and knows no peer that it could ask for one.
pub fn introduce(engine: &Arc<Engine>, node: &NodeId, address: SocketAddr) {
    {
        let mut introduced = engine.introduced();
        introduced.retain(|_, at| at.elapsed() < EXCHANGE_INTERVAL);
        if introduced.contains_key(node) {
            return;
        }
        introduced.insert(node.clone(), Instant::now());
    }
    let engine = engine.clone();
    tokio::spawn(async move {
        if let Err(cause) = tell_record(&engine, address).await {
            log_event!(debug, ExchangeFailed, "introduction to {address}: {cause}");
        }
    });
}

/// What a node asks a peer for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeScope {
    /// All that the peer has and the node lacks.
    Everything,
    /// A newer table.
    Table,
    /// How far the peer's watches have come.
    Progress,
}

/// Exchanges state with random peers while the store does not respond, and asks them for a newer table
/// while the store may have an older one. A node that follows the store compares its watches with
/// theirs.
pub async fn run(engine: Arc<Engine>) {
    let mut returns = engine.store_health.watch_returns();
    let mut doubted = Instant::now();
    let mut has_target = false;
    let mut pause = FIRST_EXCHANGE;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // The sender lives as long as the engine.
            Ok(()) = returns.changed() => doubted = Instant::now(),
        }
        pause = EXCHANGE_INTERVAL;
        if !has_target && engine.local().life() > 0 {
            has_target = true;
            doubted = Instant::now();
        }
        let silent = engine
            .store_health
            .age()
            .is_none_or(|age| age > STORE_SILENCE);
        let table_only = !silent;
        if table_only && engine.follows_store() && engine.tables.version() > 0 {
            watch_monitor::compare_watches(&engine);
        }
        if table_only && doubted.elapsed() > DOUBT_PERIOD {
            continue;
        }
        if table_only && engine.tables.version() == 0 {
            // The store's table is on its way; with it, peers send only what differs.
            pause = FIRST_EXCHANGE;
            continue;
        }
        let scope = if table_only {
            ExchangeScope::Table
        } else {
            ExchangeScope::Everything
        };
        for address in choose_peers(&engine) {
            if let Err(cause) = timed_exchange(&engine, address, scope, &|_| {}).await {
                log_event!(debug, ExchangeFailed, "{address}: {cause}");
            }
        }
    }
}

fn choose_peers(engine: &Engine) -> Vec<SocketAddr> {
    let own = engine.node();
    let registry = engine.registry();
    let others = registry.records().filter(|record| record.node != own);
    let mut selector = engine.selector();
    others
        .map(|record| record.address)
        .sample(selector.random(), PEERS_PER_EXCHANGE)
}

/// Exchanges state with a peer and applies its response. If the response has deltas that do not fit
/// this node's table, the whole table is requested at once. `progress` is called when
/// parts of a long response arrive.
///
/// # Errors
///
/// Returns an error if the peer gave no usable response.
pub async fn exchange(
    engine: &Arc<Engine>,
    address: SocketAddr,
    progress: ProgressReport<'_>,
) -> eyre::Result<ExchangeResponse> {
    let answer = timed_exchange(engine, address, ExchangeScope::Everything, progress).await?;
    if answer.table.is_some() && engine.tables.transfer_base() == 0 {
        return timed_exchange(engine, address, ExchangeScope::Everything, progress).await;
    }
    Ok(answer)
}

/// Asks a peer how far its watches have come.
///
/// # Errors
///
/// Returns an error if the peer gave no usable response.
pub async fn ask_progress(
    engine: &Arc<Engine>,
    address: SocketAddr,
) -> eyre::Result<ExchangeResponse> {
    timed_exchange(engine, address, ExchangeScope::Progress, &|_| {}).await
}

/// Asks a peer for a newer table, and for a whole one if its deltas do not fit this node's.
///
/// # Errors
///
/// Returns an error if the peer gave no usable response.
pub async fn ask_table(engine: &Arc<Engine>, address: SocketAddr) -> eyre::Result<()> {
    let answer = timed_exchange(engine, address, ExchangeScope::Table, &|_| {}).await?;
    if answer.table.is_some() && engine.tables.transfer_base() == 0 {
        timed_exchange(engine, address, ExchangeScope::Table, &|_| {}).await?;
    }
    Ok(())
}

async fn timed_exchange(
    engine: &Arc<Engine>,
    address: SocketAddr,
    scope: ExchangeScope,
    progress: ProgressReport<'_>,
) -> eyre::Result<ExchangeResponse> {
    let started = Instant::now();
    let answer = request_exchange(engine, address, scope, progress).await;
    telemetry::record_exchange(answer.is_ok(), started.elapsed());
    answer
}

async fn request_exchange(
    engine: &Arc<Engine>,
    address: SocketAddr,
    scope: ExchangeScope,
    progress: ProgressReport<'_>,
) -> eyre::Result<ExchangeResponse> {
    let message = ExchangeRequest {
        node: engine.node(),
        table_version: engine.tables.transfer_base(),
        digest: engine.registry().digest(),
        table_only: scope != ExchangeScope::Everything,
        progress_only: scope == ExchangeScope::Progress,
        record: engine
            .local_record()
            .filter(|_| scope != ExchangeScope::Progress),
        rollouts: engine.rollouts.view().digest(),
        crashes: BTreeMap::new(),
    };
    let (started, sent) = (Instant::now(), engine.clock.now());
    let limit = started + EXCHANGE_TIMEOUT;
    let body = open_post(engine, address, EXCHANGE_HEADER, &message).await?;
    let body = tokio::time::timeout_at(limit.into(), read_body(body, progress)).await??;
    let answer: ExchangeResponse = serde_json::from_slice(&body)?;
    if let Some(reading) = &answer.clock {
        let theirs = UNIX_EPOCH + Duration::from_millis(reading.unix_ms);
        let now = Instant::now();
        let mut offsets = engine.clock_offsets();
        offsets.record(&reading.node, theirs, sent, now - started, now);
    }
    let age = answer.store_age_ms.map(Duration::from_millis);
    engine.store_health.record_report(age);
    apply_answer(engine, &answer, address);
    Ok(answer)
}

/// Sends a message to another proxy and returns the body of the response. `kind` is the header that
/// names the kind of message.
///
/// # Errors
///
/// Returns an error if there is no complete response, or none within [`STALL_TIMEOUT`].
pub async fn post(
    engine: &Arc<Engine>,
    address: SocketAddr,
    kind: HeaderName,
    message: &impl Serialize,
) -> eyre::Result<Bytes> {
    let body = open_post(engine, address, kind, message).await?;
    Ok(read_body(body, &|_| {}).await?.freeze())
}

async fn open_post(
    engine: &Arc<Engine>,
    address: SocketAddr,
    kind: HeaderName,
    message: &impl Serialize,
) -> eyre::Result<ResponseBody> {
    let body = BodyPieces::from(Bytes::from(serde_json::to_vec(message)?));
    let mut request = Request::new(GatedBody::ungated(body.to_sent()));
    *request.method_mut() = Method::POST;
    let headers = request.headers_mut();
    headers.insert(kind, HeaderValue::from_static("1"));
    headers.insert(header::HOST, address.to_string().parse()?);
    let deadline = Instant::now() + STALL_TIMEOUT;
    let sent = engine
        .peer_connections
        .send(address, request, EXCHANGE_INTERVAL * 4, deadline)
        .await;
    let (answer, connection) = sent.map_err(|failure| eyre::eyre!("{failure:?}"))?;
    let lease = ConnectionLease::new(&engine.peer_connections, connection);
    Ok(ResponseBody::streaming(answer.into_body(), lease))
}

async fn read_body(mut body: ResponseBody, progress: ProgressReport<'_>) -> eyre::Result<BytesMut> {
    let mut bytes = BytesMut::new();
    let long = body.size_hint().lower() > LONG_ANSWER_BYTES;
    loop {
        if long {
            progress(Instant::now());
        }
        let Some(frame) = tokio::time::timeout(STALL_TIMEOUT, body.frame()).await? else {
            return Ok(bytes);
        };
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

fn apply_answer(engine: &Engine, answer: &ExchangeResponse, address: SocketAddr) {
    if let Some(departed) = &answer.departed {
        apply_departure(engine, departed, address);
    }
    if let Some(epoch) = answer.refuting_epoch
        && engine.raise_epoch(epoch)
    {
        log_event!(
            warn,
            EpochRaised,
            "{address} knows a process of this node with epoch {epoch}"
        );
        engine.change_registration();
    }
    if let Some(transfer) = &answer.table {
        apply_table(engine, transfer, address);
    }
    apply_departures(engine, &answer.departures, address);
    if let Some(compressed) = &answer.records {
        match decompress::<Vec<InstanceRecord>>(compressed) {
            Ok(records) => apply_instances(engine, &records, answer.follows_store, address),
            Err(cause) => log_event!(warn, ExchangeFailed, "{address}: instances: {cause}"),
        }
    }
    if let Some(rollouts) = &answer.rollouts {
        let complete = answer.follows_store && !engine.follows_store();
        engine
            .rollouts
            .apply_known(engine, rollouts.clone(), complete);
    }
}

/// Applies a departure that an earlier process of this node has acknowledged.
fn apply_departure(engine: &Engine, departed: &TargetIncarnation, address: SocketAddr) {
    let (instance, born) = (&departed.instance, departed.born);
    let in_use = engine.current_incarnation().as_ref() == Some(departed);
    engine
        .local()
        .restore_state(instance, born, InstanceState::Gone);
    if in_use {
        log_event!(
            warn,
            TargetGone,
            "{departed} announced its departure to an earlier process, by {address}"
        );
        engine.change_registration();
    }
}

fn apply_table(engine: &Engine, transfer: &TableTransfer, address: SocketAddr) {
    match engine.tables.apply(transfer) {
        Ok(true) => {
            let version = engine.tables.version();
            log_event!(
                info,
                LearnedFromPeer,
                "route table {version} from {address}"
            );
        }
        Ok(false) => {}
        Err(cause) => log_event!(warn, TableRefused, "from {address}: {cause}"),
    }
}

/// Applies departures of other nodes' instances that a peer told.
fn apply_departures(engine: &Engine, departures: &[NodeDeparture], address: SocketAddr) {
    let own = engine.node();
    let others = departures.iter().filter(|departure| departure.node != own);
    let others: Vec<NodeDeparture> = others.cloned().collect();
    let mut registry = engine.registry();
    if registry.apply_departures(&others, Instant::now()) {
        let count = others.len();
        log_event!(info, LearnedFromPeer, "{count} departures from {address}");
    }
}

/// Applies a peer's instances. For a node that does not watch the store, the list of a peer that
/// does replaces what is known, as the store's own list would. Otherwise the list only adds
/// instances.
fn apply_instances(
    engine: &Engine,
    records: &[InstanceRecord],
    follows_store: bool,
    address: SocketAddr,
) {
    let now = Instant::now();
    let mut registry = engine.registry();
    if follows_store && !engine.follows_store() {
        if registry.apply_listing(records.to_vec(), now) {
            let count = records.len();
            log_event!(info, LearnedFromPeer, "{count} instances from {address}");
        }
        return;
    }
    let own = engine.node();
    for record in records {
        if record.node != own && registry.apply_peer_record(record.clone(), now) {
            let (node, instance) = (&record.node, &record.instance);
            log_event!(info, LearnedFromPeer, "{node} {instance} from {address}");
        }
    }
}

/// Applies the state that another node sent and returns this node's.
pub fn respond_to_exchange(engine: &Engine, body: &[u8]) -> Response<ResponseBody> {
    let Ok(asked) = serde_json::from_slice::<ExchangeRequest>(body) else {
        log_event!(warn, ExchangeFailed, "invalid exchange request from a peer");
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut refuting_epoch = None;
    let stated = asked.record.as_ref().and_then(InstanceRecord::departure);
    if let Some(record) = asked.record
        && record.node == asked.node
    {
        refuting_epoch = engine.registry().refuting_epoch(&record);
        let (node, instance) = (record.node.clone(), record.instance.clone());
        if engine.registry().apply_peer_record(record, Instant::now()) {
            log_event!(
                info,
                LearnedFromPeer,
                "{node} {instance} from the node itself"
            );
        }
    }
    // A node that states a departure itself knows it better: its target may still be draining. One that asks for
    // nothing but progress states nothing.
    let departed = engine.registry().announced_departure(&asked.node).cloned();
    let departed =
        departed.filter(|departed| !asked.progress_only && stated.as_ref() != Some(departed));
    let cached = engine.tables.current();
    list_own_departure(engine);
    let (records, departures) = {
        let registry = engine.registry();
        let digest = registry.digest();
        if asked.table_only || digest == asked.digest {
            (None, Vec::new())
        } else {
            let list = || registry.confirmed().cloned().collect();
            let records = engine.instance_list.compressed(digest, list);
            (Some(records), registry.told_departures(Instant::now()))
        }
    };
    let rollouts = {
        let view = engine.rollouts.view();
        // A node without a table has not read the orders either.
        let read = !asked.table_only && engine.tables.version() > 0;
        let differs = read && view.digest() != asked.rollouts;
        differs.then(|| view.known(Instant::now()))
    };
    if !asked.table_only {
        engine.record_poll();
    }
    if engine.follows_store() && !asked.table_only {
        engine.probe_store(MAX_CONTACT_AGE);
    }
    let store_age = engine.store_health.age();
    let monitors = engine.follows_store() && engine.store_health.is_monitoring();
    let answer = ExchangeResponse {
        follows_store: engine.serves_changes(),
        store_age_ms: store_age.map(saturating_millis),
        monitor: monitors.then(|| MonitorReport {
            loss_age_ms: engine.store_health.loss_age().map(saturating_millis),
        }),
        progress: Some(WatchProgress {
            table: engine.tables.version(),
            entry: engine.store_health.delivered_entry(),
        }),
        table: if asked.progress_only {
            None
        } else {
            cached.transfer_from(asked.table_version)
        },
        records,
        departures,
        refuting_epoch,
        departed,
        rollouts,
        clock: Some(ClockReading {
            node: engine.node(),
            unix_ms: unix_millis(engine.clock.now()),
        }),
        crashes: BTreeMap::new(),
    };
    telemetry::count_exchange_parts(answer.table.is_some(), answer.records.is_some());
    json_response(&answer)
}

fn unix_millis(time: SystemTime) -> u64 {
    let age = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    saturating_millis(age)
}

/// Encodes the answer to a message of a peer.
pub fn json_response(answer: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(answer) {
        Ok(text) => {
            telemetry::count_exchange_bytes(text.len());
            Response::new(ResponseBody::whole(text.into()))
        }
        Err(error) => {
            log_event!(warn, ExchangeFailed, "{error}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = status;
    response
}
