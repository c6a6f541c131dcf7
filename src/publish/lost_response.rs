//! Determines the effect of a candidate write whose response was lost.

use apricotfold_model::log_event;
use apricotfold_store::{LeaseId, StoreError};

use super::{CandidateStatus, OwnCandidate, Publisher, candidate_status};
use crate::{CommandError, ExitKind, StoreRetry, read_view};

impl Publisher<'_> {
    /// Reads the store to determine whether a candidate was written although the response was lost.
    ///
    /// A write that is not visible yet may still be in flight. Its lease is therefore revoked
    /// before the candidate is treated as not written: the store rejects a write with a revoked
    /// lease.
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

    /// Builds the error for a store that became unavailable after a candidate may have been
    /// written.
    pub(super) fn outcome_unknown(&self, own: &OwnCandidate, cause: &str) -> CommandError {
        let message = format!(
            "{}: outcome of version {} (publish {}) is not known: {cause}; run `apricotfold show \
             {}` once the store is available",
            self.request.profile, own.version, own.publish_id, self.request.profile
        );
        CommandError::new(ExitKind::Undecided, message)
    }
}

/// Revokes a lease, or confirms that it no longer exists. A retry of a revocation whose response
/// was lost fails, so the remaining time of the lease is queried as well.
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
