//! Open-loop load generator that measures real processes.
//!
//! All arrival times are fixed before the start, and latency counts from the planned arrival, so
//! that a stalled system cannot slow its own load down. See `docs/design.md`, section 1.5.

mod arrival;
mod client;
mod result;

pub use arrival::{LoadPhase, PlannedCall, plan_calls};
pub use client::{LoadClient, run_load};
pub use result::{CallRecord, LatencySummary, LoadResult};
