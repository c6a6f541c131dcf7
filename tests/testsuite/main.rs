//! Tests with real processes. Each file covers one feature; all start their mesh through
//! `apricotfold_testkit::MeshBuilder`.

mod call_path;
mod support;
