//! Responses that break off, belong to another request, or make false promises.

mod support;

use support::caller::{CallerConnection, request};
use support::{TestNode, rand_id};

fn arrivals(nodes: [&TestNode; 2], word: &str) -> usize {
    nodes.iter().map(|node| node.target.calls(word).len()).sum()
}

/// Guards against an idempotent request that fails although another target could answer it, for
/// each way in which the first response can be invalid.
#[tokio::test(flavor = "multi_thread")]
async fn pages_are_repeated() {
    let (first, second) = TestNode::start_pair().await;
    for word in ["cut", "drop", "foreign", "reset", "shed", "fail"] {
        let path = format!("/pages/{word}-first/{:x}", rand_id());
        let answer = first.call("GET", &path, "1500").await;
        assert_eq!(answer.status, 200, "{word}: {answer:?}");
        assert!(answer.body.contains(&path), "{word}");
        let sent = arrivals([&first, &second], &path);
        assert!(sent <= 2, "{word}: {sent} arrivals");
    }
}

/// Guards against an at-most-once request that is sent again after it may have run, and against a
/// refusal that wrongly says that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn orders_are_not() {
    let (first, second) = TestNode::start_pair().await;
    for word in ["cut", "drop", "foreign", "reset", "busy"] {
        let path = format!("/orders/{word}/1");
        let answer = first.call("POST", &path, "1500").await;
        assert_eq!(answer.status, 502, "{word}: {answer:?}");
        let outcome = answer.header("outcome");
        assert_eq!(outcome.as_deref(), Some("may-have-run"), "{word}");
        assert_eq!(arrivals([&first, &second], &path), 1, "{word}");
    }
}

/// Guards against an at-most-once request that is not retried although its target says that it did
/// not run it, and against replacing a target's own error response.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_orders_are_retried() {
    let (first, second) = TestNode::start_pair().await;
    let answer = first.call("POST", "/orders/shed-first/1", "1500").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(arrivals([&first, &second], "shed-first"), 2);
    let failed = first.call("POST", "/orders/fail/1", "1500").await;
    assert_eq!(failed.status, 500);
    assert!(failed.header("instance").is_some(), "{failed:?}");
}

/// Guards against caller headers that are taken for headers of the mesh, and against a body that
/// changes on its way.
#[tokio::test(flavor = "multi_thread")]
async fn forged_headers_are_replaced() {
    let (first, second) = TestNode::start_pair().await;
    let headers = [
        ("request-id", "r-forged"),
        ("timeout-ms", "1000"),
        ("caller-service", "somebody"),
        ("meant-instance", "i-other"),
        ("apricotfold-call", "[9999,9999]"),
        ("apricotfold-exchange", "1"),
        ("x-own", "kept"),
    ];
    let mut connection = CallerConnection::open(first.config.caller_address).await;
    let text = request("POST", "/orders/forged/1", &headers, "the body");
    connection.send(&text).await;
    assert_eq!(connection.read().await.status, 200);
    let mut calls = first.target.calls("forged");
    calls.extend(second.target.calls("forged"));
    let [call] = calls.as_slice() else {
        panic!("{} arrivals", calls.len());
    };
    let head = |name: &str| support::target::header(&call.head, name);
    assert_eq!(call.body, b"the body");
    assert_eq!(head("caller-service").as_deref(), Some("parish-desk"));
    assert_ne!(head("meant-instance").as_deref(), Some("i-other"));
    assert_eq!(head("x-own").as_deref(), Some("kept"));
    assert_eq!(head("apricotfold-call"), None);
    assert_eq!(head("apricotfold-exchange"), None);
}
