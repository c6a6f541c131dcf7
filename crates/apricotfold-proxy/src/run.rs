//! Starts the proxy and shuts it down.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{ProxyConfig, WallClock, log_event};
use apricotfold_store::ConfigStore;
use tokio::signal::unix::{SignalKind, signal};

use crate::adapters::{AnnounceProtocol, CallProtocol, RolloutSource, TableSource};
use crate::announce_server::AnnounceHandler;
use crate::caller_server::{CallerHandler, serve_callers};
use crate::callers::connection_slots::ConnectionSlots;
use crate::connection::{RequestHandler, listen, serve};
use crate::crash_gossip;
use crate::engine::Engine;
use crate::housekeeping::run_housekeeping;
use crate::instance_watcher::InstanceWatcher;
use crate::lifecycle::ProcessPhase;
use crate::peer_exchange;
use crate::peer_server::PeerHandler;
use crate::registration::Registration;
use crate::relays::poller::RelayPoller;
use crate::rollout::{RolloutKeeper, run_decisions, run_reports};
use crate::settings_file::{SettingsReader, follow};
use crate::status_server::{MetricsHandler, ReadyHandler};
use crate::store_health::{follow_returns, watch_keys};
use crate::table_cache::TableCache;
use crate::table_watcher::TableWatcher;
use crate::telemetry;

/// Share of the grace period after which idle connections are closed. Until then, callers learn
/// from readiness checks, one per second, that this node accepts no more of them.
const DRAINING_SHARE: f64 = 0.45;

/// Share of the grace period after which the process exits even if requests are in progress.
const EXIT_SHARE: f64 = 0.93;

/// Interval of checks whether requests are still in progress.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Implementations that a platform provides.
pub struct PlatformAdapters {
    /// Translation of the headers and statuses of callers and targets.
    pub calls: Arc<dyn CallProtocol>,
    /// Translation of the local target's messages.
    pub announcements: Arc<dyn AnnounceProtocol>,
    /// Location and format of the route table in the store.
    pub tables: Arc<dyn TableSource>,
    /// Location and format of rollout orders in the store.
    pub rollouts: Arc<dyn RolloutSource>,
    /// Client of the store.
    pub store: Arc<dyn ConfigStore>,
    /// Time of day of the instance.
    pub clock: Arc<dyn WallClock>,
}

/// Serves until SIGTERM or SIGINT, then drains. `settings` is the reader of the settings file with
/// the text it read first; the file is then checked for changes.
///
/// # Errors
///
/// Returns an error if a listen address cannot be opened.
pub async fn run_proxy(
    config: ProxyConfig,
    adapters: PlatformAdapters,
    settings: Option<(SettingsReader, String)>,
) -> eyre::Result<()> {
    let metrics = telemetry::install()?;
    let tables = TableCache::new(adapters.tables);
    let engine = Arc::new(Engine::new(
        config.clone(),
        adapters.calls,
        tables,
        RolloutKeeper::new(adapters.rollouts),
        adapters.clock,
    ));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let announcements = AnnounceHandler::new(engine.clone(), adapters.announcements);
    let limits = engine.limits;
    let mut handlers: Vec<(_, Arc<dyn RequestHandler>, _)> = vec![
        (
            config.announce_address,
            Arc::new(announcements),
            limits.status_connections,
        ),
        (
            config.ready_address,
            Arc::new(ReadyHandler(engine.clone())),
            limits.status_connections,
        ),
        (
            config.peer_address,
            Arc::new(PeerHandler::new(engine.clone())),
            limits.peer_connections,
        ),
    ];
    if let Some(address) = config.metrics_address {
        let handler = Arc::new(MetricsHandler(metrics));
        handlers.push((address, handler, limits.status_connections));
    }
    for (address, handler, limit) in handlers {
        let listener = listen(address).await?;
        let slots = ConnectionSlots::new(limit, &engine.held_memory);
        tokio::spawn(serve(listener, handler, engine.lifecycle.clone(), slots));
    }
    let callers = listen(config.caller_address).await?;
    let handler = CallerHandler::new(engine.clone());
    tokio::spawn(serve_callers(callers, Arc::new(handler)));
    log_event!(
        info,
        Started,
        "node {} service {} data centre {} callers {} peers {}",
        config.node,
        config.service,
        config.data_centre,
        config.caller_address,
        config.peer_address
    );
    tokio::spawn(follow_returns(engine.clone(), adapters.store.clone()));
    let tables = TableWatcher::new(engine.clone(), adapters.store.clone());
    tokio::spawn(watch_keys(engine.clone(), tables));
    let entries = InstanceWatcher::new(engine.clone(), adapters.store.clone());
    tokio::spawn(watch_keys(engine.clone(), entries));
    tokio::spawn(run_decisions(engine.clone(), adapters.store.clone()));
    tokio::spawn(run_reports(engine.clone()));
    tokio::spawn(Registration::new(engine.clone(), adapters.store).run());
    tokio::spawn(peer_exchange::run(engine.clone()));
    tokio::spawn(crash_gossip::run(engine.clone()));
    tokio::spawn(RelayPoller::new(engine.clone()).run());
    tokio::spawn(run_housekeeping(engine.clone()));
    if let Some((reader, text)) = settings {
        tokio::spawn(follow(engine.clone(), reader, text));
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&engine).await;
    Ok(())
}

/// Shuts down without aborting requests: other proxies are notified by the registration, callers
/// are asked to close their connections, and the requests in progress finish.
async fn drain(engine: &Arc<Engine>) {
    let started = Instant::now();
    let grace = engine.config.load().grace;
    engine.lifecycle.enter(ProcessPhase::Draining);
    engine.change_registration();
    let in_flight = engine.lifecycle.in_flight();
    log_event!(
        info,
        DrainStarted,
        "{in_flight} requests in progress, {grace:?} left"
    );
    engine.is_ready();
    tokio::time::sleep(grace.mul_f64(DRAINING_SHARE)).await;
    engine.lifecycle.enter(ProcessPhase::Closing);
    // This closes idle connections and accepts what had already arrived on them.
    tokio::time::sleep(EXIT_CHECK_INTERVAL * 4).await;
    let last = started + grace.mul_f64(EXIT_SHARE);
    while engine.lifecycle.in_flight() > 0 && Instant::now() < last {
        tokio::time::sleep(EXIT_CHECK_INTERVAL).await;
    }
    let cut = engine.lifecycle.in_flight();
    if cut > 0 {
        log_event!(warn, DrainGraceExpired, "{cut} requests in progress");
    }
    // The connections still write the last bytes of responses.
    tokio::time::sleep(EXIT_CHECK_INTERVAL * 4).await;
    log_event!(info, Stopped, "after {:?}", started.elapsed());
}
