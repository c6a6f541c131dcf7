//! Stand-ins for the platform that tests and demonstrations run against: a store, a target and a
//! fault-injecting TCP link.
//!
//! The decisions (key space, faults, service times, schedules of delayed data) are plain state; the
//! servers around them only read, write and wait. See `docs/design.md`, section 1.6.

mod http;
mod link;
mod program;
mod store;
mod target;
mod timer;

pub use link::LinkServer;
pub use program::{ProgramInfo, run_program, stop_signal};
pub use store::StoreServer;
pub use target::TargetServer;
