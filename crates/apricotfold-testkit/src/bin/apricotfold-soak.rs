//! Runs the randomized soak test for one or more seeds. See `docs/proofs.md`.

use std::process::ExitCode;
use std::time::Duration;

use apricotfold_testkit::SoakRun;

const HELP: &str = "\
Runs meshes of real processes under random faults and checks the product's guarantees.

Usage: apricotfold-soak [--seed N] [--count N] [--seconds N]

Options:
  --seed N     first seed, default 1
  --count N    number of consecutive seeds to run, default 1
  --seconds N  time during which faults begin, default 10
  --help       print this text
  --version    print the version";

/// Upper limit of a run of one seed: journals are read into memory as a whole at its end.
const MAX_SECONDS: u64 = 600;

struct SoakArgs {
    seed: u64,
    count: u64,
    seconds: u64,
}

fn main() -> ExitCode {
    env_logger::init();
    let args = match read_args() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-soak: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Runtime::new().map_err(eyre::Report::from);
    match runtime.and_then(|runtime| runtime.block_on(run(&args))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("apricotfold-soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_args() -> eyre::Result<Option<SoakArgs>> {
    use lexopt::prelude::*;
    let mut args = SoakArgs {
        seed: 1,
        count: 1,
        seconds: 10,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => args.seed = parser.value()?.parse()?,
            Long("count") => args.count = parser.value()?.parse()?,
            Long("seconds") => args.seconds = parser.value()?.parse()?,
            Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Long("version") => {
                println!("apricotfold-soak {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            _ => return Err(argument.unexpected().into()),
        }
    }
    eyre::ensure!(
        (1..=MAX_SECONDS).contains(&args.seconds),
        "--seconds must be from 1 to {MAX_SECONDS}"
    );
    Ok(Some(args))
}

/// Runs the seeds one after the other. Returns whether there were no violations.
async fn run(args: &SoakArgs) -> eyre::Result<bool> {
    let mut clean = true;
    for seed in args.seed..args.seed.saturating_add(args.count) {
        let soak = SoakRun {
            seed,
            length: Duration::from_secs(args.seconds),
        };
        let report = soak.run().await?;
        println!(
            "seed {seed}: {} faults, {} requests, {} answered, {} violations",
            report.faults,
            report.requests,
            report.answered,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        if let Some(folder) = report.folder {
            println!("  files are kept in {}", folder.display());
        }
        clean &= report.violations.is_empty();
    }
    Ok(clean)
}
