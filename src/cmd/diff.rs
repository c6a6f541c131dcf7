//! `apricotfold diff PROFILE FILE`

use apricotfold::{ExitKind, content_differences, read_bundle, read_view};
use apricotfold_model::HeadState;
use compact_str::CompactString;
use serde_json::json;

use super::output::CommandReport;
use super::validate::read_profile;
use super::{CommandResult, Invocation, open_store, step_error, store_retry};

/// Compares the head of a profile with a file. A profile that was never published or is withdrawn
/// has no content, so every field of the file differs.
pub async fn run(
    invocation: &Invocation,
    profile: &CompactString,
    file: &CompactString,
) -> CommandResult {
    let ours = read_profile(file)?;
    let store = open_store(invocation)?;
    let mut retry = store_retry(&store, invocation);
    let head = read_view(&mut retry, profile)
        .await?
        .head
        .map(|head| head.entry);
    let theirs = match &head {
        Some(head) if head.state == HeadState::Published => {
            Some(read_bundle(&mut retry, &head.digest).await?.json)
        }
        _ => None,
    };
    let differences = content_differences(theirs.as_deref(), Some(&ours.json))
        .map_err(|error| step_error("diff", &error))?;
    let version = head.as_ref().map(|head| head.version);
    let state = head.as_ref().map(|head| head.state);
    let document = json!({
        "profile": profile, "version": version, "state": state, "differences": differences,
    });
    if differences.is_empty() {
        return Ok(CommandReport::done(
            format!("{profile}: no differences"),
            document,
        ));
    }
    let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
    Ok(CommandReport::with_exit(
        ExitKind::Differences,
        lines.join("\n"),
        document,
    ))
}
