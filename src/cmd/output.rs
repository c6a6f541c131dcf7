//! Prints the result: short lines, or one JSON document.

use std::io::Write;
use std::process::ExitCode;

use apricotfold::{CommandError, ExitKind};
use serde::Serialize;
use serde_json::{Value, json};

/// What a subcommand found out.
pub struct CommandReport {
    /// Determines the exit code. Anything but 0 is a finding here, not a failure.
    pub exit: ExitKind,
    /// Text for the operator, one fact per line.
    pub text: String,
    /// The same facts as JSON.
    pub document: Value,
}

impl CommandReport {
    /// Findings with exit code 0.
    pub fn done(text: impl Into<String>, document: impl Serialize) -> Self {
        Self::with_exit(ExitKind::Done, text, document)
    }

    /// Findings with any exit code.
    pub fn with_exit(exit: ExitKind, text: impl Into<String>, document: impl Serialize) -> Self {
        Self {
            exit,
            text: text.into(),
            document: serde_json::to_value(document).expect("findings always have a JSON form"),
        }
    }
}

/// Result of a subcommand.
pub type CommandResult = Result<CommandReport, CommandError>;

/// The form in which the result is printed.
pub struct OutputFormat {
    /// One JSON document instead of text.
    pub json: bool,
}

impl OutputFormat {
    /// Prints a result and returns the exit code. Only the result goes to standard output; in text
    /// form, errors go to standard error.
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
            log::debug!("standard output is closed: {error}");
        }
        ExitCode::from(exit.code())
    }
}

/// JSON form of an error.
pub fn error_document(error: &CommandError) -> Value {
    let mut document = serde_json::to_value(error).expect("errors always have a JSON form");
    document["exit_code"] = error.kind.code().into();
    document
}

/// Writes the text and a line end. A closed pipe, as with `| head`, is no reason to panic.
fn print(text: &str) -> std::io::Result<()> {
    let mut stream = std::io::stdout().lock();
    writeln!(stream, "{}", text.trim_end())?;
    stream.flush()
}
