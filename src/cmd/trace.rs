//! `apricotfold trace ID FILE...`

use apricotfold::{ClockSkew, CommandError, ExitKind, TraceLine, trace_request};
use compact_str::CompactString;
use serde_json::json;

use super::output::{CommandReport, CommandResult, error_document};

/// Prints the log lines about a request in the order of causes, with the time since the first one, and
/// which clocks contradict them.
pub fn run(id: &CompactString, files: &[CompactString]) -> CommandResult {
    let logs: Result<Vec<String>, CommandError> = files.iter().map(read_log).collect();
    let trace = trace_request(&logs?, id);
    let mut document = json!({"id": id, "lines": trace.lines, "clocks": trace.skews});
    if trace.lines.is_empty() {
        let message = format!("no log line about request {id} in {} files", files.len());
        document["error"] = error_document(&CommandError::bad_input(message.clone()));
        return Ok(CommandReport::with_exit(
            ExitKind::BadInput,
            message,
            document,
        ));
    }
    let mut times = trace.times.iter();
    let start = times.find_map(|time| *time).unwrap_or_default();
    let lines = trace.lines.iter().zip(&trace.times);
    let lines = lines.map(|(line, time)| format_line(line, *time, start));
    let text: Vec<String> = lines.chain(trace.skews.iter().map(format_skew)).collect();
    Ok(CommandReport::done(text.join("\n"), document))
}

/// Reads a log file. Invalid UTF-8, as left by a process that was killed while writing a line, is
/// replaced so that the other lines can still be read.
fn read_log(file: &CompactString) -> Result<String, CommandError> {
    let bytes = std::fs::read(file)
        .map_err(|error| CommandError::bad_input(format!("{file}: cannot be read: {error}")))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn format_line(line: &TraceLine, time: Option<f64>, start: f64) -> String {
    let time = time.map_or("?".to_owned(), |time| format!("+{:.3}", time - start));
    format!("{time} {} {}", line.node, line.text)
}

fn format_skew(skew: &ClockSkew) -> String {
    let (node, reference, seconds) = (&skew.node, &skew.reference, skew.ahead.abs());
    let side = if skew.ahead > 0.0 {
        "ahead of"
    } else {
        "behind"
    };
    format!("clocks: {node} is at least {seconds:.3} s {side} {reference}")
}
