//! Field-by-field comparison of two profiles.

use apricotfold::content_differences;
use apricotfold_model::ProfileBundle;
use serde_json::{Value, json};

/// Applies a change to the example profile and returns the differences as they are printed.
fn changes(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let text = include_str!("../guide/examples/almanac.json");
    let left = ProfileBundle::parse(text).unwrap().json;
    let mut value: Value = serde_json::from_str(&left).unwrap();
    change(&mut value);
    let right = ProfileBundle::parse(&value.to_string()).unwrap().json;
    let differences = content_differences(Some(&left), Some(&right)).unwrap();
    assert_eq!(differences.is_empty(), left == right);
    differences.iter().map(ToString::to_string).collect()
}

/// Guards against differences between equal contents, and against changed values that are not
/// reported.
#[test]
fn changed_values() {
    assert!(changes(|_| {}).is_empty());
    let found = changes(|profile| {
        profile["routes"][0]["timeout_ms"] = json!(300);
        profile["drain"] = Value::Null;
        profile["secrets"] = json!(["press-key"]);
    });
    let expected = [
        "drain.grace_ms: 600000 -> (absent)",
        "drain.notice_ms: 500 -> (absent)",
        "routes[moon-phase].timeout_ms: 250 -> 300",
        r#"secrets: [] -> ["press-key"]"#,
    ];
    assert_eq!(found, expected);
}

/// Guards against a removed route that makes every later route differ, and against a changed order
/// of routes that is not reported although it decides which route matches.
#[test]
fn moved_routes() {
    let routes = |profile: &mut Value| profile["routes"].as_array_mut().unwrap().clone();
    let found = changes(|profile| {
        let mut list = routes(profile);
        list.remove(0);
        profile["routes"] = list.into();
    });
    let mine =
        |line: &String| line.starts_with("routes[moon-phase].") || line.starts_with("routes: ");
    assert!(found.len() > 1 && found.iter().all(mine), "{found:?}");

    let found = changes(|profile| {
        let mut list = routes(profile);
        list.swap(0, 3);
        profile["routes"] = list.into();
    });
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("routes: "), "{found:?}");
}

/// Guards against a withdrawn profile that compares as equal to a file.
#[test]
fn no_content() {
    let right = r#"{"name": "almanac", "routes": []}"#;
    let differences = content_differences(None, Some(right)).unwrap();
    let fields: Vec<&str> = differences.iter().map(|one| one.field.as_str()).collect();
    assert_eq!(fields, ["name", "routes"]);
    assert_eq!(content_differences(None, None).unwrap(), []);
}
