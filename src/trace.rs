//! Traces a request through the logs of several nodes. See `docs/OPERATIONS.md`.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::trace_order::{CauseGraph, ClockSkew};

/// Prefixes of the fields at the start of a line, and of the request's id.
const TIME_FIELD: &str = "ts=";
const UP_FIELD: &str = "up=";
const NODE_FIELD: &str = "node=";
const ID_FIELD: &str = "id=";

/// Log line about the traced request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TraceLine {
    /// Seconds since the Unix epoch by the node's clock; `None` when the line has no time.
    pub time: Option<f64>,
    /// Seconds since the node's process started; `None` when the line does not say.
    pub up: Option<f64>,
    /// Node that wrote the line; empty when the line names none.
    pub node: CompactString,
    /// Id of the request, or of a call that its target made to serve it.
    pub id: CompactString,
    /// Line from its event code on; the whole line when it has none.
    pub text: CompactString,
}

/// Lines about a request in the order of causes, with what they show of the nodes' clocks.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestTrace {
    /// Lines about the request and the calls that its target made to serve it.
    pub lines: Vec<TraceLine>,
    /// Seconds on a common clock, one for each line; `None` for a line without a time.
    pub times: Vec<Option<f64>>,
    /// Nodes whose clocks cannot both be right, with the least difference that explains the lines.
    pub skews: Vec<ClockSkew>,
}

/// Returns the lines about a request, and about the calls that its target made to serve it. The id of
/// such a call is the request's id, followed by a dot and the call's own id.
///
/// Clocks of nodes differ and jump, so times only order lines that no cause orders: lines of a process
/// follow each other, what a node reports of another comes after it, and a request is over after the
/// calls that were made for it.
#[must_use]
pub fn trace_request(logs: &[String], id: &str) -> RequestTrace {
    let lines: Vec<TraceLine> = logs
        .iter()
        .flat_map(|log| log.lines())
        .filter(|line| mentions_request(line, id))
        .map(TraceLine::from)
        .collect();
    let steady = steady_times(&lines);
    let sorted = CauseGraph::new(&lines, &steady).sort();
    let shifted = |index: &usize| {
        let time = steady[*index];
        time.map(|time| time.seconds + sorted.shifts[time.clock])
    };
    let order = &sorted.order;
    RequestTrace {
        times: order.iter().map(shifted).collect(),
        lines: order.iter().map(|index| lines[*index].clone()).collect(),
        skews: sorted.skews,
    }
}

/// Time of a line on the clock of one process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SteadyTime {
    /// Index of the process among those that wrote lines.
    pub(crate) clock: usize,
    /// Seconds: the process's first time of day, plus the steady time since.
    pub(crate) seconds: f64,
}

/// First line of a process.
struct ProcessStart {
    clock: usize,
    time: f64,
    up: Option<f64>,
    last_up: Option<f64>,
}

/// Dates each line by the first time of day of its process and the steady time since, so that a clock
/// that jumps between two lines does not matter.
fn steady_times(lines: &[TraceLine]) -> Vec<Option<SteadyTime>> {
    let mut starts: BTreeMap<&str, ProcessStart> = BTreeMap::new();
    let mut clocks = 0;
    let mut dated = Vec::with_capacity(lines.len());
    for line in lines {
        let Some(time) = line.time else {
            dated.push(None);
            continue;
        };
        let known = starts.get_mut(line.node.as_str());
        // A process that was started again counts from zero.
        let known = known.filter(|start| line.up >= start.last_up);
        let start = if let Some(start) = known {
            start
        } else {
            let start = ProcessStart {
                clock: clocks,
                time,
                up: line.up,
                last_up: line.up,
            };
            clocks += 1;
            starts.insert(&line.node, start);
            starts.get_mut(line.node.as_str()).expect("just inserted")
        };
        start.last_up = line.up;
        let seconds = match (start.up, line.up) {
            (Some(first), Some(up)) => start.time + up - first,
            _ => time,
        };
        dated.push(Some(SteadyTime {
            clock: start.clock,
            seconds,
        }));
    }
    dated
}

fn mentions_request(line: &str, id: &str) -> bool {
    let words = line.split_ascii_whitespace();
    let mut ids = words.filter_map(|word| word.strip_prefix(ID_FIELD));
    ids.any(|found| is_part(found, id))
}

/// Returns whether an id is a request's, or that of a call made to serve it.
pub(crate) fn is_part(found: &str, id: &str) -> bool {
    let rest = found.strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
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
            up: field(UP_FIELD).and_then(|up| up.parse().ok()),
            node: field(NODE_FIELD).unwrap_or_default().into(),
            id: field(ID_FIELD).unwrap_or_default().into(),
            text: text.unwrap_or(line).into(),
        }
    }
}
