//! Exit codes and output of the `apricotfold` binary.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::process::Command;

use serde_json::{Value, json};

/// URL of a port on which nothing listens.
const UNREACHABLE: &str = "http://127.0.0.1:1";
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/guide/examples/almanac.json");
const INVALID_PROFILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");

struct CommandRun {
    code: i32,
    stdout: String,
    stderr: String,
}

impl CommandRun {
    /// Runs the command with an empty environment.
    fn new(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_apricotfold"));
        let output = command.args(arguments).env_clear().output().unwrap();
        Self {
            code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Runs the command without and with `--json`, which must exit with the same code and print one
    /// JSON document.
    fn run_both_formats(arguments: &[&str]) -> (Self, Value) {
        let text = Self::new(arguments);
        let json = Self::new(&[arguments, &["--json"]].concat());
        assert_eq!(text.code, json.code, "{arguments:?}");
        let document = serde_json::from_str(&json.stdout).expect("one JSON document");
        (text, document)
    }

    /// Runs the command and checks that it fails with this exit code and message: on standard error
    /// with an empty standard output, and as JSON on standard output.
    fn expect_failure(arguments: &[&str], code: i32, message: &str) {
        let (text, document) = Self::run_both_formats(arguments);
        assert_eq!(text.code, code, "{arguments:?}: {}", text.stderr);
        assert_eq!(text.stdout, "", "{arguments:?}");
        assert!(
            text.stderr.contains(message),
            "{arguments:?}: {}",
            text.stderr
        );
        assert_eq!(document["error"]["exit_code"], code, "{arguments:?}");
        let found = document["error"]["message"].as_str().unwrap();
        assert!(found.contains(message), "{arguments:?}: {found}");
    }
}

/// Starts an HTTP server that answers every request with the same JSON, and returns its URL.
fn serve(answer: &Value) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let body = answer.to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = BufReader::new(stream.unwrap());
            let mut length = 0;
            let mut line = String::new();
            while reader.read_line(&mut line).unwrap() > 2 {
                let lower = line.to_ascii_lowercase();
                if let Some(value) = lower.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap();
                }
                line.clear();
            }
            reader.read_exact(&mut vec![0; length]).unwrap();
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: application/json";
            let length = body.len();
            write!(
                reader.get_mut(),
                "{head}\r\ncontent-length: {length}\r\n\r\n{body}"
            )
            .unwrap();
        }
    });
    url
}

/// Guards against usage errors that are ignored or exit with the code of another failure.
#[test]
fn wrong_usage() {
    CommandRun::expect_failure(&[], 2, "no subcommand");
    CommandRun::expect_failure(&["pubish"], 2, "pubish");
    CommandRun::expect_failure(&["show", "--verbose"], 2, "--verbose");
    CommandRun::expect_failure(&["diff", "almanac"], 2, "diff");
    CommandRun::expect_failure(&["validate"], 2, "validate");
    CommandRun::expect_failure(&["show"], 2, "APRICOTFOLD_STORE");
    CommandRun::expect_failure(&["show", "--store", "store:2379"], 2, "store:2379");
    CommandRun::expect_failure(&["show", "--wait", "soon"], 2, "soon");
    CommandRun::expect_failure(&["status"], 2, "--node");
    CommandRun::expect_failure(
        &["publish", EXAMPLE, "--store", UNREACHABLE],
        2,
        "--operator",
    );
}

/// Guards against a help text that omits a subcommand, an option or an exit code.
#[test]
fn help_texts() {
    let overview = CommandRun::new(&["--help"]);
    assert_eq!(overview.code, 0);
    for name in [
        "publish", "withdraw", "show", "diff", "status", "validate", "trace",
    ] {
        assert!(overview.stdout.contains(&format!("\n  {name} ")), "{name}");
        let (text, document) = CommandRun::run_both_formats(&[name, "--help"]);
        assert_eq!((text.code, text.stderr.as_str()), (0, ""));
        assert!(text.stdout.contains(&format!("Usage: apricotfold {name}")));
        assert!(text.stdout.contains("Exit codes:"), "{name}");
        assert_eq!(document["help"].as_str().unwrap(), text.stdout);
    }
    for option in [
        "--store",
        "--node",
        "--operator",
        "--wait",
        "--timeout",
        "--json",
    ] {
        assert!(
            overview.stdout.contains(&format!("\n  {option} ")),
            "{option}"
        );
    }
    for code in 0..=7 {
        assert!(overview.stdout.contains(&format!("\n  {code}  ")), "{code}");
    }
}

/// Guards against a version output that scripts cannot parse.
#[test]
fn version_text() {
    let version = env!("CARGO_PKG_VERSION");
    for arguments in [&["--version"][..], &["publish", "--version"]] {
        let (text, document) = CommandRun::run_both_formats(arguments);
        assert_eq!(text.stdout, format!("apricotfold {version}\n"));
        assert_eq!(document, json!({ "version": version }));
    }
}

/// Guards against a validation that stops at the first invalid file or does not name the invalid
/// ones.
#[test]
fn validated_files() {
    let (text, document) =
        CommandRun::run_both_formats(&["validate", INVALID_PROFILE, EXAMPLE, "absent.json"]);
    assert_eq!(text.code, 2);
    let lines: Vec<&str> = text.stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(
        lines[0].starts_with(&format!("{INVALID_PROFILE}: ")),
        "{lines:?}"
    );
    assert_eq!(lines[1], format!("{EXAMPLE}: valid"));
    assert!(lines[2].starts_with("absent.json: "), "{lines:?}");
    assert_eq!(document["error"]["exit_code"], 2);
    assert_eq!(document["files"][0]["valid"], false);
    assert_eq!(document["files"][1]["profile"], "almanac");
    assert_eq!(CommandRun::new(&["validate", EXAMPLE]).code, 0);
}

/// Guards against an invalid profile that reaches the store, and against an error that omits the
/// invalid fields.
#[test]
fn invalid_publish() {
    let arguments = [
        "publish",
        INVALID_PROFILE,
        "--operator",
        "x",
        "--store",
        UNREACHABLE,
    ];
    CommandRun::expect_failure(&arguments, 2, "not a valid profile");
    let (text, document) = CommandRun::run_both_formats(&arguments);
    assert!(text.stderr.contains("expected"), "{}", text.stderr);
    assert_eq!(document["error"]["fields"][0]["field"], ".");
    assert_eq!(document["error"]["fields"][0]["expected"], "an object");
}

/// Guards against a store outage that is reported as success or without the store's address.
#[test]
fn store_unavailable() {
    let store = ["--store", UNREACHABLE, "--operator", "x"];
    for arguments in [
        &["publish", EXAMPLE][..],
        &["withdraw", "almanac"],
        &["show"],
        &["show", "almanac"],
        &["diff", "almanac", EXAMPLE],
    ] {
        CommandRun::expect_failure(&[arguments, &store].concat(), 5, UNREACHABLE);
    }
}

/// Guards against wrong output for a store without profiles.
#[test]
fn empty_store() {
    let store = serve(&json!({"header": {"revision": "1"}}));
    let (text, document) = CommandRun::run_both_formats(&["show", "--store", &store]);
    assert_eq!((text.code, document), (0, json!({"profiles": []})));
    CommandRun::expect_failure(
        &["show", "almanac", "--store", &store],
        2,
        "never published",
    );
    let (text, document) =
        CommandRun::run_both_formats(&["diff", "almanac", EXAMPLE, "--store", &store]);
    assert_eq!((text.code, &document["version"]), (1, &Value::Null));
    assert!(text.stdout.contains("name: (absent) -> \"almanac\"\n"));
    CommandRun::expect_failure(
        &["withdraw", "almanac", "--operator", "x", "--store", &store],
        2,
        "never published",
    );
}

/// Guards against lagging nodes that do not affect the exit code, and against a failure although
/// one of the queried nodes responds.
#[test]
fn queried_nodes() {
    CommandRun::expect_failure(&["status", "--node", UNREACHABLE], 5, UNREACHABLE);
    let mut answer = json!({
        "node": "n1", "region": "rs-gaucho", "data_centre": "poa-a", "service": "parish-desk",
        "profile": "almanac", "applied_version": 4, "head_version": 4, "ready": true,
        "relay": false, "gateway": false, "lag_reason": null, "members": [],
    });
    let current = serve(&answer);
    let (text, document) =
        CommandRun::run_both_formats(&["status", "--node", UNREACHABLE, "--node", &current]);
    assert_eq!((text.code, &document["lagging"]), (0, &json!(0)));
    assert!(
        text.stdout
            .contains(&format!("no status from {UNREACHABLE}: ")),
        "{}",
        text.stdout
    );

    answer["applied_version"] = json!(3);
    let late = serve(&answer);
    let (text, document) =
        CommandRun::run_both_formats(&["status", "--node", &late, "--store", UNREACHABLE]);
    assert_eq!((text.code, &document["lagging"]), (6, &json!(1)));
    assert!(text.stdout.starts_with("lagging: n1 "), "{}", text.stdout);
    assert!(
        document["store_error"]
            .as_str()
            .unwrap()
            .contains(UNREACHABLE)
    );
}
