//! End-to-end tests with real processes. Each module covers one feature and starts its mesh through
//! `apricotfold_testkit::MeshBuilder`.

mod binaries;
mod call_depth;
mod call_outcome;
mod call_path;
mod call_support;
mod concurrent_publish;
mod event_catalogue;
mod fleet_status;
mod graceful_shutdown;
mod mass_restart;
mod network_partition;
mod order_claims;
mod paused_relay;
mod poison_request;
mod rejected_version;
mod response_integrity;
mod route_dependencies;
mod soak_seeds;
mod store_outage;
mod support;
mod target_drain;
