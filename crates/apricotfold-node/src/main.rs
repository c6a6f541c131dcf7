//! The node daemon: one process beside each target instance.
//!
//! It proxies the instance's calls in both directions and is a member of the control plane, see
//! `docs/design.md`, section 2. The daemon does the I/O and reads the clock; the decisions are made
//! by `apricotfold-policy` and `apricotfold-control`.

mod admin;
mod args;
mod balance;
mod call;
mod claim_writer;
mod control_loop;
mod control_service;
mod control_view;
mod enforce;
mod entry;
mod forward;
mod mesh;
mod node_metrics;
mod orders;
mod peer_streams;
mod refusal;
mod request_fingerprint;
mod response_stream;
mod server;
mod shutdown;
mod state;
mod store_session;
mod store_watch;
mod target_call;
mod view;

use std::process::ExitCode;
use std::sync::Arc;

use apricotfold_model::{Distribution, NodeConfig, SystemClock, log_event};
use apricotfold_store::HttpStore;

use crate::args::Invocation;
use crate::control_loop::ControlLoop;
use crate::orders::OrderCoordinator;
use crate::state::NodeState;

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;
/// Exit code for a failure at run time, such as an address in use.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let config = match args::parse(std::env::args_os()) {
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(Invocation::Run(config)) => *config,
        Err(error) => {
            eprintln!("apricotfold-node: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.worker_threads)
        .enable_all()
        .build();
    match runtime
        .map_err(eyre::Report::from)
        .and_then(|runtime| runtime.block_on(run(config)))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-node: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

async fn run(config: NodeConfig) -> eyre::Result<()> {
    let metrics = node_metrics::install()?;
    let distribution = config.distribution;
    let state = NodeState::new(config, &SystemClock)?;
    let store = Arc::new(HttpStore::new(
        &state.config.store,
        state.config.local_address(),
    )?);
    let orders = OrderCoordinator::start(state.clone(), store);
    let servers = server::start_all(&state, metrics, &orders)?;
    let (sender, inputs) = control_loop::queue();
    control_service::start(&state, sender.clone(), orders)?;
    log_event!(
        info,
        Started,
        "node {} in {}",
        state.config.node,
        state.config.data_centre
    );
    match distribution {
        Distribution::Peers => {
            let control = ControlLoop::new(state.clone(), sender, inputs)?;
            tokio::spawn(control.run());
        }
        Distribution::StoreWatch => {
            tokio::spawn(store_watch::run(state.clone()));
        }
    }
    tokio::spawn(admin::expire_target(state.clone()));
    shutdown::wait_for_signal().await?;
    shutdown::drain(&state, servers).await;
    Ok(())
}
