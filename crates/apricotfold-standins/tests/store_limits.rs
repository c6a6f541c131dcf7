//! Call counters and limits of the store.

use serde_json::json;

use crate::store_watch::WatchLines;
use crate::support::{b64, put, start_store, value, wait_until};

/// Guards against a store that accepts any rate of calls, with which a mesh that overloads the real
/// store would pass its tests.
#[tokio::test]
async fn rate_limits_refuse_calls() {
    let store = start_store(json!({"writes_per_second": 3, "reads_per_second": 5})).await;
    let body = json!({"key": b64("k"), "value": b64("v")});
    let mut refused = 0;
    for _ in 0..6 {
        let (status, response) = store.post("/v3/kv/put", body.clone()).await;
        if status == 429 {
            assert_eq!(response["code"], 8);
            assert!(
                response["message"]
                    .to_string()
                    .contains("resource exhausted")
            );
            refused += 1;
        }
    }
    assert!(
        refused >= 2,
        "{refused} of 6 writes refused at a limit of 3/s"
    );
    assert!(
        value(&store, "k").await.is_some(),
        "the limit of writes was applied to a read"
    );
    let counts = store.json("/admin/counts").await;
    assert_eq!(counts["refused"], refused);
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    put(&store, "k", "v").await;
}

/// Guards against a store that accepts bundles which the real one rejects because of their size.
#[tokio::test]
async fn large_value_is_refused() {
    let store = start_store(json!({})).await;
    let largest = "x".repeat(1_048_576);
    put(&store, "k", &largest).await;
    let body = json!({"key": b64("k"), "value": b64(&(largest + "x"))});
    let (status, response) = store.post("/v3/kv/put", body).await;
    assert_eq!((status, &response["code"]), (400, &json!(3)));
}

/// Guards against incorrect counters, with which the limit on store calls per data centre is verified.
#[tokio::test]
async fn calls_are_counted_by_kind() {
    let store = start_store(json!({})).await;
    let mut lines = WatchLines::open(&store, json!({"key": b64("k")})).await;
    for _ in 0..3 {
        put(&store, "k", "v").await;
        lines.events().await;
    }
    value(&store, "k").await;
    let counts = store.json("/admin/counts").await;
    let calls = &counts["calls"];
    assert_eq!((&calls["put"], &calls["range"]), (&json!(3), &json!(1)));
    assert_eq!(
        (&calls["watch"], &counts["open_watches"]),
        (&json!(1), &json!(1))
    );
    assert_eq!(counts["total"], 5);

    drop(lines);
    wait_until("the watch is closed", async || {
        store.json("/admin/counts").await["open_watches"] == 0
    })
    .await;
    store.post_ok("/admin/counts/reset", json!({})).await;
    assert_eq!(store.json("/admin/counts").await["total"], 0);
}
