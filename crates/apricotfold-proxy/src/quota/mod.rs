//! Takes tokens of tenants' quotas for callers' requests, and exchanges shares with other nodes. See
//! `docs/design/quotas.md`.

mod gate;
mod messages;
mod state;
mod survey;

pub use gate::{QuotaGate, QuotaRefusal, QuotaToken, tick};
pub use messages::{QUOTA_HEADER, respond};
