//! Which versions a node uses before, during and after a rollout.

use std::time::{Duration, Instant};

use apricotfold_model::{InstanceRecord, RolloutOrder, RolloutState, VersionName};
use apricotfold_policy::{
    GRANT_LIFETIME, OrderAge, RolloutGrant, RolloutRecord, RolloutView, VersionGroup,
};

const SERVICE: &str = "precios";

fn order(version: &str) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.into(),
        target_version: version.into(),
        duration: Duration::from_secs(12),
    }
}

fn record(version: &str, order_revision: u64, state: RolloutState) -> RolloutRecord {
    RolloutRecord {
        service: SERVICE.into(),
        target_version: version.into(),
        order_revision,
        state,
        decider: "d".into(),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn versions() -> impl Iterator<Item = Option<VersionName>> {
    [None, Some("v1".into()), Some("v2".into())].into_iter()
}

fn admits(view: &RolloutView, group: VersionGroup, version: &str) -> bool {
    view.admits(SERVICE, group, Some(&version.into()), false)
}

fn start(state: Option<RolloutState>) -> RolloutView {
    let mut view = RolloutView::default();
    let age = OrderAge::Known(Duration::ZERO);
    view.apply_order(order("v2"), 5, age, Instant::now());
    if let Some(state) = state {
        view.apply_record(6, record("v2", 5, state), versions());
    }
    view
}

/// Guards against requests to a new version without a grant, after its end, or in bursts.
#[test]
fn grants() {
    let now = Instant::now();
    let mut view = start(Some(RolloutState::Active));
    let draw = |view: &mut RolloutView, at: Instant| {
        let groups = (0..100).map(|_| view.choose_group(SERVICE, 0.5, at));
        let new: Vec<bool> = groups.map(|group| group == VersionGroup::New).collect();
        assert!(!new.windows(2).any(|pair| pair[0] && pair[1]), "a burst");
        new.iter().filter(|new| **new).count()
    };
    assert_eq!(draw(&mut view, now), 0);
    let grant = RolloutGrant {
        share: 0.08,
        stop: false,
    };
    view.apply_grant(SERVICE, 4, grant, now);
    assert_eq!(draw(&mut view, now), 0, "a grant for another order");
    view.apply_grant(SERVICE, 5, grant, now);
    assert_eq!(draw(&mut view, now), 8);
    assert_eq!(draw(&mut view, now + GRANT_LIFETIME), 0);
    let stop = RolloutGrant {
        share: 0.0,
        stop: true,
    };
    view.apply_grant(SERVICE, 5, stop, now);
    view.apply_grant(SERVICE, 5, grant, now);
    assert_eq!(draw(&mut view, now), 0, "a grant after the stop");
}

/// Guards against a version that was rolled back or replaced and gets requests again.
#[test]
fn retired_versions() {
    let view = start(Some(RolloutState::RolledBack));
    assert!(!view.is_open(SERVICE));
    assert!(!admits(&view, VersionGroup::Any, "v2"));
    assert!(admits(&view, VersionGroup::Any, "v1"));
    assert!(view.admits(SERVICE, VersionGroup::Any, Some(&"v2".into()), true));
    let view = start(Some(RolloutState::Completed));
    assert!(!admits(&view, VersionGroup::Any, "v1"));
    assert!(!view.admits(SERVICE, VersionGroup::Any, None, false));
    assert!(admits(&view, VersionGroup::Any, "v2"));
    // A version that no order names plays no role.
    assert!(admits(&view, VersionGroup::Any, "v3"));
}

/// Guards against a new order that does not give a version that was rolled back another chance, and
/// against a late record of the former order that ends the new one.
#[test]
fn newer_orders() {
    let mut view = start(Some(RolloutState::RolledBack));
    let age = OrderAge::Known(Duration::ZERO);
    assert!(view.apply_order(order("v2"), 9, age, Instant::now()));
    assert!(view.is_open(SERVICE));
    assert!(admits(&view, VersionGroup::New, "v2"));
    assert!(!admits(&view, VersionGroup::Old, "v2"));
    view.apply_record(10, record("v2", 5, RolloutState::RolledBack), versions());
    assert!(view.is_open(SERVICE));
    assert!(!view.apply_order(order("v3"), 8, age, Instant::now()));
    view.apply_record(11, record("v2", 9, RolloutState::Completed), versions());
    assert!(!view.is_open(SERVICE));
}

/// Guards against records of earlier releases, which have no version, that can't be read.
#[test]
fn former_records() {
    let text = r#"{"node":"n","address":"127.0.0.1:1","node-start":1,"data-centre":"p",
        "instance":"i","born":1,"number":1,"service":"s","slots":1,"state":"ready","cold-ms":0}"#;
    let record: InstanceRecord = serde_json::from_str(text).expect("a record");
    assert_eq!(record.version, None);
    assert!(
        !serde_json::to_string(&record)
            .expect("text")
            .contains("version")
    );
}
