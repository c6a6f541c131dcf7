//! Traces a request through the logs of several nodes. See `docs/OPERATIONS.md`.

use compact_str::CompactString;

/// Prefixes of the fields that hold a line's time and node.
const TIME_FIELD: &str = "ts=";
const NODE_FIELD: &str = "node=";

/// Log line about the traced request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TraceLine {
    /// Seconds since the Unix epoch by the node's clock; `None` when the line has no time.
    pub time: Option<f64>,
    /// Node that wrote the line; empty when the line names none.
    pub node: CompactString,
    /// Line from its event code on; the whole line when it has none.
    pub text: CompactString,
}

/// Returns the lines about a request, and about the calls that its target made to serve it, sorted
/// by time. The id of such a call is the request's id, followed by a dot and the call's own id.
#[must_use]
pub fn trace_request(logs: &[String], id: &str) -> Vec<TraceLine> {
    let mut lines: Vec<TraceLine> = logs
        .iter()
        .flat_map(|log| log.lines())
        .filter(|line| mentions_request(line, id))
        .map(TraceLine::from)
        .collect();
    // The sort is stable: lines without a time come first, in the order of the files.
    lines.sort_by(|left, right| {
        let time = |line: &TraceLine| line.time.unwrap_or_default();
        time(left).total_cmp(&time(right))
    });
    lines
}

fn mentions_request(line: &str, id: &str) -> bool {
    let words = line.split_ascii_whitespace();
    let mut ids = words.filter_map(|word| word.strip_prefix("id="));
    ids.any(|found| {
        let rest = found.strip_prefix(id);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    })
}

impl From<&str> for TraceLine {
    fn from(line: &str) -> Self {
        let field = |name: &str| {
            let mut words = line.split_ascii_whitespace();
            words.find_map(|word| word.strip_prefix(name))
        };
        let text = line.find("AF").and_then(|start| line.get(start..));
        Self {
            time: field(TIME_FIELD).and_then(|time| time.parse().ok()),
            node: field(NODE_FIELD).unwrap_or_default().into(),
            text: text.unwrap_or(line).into(),
        }
    }
}
