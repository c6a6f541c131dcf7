//! Messages between nodes and settings of all binaries, generated from the files in `proto/`.
//!
//! Run `apricotfold-schema-gen` to regenerate the code after a change of these files. See
//! `docs/design.md`, section 2.

mod figure;

/// Messages exchanged between nodes.
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/apricotfold.peer.v1.rs"]
pub mod peer;

/// Settings and profiles as deserialized from JSON, before validation.
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/apricotfold.settings.v1.rs"]
pub mod settings;
