//! Canary rollouts: what this node knows of them, and its part in deciding on them. See
//! `docs/design/rollouts.md`.

mod decisions;
pub mod keeper;
mod messages;
mod notices;
mod reports;

pub use decisions::run as run_decisions;
pub use keeper::RolloutKeeper;
pub use messages::{ROLLOUT_HEADER, respond};
pub use reports::run as run_reports;
