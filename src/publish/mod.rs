//! Publishes and withdraws profiles. See `docs/design.md`, section 4.2.

mod decision;
mod lost_response;
mod report;
mod wait;

use std::time::Duration;

use apricotfold_model::{CandidateEntry, NodeRefusal, ProfileVersion, PublishId, keys};
use apricotfold_store::{Compare, ConfigStore, LeaseId, StoreTxn, TxnResponse, WriteEffect};
use compact_str::format_compact;
use rand::RngExt;
use rand::rngs::StdRng;

pub use decision::{
    CandidateStatus, OwnCandidate, RaceWinner, candidate_status, highest_known_version,
    next_version,
};
pub use report::{
    PublishContent, PublishOutcome, PublishReport, PublishRequest, PublishTimeouts, RaceReport,
};

use crate::{
    CommandError, ErrorDetail, ExitKind, ProfileView, StoreRetry, content_differences, read_bundle,
    read_view,
};

/// Time after which a candidate without a decision expires.
const CANDIDATE_LEASE: Duration = Duration::from_secs(15);

/// Publishes one change of a profile. At most one candidate of this command is in the store at any
/// time.
pub struct Publisher<'a> {
    request: &'a PublishRequest,
    timeouts: PublishTimeouts,
    retry: StoreRetry<'a>,
}

/// Result of publishing one candidate.
enum AttemptResult {
    Accepted(Option<u32>),
    Rejected(u32, Vec<NodeRefusal>),
    /// The candidate was not written and cannot appear later.
    NotWritten,
}

impl<'a> Publisher<'a> {
    /// Creates a publisher without contacting the store. The time for retries starts now.
    #[must_use]
    pub fn new(
        store: &'a dyn ConfigStore,
        request: &'a PublishRequest,
        timeouts: PublishTimeouts,
    ) -> Self {
        Self {
            request,
            timeouts,
            retry: StoreRetry::new(store, timeouts.min_attempts, timeouts.wait),
        }
    }

    /// Publishes and waits for the decision.
    ///
    /// # Errors
    ///
    /// Returns why the content did not become the head, or that the outcome is not known.
    pub async fn run(&mut self) -> Result<PublishReport, CommandError> {
        let view = read_view(&mut self.retry, &self.request.profile).await?;
        if let Some(report) = self.unchanged(&view) {
            return Ok(report);
        }
        if self.request.content.json().is_none() && view.head.is_none() {
            let message = format!("{}: never published", self.request.profile);
            return Err(CommandError::bad_input(message));
        }
        if let Some(candidate) = &view.candidate {
            return Err(self.lost_race(Some(candidate.into())).await);
        }
        self.write_bundle().await?;
        self.submit_candidates(&view).await
    }

    /// Returns a report when the head already has the requested content.
    fn unchanged(&self, view: &ProfileView) -> Option<PublishReport> {
        let content = &self.request.content;
        let head = &view.head.as_ref()?.entry;
        (head.state == content.state() && head.digest == content.digest()).then(|| PublishReport {
            profile: self.request.profile.clone(),
            outcome: PublishOutcome::Unchanged,
            version: head.version,
            state: head.state,
            digest: head.digest.clone(),
            publish_id: head.publish_id.clone(),
            prepared: None,
        })
    }

    /// Writes the bundle unless it exists. A lost response needs no special handling: the key is
    /// the digest of the content, so a retry finds either no entry or the same content.
    async fn write_bundle(&mut self) -> Result<(), CommandError> {
        let Some(json) = self.request.content.json() else {
            return Ok(());
        };
        let key = keys::bundle(&self.request.content.digest());
        let txn = StoreTxn::default()
            .when(Compare::Absent { key: key.clone() })
            .put(&key, json);
        let answer = self.retry.run(|store| store.commit(&txn)).await?;
        let corrupt = answer.found.iter().any(|entry| entry.value != json);
        if corrupt {
            let message = format!("store entry {key} has content that does not match its digest");
            return Err(CommandError::new(ExitKind::Unavailable, message));
        }
        Ok(())
    }

    /// Writes candidates until one is decided. When every refusing node knows a higher version, one
    /// more candidate is written with a version above it.
    async fn submit_candidates(
        &mut self,
        view: &ProfileView,
    ) -> Result<PublishReport, CommandError> {
        let mut known = 0;
        let mut failures = 0;
        loop {
            let own = OwnCandidate {
                publish_id: new_publish_id(),
                version: next_version(view.head.as_ref(), known),
                base_revision: view.head_revision(),
            };
            match self.attempt(&own, &mut failures).await? {
                AttemptResult::Accepted(prepared) => return Ok(self.accepted(own, prepared)),
                AttemptResult::NotWritten => {}
                AttemptResult::Rejected(prepared, refusals) => {
                    match highest_known_version(&refusals) {
                        Some(highest) if known == 0 => {
                            log::info!("nodes know version {highest}; retrying with a higher one");
                            known = highest;
                        }
                        _ => return Err(self.rejected(own.version, prepared, refusals)),
                    }
                }
            }
        }
    }

    /// Writes one candidate and waits for its decision.
    async fn attempt(
        &mut self,
        own: &OwnCandidate,
        failures: &mut u32,
    ) -> Result<AttemptResult, CommandError> {
        let lease = self.retry.run(|store| store.grant(CANDIDATE_LEASE)).await?;
        let txn = self.candidate_txn(own, lease);
        let candidate_status = match self.retry.store.commit(&txn).await {
            Ok(answer) if answer.succeeded => CandidateStatus::Pending {
                revision: answer.revision,
            },
            Ok(answer) => self.classify_conflict(own, &answer)?,
            Err(error) if error.effect == WriteEffect::None => {
                self.try_revoke(lease).await;
                self.retry.backoff(failures, &error).await?;
                return Ok(AttemptResult::NotWritten);
            }
            Err(error) => {
                let candidate_status = self.resolve_lost_response(own, lease, &error).await?;
                if candidate_status == CandidateStatus::Absent {
                    self.retry.backoff(failures, &error).await?;
                }
                candidate_status
            }
        };
        let decided = match candidate_status {
            CandidateStatus::Pending { revision } => self.await_decision(own, revision).await,
            other => Ok(other),
        };
        // The candidate no longer exists, or its decision is no longer awaited.
        self.try_revoke(lease).await;
        match decided? {
            CandidateStatus::Accepted { prepared } => Ok(AttemptResult::Accepted(prepared)),
            CandidateStatus::Rejected { prepared, refusals } => {
                Ok(AttemptResult::Rejected(prepared, refusals))
            }
            CandidateStatus::Lost(winner) => Err(self.lost_race(winner).await),
            CandidateStatus::Absent | CandidateStatus::Pending { .. } => {
                Ok(AttemptResult::NotWritten)
            }
        }
    }

    /// Derives the status from the entries that made the transaction's comparison fail. It is an
    /// error when they show no conflict, since a retry would fail the same way without end.
    fn classify_conflict(
        &self,
        own: &OwnCandidate,
        answer: &TxnResponse,
    ) -> Result<CandidateStatus, CommandError> {
        let view = ProfileView::from_entries(&self.request.profile, &answer.found)?;
        let found = candidate_status(&view, own);
        if found == CandidateStatus::Absent {
            let message = "the store refused the candidate without a conflicting entry";
            return Err(CommandError::new(ExitKind::Unavailable, message));
        }
        Ok(found)
    }

    fn candidate_txn(&self, own: &OwnCandidate, lease: LeaseId) -> StoreTxn {
        let profile = &self.request.profile;
        let entry = CandidateEntry {
            profile: profile.clone(),
            version: own.version,
            digest: self.request.content.digest(),
            state: self.request.content.state(),
            publish_id: own.publish_id.clone(),
            operator: self.request.operator.clone(),
            base_revision: own.base_revision,
        };
        let value = serde_json::to_string(&entry).expect("candidate entries serialize to JSON");
        StoreTxn::default()
            .when(Compare::ModRevision {
                key: keys::head(profile),
                revision: own.base_revision,
            })
            .when(Compare::Absent {
                key: keys::candidate(profile),
            })
            .put_leased(keys::candidate(profile), value, lease)
    }

    /// Revokes a lease that is no longer needed. When this fails, the lease expires by itself.
    async fn try_revoke(&self, lease: LeaseId) {
        if let Err(error) = self.retry.store.revoke(lease).await {
            log::debug!("lease not revoked, it will expire: {error}");
        }
    }

    fn accepted(&self, own: OwnCandidate, prepared: Option<u32>) -> PublishReport {
        PublishReport {
            profile: self.request.profile.clone(),
            outcome: PublishOutcome::Accepted,
            version: own.version,
            state: self.request.content.state(),
            digest: self.request.content.digest(),
            publish_id: own.publish_id,
            prepared,
        }
    }

    fn rejected(
        &self,
        version: ProfileVersion,
        prepared: u32,
        refusals: Vec<NodeRefusal>,
    ) -> CommandError {
        let profile = &self.request.profile;
        let message =
            format!("{profile}: version {version} rejected; {prepared} nodes prepared it");
        CommandError::new(ExitKind::Rejected, message).with_detail(ErrorDetail::Refusals {
            version,
            prepared,
            refusals,
        })
    }

    /// Builds the error that names the winning publish and the differences between its content and
    /// the requested content.
    async fn lost_race(&mut self, winner: Option<RaceWinner>) -> CommandError {
        let profile = &self.request.profile;
        let message = match &winner {
            None => format!("{profile}: the head was removed while this publish was running"),
            Some(winner) => {
                let RaceWinner {
                    operator,
                    publish_id,
                    version,
                    state,
                    ..
                } = winner;
                let pending = if winner.pending {
                    ", not decided yet"
                } else {
                    ""
                };
                format!(
                    "{profile}: lost the race to {operator}'s version {version} \
                     ({state}, publish {publish_id}{pending})"
                )
            }
        };
        let differences = match &winner {
            Some(winner) => self.differences_to(winner).await,
            None => None,
        };
        let report = Box::new(RaceReport {
            winner,
            differences,
        });
        CommandError::new(ExitKind::LostRace, message).with_detail(ErrorDetail::Race(report))
    }

    async fn differences_to(&mut self, winner: &RaceWinner) -> Option<Vec<crate::Difference>> {
        let theirs = if winner.digest.is_empty() {
            None
        } else {
            let bundle = read_bundle(&mut self.retry, &winner.digest).await;
            Some(bundle.inspect_err(|error| log::warn!("{error}")).ok()?.json)
        };
        content_differences(theirs.as_deref(), self.request.content.json()).ok()
    }
}

/// Returns 128 random bits in hex, which makes a collision between operators practically
/// impossible.
fn new_publish_id() -> PublishId {
    let mut generator: StdRng = rand::make_rng();
    format_compact!("{:032x}", generator.random::<u128>())
}
