//! Waits until relays have decided on a candidate.

use std::time::Duration;

use apricotfold_model::{OutcomeEntry, keys};
use apricotfold_store::{Compare, Revision, StoreTxn, WatchEvent, WatchStream};
use futures_util::StreamExt;
use tokio::time::{Instant, timeout};

use super::{CandidateStatus, OwnCandidate, Publisher, candidate_status};
use crate::{
    CommandError, ExitKind, ProfileView, StoreRetry, read_candidate, read_entry, read_view,
};

/// Interval of reads while a watch is open. They detect an expired candidate and a watch that has
/// stalled without an error.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of reads without a watch. Each read is a call that the store has to serve.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time during which the removal of an undecided candidate is retried.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Describes a candidate that expired, or whose removal took effect although the response was lost.
const CANDIDATE_GONE: &str = "its candidate no longer exists";

impl Publisher<'_> {
    /// Waits for the decision on the candidate, and removes the candidate when the decision timeout
    /// passes first.
    pub(super) async fn await_decision(
        &mut self,
        own: &OwnCandidate,
        revision: Revision,
    ) -> Result<CandidateStatus, CommandError> {
        let deadline = Instant::now() + self.timeouts.decision;
        let mut watch = self.watch_outcome(revision).await;
        loop {
            if let Some(outcome) = next_outcome(&mut watch, own, deadline).await {
                let view = ProfileView {
                    outcome: Some(outcome),
                    ..ProfileView::default()
                };
                return Ok(candidate_status(&view, own));
            }
            let found = self.read_status(own).await;
            match found {
                Ok(CandidateStatus::Pending { .. }) if Instant::now() < deadline => {}
                Ok(CandidateStatus::Pending { revision }) => {
                    return self.remove_candidate(own, revision).await;
                }
                Ok(CandidateStatus::Absent) => return Err(self.undecided(own, CANDIDATE_GONE)),
                Ok(decided) => return Ok(decided),
                Err(error) if Instant::now() >= deadline && self.retry.is_expired() => {
                    return Err(self.outcome_unknown(own, &error.message));
                }
                Err(error) => log::info!("{error}"),
            }
        }
    }

    /// Opens a watch on the outcome; `None` when the store refuses it and the caller has to poll.
    async fn watch_outcome(&self, revision: Revision) -> Option<WatchStream> {
        let key = keys::outcome(&self.request.profile);
        let watch = self.retry.store.watch(&key, revision).await;
        watch
            .inspect_err(|error| log::info!("watch failed, polling instead: {error}"))
            .ok()
    }

    /// Reads the status of the candidate without retries. While the candidate is pending this takes
    /// a single read; the outcome and the head are read only once the candidate no longer exists.
    async fn read_status(&self, own: &OwnCandidate) -> Result<CandidateStatus, CommandError> {
        let mut once = StoreRetry::new(self.retry.store, 1, Duration::ZERO);
        match read_candidate(&mut once, &self.request.profile).await? {
            Some((candidate, revision)) if candidate.publish_id == own.publish_id => {
                return Ok(CandidateStatus::Pending { revision });
            }
            _ => {}
        }
        let view = read_view(&mut once, &self.request.profile).await?;
        Ok(candidate_status(&view, own))
    }

    /// Removes the candidate if it is still pending. The transaction compares the candidate's
    /// revision, so either this removal or a concurrent decision of a relay takes effect, never
    /// both.
    async fn remove_candidate(
        &mut self,
        own: &OwnCandidate,
        revision: Revision,
    ) -> Result<CandidateStatus, CommandError> {
        let key = keys::candidate(&self.request.profile);
        let compare = Compare::ModRevision {
            key: key.clone(),
            revision,
        };
        let txn = StoreTxn::default().when(compare).delete(key);
        let mut retry = self.retry.extended(REMOVAL_TIMEOUT);
        let removal = retry.run(|store| store.commit(&txn)).await;
        let view = match removal {
            Ok(answer) if answer.succeeded => {
                return Err(self.undecided(own, "its candidate has been removed"));
            }
            Ok(_) => read_view(&mut retry, &self.request.profile).await,
            Err(error) => Err(error),
        };
        let view = view.map_err(|error| self.outcome_unknown(own, &error.message))?;
        match candidate_status(&view, own) {
            CandidateStatus::Absent => Err(self.undecided(own, CANDIDATE_GONE)),
            decided => Ok(decided),
        }
    }

    fn undecided(&self, own: &OwnCandidate, candidate_state: &str) -> CommandError {
        let message = format!(
            "{}: no relay decided on version {} (publish {}) in time; {candidate_state} and \
             the head is unchanged",
            self.request.profile, own.version, own.publish_id
        );
        CommandError::new(ExitKind::Undecided, message)
    }
}

/// Waits for the candidate's outcome on the watch; `None` when it is time for a read.
async fn next_outcome(
    watch: &mut Option<WatchStream>,
    own: &OwnCandidate,
    deadline: Instant,
) -> Option<OutcomeEntry> {
    let left = deadline.saturating_duration_since(Instant::now());
    let Some(stream) = watch else {
        tokio::time::sleep(POLL_INTERVAL).await;
        return None;
    };
    // Past the deadline, the wait only continues while the store is unavailable.
    let pause = left.clamp(POLL_INTERVAL, CHECK_INTERVAL);
    match timeout(pause, find_outcome(stream, own)).await {
        Ok(Some(outcome)) => Some(outcome),
        Ok(None) => {
            *watch = None;
            None
        }
        Err(_) => None,
    }
}

/// Reads the watch until it delivers the candidate's outcome; `None` when the watch has ended.
async fn find_outcome(stream: &mut WatchStream, own: &OwnCandidate) -> Option<OutcomeEntry> {
    while let Some(batch) = stream.next().await {
        let batch = batch.inspect_err(|error| log::info!("{error}")).ok()?;
        let puts = batch.events.iter().filter_map(|event| match event {
            WatchEvent::Put(entry) => read_entry::<OutcomeEntry>(entry).ok(),
            WatchEvent::Delete(_) => None,
        });
        let mut ours = puts.filter(|outcome| outcome.publish_id == own.publish_id);
        if let Some(outcome) = ours.next() {
            return Some(outcome);
        }
    }
    None
}
