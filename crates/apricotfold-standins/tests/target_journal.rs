//! Request journal of the target.

use std::time::Duration;

use serde_json::{Value, json};

use crate::support::{HttpEndpoint, Program, start_target, target_settings, wait_until};

async fn wait_for_ended_records(target: &HttpEndpoint, count: usize) -> Vec<Value> {
    wait_until("the requests end", async || {
        let journal = target.json("/admin/journal").await;
        let records = journal["records"].as_array().expect("records");
        records
            .iter()
            .filter(|record| record["end"] != Value::Null)
            .count()
            == count
    })
    .await;
    let journal = target.json("/admin/journal").await;
    journal["records"].as_array().expect("records").clone()
}

/// Guards against a journal in which a repeated or cancelled request cannot be recognised.
#[tokio::test]
async fn journal_distinguishes_complete_from_cancelled() {
    let target = start_target(json!({})).await;
    let whole = target.client.post(target.url("/work?ms=20"));
    let whole = whole
        .header("idempotency-key", "order-1")
        .header("x-request-id", "r1");
    whole.send().await.expect("a response");
    for path in ["/work?ms=5000", "/download?bytes=1000000&ms=5000"] {
        let cut = target
            .client
            .get(target.url(path))
            .header("x-request-id", "r2");
        let cut = tokio::time::timeout(Duration::from_millis(200), async {
            cut.send().await.expect("a response").bytes().await
        });
        assert!(cut.await.is_err());
    }
    let records = wait_for_ended_records(&target, 3).await;
    assert_eq!(records[0]["method"], "POST");
    assert_eq!(records[0]["path"], "/work?ms=20");
    assert_eq!(records[0]["idempotency_key"], "order-1");
    assert_eq!(records[0]["request_id"], "r1");
    let time = |field: &str| records[0][field].as_u64().expect("a time");
    assert!((20..200).contains(&(time("ended_ms") - time("started_ms"))));
    let ends: Vec<_> = records.iter().map(|record| record["end"].clone()).collect();
    assert_eq!(ends, ["whole", "cancelled", "cancelled"]);
    let status = target.json("/admin/status").await;
    assert_eq!(
        status["free_slots"], 2,
        "a cancelled request did not free its slot"
    );
}

/// Guards against a request that ran but is missing from the journal file because the process crashed.
#[tokio::test]
async fn journal_file_survives_crash() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("journal");
    let settings = target_settings(&json!({"journal_file": file.to_str(), "short_ms": 100}));
    let mut program = Program::start(env!("CARGO_BIN_EXE_apricotfold-target-standin"), &settings);
    let target = HttpEndpoint::new(program.address());
    target.get("/first").await;
    let crash = target
        .client
        .get(target.url("/second"))
        .header("x-crash", "1");
    assert!(crash.send().await.is_err());
    let status = program.wait_for_exit().await;
    assert_eq!(
        std::os::unix::process::ExitStatusExt::signal(&status),
        Some(6)
    );

    let text = std::fs::read_to_string(file).expect("a journal");
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let seen: Vec<_> = lines
        .iter()
        .map(|line| (line["event"].clone(), line["request"].clone()))
        .collect();
    let expected = [("started", 1), ("ended", 1), ("started", 2)];
    assert_eq!(
        seen,
        expected.map(|(event, request)| (json!(event), json!(request)))
    );
    assert_eq!(lines[1]["end"], "whole");
    assert_eq!(lines[2]["path"], "/second");
}
