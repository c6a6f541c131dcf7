//! Order of log lines by what caused what. See `docs/OPERATIONS.md`.

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::trace::{SteadyTime, TraceLine, is_part};

/// Seconds below which clocks count as equal: times in lines are rounded to milliseconds.
const MIN_SKEW: f64 = 0.002;

/// Clocks of two nodes that cannot both be right.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClockSkew {
    /// Node whose clock is compared.
    pub node: CompactString,
    /// Node where the request entered.
    pub reference: CompactString,
    /// Least number of seconds by which the node's clock is ahead; negative if it is behind.
    pub ahead: f64,
}

/// Lines and the causes among them.
pub(crate) struct CauseGraph<'a> {
    lines: &'a [TraceLine],
    times: &'a [Option<SteadyTime>],
    /// Pairs of a line and one that it precedes.
    edges: Vec<(usize, usize)>,
}

/// Result of [`CauseGraph::sort`].
pub(crate) struct SortedLines {
    /// Indices of the lines.
    pub(crate) order: Vec<usize>,
    /// Clocks that contradict the causes.
    pub(crate) skews: Vec<ClockSkew>,
    /// Seconds that must be added to each clock so that none does.
    pub(crate) shifts: Vec<f64>,
}

/// Indices of lines.
type LineIndices = SmallVec<[usize; 8]>;

impl<'a> CauseGraph<'a> {
    pub(crate) fn new(lines: &'a [TraceLine], times: &'a [Option<SteadyTime>]) -> Self {
        let mut graph = Self {
            lines,
            times,
            edges: Vec::new(),
        };
        graph.add_node_order();
        let entries: Vec<usize> = (0..lines.len())
            .filter(|index| graph.is_final(*index))
            .collect();
        for entry in entries {
            graph.add_hops(entry);
            graph.add_nested(entry);
        }
        graph
    }

    /// Returns whether a line tells how a request ended where it entered.
    fn is_final(&self, index: usize) -> bool {
        let text = &self.lines[index].text;
        (text.starts_with("AF3011") || text.starts_with("AF3003")) && text.contains(" route ")
    }

    /// Adds that the lines of a node follow each other as they were written.
    fn add_node_order(&mut self) {
        for index in 0..self.lines.len() {
            let node = &self.lines[index].node;
            let mut later = index + 1..self.lines.len();
            let next = later.find(|other| !node.is_empty() && self.lines[*other].node == *node);
            self.edges.extend(next.map(|next| (index, next)));
        }
    }

    /// Adds what the entry node's lines say of the other nodes: a node is asked after the line before
    /// the one that first names it, and has ended its part before the last one that does.
    fn add_hops(&mut self, entry: usize) {
        let own = &self.lines[entry];
        let lines = 0..self.lines.len();
        let (entry_lines, others): (LineIndices, LineIndices) = lines
            .filter(|index| self.lines[*index].id == own.id)
            .partition(|index| self.lines[*index].node == own.node);
        for index in others {
            let node = self.lines[index].node.as_str();
            let names = |line: &&usize| mentions_node(&self.lines[**line].text, node);
            let first = entry_lines.iter().position(|line| names(&line));
            if let Some(before) = first.and_then(|first| first.checked_sub(1)) {
                self.edges.push((entry_lines[before], index));
            }
            if let Some(last) = entry_lines.iter().rev().find(names) {
                self.edges.push((index, *last));
            }
        }
    }

    /// Adds that a request ends after the calls that were made for it.
    fn add_nested(&mut self, entry: usize) {
        let id = &self.lines[entry].id;
        let is_nested = |line: &TraceLine| line.id != *id && is_part(&line.id, id);
        let nested = (0..self.lines.len()).filter(|index| is_nested(&self.lines[*index]));
        self.edges.extend(nested.map(|index| (index, entry)));
    }

    /// Sorts the lines so that none comes before its cause.
    pub(crate) fn sort(&self) -> SortedLines {
        let shifts = self.clock_shifts();
        let time = |index: usize| {
            let time = self.times[index];
            time.map(|time| time.seconds + shifts[time.clock])
        };
        let mut open: Vec<usize> = (0..self.lines.len()).collect();
        let mut order = Vec::with_capacity(open.len());
        while !open.is_empty() {
            let is_free = |index: &usize| {
                let mut causes = self.edges.iter().filter(|(_, later)| later == index);
                !causes.any(|(cause, _)| open.contains(cause))
            };
            let by_time = |left: &usize, right: &usize| {
                let value = |index: usize| time(index).unwrap_or_default();
                value(*left).total_cmp(&value(*right))
            };
            let free = open.iter().copied().filter(is_free).min_by(by_time);
            // Lines that contradict each other are ordered by time.
            let next = free.or_else(|| open.iter().copied().min_by(by_time));
            let Some(next) = next else { break };
            open.retain(|index| *index != next);
            order.push(next);
        }
        SortedLines {
            order,
            skews: self.skews(&shifts),
            shifts,
        }
    }

    /// Returns the least shifts of clocks under which no line comes before its cause.
    fn clock_shifts(&self) -> Vec<f64> {
        let clocks = self.times.iter().flatten().map(|time| time.clock + 1).max();
        let mut shifts = vec![0.0; clocks.unwrap_or(0)];
        // Each round settles at least one more clock, unless lines contradict each other.
        for _ in 0..shifts.len() {
            for (cause, later) in self.bounds() {
                let excess =
                    (cause.seconds + shifts[cause.clock]) - (later.seconds + shifts[later.clock]);
                if excess > 0.0 && cause.clock != later.clock {
                    shifts[cause.clock] -= excess;
                }
            }
        }
        shifts
    }

    /// Times of which the first cannot be after the second: causes, and the starts of requests that
    /// lines tell by how long they took.
    fn bounds(&self) -> impl Iterator<Item = (SteadyTime, SteadyTime)> + '_ {
        let pair =
            |(cause, later): &(usize, usize)| Some((self.times[*cause]?, self.times[*later]?));
        let causes = self.edges.iter().filter_map(pair);
        let finals = (0..self.lines.len()).filter(|index| self.is_final(*index));
        let starts = finals.filter_map(|index| {
            let end = self.times[index]?;
            let seconds = end.seconds - taken_seconds(&self.lines[index].text)?;
            Some((index, SteadyTime { seconds, ..end }))
        });
        let starts = starts.flat_map(move |(entry, start)| {
            let id = &self.lines[entry].id;
            let lines = 0..self.lines.len();
            let lines = lines.filter(move |index| is_part(&self.lines[*index].id, id));
            lines.filter_map(move |index| Some((start, self.times[index]?)))
        });
        causes.chain(starts)
    }

    fn skews(&self, shifts: &[f64]) -> Vec<ClockSkew> {
        let entry = (0..self.lines.len())
            .filter(|index| self.is_final(*index))
            .min_by_key(|index| self.lines[*index].id.len());
        let Some((entry, reference)) = entry.and_then(|entry| Some((entry, self.times[entry]?)))
        else {
            return Vec::new();
        };
        let mut skews: Vec<ClockSkew> = Vec::new();
        for (line, time) in self.lines.iter().zip(self.times) {
            let Some(time) = time else { continue };
            let ahead = shifts[reference.clock] - shifts[time.clock];
            let known = skews.iter().any(|skew| skew.node == line.node);
            if ahead.abs() >= MIN_SKEW && !known {
                skews.push(ClockSkew {
                    node: line.node.clone(),
                    reference: self.lines[entry].node.clone(),
                    ahead,
                });
            }
        }
        skews
    }
}

/// Returns whether a text names a node, perhaps in quotes or brackets.
fn mentions_node(text: &str, node: &str) -> bool {
    let is_edge = |letter: char| "[]\",".contains(letter);
    !node.is_empty()
        && text
            .split_ascii_whitespace()
            .any(|word| word.trim_matches(is_edge) == node)
}

/// Returns the seconds that a request took by the word after `after`, as `228.1ms` or `1.2s`.
fn taken_seconds(text: &str) -> Option<f64> {
    let mut words = text.split_ascii_whitespace().rev();
    let mut last = "";
    let taken = words.find_map(|word| {
        let found = (word == "after").then_some(last);
        last = word;
        found
    })?;
    let taken = taken.trim_end_matches(',');
    let units = [("ms", 1e-3), ("µs", 1e-6), ("ns", 1e-9), ("s", 1.0)];
    units.iter().find_map(|(unit, factor)| {
        let number: f64 = taken.strip_suffix(unit)?.parse().ok()?;
        Some(number * factor)
    })
}
