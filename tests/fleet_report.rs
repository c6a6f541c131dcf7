//! Report of which node runs which version.

use apricotfold::{ExitKind, FleetReport, StatusResponse};
use apricotfold_model::{HeadEntry, HeadState};
use serde_json::{Value, json};

fn member(node: &str, version: u64, lag_reason: Option<&str>) -> Value {
    json!({
        "node": node, "region": "rs-gaucho", "data_centre": "poa-a", "service": "parish-desk",
        "profile": "almanac", "applied_version": version, "lag_reason": lag_reason,
        "draining": false,
    })
}

/// Returns the status response of a node that runs the head, version 4.
fn answer(node: &str, members: &[Value]) -> StatusResponse {
    let mut answer = member(node, 4, None);
    answer["head_version"] = 4.into();
    answer["ready"] = true.into();
    answer["relay"] = json!({"slot": 0});
    answer["members"] = members.into();
    serde_json::from_value(answer).unwrap()
}

fn head(version: u64, state: HeadState) -> HeadEntry {
    HeadEntry {
        profile: "almanac".into(),
        version,
        digest: String::new().into(),
        state,
        publish_id: "p".into(),
        operator: "ours".into(),
    }
}

fn lines(report: &FleetReport) -> Vec<String> {
    let members = report.members.iter().map(ToString::to_string);
    members
        .chain(report.heads.iter().map(ToString::to_string))
        .collect()
}

/// Guards against a lagging node that is omitted, not listed first, or listed without its reason.
#[test]
fn lagging_first() {
    let members = [
        member("n1", 4, None),
        member("n2", 3, Some("")),
        member("n3", 4, Some("unreachable")),
        member("n4", 3, Some("not applicable: missing listener callers")),
    ];
    let report = FleetReport::new(&[answer("n1", &members)], &[]);
    let expected = [
        "lagging: n2 (poa-a, parish-desk): almanac version 3 of 4, catching up",
        "lagging: n3 (poa-a, parish-desk): almanac version 4 of 4, unreachable",
        "lagging: n4 (poa-a, parish-desk): almanac version 3 of 4, \
         not applicable: missing listener callers",
        "n1 (poa-a, parish-desk): almanac version 4",
        "almanac: head version 4, 1 of 4 nodes run it",
    ];
    assert_eq!(lines(&report), expected);
    assert_eq!((report.lagging, report.exit_kind()), (3, ExitKind::Lagging));
}

/// Guards against an outdated report of one node that overrides a newer one by another node or by
/// the node itself.
#[test]
fn merged_views() {
    let first = answer("n1", &[member("n2", 2, None), member("n3", 3, None)]);
    let second = answer("n2", &[member("n1", 9, None), member("n3", 4, None)]);
    for answers in [[first.clone(), second.clone()], [second, first]] {
        let report = FleetReport::new(&answers, &[]);
        assert_eq!(report.exit_kind(), ExitKind::Done, "{:?}", lines(&report));
        assert_eq!(report.members.len(), 3);
    }
}

/// Guards against nodes that are reported as current when all of them missed a publish, and against
/// a store restored from an older snapshot that is not reported.
#[test]
fn store_heads() {
    let answers = [answer("n1", &[])];
    let newer = FleetReport::new(&answers, &[head(5, HeadState::Published)]);
    assert_eq!((newer.lagging, newer.heads[0].version), (1, 5));
    let older = FleetReport::new(&answers, &[head(3, HeadState::Published)]);
    assert_eq!((older.lagging, older.heads[0].version), (0, 4));
    assert!(lines(&older)[1].contains("older state"));
    let withdrawn = FleetReport::new(&answers, &[head(4, HeadState::Withdrawn)]);
    assert!(lines(&withdrawn)[1].ends_with("withdrawn"));
}

/// Guards against a node without a profile that counts as lagging.
#[test]
fn no_profile() {
    let mut idle = member("n2", 0, None);
    idle["profile"] = "".into();
    let report = FleetReport::new(&[answer("n1", &[idle])], &[]);
    assert_eq!(report.exit_kind(), ExitKind::Done);
    assert_eq!(lines(&report)[0], "n2 (poa-a, parish-desk): no profile");
    assert_eq!(report.heads.len(), 1);
}

/// Guards against nodes of other data centres that count as lagging or as current although no node
/// there was queried.
#[test]
fn unknown_versions() {
    let mut far = member("n9", 0, Some(""));
    far["data_centre"] = "fln-a".into();
    far["applied_version"] = Value::Null;
    far["admin_address"] = "127.0.0.9:8083".into();
    let members = [member("n1", 4, None), far];
    let report = FleetReport::new(&[answer("n1", &members)], &[]);
    assert_eq!(report.exit_kind(), ExitKind::Done);
    assert_eq!(report.unqueried_nodes(), ["http://127.0.0.9:8083"]);
    let expected = [
        "n9 (fln-a, parish-desk): almanac version unknown, no node of fln-a responded",
        "n1 (poa-a, parish-desk): almanac version 4",
        "almanac: head version 4, 1 of 2 nodes run it",
    ];
    assert_eq!(lines(&report), expected);
}
