//! Transactions and range reads of the store.

use serde_json::{Value, json};

use crate::support::{HttpEndpoint, b64, put, start_store, value};

const TXN: &str = "/v3/kv/txn";

async fn comparison_holds(store: &HttpEndpoint, compare: Value) -> bool {
    let response = store.post_ok(TXN, json!({"compare": [compare]})).await;
    response["succeeded"] == true
}

/// Guards against a comparison with an incorrect result, which would let a compare-and-swap overwrite
/// a newer head.
#[tokio::test]
async fn comparisons_match_stored_fields() {
    let store = start_store(json!({})).await;
    put(&store, "other", "x").await;
    let lease = json!({"TTL": "60", "ID": "7"});
    store.post_ok("/v3/lease/grant", lease).await;
    put(&store, "k", "m").await;
    let body = json!({"key": b64("k"), "value": b64("m"), "lease": "7"});
    store.post_ok("/v3/kv/put", body).await;
    // The key was created at revision 3 and changed at revision 4.
    let fields = [
        ("VERSION", "version", json!("1"), json!("2"), json!("3")),
        (
            "CREATE",
            "create_revision",
            json!("2"),
            json!("3"),
            json!("4"),
        ),
        ("MOD", "modRevision", json!("3"), json!("4"), json!("5")),
        (
            "VALUE",
            "value",
            json!(b64("a")),
            json!(b64("m")),
            json!(b64("z")),
        ),
        ("LEASE", "lease", json!(6), json!(7), json!(8)),
    ];
    for (target, field, below, same, above) in fields {
        for (result, expected) in [
            ("EQUAL", [false, true, false]),
            ("NOT_EQUAL", [true, false, true]),
            ("GREATER", [true, false, false]),
            ("LESS", [false, false, true]),
        ] {
            let mut found = [false; 3];
            for (slot, given) in found.iter_mut().zip([&below, &same, &above]) {
                let compare =
                    json!({"target": target, "result": result, "key": b64("k"), field: given});
                *slot = comparison_holds(&store, compare).await;
            }
            assert_eq!(found, expected, "{target} {result}");
        }
    }
}

/// Guards against a create-only write that fails for a missing key, and against a comparison of values
/// that holds for one.
#[tokio::test]
async fn missing_key_compares_as_zero() {
    let store = start_store(json!({})).await;
    let absent = |target: &str| json!({"target": target, "key": b64("k")});
    assert!(comparison_holds(&store, absent("VERSION")).await);
    assert!(comparison_holds(&store, absent("CREATE")).await);
    assert!(!comparison_holds(&store, absent("VALUE")).await);
}

/// Guards against a transaction that runs the wrong branch or uses several revisions, and against
/// fields that are accepted in only one of snake case and camel case.
#[tokio::test]
async fn one_branch_runs_at_one_revision() {
    let store = start_store(json!({})).await;
    put(&store, "a", "1").await;
    let txn = json!({
        "compare": [{"target": "MOD", "result": "EQUAL", "key": b64("a"), "mod_revision": "2"}],
        "success": [
            {"requestPut": {"key": b64("b"), "value": b64("2")}},
            {"request_put": {"key": b64("c"), "value": b64("3")}},
            {"requestDeleteRange": {"key": b64("a")}},
            {"request_range": {"key": b64("a"), "rangeEnd": b64("z")}},
        ],
        "failure": [{"request_put": {"key": b64("d"), "value": b64("4")}}],
    });
    let response = store.post_ok(TXN, txn.clone()).await;
    assert_eq!(response["succeeded"], true);
    assert_eq!(response["header"]["revision"], "3");
    let responses = &response["responses"];
    assert_eq!(responses[2]["response_delete_range"]["deleted"], "1");
    let kvs = responses[3]["response_range"]["kvs"]
        .as_array()
        .expect("keys");
    assert_eq!(kvs.len(), 2);
    assert!(kvs.iter().all(|kv| kv["mod_revision"] == "3"), "{kvs:?}");
    assert_eq!(value(&store, "d").await, None);

    let response = store.post_ok(TXN, txn).await;
    assert_eq!(response.get("succeeded"), None);
    assert_eq!(value(&store, "d").await.as_deref(), Some("4"));
}

/// Guards against a rejected transaction that has changed the store.
#[tokio::test]
async fn refused_txn_changes_nothing() {
    let store = start_store(json!({})).await;
    let put_op = |key: &str, lease: i64| json!({"request_put": {"key": b64(key), "lease": lease}});
    let refused = [
        (json!([put_op("a", 0), put_op("b", 99)]), 404, 5),
        (json!([put_op("a", 0), put_op("a", 0)]), 400, 3),
        (
            json!([put_op("a", 0), {"request_delete_range": {"key": b64("a")}}]),
            400,
            3,
        ),
        (json!([put_op("a", 0), put_op("", 0)]), 400, 3),
        (json!([put_op("a", 0), {"request_unknown": {}}]), 400, 3),
    ];
    for (operations, status, code) in refused {
        let (found, response) = store.post(TXN, json!({"success": operations})).await;
        assert_eq!(
            (found, &response["code"]),
            (status, &json!(code)),
            "{response}"
        );
        assert_eq!(response["error"], response["message"]);
    }
    assert_eq!(value(&store, "a").await, None);
    let snapshot = store.json("/admin/snapshot").await;
    assert_eq!(snapshot["revision"], "1");
}

/// Guards against ranges that omit their first key, include their end or panic if the bounds are
/// reversed.
#[tokio::test]
async fn ranges_have_exclusive_ends() {
    let store = start_store(json!({})).await;
    for key in ["a", "b", "c", "d"] {
        put(&store, key, key).await;
    }
    for (first, end, expected) in [
        ("b", "d", vec!["b", "c"]),
        ("b", "\0", vec!["b", "c", "d"]),
        ("\0", "\0", vec!["a", "b", "c", "d"]),
        ("b", "", vec!["b"]),
        ("d", "b", vec![]),
    ] {
        let body = json!({"key": b64(first), "range_end": b64(end), "limit": "10"});
        let response = store.post_ok("/v3/kv/range", body).await;
        let empty = Vec::new();
        let kvs = response["kvs"].as_array().unwrap_or(&empty);
        let keys: Vec<_> = kvs.iter().map(|kv| kv["key"].clone()).collect();
        let expected: Vec<_> = expected.into_iter().map(|key| json!(b64(key))).collect();
        assert_eq!(keys, expected, "{first:?} to {end:?}");
    }
}
