//! `apricotfold publish FILE`

use apricotfold::{CommandError, PublishContent, PublishRequest, PublishTimeouts, Publisher};
use compact_str::CompactString;

use super::output::CommandReport;
use super::validate::read_profile;
use super::{CommandResult, Invocation, open_store};

/// Publishes the profile in a file.
pub async fn run(invocation: &Invocation, file: &CompactString) -> CommandResult {
    let bundle = read_profile(file)?;
    let profile = bundle.profile.name.clone();
    let content = PublishContent::Bundle(Box::new(bundle));
    publish(invocation, profile, content).await
}

/// Publishes a new version or a withdrawal of a profile.
pub async fn publish(
    invocation: &Invocation,
    profile: CompactString,
    content: PublishContent,
) -> CommandResult {
    if invocation.operator.is_empty() {
        let message = "no operator given: use --operator NAME or set USER";
        return Err(CommandError::bad_input(message));
    }
    let store = open_store(invocation)?;
    let request = PublishRequest {
        profile,
        operator: invocation.operator.clone(),
        content,
    };
    let timeouts = PublishTimeouts {
        decision: invocation.timeout,
        wait: invocation.wait,
        min_attempts: invocation.store_attempts(),
    };
    let report = Publisher::new(&store, &request, timeouts).run().await?;
    Ok(CommandReport::done(report.to_string(), report))
}
