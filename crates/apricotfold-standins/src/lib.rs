//! Stand-ins for the platform that tests and demonstrations run against: a store, a target and a
//! fault-injecting TCP link.
//!
//! The logic (key space, faults, service times, schedules of delayed data) is free of I/O; the servers
//! around it only perform I/O and wait. See `docs/design.md`, section 1.6.

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
