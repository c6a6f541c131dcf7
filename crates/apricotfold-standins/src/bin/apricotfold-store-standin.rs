//! Stand-in for the platform's key-value store.

use std::process::ExitCode;

use apricotfold_model::StoreStandinConfig;
use apricotfold_schema::settings::StoreStandinSettings;
use apricotfold_standins::{ProgramInfo, StoreServer, run_program, stop_signal};

const INFO: ProgramInfo = ProgramInfo {
    name: "apricotfold-store-standin",
    purpose: "Stands in for the platform's key-value store, with scripted faults.",
};

fn main() -> ExitCode {
    run_program::<StoreStandinSettings, StoreStandinConfig, _, _>(&INFO, run_store)
}

async fn run_store(config: StoreStandinConfig) -> eyre::Result<()> {
    let stop = stop_signal()?;
    StoreServer::bind(&config).await?.run(stop).await
}
