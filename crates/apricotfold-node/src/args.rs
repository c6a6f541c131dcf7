//! Command line of the daemon.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use apricotfold_model::{NodeConfig, parse_json};
use eyre::WrapErr;
use lexopt::prelude::*;

const HELP: &str = "\
Proxy and control-plane member beside a target instance.

Usage: apricotfold-node --settings FILE
       apricotfold-node --settings FILE --check

Options:
  --settings FILE  JSON settings; see guide/settings.md
  --check          check the settings and exit
  --help           print this text
  --version        print the version

Environment:
  RUST_LOG         log filter, default info

Exit codes: 0 stopped after a drain, 1 failure, 2 wrong arguments or settings";

/// Action selected on the command line.
pub enum Invocation {
    /// Print a text and exit.
    Print(String),
    /// Run the daemon.
    Run(Box<NodeConfig>),
}

/// Parses the arguments and reads the settings file that they name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> eyre::Result<Invocation> {
    let mut parser = lexopt::Parser::from_iter(args);
    let mut settings: Option<PathBuf> = None;
    let mut check_only = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => settings = Some(parser.value()?.into()),
            Long("check") => check_only = true,
            Long("help") | Short('h') => return Ok(Invocation::Print(HELP.to_owned())),
            Long("version") | Short('V') => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Invocation::Print(format!("apricotfold-node {version}")));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let path = settings.ok_or_else(|| eyre::eyre!("missing --settings FILE; see --help"))?;
    let config = load(&path).wrap_err_with(|| format!("settings in {}", path.display()))?;
    if check_only {
        return Ok(Invocation::Print("settings are valid".to_owned()));
    }
    Ok(Invocation::Run(Box::new(config)))
}

fn load(path: &Path) -> eyre::Result<NodeConfig> {
    let text = std::fs::read_to_string(path)?;
    let settings: apricotfold_schema::settings::NodeSettings = parse_json(&text)?;
    Ok(NodeConfig::try_from(settings)?)
}
