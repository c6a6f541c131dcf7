//! Open-loop load generator that measures real processes.
//!
//! Arrival times are planned before the start, and latency is measured from the planned arrival, so
//! that a stalled system cannot reduce its own load (coordinated omission). See `docs/design.md`,
//! section 1.5.

mod arrival;
mod client;
mod result;

pub use arrival::{LoadPhase, PlannedCall, plan_calls};
pub use client::{LoadClient, run_load};
pub use result::{CallRecord, LatencySummary, LoadResult};
