//! Startup code shared by the binaries: arguments, settings, logging and signals.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use apricotfold_model::{FieldError, FieldErrors, parse_json};
use eyre::WrapErr as _;
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a failure at run time.
const EXIT_FAILED: u8 = 1;
/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Texts for the command line of a binary.
pub struct ProgramInfo {
    /// Binary name, as in the usage and version output.
    pub name: &'static str,
    /// One-sentence description for the help output.
    pub purpose: &'static str,
}

enum Arguments {
    Run(PathBuf),
    Print(String),
}

/// Parses the command line, reads and validates the settings file and runs `start` with the result.
/// Prints the help or version instead if requested.
pub fn run_program<R, C, F, O>(info: &ProgramInfo, start: F) -> ExitCode
where
    R: DeserializeOwned,
    C: TryFrom<R, Error = FieldErrors>,
    F: FnOnce(C) -> O,
    O: Future<Output = eyre::Result<()>>,
{
    let log_environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(log_environment).init();
    let path = match read_arguments(info, std::env::args_os()) {
        Ok(Arguments::Run(path)) => path,
        Ok(Arguments::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return fail_usage(info, &error),
    };
    let config = match read_config::<R, C>(&path) {
        Ok(config) => config,
        Err(error) => return fail_usage(info, &error),
    };
    match run_async(start(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn fail_usage(info: &ProgramInfo, error: &eyre::Report) -> ExitCode {
    eprintln!("{}: {error:#}", info.name);
    ExitCode::from(EXIT_USAGE)
}

fn read_arguments(
    info: &ProgramInfo,
    arguments: impl IntoIterator<Item = OsString>,
) -> eyre::Result<Arguments> {
    use lexopt::prelude::{Long, Short};
    let mut parser = lexopt::Parser::from_iter(arguments);
    let mut settings = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => return Ok(Arguments::Print(help_text(info))),
            Long("version") | Short('V') => return Ok(Arguments::Print(version_text(info))),
            other => return Err(other.unexpected().into()),
        }
    }
    settings
        .map(Arguments::Run)
        .ok_or_else(|| eyre::eyre!("--settings: found nothing, expected a file with JSON settings"))
}

fn version_text(info: &ProgramInfo) -> String {
    format!("{} {}", info.name, env!("CARGO_PKG_VERSION"))
}

fn help_text(info: &ProgramInfo) -> String {
    format!(
        "{}\n\nUsage: {} --settings FILE\n\n\
         Options:\n  \
         --settings FILE  JSON settings\n  \
         --help           print this help\n  \
         --version        print the version\n\n\
         The log goes to standard error; RUST_LOG sets its level.\n\
         Exit codes: 0 stopped, 1 failed, 2 wrong arguments or settings.",
        info.purpose, info.name
    )
}

fn read_config<R, C>(path: &PathBuf) -> eyre::Result<C>
where
    R: DeserializeOwned,
    C: TryFrom<R, Error = FieldErrors>,
{
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("--settings: reading {}", path.display()))?;
    let raw: R = parse_json(&text).map_err(|error: FieldError| eyre::eyre!(error))?;
    C::try_from(raw).map_err(|errors| eyre::eyre!(errors))
}

fn run_async(program: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .wrap_err("starting the runtime")?
        .block_on(program)
}

/// Registers for SIGTERM and SIGINT; the returned future completes at the first of them.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be registered.
pub fn stop_signal() -> eyre::Result<impl Future<Output = ()> + Send> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("receiving SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("receiving SIGINT")?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("stopping");
    })
}
