//! Store stand-in: the published JSON gateway of a key-value store with compare-and-swap, leases
//! and watches, and scripted faults.

mod admin;
mod call;
mod encoding;
mod fault_plan;
mod key_range;
mod key_space;
mod lease_table;
mod message;
mod meter;
mod refusal;
mod server;
mod service;
mod transaction;
mod watch_stream;

pub use server::StoreServer;
