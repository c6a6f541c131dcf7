//! Errors that cross process borders.

use compact_str::CompactString;

/// An error with the step and the peer at which it arose, so that a log line alone tells where to
/// look.
#[derive(Debug)]
pub struct StepError {
    /// What was being done, such as `commit`.
    pub step: &'static str,
    /// The node, target or store address that was involved.
    pub peer: CompactString,
    /// The cause.
    pub cause: eyre::Report,
}

impl StepError {
    /// Attaches step and peer to a cause.
    pub fn new(
        step: &'static str,
        peer: impl Into<CompactString>,
        cause: impl Into<eyre::Report>,
    ) -> Self {
        Self {
            step,
            peer: peer.into(),
            cause: cause.into(),
        }
    }
}

impl std::fmt::Display for StepError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} at {}: {:#}",
            self.step, self.peer, self.cause
        )
    }
}

impl std::error::Error for StepError {}
