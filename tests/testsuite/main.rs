//! Tests with real processes. Each file covers one feature; all start their mesh through
//! `apricotfold_testkit::MeshBuilder`.

mod bad_version;
mod binaries;
mod call_outcome;
mod call_path;
mod call_support;
mod cut_off;
mod deep_calls;
mod event_catalogue;
mod fleet_status;
mod graceful_stop;
mod herd_restart;
mod operator_race;
mod order_claims;
mod paused_relay;
mod poison_request;
mod route_parts;
mod soak_seeds;
mod store_outage;
mod support;
mod target_drain;
mod whole_answers;
