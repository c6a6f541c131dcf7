//! Command line, settings and signal handling of the binaries.

use std::process::Command;

use serde_json::json;

use crate::support::{Program, target_settings};

const STORE: &str = env!("CARGO_BIN_EXE_apricotfold-store-standin");
const TARGET: &str = env!("CARGO_BIN_EXE_apricotfold-target-standin");
const LINK: &str = env!("CARGO_BIN_EXE_apricotfold-link");

/// Guards against invalid settings that are accepted or partially applied.
#[tokio::test]
async fn invalid_settings_are_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let journal = folder.path().join("journal");
    let target = target_settings(&json!({"node_url": "x", "journal_file": journal.to_str()}));
    for (binary, settings, field, value) in [
        (STORE, json!({"address": "here"}), "address", "\"here\""),
        (
            STORE,
            json!({"adress": "127.0.0.1:0"}),
            "adress",
            "\"127.0.0.1:0\"",
        ),
        (TARGET, target, "node_url", "\"x\""),
        (
            LINK,
            json!({"address": "127.0.0.1:0", "upstream": "up"}),
            "upstream",
            "\"up\"",
        ),
    ] {
        let (status, log) = Program::start(binary, &settings).wait_for_failure().await;
        assert_eq!(status.code(), Some(2), "{log}");
        for expected in [field, value, "expected"] {
            assert!(log.contains(expected), "{expected} is missing in {log}");
        }
    }
    assert!(
        !journal.exists(),
        "journal opened before the settings were validated"
    );
}

/// Guards against a binary that does not print its usage or version, or accepts unknown arguments.
#[test]
fn arguments_are_parsed() {
    for (binary, name) in [
        (STORE, "apricotfold-store-standin"),
        (TARGET, "apricotfold-target-standin"),
        (LINK, "apricotfold-link"),
    ] {
        let run = |argument: &str| Command::new(binary).arg(argument).output().expect("run");
        let help = run("--help");
        assert!(help.status.success());
        assert!(String::from_utf8_lossy(&help.stdout).contains("--settings FILE"));
        let version = run("--version");
        assert!(String::from_utf8_lossy(&version.stdout).starts_with(name));
        assert_eq!(run("--wrong").status.code(), Some(2));
    }
}

/// Guards against a binary that ignores SIGTERM or reports a failure after it.
#[tokio::test]
async fn sigterm_stops_programs() {
    let free = "127.0.0.1:0";
    let link = json!({"address": free, "admin_address": free, "upstream": "127.0.0.1:9"});
    for (binary, settings) in [(STORE, json!({"address": free})), (LINK, link)] {
        let mut program = Program::start(binary, &settings);
        program.address();
        program.terminate();
        assert!(program.wait_for_exit().await.success(), "{binary}");
    }
}
