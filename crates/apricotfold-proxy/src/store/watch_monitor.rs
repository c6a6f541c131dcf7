//! Comparison of this node's watches of the store with those of other nodes. See `docs/platform.md`,
//! section 4.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{DataCentreName, NodeId, log_event};
use apricotfold_policy::{MonitorRole, STORE_SILENCE, choose_followers, choose_monitors};
use rand::seq::IteratorRandom;

use crate::engine::Engine;
use crate::peer_exchange::{ExchangeResponse, ask_progress, ask_table};

/// Has lost watches opened anew, and asks another node how far its watches have come: the one that
/// monitors the watches of the region, or a random one that follows the store if this node does or has
/// just started.
pub fn compare_watches(engine: &Arc<Engine>) {
    let candidates = {
        let config = engine.config.load();
        let in_region = |other: &DataCentreName| {
            *other == config.data_centre || config.data_centres.get(other) == Some(&config.region)
        };
        let registry = engine.registry();
        choose_monitors(&config.data_centre, in_region, registry.staying())
    };
    let health = &engine.store_health;
    let role = health.choose_monitor(&candidates, &engine.node());
    health.check_watches();
    let engine = engine.clone();
    match role {
        Some(MonitorRole::Asks(monitor)) => {
            tokio::spawn(async move { ask_monitor(&engine, &monitor).await });
        }
        Some(MonitorRole::Monitors) | None => {
            tokio::spawn(async move { ask_follower(&engine).await });
        }
    }
}

/// Asks the monitor of the region, and has the watches opened anew if it has lost an answer since
/// they were opened.
async fn ask_monitor(engine: &Arc<Engine>, monitor: &NodeId) {
    let address = address_of(engine, monitor);
    let answer = match address {
        Some(address) => ask(engine, address).await,
        None => None,
    };
    let health = &engine.store_health;
    let report = answer.as_ref().and_then(|answer| answer.monitor.as_ref());
    let contact = answer.as_ref().filter(|answer| is_in_contact(answer));
    let (Some(report), Some(answer)) = (report, contact) else {
        health.record_monitor(monitor, false);
        return;
    };
    health.record_monitor(monitor, true);
    let lost = report.loss_age_ms.map(Duration::from_millis);
    if let Some(lost) = lost.and_then(|age| Instant::now().checked_sub(age)) {
        health.observe_loss(lost);
    }
    observe(engine, answer);
    health.check_watches();
    if let Some(address) = address {
        fetch_table(engine, answer, address).await;
    }
}

/// Asks a random node that follows the store.
async fn ask_follower(engine: &Arc<Engine>) {
    let own = engine.node();
    let follower = {
        let followers = choose_followers(engine.registry().staying());
        let others = followers.into_iter().filter(|node| *node != own);
        others.choose(engine.selector().random())
    };
    let Some(address) = follower.and_then(|follower| address_of(engine, &follower)) else {
        return;
    };
    if let Some(answer) = ask(engine, address).await
        && is_in_contact(&answer)
    {
        observe(engine, &answer);
        fetch_table(engine, &answer, address).await;
    }
}

fn observe(engine: &Engine, answer: &ExchangeResponse) {
    if let Some(progress) = answer.progress {
        engine.store_health.observe_progress(progress);
    }
}

/// Asks a node for its table if it is newer. Deltas between nodes are small, while the store sends a table
/// whole, behind all versions that are already on their way.
async fn fetch_table(engine: &Arc<Engine>, answer: &ExchangeResponse, address: SocketAddr) {
    let version = answer.progress.map_or(0, |progress| progress.table);
    if version <= engine.tables.version() {
        return;
    }
    // An answer that takes longer than the interval of comparisons is not asked for twice.
    let Ok(_fetching) = engine.table_fetch.try_lock() else {
        return;
    };
    if let Err(cause) = ask_table(engine, address).await {
        log_event!(debug, ExchangeFailed, "table of {address}: {cause}");
    }
}

async fn ask(engine: &Arc<Engine>, address: SocketAddr) -> Option<ExchangeResponse> {
    let answer = ask_progress(engine, address).await;
    answer
        .inspect_err(|cause| log_event!(debug, ExchangeFailed, "{address}: {cause}"))
        .ok()
}

fn address_of(engine: &Engine, node: &NodeId) -> Option<SocketAddr> {
    let registry = engine.registry();
    registry.record(node).map(|record| record.address)
}

/// Returns whether a node's last answer from the store is recent.
fn is_in_contact(answer: &ExchangeResponse) -> bool {
    let age = answer.store_age_ms.map(Duration::from_millis);
    age.is_some_and(|age| age <= STORE_SILENCE)
}
