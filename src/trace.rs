//! Follows one request through the logs of several nodes. See `docs/OPERATIONS.md`.

use compact_str::CompactString;

/// Start of the fields that order and place a line.
const TIME_FIELD: &str = "ts=";
const NODE_FIELD: &str = "node=";

/// One line about a request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TraceLine {
    /// Seconds since the epoch, by the node's clock; `None` when the line does not say it.
    pub time: Option<f64>,
    /// The node; empty when the line does not say it.
    pub node: CompactString,
    /// Event and text.
    pub text: CompactString,
}

/// Finds the lines about a request, and about the calls that its target made for it, in the order
/// of their times. Calls carry the request's id with a dot and an id of their own behind it.
#[must_use]
pub fn trace_request(logs: &[String], id: &str) -> Vec<TraceLine> {
    let mut lines: Vec<TraceLine> = logs
        .iter()
        .flat_map(|log| log.lines())
        .filter(|line| mentions_request(line, id))
        .map(TraceLine::from)
        .collect();
    // Lines without a time keep their place at the front, in the order of the files.
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
