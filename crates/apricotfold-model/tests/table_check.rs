//! Checks of a route table before it is published, and its differences from the one in force.

use std::collections::HashSet;

use apricotfold_model::{
    ApiKeyDigest, CallPriority, CheckContext, FindingKind, RawCallerLimits, RawRouteTable,
    RawTableRoute, RawTenant, RetrySafety, RouteTable, TableService, WeightedService, WorkClass,
    check_table, table_changes,
};
use strum::IntoEnumIterator;

fn part(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

fn table() -> RawRouteTable {
    let service = |name: &str| TableService {
        name: name.into(),
        health_path: "/health".into(),
    };
    let route = |name: &str, prefix: &str, parts| RawTableRoute {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        parts,
        repeat: RetrySafety::Idempotent,
        class: WorkClass::Short,
        timeout_ms: 1_000,
        target_latency_ms: 400,
        priority: CallPriority::Normal,
        max_attempts: 2,
        public: false,
    };
    RawRouteTable {
        version: 7,
        services: vec![service("cart"), service("stock")],
        routes: vec![
            route(
                "pages",
                "/pages/",
                vec![part("cart", 90), part("stock", 10)],
            ),
            route("orders", "/orders/", vec![part("cart", 1)]),
        ],
        limits: RawCallerLimits {
            header_bytes: 16_384,
            body_bytes: 64 << 20,
            header_time_ms: 3_000,
            idle_time_ms: 15_000,
        },
        tenants: Some(vec![RawTenant {
            name: "north".into(),
            keys: vec![ApiKeyDigest::of(b"key-1")],
            priority: None,
            rate: 20.0,
            burst: 20.0,
        }]),
    }
}

const CONTEXT: CheckContext = CheckContext {
    memory_mb: Some(88),
    targets: Some(2),
    version_in_force: Some(6),
};

/// Guards against a mistake that is not found, found under another kind or at another place, and
/// against findings in a table without mistakes.
#[test]
fn each_kind() {
    type Mistake = fn(&mut RawRouteTable);
    let cases: [(FindingKind, &str, Mistake); 17] = [
        (FindingKind::Invalid, "routes[1].prefix", |table| {
            table.routes[1].prefix = "/pages/".into();
        }),
        (FindingKind::Invalid, "routes[0].parts", |table| {
            table.routes[0].parts[0].service = "unknown".into();
        }),
        (FindingKind::DuplicateService, "services[2].name", |table| {
            table.services.push(table.services[0].clone());
        }),
        (FindingKind::DuplicatePart, "routes[0].parts", |table| {
            table.routes[0].parts.push(part("cart", 5));
        }),
        (FindingKind::ZeroWeight, "routes[0].parts", |table| {
            table.routes[0].parts[1].weight = 0;
        }),
        (FindingKind::UnusedService, "services[1].name", |table| {
            table.routes[0].parts.pop();
        }),
        (FindingKind::UnreachableRoute, "routes[0].host", |table| {
            table.routes[0].host = "shop.example:80".into();
        }),
        (FindingKind::UnreachableRoute, "routes[1].prefix", |table| {
            table.routes[1].prefix = "/orders?a=/".into();
        }),
        (FindingKind::TenantWithoutKeys, "tenants[0].keys", |table| {
            table.tenants.as_mut().unwrap()[0].keys.clear();
        }),
        (FindingKind::NoTenants, "tenants", |table| {
            table.tenants = Some(Vec::new());
        }),
        (
            FindingKind::TimeoutBelowObjective,
            "routes[1].timeout-ms",
            |table| table.routes[1].timeout_ms = 399,
        ),
        (
            FindingKind::AttemptsAboveTargets,
            "routes[1].max-attempts",
            |table| table.routes[1].max_attempts = 3,
        ),
        (FindingKind::BurstBelowRate, "tenants[0].burst", |table| {
            table.tenants.as_mut().unwrap()[0].burst = 19.0;
        }),
        (FindingKind::BurstWithoutRate, "tenants[0].burst", |table| {
            table.tenants.as_mut().unwrap()[0].rate = 0.0;
        }),
        (FindingKind::BodyAboveMemory, "limits.body-bytes", |table| {
            table.limits.body_bytes = (88 << 20) + 1;
        }),
        (FindingKind::ZeroLimit, "limits.header-time-ms", |table| {
            table.limits.header_time_ms = 0;
        }),
        (FindingKind::VersionNotNewer, "version", |table| {
            table.version = 6;
        }),
    ];
    assert_eq!(check_table(&table(), CONTEXT), []);
    for (kind, place, mistake) in &cases {
        let mut table = table();
        mistake(&mut table);
        let findings = check_table(&table, CONTEXT);
        assert!(
            findings
                .iter()
                .any(|found| found.kind == *kind && found.place == *place),
            "{kind}: {findings:?}"
        );
        assert!(
            findings.iter().all(|found| found.kind == *kind),
            "{findings:?}"
        );
    }
    let tested: HashSet<_> = cases.iter().map(|(kind, ..)| *kind).collect();
    assert_eq!(tested, FindingKind::iter().collect());
}

/// Guards against a kind of finding that the guide does not explain.
#[test]
fn explained_kinds() {
    let page = include_str!("../../../guide/check.md");
    for kind in FindingKind::iter() {
        assert!(page.contains(&format!("| `{kind}` |")), "{kind}");
    }
}

/// Guards against checks that need to be told about the nodes, and against ones that pass without.
#[test]
fn unknown_context() {
    let mut table = table();
    table.routes[0].max_attempts = 100;
    table.limits.body_bytes = u64::MAX;
    table.version = 1;
    assert_eq!(check_table(&table, CheckContext::default()), []);
    assert_eq!(check_table(&table, CONTEXT).len(), 3);
}

/// Guards against differences that are missed, that are none, or that show keys or their digests.
#[test]
fn changes_by_meaning() {
    let former = table();
    let in_force = RouteTable::try_from(former.clone()).expect("valid");
    let mut reordered = former.clone();
    reordered.version = 8;
    reordered.routes.reverse();
    reordered.services.reverse();
    reordered.routes[0].host = "Shop.Example".into();
    let later = RouteTable::try_from(reordered).expect("valid");
    assert_eq!(table_changes(&in_force, &later), []);

    let mut edited = former.clone();
    edited.version = 8;
    edited.routes[0].parts = vec![part("cart", 100)];
    edited.routes[0].public = true;
    edited.routes[1].prefix = "/baskets/".into();
    edited.services.pop();
    edited.limits.idle_time_ms = 9_000;
    let tenant = &mut edited.tenants.as_mut().unwrap()[0];
    tenant.keys = vec![ApiKeyDigest::of(b"key-1"), ApiKeyDigest::of(b"key-2")];
    tenant.rate = 10.0;
    let later = RouteTable::try_from(edited).expect("valid");
    let changes = table_changes(&in_force, &later);
    let lines: Vec<_> = changes
        .iter()
        .map(|change| format!("{} {}: {}", change.kind, change.subject, change.detail))
        .collect();
    assert_eq!(
        lines,
        [
            "changed limits: idle-time-ms 15000 -> 9000",
            "added route shop.example/baskets/: orders",
            "removed route shop.example/orders/: ",
            "changed route shop.example/pages/: parts cart 90 + stock 10 -> cart 100, public false -> true",
            "removed service stock: ",
            "changed tenant north: quota 20 a second, burst 20 -> 10 a second, burst 20, keys: 1 added, 0 withdrawn, 1 kept",
        ]
    );
    let mut open = former;
    open.tenants = None;
    let open = RouteTable::try_from(open).expect("valid");
    let changes = table_changes(&in_force, &open);
    assert_eq!(changes[0].detail, "API keys are no longer necessary");
    let changes = table_changes(&open, &in_force);
    assert_eq!(changes[0].detail, "API keys become necessary; 1 tenants");
}
