//! Tests with real processes. Each file covers one feature; all start their mesh through
//! `apricotfold_testkit::MeshBuilder`.

mod bad_version;
mod call_path;
mod event_catalogue;
mod operator_race;
mod route_parts;
mod support;
