//! Fault-injecting link: forwards TCP connections with delay, jitter, limited bandwidth, stalls, cuts
//! and half-open connections.
//!
//! Clients connect to the link at once, since the kernel completes the handshake; only data and the
//! ends of connections are delayed.
//!
//! Admin endpoints, on an address of their own:
//!
//! * `GET /admin/faults` and `PUT /admin/faults`: `{"to_upstream": LinkFault, "to_client": LinkFault}`;
//!   what is left out has no fault.
//! * `GET /admin/counts`: bytes and connections by direction.

mod admin;
mod connection;
mod forwarder;
mod schedule;
mod server;
mod state;

pub use server::LinkServer;
