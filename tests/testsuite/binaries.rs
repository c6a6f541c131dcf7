//! Every binary has a help text and a version, and daemons validate their settings at startup.

use std::process::Command;

use apricotfold_testkit::find_binary;

const BINARIES: [&str; 8] = [
    "apricotfold",
    "apricotfold-node",
    "apricotfold-store-standin",
    "apricotfold-target-standin",
    "apricotfold-link",
    "apricotfold-load",
    "apricotfold-demo",
    "apricotfold-measure",
];

/// Guards against a binary that lacks `--help` or `--version`.
#[test]
fn help_and_version() -> eyre::Result<()> {
    for name in BINARIES {
        let help = Command::new(find_binary(name)?).arg("--help").output()?;
        let text = String::from_utf8_lossy(&help.stdout).into_owned();
        assert!(
            help.status.success() && text.contains("Usage:"),
            "{name}: {text}"
        );
        let version = Command::new(find_binary(name)?).arg("--version").output()?;
        let text = String::from_utf8_lossy(&version.stdout).into_owned();
        assert!(
            text.trim().ends_with(env!("CARGO_PKG_VERSION")),
            "{name}: {text}"
        );
    }
    Ok(())
}

/// Guards against a daemon that starts with invalid settings: each error names the field, the value
/// and what was expected, and the exit code is 2.
#[test]
fn checked_settings() -> eyre::Result<()> {
    let folder = tempfile::tempdir()?;
    let valid = serde_json::json!({
        "node": "poa-a-1", "region": "rs-gaucho", "data_centre": "poa-a",
        "control_address": "127.0.0.1:1", "mesh_address": "127.0.0.1:2",
        "admin_address": "127.0.0.1:3", "store": {"endpoints": ["http://127.0.0.1:4"]}
    });
    let cases = [
        ("node", serde_json::json!("Poa A"), "1 to 63 characters"),
        (
            "mesh_address",
            serde_json::json!("localhost"),
            "IP address and port",
        ),
        (
            "distribution",
            serde_json::json!("pigeon"),
            "peers or store-watch",
        ),
        ("target_choice", serde_json::json!("best"), "least-latency"),
        ("colour", serde_json::json!("blue"), "unknown field"),
        ("worker_threads", serde_json::json!(1000), "from 0 to 64"),
    ];
    for (field, value, expected) in cases {
        let mut settings = valid.clone();
        settings[field] = value;
        let path = folder.path().join("settings.json");
        std::fs::write(&path, settings.to_string())?;
        let output = Command::new(find_binary("apricotfold-node")?)
            .arg("--settings")
            .arg(&path)
            .output()?;
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{field}: {text}");
        assert!(
            text.contains(field) && text.contains(expected),
            "{field}: {text}"
        );
    }
    Ok(())
}
