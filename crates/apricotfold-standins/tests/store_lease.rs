//! Leases of the store and their expiry.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::support::{HttpEndpoint, b64, put, start_store, value, wait_until};

async fn grant(store: &HttpEndpoint, ttl: i64) -> String {
    let response = store.post_ok("/v3/lease/grant", json!({"TTL": ttl})).await;
    assert_eq!(response["TTL"], ttl.to_string());
    response["ID"].as_str().expect("an id").to_owned()
}

async fn put_leased(store: &HttpEndpoint, key: &str, lease: &str) {
    let body = json!({"key": b64(key), "value": b64("v"), "lease": lease});
    store.post_ok("/v3/kv/put", body).await;
}

/// Guards against a lease that does not expire, with which a relay slot would stay occupied after its
/// holder has failed, and against a lease that expires although it is kept alive.
#[tokio::test]
async fn lease_expires_unless_kept_alive() {
    let store = start_store(json!({})).await;
    let (dead, live) = (grant(&store, 1).await, grant(&store, 1).await);
    let start = Instant::now();
    put_leased(&store, "dead", &dead).await;
    put_leased(&store, "live", &live).await;
    while start.elapsed() < Duration::from_millis(1_500) {
        let response = store
            .post_ok("/v3/lease/keepalive", json!({"ID": live}))
            .await;
        assert_eq!(response["result"]["TTL"], "1");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(value(&store, "dead").await, None);
    assert!(value(&store, "live").await.is_some());
    let response = store
        .post_ok("/v3/lease/keepalive", json!({"ID": dead}))
        .await;
    assert_eq!(
        response["result"].get("TTL"),
        None,
        "an expired lease has a time to live"
    );
}

/// Guards against a revocation that keeps keys of the lease, deletes other keys or succeeds for an
/// unknown lease.
#[tokio::test]
async fn revoke_deletes_own_keys_only() {
    let store = start_store(json!({})).await;
    for path in ["/v3/lease/revoke", "/v3/kv/lease/revoke"] {
        let (old, new) = (grant(&store, 60).await, grant(&store, 60).await);
        put_leased(&store, "own", &old).await;
        put_leased(&store, "moved", &old).await;
        put_leased(&store, "moved", &new).await;
        put_leased(&store, "freed", &old).await;
        put(&store, "freed", "v").await;
        store.post_ok(path, json!({"ID": old})).await;
        assert_eq!(value(&store, "own").await, None);
        assert!(value(&store, "moved").await.is_some());
        assert!(value(&store, "freed").await.is_some());
        let (status, response) = store.post(path, json!({"ID": old})).await;
        assert_eq!((status, &response["code"]), (404, &json!(5)));
    }
}

/// Guards against leases that expire only when the next call arrives: a key of an expired lease would
/// stay visible for a moment, and watches would not report its deletion.
#[tokio::test]
async fn expiry_needs_no_call() {
    let store = start_store(json!({})).await;
    let lease = grant(&store, 1).await;
    put_leased(&store, "k", &lease).await;
    wait_until("the key is deleted", async || {
        store.json("/admin/snapshot").await["kvs"] == json!([])
    })
    .await;
    assert_eq!(store.json("/admin/counts").await["calls"]["range"], 0);
}
