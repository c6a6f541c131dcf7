//! Target stand-in: a service with slots, service times and faults, which announces itself to its
//! node and keeps a journal of what it ran.

mod admin;
mod announcer;
mod download;
mod journal;
mod load_history;
mod server;
mod service_time;
mod state;
mod work;

pub use server::TargetServer;
