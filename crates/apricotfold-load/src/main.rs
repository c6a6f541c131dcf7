//! Command-line interface of the load generator.

use std::path::PathBuf;
use std::process::ExitCode;

use apricotfold_load::run_load;
use apricotfold_model::{LoadConfig, parse_json};
use apricotfold_schema::settings::LoadSettings;
use eyre::WrapErr as _;

const HELP: &str = "\
Sends calls at planned times, independently of responses, and prints the result as JSON.

Usage: apricotfold-load --settings FILE

Options:
  --settings FILE  JSON file with settings
  --help           print this text
  --version        print the version

Latency is measured from the planned arrival of a call to the end of its response.
Exit codes: 0 success, 1 failure, 2 invalid arguments or settings.";

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    env_logger::init();
    let config = match read_config() {
        Ok(Some(config)) => config,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-load: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(&config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the arguments and reads the settings. Returns `None` after printing the help or version.
fn read_config() -> eyre::Result<Option<LoadConfig>> {
    use lexopt::prelude::*;
    let mut path = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => path = Some(PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => {
                println!("{HELP}");
                return Ok(None);
            }
            Long("version") | Short('V') => {
                println!("apricotfold-load {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let path = path.ok_or_else(|| eyre::eyre!("--settings is required: expected a JSON file"))?;
    let text = std::fs::read_to_string(&path)
        .wrap_err_with(|| format!("--settings: reading {}", path.display()))?;
    let settings: LoadSettings = parse_json(&text).map_err(|error| eyre::eyre!(error))?;
    let config = LoadConfig::try_from(settings).map_err(|errors| eyre::eyre!(errors))?;
    Ok(Some(config))
}

fn run(config: &LoadConfig) -> eyre::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let result = runtime.block_on(run_load(config))?;
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(())
}
