//! Exit codes and the error that a subcommand ends with.

use apricotfold_model::{FieldErrors, NodeRefusal, ProfileVersion};
use apricotfold_store::StoreError;
use compact_str::CompactString;
use serde::Serialize;
use strum::{EnumIter, IntoStaticStr};

use crate::RaceReport;

/// Result of the command as a process exit code. Scripts depend on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitKind {
    /// Done.
    Done = 0,
    /// `diff` found differences.
    Differences = 1,
    /// Bad input or usage.
    BadInput = 2,
    /// Nodes rejected the version.
    Rejected = 3,
    /// Another publish of the same profile won.
    LostRace = 4,
    /// The store, or every node that was asked, is unavailable.
    Unavailable = 5,
    /// A node lags behind the head.
    Lagging = 6,
    /// The publish was not decided, or its outcome is not known.
    Undecided = 7,
}

impl ExitKind {
    /// The process exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// Facts that belong to an error.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(untagged)]
pub enum ErrorDetail {
    /// No further facts.
    #[default]
    None,
    /// The fields of a profile that are wrong.
    Fields {
        /// The file that holds the profile.
        file: CompactString,
        /// The wrong fields.
        fields: FieldErrors,
    },
    /// The nodes' reasons against a version.
    Refusals {
        /// The rejected version.
        version: ProfileVersion,
        /// Number of nodes that prepared it.
        prepared: u32,
        /// The reasons.
        refusals: Vec<NodeRefusal>,
    },
    /// The publish that won.
    Race(Box<RaceReport>),
}

/// Why a subcommand did not succeed.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CommandError {
    /// Determines the exit code.
    pub kind: ExitKind,
    /// One line for the operator.
    pub message: String,
    /// Further facts.
    #[serde(flatten)]
    pub detail: ErrorDetail,
}

impl CommandError {
    /// An error without further facts.
    pub fn new(kind: ExitKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            detail: ErrorDetail::None,
        }
    }

    /// Bad input or usage.
    pub fn bad_input(message: impl Into<String>) -> Self {
        Self::new(ExitKind::BadInput, message)
    }

    /// The store did not answer; its address is part of the message. The caller has made sure that
    /// nothing was changed, so the message leaves out whether the call may have taken effect.
    #[must_use]
    pub fn store_unavailable(error: &StoreError) -> Self {
        Self::new(
            ExitKind::Unavailable,
            format!("store unavailable: {}", error.error),
        )
    }

    /// Adds facts.
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
