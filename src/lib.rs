//! Library of the operators' command.
//!
//! The decisions ([`content_differences`], [`candidate_status`], [`FleetReport`], [`ExitKind`])
//! perform no I/O and can be called from tests. [`Publisher`] drives a publish against any
//! [`ConfigStore`](apricotfold_store::ConfigStore). The subcommands are in `src/cmd/`. See
//! `docs/design.md`, section 4.2.

mod differences;
mod error;
mod fleet;
mod publish;
mod store_retry;
mod trace;
mod trace_order;
mod view;

pub use differences::{Difference, content_differences};
pub use error::{CommandError, ErrorDetail, ExitKind};
pub use fleet::{FleetReport, MemberReport, MemberState, ProfileHead, StatusResponse};
pub use publish::{
    CandidateStatus, OwnCandidate, PublishContent, PublishOutcome, PublishReport, PublishRequest,
    PublishTimeouts, Publisher, RaceReport, RaceWinner, candidate_status, highest_known_version,
    next_version,
};
pub use store_retry::{StoreRetry, jitter_delay};
pub use trace::{RequestTrace, TraceLine, trace_request};
pub use trace_order::ClockSkew;
pub use view::{HeadRecord, ProfileView, read_bundle, read_candidate, read_entry, read_view};
