//! Applies the learned concurrency limit of the local target. See `docs/design/target-pace.md`.

use std::time::{Duration, Instant};

use apricotfold_model::log_event;
use apricotfold_policy::{CallStanding, EndedRun, RunEnd, TargetPace, WorkKind};
use http::StatusCode;

use crate::connection_pool::SendFailure;
use crate::engine::Engine;
use crate::target_call::CallContext;

impl Engine {
    /// Takes over the slots that the local target announces. What is known of an earlier incarnation
    /// does not hold for a new one.
    pub fn pace_announced_target(&self, slots: u32, new_incarnation: bool) {
        if new_incarnation {
            *self.target_pace() = TargetPace::new(slots);
        } else {
            self.target_pace().set_slots(slots);
        }
        self.apply_pace();
    }

    /// Takes an ended run at the local target into account.
    pub fn record_run(&self, context: &CallContext, started: Instant, end: RunEnd) {
        if !self.config.load().pace_targets {
            // The setting may just have been switched off.
            self.apply_pace();
            return;
        }
        let run = EndedRun {
            kind: WorkKind {
                class: context.class,
                repeat: context.repeat,
                nested: context.standing == CallStanding::Nested,
            },
            started,
            running: self.admission.running(),
            end,
        };
        let change = self.target_pace().record(run, Instant::now());
        if let Some(change) = change {
            let (instance, from, to) = (&context.instance, change.from, change.to);
            let reason = change.reason;
            log_event!(
                info,
                TargetPaceChanged,
                "{instance} {to} at once, before {from}: {reason}"
            );
        }
        self.apply_pace();
    }

    /// Returns the learned limit; `None` if the setting is off.
    pub fn run_limit(&self) -> Option<u32> {
        let paced = self.config.load().pace_targets;
        paced.then(|| self.target_pace().limit())
    }

    fn apply_pace(&self) {
        self.admission.set_run_limit(self.run_limit());
    }
}

/// Returns how a run ended whose answer has arrived after `service`.
pub fn answered_end(status: StatusCode, not_run: bool, service: Duration) -> RunEnd {
    if not_run {
        RunEnd::Rejected
    } else if status.is_server_error() {
        RunEnd::Failed
    } else {
        RunEnd::Answered(service)
    }
}

/// Returns how a run ended that got no answer for `elapsed`.
pub fn failed_end(failure: &SendFailure, elapsed: Duration) -> RunEnd {
    match failure {
        SendFailure::NotSent(_) | SendFailure::Lost(_) => RunEnd::Rejected,
        SendFailure::TimedOut => RunEnd::Silent(elapsed),
    }
}
