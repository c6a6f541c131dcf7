//! Store stand-in: the published JSON gateway of a key-value store with compare-and-swap, leases
//! and watches, and scripted faults.
//!
//! Calls are described in the protocol's own reference; `docs/design.md`, section 3, names those that
//! the project uses. Admin endpoints, on the same address:
//!
//! * `GET /admin/counts`: calls by kind and open watches; `POST /admin/counts/reset` starts again.
//! * `POST /admin/faults`: a list of `StoreFault` whose times count from now; `DELETE` removes all.
//! * `GET /admin/snapshot` and `POST /admin/restore`: all keys and leases.

mod admin;
mod call;
mod encoding;
mod error;
mod fault_plan;
mod key_range;
mod key_space;
mod lease_table;
mod message;
mod meter;
mod server;
mod service;
mod transaction;
mod watch_stream;

pub use server::StoreServer;
