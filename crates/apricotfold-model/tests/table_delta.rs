//! Tests of the differences between versions of a route table.

use apricotfold_model::{
    CallPriority, RawCallerLimits, RawRouteTable, RawTableRoute, RetrySafety, RouteTable,
    TableDelta, TableService, WeightedService, WorkClass, parse_json,
};
use proptest::prelude::*;

/// Routes of a table as pairs of a number, which gives host and prefix, and a service.
type RoutePlan = Vec<(u8, u8)>;

fn table(version: u64, routes: &[(u8, u8)], idle_time_ms: u64) -> RouteTable {
    let mut plan: RoutePlan = routes.to_vec();
    plan.sort_unstable();
    plan.dedup_by_key(|(number, _)| *number);
    let mut services: Vec<u8> = plan.iter().map(|(_, service)| *service).collect();
    services.sort_unstable();
    services.dedup();
    let raw = RawRouteTable {
        version,
        services: services
            .into_iter()
            .map(|service| TableService {
                name: format!("s{service}").into(),
                health_path: "/health".into(),
            })
            .collect(),
        routes: plan
            .into_iter()
            .map(|(number, service)| route(number, service))
            .collect(),
        tenants: None,
        limits: RawCallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_048_576,
            header_time_ms: 3_000,
            idle_time_ms,
        },
    };
    RouteTable::try_from(raw).expect("valid")
}

fn route(number: u8, service: u8) -> RawTableRoute {
    RawTableRoute {
        name: format!("r{number}").into(),
        host: format!("h{}.example", number % 3).into(),
        prefix: format!("/r{number}/").into(),
        parts: vec![WeightedService {
            service: format!("s{service}").into(),
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

proptest! {
    /// Guards against a delta that loses an added, changed or removed route or service, and against a
    /// loss on the way to another node.
    #[test]
    fn delta_restores(
        former in proptest::collection::vec((0..20_u8, 0..4_u8), 1..20),
        later in proptest::collection::vec((0..20_u8, 0..4_u8), 1..20),
        idle_time_ms in 1_000..3_u64 * 1_000,
    ) {
        let (former, later) = (table(3, &former, 1_000), table(8, &later, idle_time_ms));
        let delta = later.delta_from(&former);
        let text = serde_json::to_string(&delta).expect("serialisable");
        let received: TableDelta = parse_json(&text).expect("the same delta");
        prop_assert_eq!(former.apply_delta(&received).expect("applies"), later.clone());
        let whole = RawRouteTable::from(&later);
        prop_assert_eq!(RouteTable::try_from(whole).expect("valid"), later);
    }
}

/// Guards against sending whole tables to nodes that have a version which the sender has not seen.
#[test]
fn version_between() {
    let former = table(3, &[(1, 1), (2, 1)], 1_000);
    let between = table(5, &[(1, 1), (2, 1), (3, 1)], 1_000);
    let later = table(8, &[(1, 2), (2, 1), (3, 1)], 1_000);
    let delta = later.delta_from(&former);
    assert_eq!(between.apply_delta(&delta).expect("applies"), later);
}

/// Guards against a table that mixes two versions: a route that was changed back is not in the delta.
#[test]
fn reverted_change() {
    let former = table(3, &[(1, 1), (2, 1)], 1_000);
    let between = table(5, &[(1, 2), (2, 1)], 1_000);
    let later = table(8, &[(1, 1), (2, 2)], 1_000);
    let delta = later.delta_from(&former);
    assert!(between.apply_delta(&delta).is_err());
}

/// Guards against going back to an older version, and against a delta for a later base.
#[test]
fn other_versions() {
    let former = table(3, &[(1, 1)], 1_000);
    let later = table(8, &[(1, 2)], 1_000);
    let delta = later.delta_from(&former);
    assert!(later.apply_delta(&delta).is_err());
    assert!(table(9, &[(1, 1)], 1_000).apply_delta(&delta).is_err());
    assert!(table(2, &[(1, 1)], 1_000).apply_delta(&delta).is_err());
}
