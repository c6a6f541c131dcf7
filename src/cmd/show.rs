//! `apricotfold show [PROFILE]`

use std::collections::BTreeMap;

use apricotfold::{CommandError, StoreRetry, read_bundle, read_entry, read_view};
use apricotfold_model::{CandidateEntry, HeadEntry, ProfileName, keys};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::output::CommandReport;
use super::{CommandResult, Invocation, open_store, store_retry};

/// Head and pending candidate of one profile, as printed.
#[derive(Default, Serialize)]
struct ProfileSummary {
    profile: ProfileName,
    head: Option<HeadEntry>,
    pending: Option<CandidateEntry>,
}

impl ProfileSummary {
    fn lines(&self) -> Vec<String> {
        let profile = &self.profile;
        let head = match &self.head {
            None => format!("{profile}: never published"),
            Some(head) => format!(
                "{profile}: version {} {} by {} (publish {})",
                head.version, head.state, head.operator, head.publish_id
            ),
        };
        let pending = self.pending.as_ref().map(|candidate| {
            format!(
                "{profile}: pending version {} {} by {} (publish {})",
                candidate.version, candidate.state, candidate.operator, candidate.publish_id
            )
        });
        std::iter::once(head).chain(pending).collect()
    }
}

/// Lists the heads of all profiles, or shows one with its content.
pub async fn run(invocation: &Invocation, profile: Option<&str>) -> CommandResult {
    let store = open_store(invocation)?;
    let mut retry = store_retry(&store, invocation);
    match profile {
        Some(profile) => show_one(&mut retry, profile).await,
        None => show_all(&mut retry).await,
    }
}

async fn show_all(retry: &mut StoreRetry<'_>) -> CommandResult {
    let mut profiles: BTreeMap<ProfileName, ProfileSummary> = BTreeMap::new();
    for head in list_entries::<HeadEntry>(retry, keys::HEADS).await? {
        let summary = profiles.entry(head.profile.clone()).or_default();
        summary.head = Some(head);
    }
    for candidate in list_entries::<CandidateEntry>(retry, keys::CANDIDATES).await? {
        let summary = profiles.entry(candidate.profile.clone()).or_default();
        summary.pending = Some(candidate);
    }
    let summaries: Vec<ProfileSummary> = profiles
        .into_iter()
        .map(|(profile, summary)| ProfileSummary { profile, ..summary })
        .collect();
    let mut lines: Vec<String> = summaries.iter().flat_map(ProfileSummary::lines).collect();
    if lines.is_empty() {
        lines.push("no profile has been published".to_owned());
    }
    Ok(CommandReport::done(
        lines.join("\n"),
        json!({"profiles": summaries}),
    ))
}

/// Reads and parses all entries under a key prefix.
pub async fn list_entries<T: DeserializeOwned>(
    retry: &mut StoreRetry<'_>,
    prefix: &str,
) -> Result<Vec<T>, CommandError> {
    let answer = retry.run(|store| store.list(prefix)).await?;
    answer.entries.iter().map(read_entry).collect()
}

async fn show_one(retry: &mut StoreRetry<'_>, profile: &str) -> CommandResult {
    let view = read_view(retry, profile).await?;
    let summary = ProfileSummary {
        profile: profile.into(),
        head: view.head.map(|head| head.entry),
        pending: view.candidate,
    };
    if summary.head.is_none() && summary.pending.is_none() {
        let message = format!("{profile}: never published");
        return Err(CommandError::bad_input(message));
    }
    let digest = summary.head.as_ref().map(|head| head.digest.as_str());
    let content = match digest {
        Some(digest) if !digest.is_empty() => read_content(retry, digest).await?,
        _ => Value::Null,
    };
    let mut lines = summary.lines();
    if let Some(digest) = digest.filter(|digest| !digest.is_empty()) {
        lines.push(format!("digest: {digest}"));
        lines.push(format!("{content:#}"));
    }
    let mut document = json!(summary);
    document["content"] = content;
    Ok(CommandReport::done(lines.join("\n"), document))
}

async fn read_content(retry: &mut StoreRetry<'_>, digest: &str) -> Result<Value, CommandError> {
    let bundle = read_bundle(retry, digest).await?;
    Ok(serde_json::from_str(&bundle.json).expect("a verified bundle is JSON"))
}
