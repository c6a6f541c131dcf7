//! Fault-injecting link: a TCP proxy that injects delay, jitter, limited bandwidth, stalls, cuts and
//! half-open connections.
//!
//! Clients connect to the link without delay, since the kernel completes the handshake; only data and
//! the ends of streams are delayed.
//!
//! Admin endpoints, on a separate address:
//!
//! * `GET /admin/faults` returns and `PUT /admin/faults` replaces the faults,
//!   `{"to_upstream": LinkFault, "to_client": LinkFault}`; an omitted field means no fault.
//! * `GET /admin/counts` returns bytes and connections by direction.

mod admin;
mod connection;
mod forwarder;
mod schedule;
mod server;
mod state;

pub use server::LinkServer;
