//! `apricotfold trace ID FILE...`

use apricotfold::{CommandError, ExitKind, TraceLine, trace_request};
use compact_str::CompactString;
use serde_json::json;

use super::output::{CommandReport, CommandResult, error_document};

/// Prints the log lines about a request, sorted by the nodes' clocks, with the time since the first
/// one.
pub fn run(id: &CompactString, files: &[CompactString]) -> CommandResult {
    let logs: Result<Vec<String>, CommandError> = files.iter().map(read_log).collect();
    let lines = trace_request(&logs?, id);
    let mut document = json!({"id": id, "lines": lines});
    if lines.is_empty() {
        let message = format!("no log line about request {id} in {} files", files.len());
        document["error"] = error_document(&CommandError::bad_input(message.clone()));
        return Ok(CommandReport::with_exit(
            ExitKind::BadInput,
            message,
            document,
        ));
    }
    let start = lines.iter().find_map(|line| line.time).unwrap_or_default();
    let text: Vec<String> = lines.iter().map(|line| format_line(line, start)).collect();
    Ok(CommandReport::done(text.join("\n"), document))
}

/// Reads a log file. Invalid UTF-8, as left by a process that was killed while writing a line, is
/// replaced so that the other lines can still be read.
fn read_log(file: &CompactString) -> Result<String, CommandError> {
    let bytes = std::fs::read(file)
        .map_err(|error| CommandError::bad_input(format!("{file}: cannot be read: {error}")))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn format_line(line: &TraceLine, start: f64) -> String {
    let time = line
        .time
        .map_or("?".to_owned(), |time| format!("+{:.3}", time - start));
    format!("{time} {} {}", line.node, line.text)
}
