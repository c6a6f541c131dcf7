//! Exit codes and errors of the subcommands.

use apricotfold_model::{FieldErrors, NodeRefusal, ProfileVersion};
use apricotfold_store::StoreError;
use compact_str::CompactString;
use serde::Serialize;
use strum::{EnumIter, IntoStaticStr};

use crate::RaceReport;

/// Exit code of the process. Scripts depend on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitKind {
    /// The subcommand succeeded.
    Done = 0,
    /// `diff` found differences.
    Differences = 1,
    /// An argument, a file or the usage is invalid.
    BadInput = 2,
    /// Nodes rejected the published version.
    Rejected = 3,
    /// Another publish of the same profile was accepted or written first.
    LostRace = 4,
    /// The store, or every queried node, is unavailable.
    Unavailable = 5,
    /// At least one node lags behind the head.
    Lagging = 6,
    /// The publish was not decided in time, or its outcome is not known.
    Undecided = 7,
}

impl ExitKind {
    /// Numeric exit code that the process returns.
    #[must_use]
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// Structured details of an error.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(untagged)]
pub enum ErrorDetail {
    /// The message says everything.
    #[default]
    None,
    /// A profile has invalid fields.
    Fields {
        /// Path of the profile as the operator gave it.
        file: CompactString,
        /// Every invalid field with its value and what was expected.
        fields: FieldErrors,
    },
    /// Nodes refused a version.
    Refusals {
        /// Version that was rejected.
        version: ProfileVersion,
        /// Number of nodes that prepared the version.
        prepared: u32,
        /// Refusing nodes with their reasons.
        refusals: Vec<NodeRefusal>,
    },
    /// Another publish won the race.
    Race(Box<RaceReport>),
}

/// Error of a subcommand, as printed for the operator.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CommandError {
    /// Category, which determines the exit code.
    pub kind: ExitKind,
    /// Message for the operator, usually a single line.
    pub message: String,
    /// Structured details, printed after the message.
    #[serde(flatten)]
    pub detail: ErrorDetail,
}

impl CommandError {
    /// Creates an error without details.
    pub fn new(kind: ExitKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            detail: ErrorDetail::None,
        }
    }

    /// Creates an error for invalid input or usage.
    pub fn bad_input(message: impl Into<String>) -> Self {
        Self::new(ExitKind::BadInput, message)
    }

    /// Creates an error for a store that did not respond; the message contains its address. It
    /// leaves out whether the call may have taken effect, since the caller has made sure that
    /// nothing was changed.
    #[must_use]
    pub fn store_unavailable(error: &StoreError) -> Self {
        Self::new(
            ExitKind::Unavailable,
            format!("store unavailable: {}", error.error),
        )
    }

    /// Sets the details.
    #[must_use]
    pub fn with_detail(mut self, detail: ErrorDetail) -> Self {
        self.detail = detail;
        self
    }
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.message)?;
        match &self.detail {
            ErrorDetail::None => Ok(()),
            ErrorDetail::Fields { file, fields } => fields
                .0
                .iter()
                .try_for_each(|field| write!(formatter, "\n{file}: {field}")),
            ErrorDetail::Refusals { refusals, .. } => refusals.iter().try_for_each(|refusal| {
                write!(
                    formatter,
                    "\nrefused by {}: {}",
                    refusal.node, refusal.reason
                )
            }),
            ErrorDetail::Race(race) => write!(formatter, "{race}"),
        }
    }
}

impl std::error::Error for CommandError {}
