//! Tracing of one request through the logs of several nodes.

use apricotfold::trace_request;

const ENTRY: &str = "\
ts=100.500 level=INFO node=poa-a-1 AF3004 call retried: id=9c41 after poa-b-2 overloaded, 900ms left
ts=100.700 level=INFO node=poa-a-1 AF3003 call refused: id=9c41 route r-1 not-run overloaded
ts=100.650 level=INFO node=poa-a-1 AF3011 call answered: id=9c419 route r-1 status 200
ts=100.600 level=INFO node=poa-a-1 AF2008 route table applied: version 9
";

const TARGET: &str = "\
ts=100.400 level=INFO node=poa-b-2 AF3003 call refused: id=9c41 at-target not-run overloaded
ts=100.450 level=INFO node=poa-b-2 AF3011 call answered: id=9c41.77aa route r-2 status 200
AF3012 caller left: id=9c41 after 3ms
";

/// Guards against lines in the wrong order, lines of other requests, and missing lines of the calls
/// that the request caused.
#[test]
fn one_path() {
    let lines = trace_request(&[ENTRY.to_owned(), TARGET.to_owned()], "9c41");
    let path: Vec<(Option<f64>, &str, &str)> = lines
        .iter()
        .map(|line| (line.time, line.node.as_str(), &line.text[..6]))
        .collect();
    assert_eq!(
        path,
        [
            (None, "", "AF3012"),
            (Some(100.4), "poa-b-2", "AF3003"),
            (Some(100.45), "poa-b-2", "AF3011"),
            (Some(100.5), "poa-a-1", "AF3004"),
            (Some(100.7), "poa-a-1", "AF3003"),
        ]
    );
    assert!(trace_request(&[ENTRY.to_owned()], "9c4").is_empty());
}
