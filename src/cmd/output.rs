//! Prints the result of a subcommand as text or as one JSON document.

use std::io::Write;
use std::process::ExitCode;

use apricotfold::{CommandError, ExitKind};
use serde::Serialize;
use serde_json::{Value, json};

/// Result of a subcommand that could do its work.
pub struct CommandReport {
    /// Exit code. A nonzero code here reports a condition, such as a lagging node, not a failure of
    /// the command.
    pub exit: ExitKind,
    /// Text output for the operator.
    pub text: String,
    /// JSON output with the same content.
    pub document: Value,
}

impl CommandReport {
    /// Creates a report with exit code 0.
    pub fn done(text: impl Into<String>, document: impl Serialize) -> Self {
        Self::with_exit(ExitKind::Done, text, document)
    }

    /// Creates a report with the given exit code.
    pub fn with_exit(exit: ExitKind, text: impl Into<String>, document: impl Serialize) -> Self {
        Self {
            exit,
            text: text.into(),
            document: serde_json::to_value(document).expect("command reports serialize to JSON"),
        }
    }
}

/// Report or error of a subcommand.
pub type CommandResult = Result<CommandReport, CommandError>;

/// Format in which the result is printed.
pub struct OutputFormat {
    /// Prints one JSON document instead of text.
    pub json: bool,
}

impl OutputFormat {
    /// Prints a result and returns the exit code. In text format, errors go to standard error; in
    /// JSON format, they go to standard output like any other result.
    pub fn finish(&self, result: &CommandResult) -> ExitCode {
        let exit = match result {
            Ok(report) => report.exit,
            Err(error) => error.kind,
        };
        let printed = match (result, self.json) {
            (Ok(report), false) => print(&report.text),
            (Ok(report), true) => print(&report.document.to_string()),
            (Err(error), true) => print(&json!({"error": error_document(error)}).to_string()),
            (Err(error), false) => {
                eprintln!("apricotfold: {error}");
                Ok(())
            }
        };
        if let Err(error) = printed {
            log::debug!("cannot write to standard output: {error}");
        }
        ExitCode::from(exit.code())
    }
}

/// Returns the JSON form of an error, with its exit code.
pub fn error_document(error: &CommandError) -> Value {
    let mut document = serde_json::to_value(error).expect("command errors serialize to JSON");
    document["exit_code"] = error.kind.code().into();
    document
}

/// Writes the text and a newline. Unlike `println!`, this does not panic when standard output is a
/// closed pipe, as with `| head`.
fn print(text: &str) -> std::io::Result<()> {
    let mut stream = std::io::stdout().lock();
    writeln!(stream, "{}", text.trim_end())?;
    stream.flush()
}
