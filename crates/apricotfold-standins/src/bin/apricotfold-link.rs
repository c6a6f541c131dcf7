//! TCP proxy with fault injection.

use std::process::ExitCode;

use apricotfold_model::LinkConfig;
use apricotfold_schema::settings::LinkSettings;
use apricotfold_standins::{LinkServer, ProgramInfo, run_program, stop_signal};

const INFO: ProgramInfo = ProgramInfo {
    name: "apricotfold-link",
    purpose: "Forwards TCP connections with delay, limited bandwidth and other faults.",
};

fn main() -> ExitCode {
    run_program::<LinkSettings, LinkConfig, _, _>(&INFO, run_link)
}

async fn run_link(config: LinkConfig) -> eyre::Result<()> {
    let stop = stop_signal()?;
    LinkServer::bind(&config).await?.run(stop).await
}
