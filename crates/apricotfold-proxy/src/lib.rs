//! The mesh proxy beside each target instance.
//!
//! It serves callers on its instance by a route table from the platform's store, passes calls to
//! the proxies beside other targets, and admits calls to its own target. Decisions are made by
//! `apricotfold-policy`; this crate moves bytes and time. What differs between platforms enters
//! through the traits of [`borders`]. See `docs/platform.md`.

mod admission;
mod announce_server;
mod answer_codec;
pub mod borders;
mod call_body;
mod caller_connection;
mod caller_server;
mod connection;
mod crash_watch;
mod engine;
mod entry_attempt;
mod entry_call;
mod entry_follower;
mod entry_route;
mod fingerprint;
mod head;
mod health_check;
mod hedge;
mod housekeeping;
mod lifecycle;
mod link_meter;
mod link_pool;
pub mod log_output;
mod measure;
mod peer_call;
mod peer_exchange;
mod peer_server;
mod registration;
mod relay_follower;
pub mod request_codec;
mod run;
mod settings_file;
mod status_server;
mod store_link;
mod table_follower;
mod table_keeper;
mod target_call;

pub use admission::{AdmissionController, SlotGuard};
pub use run::{PlatformAdapters, run_proxy};
pub use settings_file::SettingsReader;
