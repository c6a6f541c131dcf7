//! Errors of communication with other processes.

use compact_str::CompactString;

/// An error annotated with the failed step and the remote end, so that a single log line is enough
/// to locate the fault.
#[derive(Debug)]
pub struct StepError {
    /// Name of the operation that failed, such as `commit`.
    pub step: &'static str,
    /// Remote end of the operation: a node, a target or the address of a store.
    pub peer: CompactString,
    /// Underlying error.
    pub cause: eyre::Report,
}

impl StepError {
    /// Annotates an underlying error with the step and the remote end.
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
