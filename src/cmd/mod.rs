//! The subcommands and their shared parts: arguments, help texts and output.

mod args;
mod diff;
mod help;
mod output;
mod publish;
mod show;
mod status;
mod trace;
mod validate;
mod withdraw;

use apricotfold::{CommandError, StoreRetry};
use apricotfold_store::HttpStore;
use compact_str::CompactString;

pub use args::{Invocation, Subcommand};
pub use output::{CommandResult, OutputFormat};

pub fn run(invocation: &Invocation) -> CommandResult {
    match &invocation.subcommand {
        Subcommand::Help(text) => Ok(help::result(text)),
        Subcommand::Version => Ok(help::version()),
        Subcommand::Validate { files } => Ok(validate::run(files)),
        Subcommand::Trace { id, files } => trace::run(id, files),
        subcommand => run_async(invocation, subcommand),
    }
}

fn run_async(invocation: &Invocation, subcommand: &Subcommand) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| step_error("runtime", &error))?;
    runtime.block_on(async {
        match subcommand {
            Subcommand::Publish { file } => publish::run(invocation, file).await,
            Subcommand::Withdraw { profile } => withdraw::run(invocation, profile).await,
            Subcommand::Show { profile } => show::run(invocation, profile.as_deref()).await,
            Subcommand::Diff { profile, file } => diff::run(invocation, profile, file).await,
            Subcommand::Status => status::run(invocation).await,
            Subcommand::Help(_)
            | Subcommand::Version
            | Subcommand::Validate { .. }
            | Subcommand::Trace { .. } => {
                unreachable!("handled without a runtime")
            }
        }
    })
}

/// Creates a client for the store given on the command line or in the environment.
fn open_store(invocation: &Invocation) -> Result<HttpStore, CommandError> {
    let Some(config) = invocation.store_config() else {
        let message = "no store given: use --store URL or set APRICOTFOLD_STORE";
        return Err(CommandError::bad_input(message));
    };
    HttpStore::new(&config, None).map_err(|error| step_error("store client", &error))
}

/// Returns a retry policy that retries store calls for the time given with `--wait`.
fn store_retry<'a>(store: &'a HttpStore, invocation: &Invocation) -> StoreRetry<'a> {
    StoreRetry::new(store, invocation.store_attempts(), invocation.wait)
}

fn step_error(step: &str, error: &dyn std::fmt::Display) -> CommandError {
    CommandError::new(
        apricotfold::ExitKind::Unavailable,
        format!("{step}: {error}"),
    )
}

/// Reads a text file; the error names the file.
fn read_file(file: &CompactString) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::bad_input(format!("{file}: cannot be read: {error}")))
}
