//! Tracking of the requests that run at the local target and of the calls that they make. If such a
//! call is refused, the whole run of the request that made it is wasted. See `docs/platform.md`,
//! section 6.

use std::collections::HashMap;

use apricotfold_model::CallPriority;
use compact_str::CompactString;

/// Request id set by the caller.
pub type RunId = CompactString;

/// A request running at the local target.
#[derive(Clone, Copy, Debug)]
struct LocalRun {
    priority: CallPriority,
    repeat: bool,
    /// Number of concurrent runs of the same request; retries may overlap.
    count: u32,
    calls: NestedCapacity,
    /// Whether a call made by it has ended without an answer.
    lost_call: bool,
}

/// Capacity found by the calls of a run, the worst last.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum NestedCapacity {
    /// Free capacity, or no calls were made.
    #[default]
    Room,
    /// Calls were queued at their targets.
    Queue,
    /// A call was refused for lack of capacity.
    Refusal,
}

/// Properties of the run that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSummary {
    /// Priority of its request.
    pub priority: CallPriority,
    /// Whether its request was run before, so that its calls count as retries too.
    pub repeat: bool,
}

/// Requests that run at the local target, used to identify the calls that they make.
#[derive(Clone, Debug, Default)]
pub struct LocalRuns {
    runs: HashMap<RunId, LocalRun>,
}

impl LocalRuns {
    /// Records that a request is forwarded to the target.
    pub fn begin(&mut self, id: &RunId, summary: RunSummary) {
        let run = self.runs.entry(id.clone()).or_insert(LocalRun {
            priority: summary.priority,
            repeat: false,
            count: 0,
            calls: NestedCapacity::Room,
            lost_call: false,
        });
        run.count += 1;
        run.repeat |= summary.repeat;
    }

    /// Records the end of a run. Returns the worst capacity that its calls found.
    pub fn end(&mut self, id: &RunId) -> NestedCapacity {
        let Some(run) = self.runs.get_mut(id) else {
            return NestedCapacity::Room;
        };
        let calls = run.calls;
        run.count -= 1;
        if run.count == 0 {
            self.runs.remove(id);
        }
        calls
    }

    /// Returns the run that made a call, identified by the parent's request id.
    #[must_use]
    pub fn find(&self, parent: &str) -> Option<RunSummary> {
        self.runs.get(parent).map(|run| RunSummary {
            priority: run.priority,
            repeat: run.repeat,
        })
    }

    /// Records that a call of a run has ended without an answer.
    pub fn note_lost_call(&mut self, parent: &str) {
        if let Some(run) = self.runs.get_mut(parent) {
            run.lost_call = true;
        }
    }

    /// Returns whether a call of a run has ended without an answer. The run will most likely fail,
    /// so that retrying its other calls is useless.
    #[must_use]
    pub fn has_lost_call(&self, parent: &str) -> bool {
        self.runs.get(parent).is_some_and(|run| run.lost_call)
    }

    /// Records the capacity that a call of a run found.
    pub fn note_call(&mut self, parent: &str, met: NestedCapacity) {
        if let Some(run) = self.runs.get_mut(parent) {
            run.calls = run.calls.max(met);
        }
    }
}
