//! Tenants of a route table, their keys, and their transfer between nodes.

use apricotfold_model::{
    ApiKeyDigest, CallPriority, RawCallerLimits, RawRouteTable, RawTenant, RouteTable, TableDelta,
    TenantDirectory,
};
use proptest::prelude::*;

fn tenant(name: &str, keys: &[&str]) -> RawTenant {
    RawTenant {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| ApiKeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        rate: 10.0,
        burst: 5.0,
    }
}

fn table(version: u64, tenants: Option<Vec<RawTenant>>) -> RouteTable {
    let raw = RawRouteTable {
        version,
        services: Vec::new(),
        routes: Vec::new(),
        tenants,
        limits: RawCallerLimits {
            header_bytes: 1_000,
            body_bytes: 1_000,
            header_time_ms: 1_000,
            idle_time_ms: 1_000,
        },
    };
    RouteTable::try_from(raw).expect("valid")
}

/// Guards against keys that find no tenant or another one, and against lost fields.
#[test]
fn found_by_key() {
    let mut first = tenant("first", &["k-1", "k-2"]);
    first.priority = Some(CallPriority::Critical);
    let mut second = tenant("second", &[]);
    second.rate = 0.0;
    let directory = TenantDirectory::try_from(vec![first, second]).expect("valid");
    let find = |key: &str| directory.find_by_key(&ApiKeyDigest::of(key.as_bytes()));
    let found = find("k-2").expect("a tenant");
    assert_eq!(found.name, "first");
    assert_eq!(found.priority, Some(CallPriority::Critical));
    assert_eq!(
        found.quota.map(|quota| (quota.rate, quota.burst)),
        Some((10.0, 5.0))
    );
    assert!(find("k-3").is_none() && find("").is_none());
    assert!(directory.get("second").expect("known").quota.is_none());
}

/// Guards against configurations in which a key does not identify one tenant, or with absurd quotas.
#[test]
fn refuses_invalid() {
    let limited = |rate, burst| RawTenant {
        rate,
        burst,
        ..tenant("a", &["k-1"])
    };
    let cases = [
        vec![tenant("", &["k-1"])],
        vec![tenant("a", &["k-1"]), tenant("a", &["k-2"])],
        vec![tenant("a", &["k-1"]), tenant("b", &["k-1"])],
        vec![tenant("a", &["k-1", "k-1"])],
        vec![tenant("a", &[""])],
        vec![limited(-1.0, 1.0)],
        vec![limited(f64::NAN, 1.0)],
        vec![limited(1.0, f64::INFINITY)],
        vec![limited(1e300, 1.0)],
    ];
    for case in cases {
        assert!(TenantDirectory::try_from(case.clone()).is_err(), "{case:?}");
    }
}

/// Guards against an error message that shows what identifies a key.
#[test]
fn errors_hide_keys() {
    let doubled = vec![tenant("a", &["secret-key"]), tenant("b", &["secret-key"])];
    let error = TenantDirectory::try_from(doubled).expect_err("doubled");
    let digest = String::from(ApiKeyDigest::of(b"secret-key"));
    assert!(!error.to_string().contains(&digest[..8]), "{error}");
    assert!(!error.to_string().contains("secret-key"), "{error}");
}

fn tenants() -> impl Strategy<Value = Option<Vec<RawTenant>>> {
    // Keys contain the tenant's number, so that no two tenants share one.
    let one = (0_u8..6, 0_u8..3, prop::option::of(0_u8..3), 0_u8..4);
    let all = prop::collection::btree_map(0_u8..6, one, 0..6);
    prop::option::of(all.prop_map(|all| {
        let read =
            |(number, (_, keys, priority, rate)): (u8, (u8, u8, Option<u8>, u8))| RawTenant {
                name: format!("t-{number}").into(),
                keys: (0..keys)
                    .map(|key| ApiKeyDigest::of(&[number, key]))
                    .collect(),
                priority: priority.map(|rank| match rank {
                    0 => CallPriority::Critical,
                    1 => CallPriority::Normal,
                    _ => CallPriority::Sheddable,
                }),
                rate: f64::from(rate),
                burst: 1.0,
            };
        all.into_iter().map(read).collect()
    }))
}

proptest! {
    /// Guards against a delta that leaves a withdrawn key valid or loses a tenant.
    #[test]
    fn deltas_match_tables(former in tenants(), later in tenants()) {
        let (former, later) = (table(1, former), table(2, later));
        let text = serde_json::to_string(&later.delta_from(&former)).expect("serialisable");
        let delta: TableDelta = serde_json::from_str(&text).expect("its own form");
        let applied = former.apply_delta(&delta).expect("fits");
        prop_assert_eq!(&applied, &later);
        let text = serde_json::to_string(&RawRouteTable::from(&later)).expect("serialisable");
        let raw: RawRouteTable = serde_json::from_str(&text).expect("its own form");
        prop_assert_eq!(RouteTable::try_from(raw).expect("valid"), later);
    }
}
