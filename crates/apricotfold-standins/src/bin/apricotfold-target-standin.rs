//! Stand-in for a back end.

use std::process::ExitCode;

use apricotfold_model::TargetStandinConfig;
use apricotfold_schema::settings::TargetStandinSettings;
use apricotfold_standins::{ProgramInfo, TargetServer, run_program, stop_signal};

const INFO: ProgramInfo = ProgramInfo {
    name: "apricotfold-target-standin",
    purpose: "Stands in for a back end, with slots, service times and a journal of its requests.",
};

fn main() -> ExitCode {
    run_program::<TargetStandinSettings, TargetStandinConfig, _, _>(&INFO, run_target)
}

async fn run_target(config: TargetStandinConfig) -> eyre::Result<()> {
    let stop = stop_signal()?;
    TargetServer::bind(&config).await?.run(stop).await
}
