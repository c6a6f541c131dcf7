//! Answers that break off, belong to another request, or promise what is not true.

mod support;

use support::caller::{CallerConnection, request};
use support::{TestNode, rand_id};

fn arrivals(nodes: [&TestNode; 2], word: &str) -> usize {
    nodes.iter().map(|node| node.target.calls(word).len()).sum()
}

/// Guards against a page that fails although another target could answer it, whichever way the
/// first answer was spoilt.
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

/// Guards against an order that is sent again after it may have run, and against a refusal that
/// says it has not run.
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

/// Guards against an order that is lost although its target says that it did not run it, and
/// against a target's own failure that is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_orders() {
    let (first, second) = TestNode::start_pair().await;
    let answer = first.call("POST", "/orders/shed-first/1", "1500").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(arrivals([&first, &second], "shed-first"), 2);
    let failed = first.call("POST", "/orders/fail/1", "1500").await;
    assert_eq!(failed.status, 500);
    assert!(failed.header("instance").is_some(), "{failed:?}");
}

/// Guards against headers of a caller that pass for those of the mesh, and against a body that is
/// changed on its way.
#[tokio::test(flavor = "multi_thread")]
async fn forged_headers() {
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
