//! Messages between nodes and settings of every binary, generated from `proto/`.
//!
//! `apricotfold-schema-gen` rewrites the generated code. See `docs/design.md`, section 2.

/// Messages between nodes.
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/apricotfold.peer.v1.rs"]
pub mod peer;

/// Settings and profiles as they stand in JSON, before they are checked.
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/apricotfold.settings.v1.rs"]
pub mod settings;
