//! Generates `crates/apricotfold-schema/src/generated` from the `.proto` files.
//!
//! The generated code is committed, so that builds need neither this program nor `protoc`.

use std::path::Path;

use eyre::WrapErr;

const SERDE_DERIVE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";
const SERDE_STRICT: &str = "#[serde(default, deny_unknown_fields)]";

fn main() -> eyre::Result<()> {
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../apricotfold-schema");
    let proto = schema.join("proto");
    let descriptors = protox::compile(["peer.proto", "settings.proto"], [&proto])
        .wrap_err("compiling the schema files")?;
    tonic_prost_build::configure()
        .out_dir(schema.join("src/generated"))
        .bytes(".apricotfold.peer.v1")
        .type_attribute(".apricotfold.settings.v1", SERDE_DERIVE)
        .message_attribute(".apricotfold.settings.v1", SERDE_STRICT)
        .compile_fds(descriptors)
        .wrap_err("writing the generated code")?;
    Ok(())
}
