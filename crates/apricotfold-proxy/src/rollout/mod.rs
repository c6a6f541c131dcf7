//! Canary rollouts: what this node knows of them, and its part in deciding on them. See
//! `docs/design/rollouts.md`.

pub mod keeper;
mod messages;
mod notices;
mod office;
mod reports;

pub use keeper::RolloutKeeper;
pub use messages::{ROLLOUT_HEADER, respond};
pub use office::run as run_office;
pub use reports::run as run_reports;
