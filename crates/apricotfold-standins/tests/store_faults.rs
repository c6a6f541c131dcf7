//! Faults injected by the store.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::store_watch::WatchLines;
use crate::support::{HttpEndpoint, b64, put, start_store, value};

/// Time within which the store responds on loopback if no fault holds the call back.
const UNDELAYED_LIMIT: Duration = Duration::from_millis(400);

async fn add_fault(store: &HttpEndpoint, fault: Value) {
    store.post_ok("/admin/faults", json!([fault])).await;
}

/// Writes a key; returns false if the connection was closed without a response.
async fn try_put(store: &HttpEndpoint, key: &str) -> bool {
    let body = json!({"key": b64(key), "value": b64("v")});
    let response = store.client.post(store.url("/v3/kv/put")).json(&body);
    response.send().await.is_ok()
}

/// Guards against calls that receive a response during an outage, or are executed after it although
/// their callers have given up.
#[tokio::test]
async fn outage_hangs_calls() {
    let outage = json!({"kind": "outage", "from_ms": 0, "until_ms": 600});
    let start = Instant::now();
    let store = start_store(json!({"faults": [outage]})).await;
    assert!(!try_put(&store, "k").await);
    assert!(
        start.elapsed() >= Duration::from_millis(600),
        "closed too early"
    );
    assert_eq!(
        value(&store, "k").await,
        None,
        "a call was executed during the outage"
    );

    add_fault(&store, json!({"kind": "outage", "until_ms": 60_000})).await;
    let clear = async {
        tokio::time::sleep(UNDELAYED_LIMIT).await;
        let cleared = store.client.delete(store.url("/admin/faults")).send();
        cleared.await.expect("a response");
    };
    let (responded, ()) = tokio::join!(try_put(&store, "k"), clear);
    assert!(!responded);
    put(&store, "k", "v").await;
}

/// Guards against a watch that reports events during an outage, or loses them afterwards.
#[tokio::test]
async fn outage_stalls_open_watches() {
    let store = start_store(json!({})).await;
    store
        .post_ok("/v3/lease/grant", json!({"TTL": 1, "ID": 7}))
        .await;
    let body = json!({"key": b64("k"), "lease": 7});
    store.post_ok("/v3/kv/put", body).await;
    let mut lines = WatchLines::open(&store, json!({"key": b64("k")})).await;
    let start = Instant::now();
    add_fault(&store, json!({"kind": "outage", "until_ms": 1_600})).await;
    // The lease expires after one second, which deletes the key without a call.
    assert_eq!(lines.events().await.len(), 1);
    assert!(
        start.elapsed() >= Duration::from_millis(1_600),
        "reported during the outage"
    );
}

/// Guards against a slow fault that adds no latency, or affects keys outside its prefix.
#[tokio::test]
async fn slow_calls_take_longer() {
    let store = start_store(json!({"answer_ms": 50})).await;
    let timed = async |key: &str| {
        let start = Instant::now();
        put(&store, key, "v").await;
        start.elapsed()
    };
    let slow = json!({"kind": "slow", "until_ms": 60_000, "delay_ms": 500, "key_prefix": "a/"});
    add_fault(&store, slow).await;
    let other = timed("b/k").await;
    assert!(
        other >= Duration::from_millis(50) && other < UNDELAYED_LIMIT,
        "{other:?}"
    );
    assert!(timed("a/k").await >= Duration::from_millis(550));
}

/// Guards against a lost response whose write is lost too, and against a fault that affects other keys
/// or more calls than its count.
#[tokio::test]
async fn lost_answer_takes_effect() {
    let store = start_store(json!({})).await;
    let lost = json!({"kind": "lost-answer", "until_ms": 60_000, "key_prefix": "a/", "count": 2});
    add_fault(&store, lost).await;
    assert!(try_put(&store, "b/k").await);
    assert!(!try_put(&store, "a/1").await);
    assert!(!try_put(&store, "a/2").await);
    assert!(try_put(&store, "a/3").await);
    for key in ["a/1", "a/2", "a/3"] {
        assert!(value(&store, key).await.is_some(), "{key}");
    }
    assert_eq!(store.json("/admin/counts").await["calls"]["put"], 4);
}

/// Guards against watches that survive a lost-watch fault, and against a fault that drops more watches
/// than its count or those of other keys.
#[tokio::test]
async fn lost_watch_ends() {
    let store = start_store(json!({})).await;
    let mut lost = WatchLines::open(&store, json!({"key": b64("a/k")})).await;
    let mut kept = WatchLines::open(&store, json!({"key": b64("b/k")})).await;
    let fault = json!({"kind": "lost-watch", "until_ms": 60_000, "key_prefix": "a/", "count": 1});
    add_fault(&store, fault).await;
    assert_eq!(lost.next().await, None);
    let mut again = WatchLines::open(&store, json!({"key": b64("a/k")})).await;
    put(&store, "a/k", "v").await;
    put(&store, "b/k", "v").await;
    assert_eq!(again.events().await.len(), 1);
    assert_eq!(kept.events().await.len(), 1);
}

/// Guards against a restore that keeps newer keys or revisions, that does not end open watches, or
/// after which a watch can start at a revision that is no longer in the history.
#[tokio::test]
async fn restore_replaces_state_and_ends_watches() {
    let store = start_store(json!({})).await;
    put(&store, "k", "old").await;
    let snapshot = store.json("/admin/snapshot").await;
    put(&store, "k", "new").await;
    put(&store, "added", "v").await;
    let mut lines = WatchLines::open(&store, json!({"key": b64("k")})).await;
    store.post_ok("/admin/restore", snapshot.clone()).await;
    assert_eq!(lines.next().await, None);
    assert_eq!(value(&store, "k").await.as_deref(), Some("old"));
    assert_eq!(value(&store, "added").await, None);
    assert_eq!(store.json("/admin/snapshot").await, snapshot);

    let from_start = json!({"key": b64("k"), "start_revision": "1"});
    let mut lines = WatchLines::open(&store, from_start).await;
    let line = lines.next().await.expect("a line");
    assert_eq!(line["result"]["canceled"], true, "{line}");
    assert_eq!(line["result"]["compact_revision"], "3");
}

/// Guards against a mistyped fault kind that is silently ignored.
#[tokio::test]
async fn unknown_fault_kind_is_reported() {
    let store = start_store(json!({})).await;
    let faults = json!([{"kind": "lost-anwser", "until_ms": 5}]);
    let (status, response) = store.post("/admin/faults", faults).await;
    assert_eq!(status, 400);
    assert_eq!(response[0]["value"], "lost-anwser");
}
