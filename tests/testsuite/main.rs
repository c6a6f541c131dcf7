//! Tests with real processes. Each file covers one feature; all start their mesh through
//! `apricotfold_testkit::MeshBuilder`.

mod call_outcome;
mod call_path;
mod call_support;
mod deep_calls;
mod graceful_stop;
mod order_claims;
mod poison_request;
mod support;
mod target_drain;
mod whole_answers;
