//! Settles a candidate write whose answer was lost.

use apricotfold_model::log_event;
use apricotfold_store::{LeaseId, StoreError};

use super::{CandidateStatus, OwnCandidate, Publisher, candidate_status};
use crate::{CommandError, ExitKind, StoreRetry, read_view};

impl Publisher<'_> {
    /// Finds out by reading whether a candidate was written although the answer was lost.
    ///
    /// A write that is not visible may still be on its way. Its lease is therefore ended before it
    /// counts as not written: the store refuses a write that names an ended lease.
    pub(super) async fn resolve_lost_response(
        &mut self,
        own: &OwnCandidate,
        lease: LeaseId,
        error: &StoreError,
    ) -> Result<CandidateStatus, CommandError> {
        let mut retry = self.retry.extended(self.timeouts.decision);
        let result = self.resolve_with(&mut retry, own, lease).await;
        match &result {
            Ok(candidate_status) => log_event!(
                info,
                LostAnswerSettled,
                "publish {} of {}: {candidate_status:?}",
                own.publish_id,
                self.request.profile
            ),
            Err(second) => log::warn!("{second}"),
        }
        result.map_err(|_| self.outcome_unknown(own, &error.to_string()))
    }

    async fn resolve_with(
        &self,
        retry: &mut StoreRetry<'_>,
        own: &OwnCandidate,
        lease: LeaseId,
    ) -> Result<CandidateStatus, CommandError> {
        let view = read_view(retry, &self.request.profile).await?;
        let found = candidate_status(&view, own);
        if !matches!(found, CandidateStatus::Absent | CandidateStatus::Lost(_)) {
            return Ok(found);
        }
        ensure_lease_ended(retry, lease).await?;
        let view = read_view(retry, &self.request.profile).await?;
        Ok(candidate_status(&view, own))
    }

    /// The error when the store stopped answering after a candidate may have been written.
    pub(super) fn outcome_unknown(&self, own: &OwnCandidate, cause: &str) -> CommandError {
        let message = format!(
            "{}: outcome of version {} (publish {}) is not known: {cause}; `apricotfold show {}` \
             tells it once the store answers",
            self.request.profile, own.version, own.publish_id, self.request.profile
        );
        CommandError::new(ExitKind::Undecided, message)
    }
}

/// Makes sure that a lease has ended. A revocation whose own answer was lost fails when repeated,
/// so the time that the lease has left is asked for.
async fn ensure_lease_ended(
    retry: &mut StoreRetry<'_>,
    lease: LeaseId,
) -> Result<(), CommandError> {
    retry
        .run(|store| async move {
            let Err(error) = store.revoke(lease).await else {
                return Ok(());
            };
            match store.keep_alive(lease).await {
                Ok(left) if left.is_zero() => Ok(()),
                _ => Err(error),
            }
        })
        .await
}
