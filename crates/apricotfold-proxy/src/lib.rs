//! The mesh proxy that runs beside each target instance.
//!
//! It routes the requests of callers on its instance by a route table from the platform's store,
//! forwards calls to the proxies beside other targets, and admits calls to its own target.
//! Decisions are made by `apricotfold-policy`; this crate does the I/O and the timing. What differs
//! between platforms is implemented behind the traits of [`adapters`]. See `docs/platform.md`.

pub mod adapters;
mod admission;
mod announce_server;
mod call_body;
mod caller_connection;
mod caller_server;
pub mod callers;
mod compressed_json;
mod connection;
mod connection_pool;
mod crash_gossip;
mod crash_tracker;
mod departure_keeper;
mod engine;
mod entry_access;
mod entry_attempt;
mod entry_call;
mod entry_route;
mod fingerprint;
mod gated_body;
mod health_check;
mod hedge;
mod hop_by_hop;
mod housekeeping;
mod instance_watcher;
mod lifecycle;
mod link_meter;
pub mod log_output;
mod peer_call;
mod peer_exchange;
mod peer_server;
mod quota;
mod registration;
mod relays;
pub mod request_codec;
mod response_codec;
mod rollout;
mod run;
mod settings_file;
mod status_server;
mod store;
mod store_health;
mod table_cache;
mod table_watcher;
mod target_call;
mod target_check;
mod target_pacing;
mod target_statements;
mod telemetry;
mod throttled_log;

pub use admission::{AdmissionController, SlotGuard};
pub use run::{PlatformAdapters, run_proxy};
pub use settings_file::{ReadSettings, SettingsReader};
pub use table_cache::TableCache;
