//! Parses the command line and the environment.

use std::ffi::OsString;
use std::time::Duration;

use apricotfold::CommandError;
use apricotfold_model::StoreConfig;
use compact_str::CompactString;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use smallvec::SmallVec;

use super::help;

/// Environment variable with the addresses of the store, separated by commas.
const STORE_VARIABLE: &str = "APRICOTFOLD_STORE";
/// Environment variable with the operator's name.
const OPERATOR_VARIABLE: &str = "USER";
/// Timeout of one store call. A healthy store responds within milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Default time to wait for the relays' decision, which takes at most 3 s when they can reach the
/// store.
const DECISION_TIMEOUT: Duration = Duration::from_secs(15);

/// Subcommand with its operands.
#[derive(Debug, PartialEq)]
pub enum Subcommand {
    /// Print this help text.
    Help(&'static str),
    /// Print the version of the command.
    Version,
    /// Publish the profile in a file.
    Publish { file: CompactString },
    /// Withdraw a profile.
    Withdraw { profile: CompactString },
    /// Show the heads of all profiles or of one.
    Show { profile: Option<CompactString> },
    /// Compare the head of a profile with a file.
    Diff {
        profile: CompactString,
        file: CompactString,
    },
    /// Show which node runs which version.
    Status,
    /// Validate profiles without contacting anything.
    Validate { files: Vec<CompactString> },
    /// Trace a request through log files.
    Trace {
        id: CompactString,
        files: Vec<CompactString>,
    },
}

/// Parsed command line with defaults from the environment.
#[derive(Debug)]
pub struct Invocation {
    /// Subcommand to run.
    pub subcommand: Subcommand,
    /// URLs of the store; empty when none was given.
    pub store: SmallVec<[CompactString; 2]>,
    /// Admin URLs of the nodes to query.
    pub nodes: Vec<CompactString>,
    /// Name recorded with a publish; empty when not given.
    pub operator: CompactString,
    /// Time during which calls to an unavailable store or node are retried.
    pub wait: Duration,
    /// Maximum time to wait for the decision on a publish.
    pub timeout: Duration,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// Error in the command line.
#[derive(Debug)]
pub struct UsageError {
    /// Whether to print the error as JSON.
    pub json: bool,
    /// Error with the reason.
    pub error: CommandError,
}

/// Options and operands before they are checked against the subcommand.
#[derive(Default)]
struct RawArguments {
    operands: Vec<CompactString>,
    store: SmallVec<[CompactString; 2]>,
    nodes: Vec<CompactString>,
    operator: Option<CompactString>,
    wait: Option<Duration>,
    timeout: Option<Duration>,
    json: bool,
    help: bool,
    version: bool,
}

impl Invocation {
    /// Parses the arguments and reads defaults from the environment.
    pub fn parse(
        arguments: impl Iterator<Item = OsString>,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, UsageError> {
        let arguments: Vec<OsString> = arguments.collect();
        // Errors are printed as JSON even when `--json` follows the invalid argument.
        let json = arguments.iter().any(|argument| argument == "--json");
        let parser = lexopt::Parser::from_args(arguments);
        read_arguments(parser)
            .and_then(|raw| raw.complete(environment))
            .map_err(|error| UsageError { json, error })
    }

    /// Returns the settings of the store client; `None` when no store was given.
    pub fn store_config(&self) -> Option<StoreConfig> {
        (!self.store.is_empty()).then(|| StoreConfig {
            endpoints: self.store.clone(),
            timeout: STORE_TIMEOUT,
        })
    }

    /// Returns the minimum number of attempts of each store call: one per address and one more, so
    /// that a single lost response is not treated as an outage.
    pub fn store_attempts(&self) -> u32 {
        u32::try_from(self.store.len() + 1).unwrap_or(u32::MAX)
    }
}

fn read_arguments(mut parser: lexopt::Parser) -> Result<RawArguments, CommandError> {
    let mut raw = RawArguments::default();
    loop {
        let argument = parser.next().map_err(|error| usage(&error))?;
        let Some(argument) = argument else {
            return Ok(raw);
        };
        match argument {
            Value(value) => raw.operands.push(text(value)?),
            Long("store") => raw.store.push(read_url(&mut parser, "--store")?),
            Long("node") => raw.nodes.push(read_url(&mut parser, "--node")?),
            Long("operator") => raw.operator = Some(read_text(&mut parser)?),
            Long("wait") => raw.wait = Some(read_seconds(&mut parser, "--wait")?),
            Long("timeout") => raw.timeout = Some(read_seconds(&mut parser, "--timeout")?),
            Long("json") => raw.json = true,
            Long("help") | Short('h') => raw.help = true,
            Long("version") | Short('V') => raw.version = true,
            other => return Err(usage(&other.unexpected())),
        }
    }
}

fn read_text(parser: &mut lexopt::Parser) -> Result<CompactString, CommandError> {
    text(parser.value().map_err(|error| usage(&error))?)
}

fn text(value: OsString) -> Result<CompactString, CommandError> {
    let text = value.string().map_err(|error| usage(&error))?;
    Ok(text.into())
}

fn read_url(parser: &mut lexopt::Parser, option: &str) -> Result<CompactString, CommandError> {
    check_url(&read_text(parser)?, option)
}

/// Checks a URL and removes trailing slashes, since paths are appended to it. Only `http://` is
/// accepted because the HTTP client is built without TLS.
fn check_url(url: &str, source: &str) -> Result<CompactString, CommandError> {
    if url.starts_with("http://") {
        return Ok(url.trim_end_matches('/').into());
    }
    let message = format!("{source}: found {url:?}, expected a URL that starts with http://");
    Err(CommandError::bad_input(message))
}

fn read_seconds(parser: &mut lexopt::Parser, option: &str) -> Result<Duration, CommandError> {
    let text = read_text(parser)?;
    let seconds: Option<f64> = text.parse().ok();
    seconds
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .filter(|duration| *duration <= Duration::from_hours(24))
        .ok_or_else(|| {
            let message = format!("{option}: found {text:?}, expected seconds from 0 to 86400");
            CommandError::bad_input(message)
        })
}

fn usage(error: &dyn std::fmt::Display) -> CommandError {
    CommandError::bad_input(format!("{error}; see apricotfold --help"))
}

impl RawArguments {
    fn complete(
        self,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Invocation, CommandError> {
        let subcommand = self.subcommand()?;
        let mut store = self.store;
        if store.is_empty() {
            let addresses = environment(STORE_VARIABLE).unwrap_or_default();
            for address in addresses.split(',').map(str::trim) {
                if !address.is_empty() {
                    store.push(check_url(address, STORE_VARIABLE)?);
                }
            }
        }
        let operator = self.operator.or_else(|| {
            let name = environment(OPERATOR_VARIABLE)?;
            Some(name.into())
        });
        Ok(Invocation {
            subcommand,
            store,
            nodes: self.nodes,
            operator: operator.unwrap_or_default(),
            wait: self.wait.unwrap_or_default(),
            timeout: self.timeout.unwrap_or(DECISION_TIMEOUT),
            json: self.json,
        })
    }

    fn subcommand(&self) -> Result<Subcommand, CommandError> {
        let Some((name, operands)) = self.operands.split_first() else {
            return match (self.help, self.version) {
                (true, _) => Ok(Subcommand::Help(help::OVERVIEW)),
                (false, true) => Ok(Subcommand::Version),
                (false, false) => Err(usage(&"no subcommand given")),
            };
        };
        let text = help::of_subcommand(name)
            .ok_or_else(|| usage(&format_args!("unknown subcommand {name:?}")))?;
        if self.help {
            return Ok(Subcommand::Help(text));
        }
        if self.version {
            return Ok(Subcommand::Version);
        }
        read_operands(name, operands)
    }
}

fn read_operands(name: &str, operands: &[CompactString]) -> Result<Subcommand, CommandError> {
    match (name, operands) {
        ("publish", [file]) => Ok(Subcommand::Publish { file: file.clone() }),
        ("withdraw", [profile]) => Ok(Subcommand::Withdraw {
            profile: profile.clone(),
        }),
        ("show", []) => Ok(Subcommand::Show { profile: None }),
        ("show", [profile]) => Ok(Subcommand::Show {
            profile: Some(profile.clone()),
        }),
        ("diff", [profile, file]) => Ok(Subcommand::Diff {
            profile: profile.clone(),
            file: file.clone(),
        }),
        ("status", []) => Ok(Subcommand::Status),
        ("trace", [id, files @ ..]) if !files.is_empty() => Ok(Subcommand::Trace {
            id: id.clone(),
            files: files.to_vec(),
        }),
        ("validate", [_, ..]) => Ok(Subcommand::Validate {
            files: operands.to_vec(),
        }),
        _ => Err(CommandError::bad_input(format!(
            "wrong number of operands for {name}; see apricotfold {name} --help"
        ))),
    }
}
