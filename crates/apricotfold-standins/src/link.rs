//! Fault-injecting link: forwards TCP connections with delay, jitter, limited bandwidth, stalls, cuts
//! and half-open connections.
//!
//! Clients connect to the link at once, since the kernel completes the handshake; only data and the
//! ends of connections are delayed.

mod admin;
mod connection;
mod pump;
mod schedule;
mod server;
mod state;

pub use server::LinkServer;
