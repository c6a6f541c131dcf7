//! `apricotfold status`

use apricotfold::CommandError;

use super::{CommandResult, Invocation};

/// Asks nodes which versions run where.
#[expect(
    clippy::unused_async,
    reason = "asks nodes once their status endpoint is there"
)]
pub async fn run(invocation: &Invocation) -> CommandResult {
    if invocation.nodes.is_empty() {
        return Err(CommandError::bad_input("no node given: use --node URL"));
    }
    Err(CommandError::bad_input("status is not implemented yet"))
}
