//! Help texts and the version.

use serde_json::json;

use super::output::CommandReport;

/// Help text of `apricotfold --help`.
pub const OVERVIEW: &str = "\
Publishes profiles to the service mesh and shows which node runs which version.

Usage: apricotfold SUBCOMMAND [OPTION]...

Subcommands:
  publish FILE        make the profile in FILE the head, on every node or on none
  withdraw PROFILE    return the profile's services to the built-in default
  show [PROFILE]      list all heads, or show one with its content
  diff PROFILE FILE   compare a head with a file, field by field
  status              show which node runs which version and which nodes lag
  validate FILE...    check profiles without contacting anything
  trace ID FILE...    trace a request through the logs of several nodes

Options:
  --store URL         address of the store; repeatable (environment: APRICOTFOLD_STORE,
                      several addresses separated by commas)
  --node URL          admin address of a node; repeatable
  --operator NAME     operator recorded with a publish (environment: USER)
  --wait SECONDS      how long to retry while the store or the nodes are unavailable (default: 0)
  --timeout SECONDS   how long to wait for the decision on a publish (default: 15, after which an
                      undecided version expires anyway)
  --json              print one JSON document
  --help, --version   print help or the version; also after a subcommand

The log goes to standard error; RUST_LOG sets its level (default: warn).

Exit codes:
  0  done
  1  diff found differences
  2  invalid input or usage
  3  nodes rejected the version
  4  lost a race against another publish of the same profile
  5  the store, or every queried node, is unavailable
  6  a node lags behind the head
  7  the publish was not decided in time, or its outcome is not known
";

const PUBLISH: &str = "\
Makes the profile in FILE the head, on every node that can be reached or on none.

Usage: apricotfold publish FILE --store URL [--operator NAME] [--wait SECONDS]
                   [--timeout SECONDS] [--json]

The file is checked, its content is stored, and every live node of the profile's services is asked
whether it can run the version. Prints the version and how many nodes prepared it. Publishing
content that the head already has changes nothing.

Exit codes: 0 published or unchanged, 2 invalid input, 3 rejected by nodes (with their reasons),
4 lost a race against another publish (with the differences), 5 store unavailable, 7 not decided
within --timeout, or outcome not known because the store became unavailable.
";

const WITHDRAW: &str = "\
Returns the services of PROFILE to the built-in default: no outbound routes, default limits.

Usage: apricotfold withdraw PROFILE --store URL [--operator NAME] [--wait SECONDS]
                   [--timeout SECONDS] [--json]

A withdrawal is a new version and is decided like a publish. Withdrawing a profile that is already
withdrawn changes nothing.

Exit codes: as for publish; 2 also when the profile was never published.
";

const SHOW: &str = "\
Lists all heads, or shows the head of PROFILE with its content. Also lists pending candidates.

Usage: apricotfold show [PROFILE] --store URL [--wait SECONDS] [--json]

Exit codes: 0 done, 2 invalid usage or unknown profile, 5 store unavailable.
";

const DIFF: &str = "\
Compares the head of PROFILE with the profile in FILE, field by field (head -> file).

Usage: apricotfold diff PROFILE FILE --store URL [--wait SECONDS] [--json]

Exit codes: 0 equal, 1 different, 2 invalid input, 5 store unavailable.
";

const STATUS: &str = "\
Shows which node runs which version. Nodes that lag behind the head come first, with the reason.

Usage: apricotfold status --node URL... [--store URL] [--wait SECONDS] [--json]

Each node knows all others, so one --node is enough; give several when the mesh may be partitioned.
With --store, versions are also compared with the heads in the store.

Exit codes: 0 no node lags, 2 invalid usage, 5 no node responded, 6 some node lags.
";

const VALIDATE: &str = "\
Checks profiles and lists every invalid field with its value and what was expected. Contacts
nothing.

Usage: apricotfold validate FILE... [--json]

Exit codes: 0 all valid, 2 at least one file is invalid.
";

const TRACE: &str = "\
Prints the lines of the logs in FILE... about the request ID and the calls that its target made to
serve it, sorted by the nodes' clocks. Contacts nothing.

Usage: apricotfold trace ID FILE... [--json]

Exit codes: 0 done, 2 invalid usage, a file that cannot be read, or no line about the request.
";

/// Returns the help text of a subcommand; `None` when the name is unknown.
pub fn of_subcommand(name: &str) -> Option<&'static str> {
    match name {
        "publish" => Some(PUBLISH),
        "withdraw" => Some(WITHDRAW),
        "show" => Some(SHOW),
        "diff" => Some(DIFF),
        "status" => Some(STATUS),
        "validate" => Some(VALIDATE),
        "trace" => Some(TRACE),
        _ => None,
    }
}

/// Returns a help text as a report.
pub fn result(text: &str) -> CommandReport {
    CommandReport::done(text, json!({"help": text}))
}

/// Returns the version of the command as a report.
pub fn version() -> CommandReport {
    let version = env!("CARGO_PKG_VERSION");
    CommandReport::done(
        format!("apricotfold {version}"),
        json!({"version": version}),
    )
}
