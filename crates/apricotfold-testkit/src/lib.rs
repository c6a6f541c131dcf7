//! Starts meshes of real processes on loopback addresses.
//!
//! Shared by the testsuite, the demo and the benchmarks. Each mesh gets its own address range
//! within 127.0.0.0/8, so that meshes of parallel tests do not collide. See `docs/design.md`,
//! section 1.6.

mod announcer;
mod builder;
mod mesh;
mod network;
mod process;
mod soak;

pub use announcer::TargetAnnouncer;
pub use builder::{MeshBuilder, MeshLink, NodePlan, TargetPlan};
pub use mesh::{CallReply, CommandOutput, Mesh, MeshNode};
pub use network::MeshNetwork;
pub use process::{MeshProcess, ProcessUsage, find_binary};
pub use soak::{
    FaultKind, FaultPlan, FaultSpan, LoadKind, LoadRecord, RunCounts, SoakReport, SoakRun,
    applied_versions, check_records,
};
