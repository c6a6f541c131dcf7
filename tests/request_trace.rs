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
    let trace = trace_request(&[ENTRY.to_owned(), TARGET.to_owned()], "9c41");
    let path: Vec<(Option<f64>, &str, &str)> = trace
        .lines
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
    assert!(trace_request(&[ENTRY.to_owned()], "9c4").lines.is_empty());
    assert!(trace.skews.is_empty());
}

/// Lines of the node where a request enters, and of two nodes that it is sent to, the first of them with
/// a clock that is 20 s ahead, the second with one that is 7 s behind and jumps meanwhile.
const SKEWED: [&str; 3] = [
    "\
ts=100.100 up=40.100 level=INFO node=a AF3004 call retried: id=7e after b overloaded, 900ms left
ts=100.300 up=40.300 level=INFO node=a AF3011 call answered: id=7e route r-1 table 2 target c i-1 tries 2 status 200 after 280ms target 90ms
",
    "\
ts=120.050 up=12.050 level=INFO node=b AF3003 call refused: id=7e at-target not-run overloaded after 5ms
",
    "\
ts=93.150 up=9.150 level=INFO node=c AF3002 call admitted: id=7e at-target
ts=93.250 up=9.200 level=INFO node=c AF3011 call answered: id=7e.1 route r-2 table 2 target c i-1 tries 1 status 200 after 20ms target 9ms
",
];

/// Guards against a path in the order of clocks that differ or jump, and against clocks that contradict
/// each other without a word.
#[test]
fn skewed_clocks() {
    let trace = trace_request(&SKEWED.map(str::to_owned), "7e");
    let path: Vec<(&str, &str)> = trace
        .lines
        .iter()
        .map(|line| (line.node.as_str(), &line.text[..6]))
        .collect();
    assert_eq!(
        path,
        [
            ("b", "AF3003"),
            ("a", "AF3004"),
            ("c", "AF3002"),
            ("c", "AF3011"),
            ("a", "AF3011"),
        ]
    );
    let skew = |node: &str| {
        let skew = trace.skews.iter().find(|skew| skew.node == node);
        skew.map(|skew| (skew.ahead * 1_000.0).round())
    };
    assert_eq!(skew("a"), None);
    assert_eq!(skew("b"), Some(19_950.0));
    assert_eq!(skew("c"), Some(-6_950.0));
    let ordered = trace.times.windows(2).all(|pair| pair[0] <= pair[1]);
    assert!(ordered, "{:?}", trace.times);
}

/// Guards against lines of a process that was started again and counts its time from zero.
#[test]
fn restarted_process() {
    let log = "\
ts=100.000 up=900.000 level=INFO node=a AF3012 caller left: id=7e after 3ms
ts=99.000 up=1.000 level=INFO node=a AF3012 caller left: id=7e after 4ms
";
    let trace = trace_request(&[log.to_owned()], "7e");
    let texts: Vec<&str> = trace.lines.iter().map(|line| &line.text[..]).collect();
    let ends = ["after 3ms", "after 4ms"];
    let is_ordered = texts
        .iter()
        .zip(ends)
        .all(|(text, end)| text.ends_with(end));
    assert!(texts.len() == 2 && is_ordered, "{texts:?}");
}
