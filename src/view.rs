//! Reads the store's entries of one profile.

use apricotfold_model::{CandidateEntry, HeadEntry, OutcomeEntry, ProfileBundle, PublishId, keys};
use apricotfold_store::{Revision, StoreEntry};
use serde::de::DeserializeOwned;

use crate::{CommandError, ExitKind, StoreRetry};

/// A head with the revision at which it was written.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadRecord {
    /// Accepted version of the profile, or its withdrawal.
    pub entry: HeadEntry,
    /// Store revision of the head's latest change.
    pub revision: Revision,
}

/// Head, candidate and latest outcome of one profile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProfileView {
    /// Accepted version; `None` when the profile was never published.
    pub head: Option<HeadRecord>,
    /// Version that waits for votes; `None` when no publish is pending.
    pub candidate: Option<CandidateEntry>,
    /// Store revision at which the candidate was written; 0 without a candidate.
    pub candidate_revision: Revision,
    /// Outcome of the latest decided publish.
    pub outcome: Option<OutcomeEntry>,
}

impl ProfileView {
    /// Head revision that the write of a new candidate compares; 0 when the profile has no head.
    #[must_use]
    pub fn head_revision(&self) -> Revision {
        self.head.as_ref().map_or(0, |head| head.revision)
    }

    /// Whether the publish with this id wrote the head.
    #[must_use]
    pub fn head_is_from(&self, publish_id: &PublishId) -> bool {
        let head = self.head.as_ref();
        head.is_some_and(|head| head.entry.publish_id == *publish_id)
    }

    /// Selects the entries of one profile from a store response.
    ///
    /// # Errors
    ///
    /// Returns an error when the head or the candidate cannot be parsed. An outcome that cannot be
    /// parsed is treated as absent, since the next publish replaces it.
    pub fn from_entries(profile: &str, entries: &[StoreEntry]) -> Result<Self, CommandError> {
        let find = |key: String| entries.iter().find(|entry| entry.key == key);
        let head = find(keys::head(profile))
            .map(|entry| {
                let revision = entry.mod_revision;
                read_entry(entry).map(|entry| HeadRecord { entry, revision })
            })
            .transpose()?;
        let candidate = find(keys::candidate(profile));
        let outcome = find(keys::outcome(profile));
        Ok(Self {
            head,
            candidate: candidate.map(read_entry).transpose()?,
            candidate_revision: candidate.map_or(0, |entry| entry.mod_revision),
            outcome: outcome.and_then(|entry| {
                read_entry(entry)
                    .inspect_err(|error| log::warn!("outcome entry ignored: {error}"))
                    .ok()
            }),
        })
    }
}

/// Parses the JSON value of a store entry.
///
/// # Errors
///
/// Returns an error that names the key.
pub fn read_entry<T: DeserializeOwned>(entry: &StoreEntry) -> Result<T, CommandError> {
    serde_json::from_str(&entry.value).map_err(|error| {
        let message = format!("store entry {} cannot be parsed: {error}", entry.key);
        CommandError::new(ExitKind::Unavailable, message)
    })
}

/// Reads candidate, outcome and head, in this order.
///
/// A decision deletes the candidate and writes the outcome and the head in one transaction. When
/// the candidate no longer exists, the later reads therefore return its outcome. In the opposite
/// order, a decision between the reads would look as if the candidate had expired.
///
/// # Errors
///
/// Returns an error when the store does not respond, or holds an entry that cannot be parsed.
pub async fn read_view(
    retry: &mut StoreRetry<'_>,
    profile: &str,
) -> Result<ProfileView, CommandError> {
    let mut entries = Vec::new();
    for key in [
        keys::candidate(profile),
        keys::outcome(profile),
        keys::head(profile),
    ] {
        let answer = retry.run(|store| store.get(&key)).await?;
        entries.extend(answer.entries);
    }
    ProfileView::from_entries(profile, &entries)
}

/// Reads the pending candidate of a profile and the revision at which it was written.
///
/// # Errors
///
/// Returns an error when the store does not respond, or holds an entry that cannot be parsed.
pub async fn read_candidate(
    retry: &mut StoreRetry<'_>,
    profile: &str,
) -> Result<Option<(CandidateEntry, Revision)>, CommandError> {
    let key = keys::candidate(profile);
    let answer = retry.run(|store| store.get(&key)).await?;
    let entry = answer.entries.first();
    entry
        .map(|entry| Ok((read_entry(entry)?, entry.mod_revision)))
        .transpose()
}

/// Reads the bundle with the given digest and verifies its content.
///
/// # Errors
///
/// Returns an error when the store does not respond, holds no such bundle, or holds one whose
/// content does not match the digest.
pub async fn read_bundle(
    retry: &mut StoreRetry<'_>,
    digest: &str,
) -> Result<ProfileBundle, CommandError> {
    let key = keys::bundle(digest);
    let answer = retry.run(|store| store.get(&key)).await?;
    let corrupt = |cause: String| {
        CommandError::new(ExitKind::Unavailable, format!("store entry {key}: {cause}"))
    };
    let entry = answer
        .entries
        .first()
        .ok_or_else(|| corrupt("missing".to_owned()))?;
    ProfileBundle::verify(&entry.value, digest).map_err(|error| corrupt(error.to_string()))
}
