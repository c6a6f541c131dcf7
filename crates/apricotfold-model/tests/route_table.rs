//! Tests of route table validation and route matching.

use std::time::{Duration, Instant};

use apricotfold_model::{
    CallPriority, RawCallerLimits, RawRouteTable, RawTableRoute, RetrySafety, RouteTable,
    TableService, WeightedService, WorkClass,
};
use proptest::collection::hash_set;
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str) -> RawTableRoute {
    RawTableRoute {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        parts: vec![WeightedService {
            service: "precios".into(),
            weight: 1,
        }],
        repeat: RetrySafety::Idempotent,
        class: WorkClass::Short,
        timeout_ms: 1_000,
        target_latency_ms: 400,
        priority: CallPriority::Normal,
        max_attempts: 2,
        public: false,
    }
}

fn table(routes: Vec<RawTableRoute>) -> RawRouteTable {
    RawRouteTable {
        version: 7,
        services: vec![TableService {
            name: "precios".into(),
            health_path: "/health".into(),
        }],
        routes,
        tenants: None,
        limits: RawCallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_048_576,
            header_time_ms: 3_000,
            idle_time_ms: 15_000,
        },
    }
}

/// Guards against a shorter prefix taking precedence over a longer one, a prefix matching part of a
/// path segment, and host matching that depends on case or port.
#[test]
fn matches_longest_prefix() {
    let routes = vec![
        route("all", "lots.example", "/"),
        route("lots", "lots.example", "/lots/"),
        route("day", "lots.example", "/lots/day/"),
        route("guides", "guides.example", "/guides/"),
    ];
    let table = RouteTable::try_from(table(routes)).expect("valid");
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("lots.example", "/lots/day/3"), Some("day".into()));
    assert_eq!(name("Lots.Example:80", "/lots/3"), Some("lots".into()));
    assert_eq!(name("lots.example", "/lotsmore"), Some("all".into()));
    assert_eq!(name("lots.example", "/lots"), Some("all".into()));
    assert_eq!(name("guides.example", "/other/"), None);
    assert_eq!(name("unknown.example", "/lots/"), None);
    assert_eq!(table.len(), 4);
}

/// Guards against a partially applied table: a single invalid field rejects the whole table, and
/// the error names the field.
#[test]
fn rejects_invalid_table() {
    type Change = fn(&mut RawRouteTable);
    let cases: [(&str, Change); 6] = [
        ("version", |table| table.version = 0),
        ("routes[1].prefix", |table| {
            table.routes[1].prefix = "/open".into();
        }),
        ("routes[1].parts", |table| {
            table.routes[1].parts[0].service = "unknown".into();
        }),
        ("routes[1].parts", |table| {
            table.routes[1].parts[0].weight = 0;
        }),
        ("routes[1].timeout-ms", |table| {
            table.routes[1].timeout_ms = 0;
        }),
        ("routes[1].prefix", |table| {
            table.routes[1].prefix = "/a/".into();
        }),
    ];
    for (field, change) in cases {
        let routes = vec![
            route("one", "lots.example", "/a/"),
            route("two", "lots.example", "/b/"),
        ];
        let mut raw = table(routes);
        change(&mut raw);
        let errors = RouteTable::try_from(raw).expect_err(field);
        assert!(errors.to_string().contains(field), "{field}: {errors}");
    }
}

/// Guards against a look-up whose cost grows with the square of the path's length: a path without a route,
/// of 16,000 segments, then keeps a process from all else for tens of milliseconds.
#[test]
fn many_segments() {
    let prefixes = ["/a/", "/a/b/", "/a/b/c/"];
    let routes = prefixes.map(|prefix| route("one", "lots.example", prefix));
    let table = RouteTable::try_from(table(routes.into())).expect("valid");
    let started = Instant::now();
    for start in ["/b", "/a/b"] {
        let path = start.to_owned() + &"/".repeat(16_000);
        for _ in 0..500 {
            let found = table.find("lots.example", &path);
            assert_eq!(found.is_some(), start == "/a/b");
        }
    }
    assert!(started.elapsed() < Duration::from_secs(5));
}

proptest! {
    /// Guards against a prefix that is found although a longer one matches, or is not found.
    #[test]
    fn longest_prefix(prefixes in hash_set("/([abc~]{1,2}/){0,4}", 1..12), path in "/([abc~]{0,2}/){0,6}[abc]?") {
        let routes = prefixes.iter().map(|prefix| route(prefix, "lots.example", prefix));
        let table = RouteTable::try_from(table(routes.collect())).expect("valid");
        let longest = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str()));
        let longest = longest.max_by_key(|prefix| prefix.len());
        let found = table.find("lots.example", &path);
        prop_assert_eq!(found.map(|found| found.name.as_str()), longest.map(String::as_str));
    }
}
