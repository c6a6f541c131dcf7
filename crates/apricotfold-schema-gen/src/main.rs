//! Generates `crates/apricotfold-schema/src/generated` from the `.proto` files.
//!
//! The generated code is committed, so that builds need neither this program nor `protoc`.

use std::path::Path;

use eyre::WrapErr;

const SERDE_DERIVE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";
const SERDE_STRICT: &str = "#[serde(default, deny_unknown_fields)]";
const SERDE_FIGURE: &str = "#[serde(deserialize_with = \"crate::figure::read_figure\")]";

/// Figures of the proxy's settings, which are given as numbers or as texts.
const FIGURES: [&str; 11] = [
    "lease_min_ms",
    "announce_interval_ms",
    "grace_ms",
    "grace_s",
    "retry_share",
    "retry_slack",
    "retry_window_ms",
    "retry_window_s",
    "link_mbps",
    "memory_mb",
    "fd_limit",
];

fn main() -> eyre::Result<()> {
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../apricotfold-schema");
    let proto = schema.join("proto");
    let descriptors = protox::compile(["peer.proto", "settings.proto"], [&proto])
        .wrap_err("compiling the schema files")?;
    let mut generator = tonic_prost_build::configure();
    for figure in FIGURES {
        let path = format!(".apricotfold.settings.v1.ProxySettings.{figure}");
        generator = generator.field_attribute(path, SERDE_FIGURE);
    }
    generator
        .out_dir(schema.join("src/generated"))
        .bytes(".apricotfold.peer.v1")
        .type_attribute(".apricotfold.settings.v1", SERDE_DERIVE)
        .message_attribute(".apricotfold.settings.v1", SERDE_STRICT)
        .compile_fds(descriptors)
        .wrap_err("writing the generated code")?;
    Ok(())
}
