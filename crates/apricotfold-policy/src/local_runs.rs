//! Load pattern: a service whose requests call another service. A call that is refused wastes the
//! whole run of the request that made it. See `docs/platform.md`, section 6.

use std::collections::HashMap;

use apricotfold_model::CallPriority;
use compact_str::CompactString;

/// Id of a request, as its caller chose it.
pub type RunId = CompactString;

/// A request that runs at the local target.
#[derive(Clone, Copy, Debug)]
struct LocalRun {
    priority: CallPriority,
    repeat: bool,
    /// Processes of the same request that run at once: repeats may overlap.
    count: u32,
    calls: NestedCapacity,
    /// A call that it made has ended without an answer.
    lost_call: bool,
}

/// What the calls of a run met, the worst last.
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
    /// Room, or it made none.
    #[default]
    Room,
    /// Targets with a queue.
    Queue,
    /// A refusal for lack of room.
    Refusal,
}

/// What is known about the run that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSummary {
    /// Its priority.
    pub priority: CallPriority,
    /// It is a further run of its request, so that its calls count as repeats, too.
    pub repeat: bool,
}

/// Requests that run at the local target, by which the calls that they make are recognised.
#[derive(Clone, Debug, Default)]
pub struct LocalRuns {
    runs: HashMap<RunId, LocalRun>,
}

impl LocalRuns {
    /// Notes that a request is handed to the target.
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

    /// Notes the end of a run. Returns what its calls met.
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

    /// Finds the run that made a call.
    #[must_use]
    pub fn find(&self, parent: &str) -> Option<RunSummary> {
        self.runs.get(parent).map(|run| RunSummary {
            priority: run.priority,
            repeat: run.repeat,
        })
    }

    /// Notes that a call of a run has ended without an answer.
    pub fn note_lost_call(&mut self, parent: &str) {
        if let Some(run) = self.runs.get_mut(parent) {
            run.lost_call = true;
        }
    }

    /// Tells whether a run has lost a call. It will most likely fail, so that repeats of its other
    /// calls are of no use to it.
    #[must_use]
    pub fn has_lost_call(&self, parent: &str) -> bool {
        self.runs.get(parent).is_some_and(|run| run.lost_call)
    }

    /// Notes what a call of a run met.
    pub fn note_call(&mut self, parent: &str, met: NestedCapacity) {
        if let Some(run) = self.runs.get_mut(parent) {
            run.calls = run.calls.max(met);
        }
    }
}
