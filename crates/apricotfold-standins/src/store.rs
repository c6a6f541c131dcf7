//! Store stand-in: an in-memory key-value store with compare-and-swap, leases and watches that
//! implements the published JSON gateway and injects scripted faults.
//!
//! The calls are specified in the protocol's own reference; `docs/design.md`, section 3, lists those
//! that the project uses. Admin endpoints, on the same address:
//!
//! * `GET /admin/counts` returns calls by kind and open watches; `POST /admin/counts/reset` resets the
//!   calls to zero.
//! * `POST /admin/faults` adds a list of `StoreFault`, whose times are relative to the request;
//!   `DELETE /admin/faults` removes all faults.
//! * `GET /admin/snapshot` returns all keys and leases; `POST /admin/restore` replaces them.

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
