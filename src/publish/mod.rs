//! Publishing and withdrawing. See `docs/design.md`, section 4.2.

mod decision;
mod report;
mod settle;
mod wait;

use std::time::Duration;

use apricotfold_model::{CandidateEntry, NodeRefusal, ProfileVersion, PublishId, keys};
use apricotfold_store::{Compare, ConfigStore, LeaseId, StoreTxn, TxnResponse, WriteEffect};
use compact_str::format_compact;
use rand::RngExt;
use rand::rngs::StdRng;

pub use decision::{OwnCandidate, RaceWinner, Standing, next_version, stale_floor, standing};
pub use report::{
    PublishContent, PublishOutcome, PublishReport, PublishRequest, PublishTimes, RaceReport,
};

use crate::{
    CommandError, ErrorDetail, ExitKind, ProfileView, StoreRetry, content_differences, read_bundle,
    read_view,
};

/// Life of a candidate that nobody decides.
const CANDIDATE_LEASE: Duration = Duration::from_secs(15);

/// Publishes one change: at most one candidate of this command is in the store at any time.
pub struct Publisher<'a> {
    request: &'a PublishRequest,
    times: PublishTimes,
    retry: StoreRetry<'a>,
}

/// What became of one candidate.
enum Attempt {
    Accepted(Option<u32>),
    Rejected(u32, Vec<NodeRefusal>),
    /// The candidate certainly was not written.
    NotWritten,
}

impl<'a> Publisher<'a> {
    /// Prepares a publish; nothing is sent yet.
    #[must_use]
    pub fn new(
        store: &'a dyn ConfigStore,
        request: &'a PublishRequest,
        times: PublishTimes,
    ) -> Self {
        Self {
            request,
            times,
            retry: StoreRetry::new(store, times.tries, times.wait),
        }
    }

    /// Publishes and waits for the decision.
    ///
    /// # Errors
    ///
    /// Returns why the content did not become the head, or that this is not known.
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
        self.write_versions(&view).await
    }

    /// The report when the head already has our content.
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

    /// Writes the bundle unless it is there. A lost answer needs no settling of its own: the key is
    /// the content's digest, so a repeated write either finds it absent or finds the same content.
    async fn write_bundle(&mut self) -> Result<(), CommandError> {
        let Some(json) = self.request.content.json() else {
            return Ok(());
        };
        let key = keys::bundle(&self.request.content.digest());
        let txn = StoreTxn::default()
            .when(Compare::Absent { key: key.clone() })
            .put(&key, json);
        let answer = self.retry.run(|store| store.commit(&txn)).await?;
        let damaged = answer.found.iter().any(|entry| entry.value != json);
        if damaged {
            let message = format!("store entry {key} does not have the content of its digest");
            return Err(CommandError::new(ExitKind::Unavailable, message));
        }
        Ok(())
    }

    /// Writes candidates until one is decided. A second version is tried once when every refusing
    /// node knows a higher one.
    async fn write_versions(&mut self, view: &ProfileView) -> Result<PublishReport, CommandError> {
        let mut known = 0;
        let mut failures = 0;
        loop {
            let own = OwnCandidate {
                publish_id: new_publish_id(),
                version: next_version(view.head.as_ref(), known),
                base_revision: view.head_revision(),
            };
            match self.attempt(&own, &mut failures).await? {
                Attempt::Accepted(prepared) => return Ok(self.accepted(own, prepared)),
                Attempt::NotWritten => {}
                Attempt::Rejected(prepared, refusals) => match stale_floor(&refusals) {
                    Some(floor) if known == 0 => {
                        log::info!("nodes know version {floor}; trying above it");
                        known = floor;
                    }
                    _ => return Err(self.rejected(own.version, prepared, refusals)),
                },
            }
        }
    }

    /// Writes one candidate and follows it to its decision.
    async fn attempt(
        &mut self,
        own: &OwnCandidate,
        failures: &mut u32,
    ) -> Result<Attempt, CommandError> {
        let lease = self.retry.run(|store| store.grant(CANDIDATE_LEASE)).await?;
        let txn = self.candidate_txn(own, lease);
        let standing = match self.retry.store.commit(&txn).await {
            Ok(answer) if answer.succeeded => Standing::Pending {
                revision: answer.revision,
            },
            Ok(answer) => self.judge_refusal(own, &answer)?,
            Err(error) if error.effect == WriteEffect::None => {
                self.revoke_quietly(lease).await;
                self.retry.pause(failures, &error).await?;
                return Ok(Attempt::NotWritten);
            }
            Err(error) => {
                let standing = self.settle(own, lease, &error).await?;
                if standing == Standing::Absent {
                    self.retry.pause(failures, &error).await?;
                }
                standing
            }
        };
        let decided = match standing {
            Standing::Pending { revision } => self.await_decision(own, revision).await,
            other => Ok(other),
        };
        // The candidate is gone, or nobody waits for it any more.
        self.revoke_quietly(lease).await;
        match decided? {
            Standing::Accepted { prepared } => Ok(Attempt::Accepted(prepared)),
            Standing::Rejected { prepared, refusals } => Ok(Attempt::Rejected(prepared, refusals)),
            Standing::Lost(winner) => Err(self.lost_race(winner).await),
            Standing::Absent | Standing::Pending { .. } => Ok(Attempt::NotWritten),
        }
    }

    /// Judges the entries that made the comparison of a candidate's write fail. A store that shows
    /// no reason is an error, since trying again would repeat without end.
    fn judge_refusal(
        &self,
        own: &OwnCandidate,
        answer: &TxnResponse,
    ) -> Result<Standing, CommandError> {
        let view = ProfileView::from_entries(&self.request.profile, &answer.found)?;
        let found = standing(&view, own);
        if found == Standing::Absent {
            let message = "the store refused the candidate without showing why";
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
        let value = serde_json::to_string(&entry).expect("a candidate always has a JSON form");
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

    /// Ends a lease that is no longer needed. If this fails, the store ends it when it expires.
    async fn revoke_quietly(&self, lease: LeaseId) {
        if let Err(error) = self.retry.store.revoke(lease).await {
            log::debug!("lease left to expire: {error}");
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

    /// Describes the publish that won, with the differences between its content and ours.
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
                    "{profile}: {operator} came first with version {version} \
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

/// 128 random bits, so that two operators never use the same id.
fn new_publish_id() -> PublishId {
    let mut generator: StdRng = rand::make_rng();
    format_compact!("{:032x}", generator.random::<u128>())
}
