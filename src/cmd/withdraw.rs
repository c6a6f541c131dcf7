//! `apricotfold withdraw PROFILE`

use apricotfold::PublishContent;
use compact_str::CompactString;

use super::publish::publish;
use super::{CommandResult, Invocation};

pub async fn run(invocation: &Invocation, profile: &CompactString) -> CommandResult {
    publish(invocation, profile.clone(), PublishContent::Withdrawal).await
}
