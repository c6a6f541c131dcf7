//! Tests of crash counts by request fingerprint.

mod mesh;

use std::time::{Duration, Instant};

use apricotfold_control::{ControlAction, ControlConfig, ControlCore, ControlEvent};
use apricotfold_schema::peer::RecordKind;
use mesh::Mesh;

fn crash(fingerprint: &str) -> ControlEvent {
    ControlEvent::CrashObserved {
        fingerprint: fingerprint.into(),
    }
}

/// Guards against crashes of one fingerprint on different nodes that are not summed, and against a
/// restarted node whose count restarts below its earlier one and is ignored.
#[test]
fn counts_add_up() {
    let mut mesh = Mesh::new(1);
    mesh.start_many(5, ("north", "n-a"));
    mesh.run(Duration::from_secs(4));
    mesh.feed("n-a-02", crash("f"));
    mesh.feed("n-a-03", crash("f"));
    mesh.feed("n-a-03", crash("g"));
    mesh.run(Duration::from_secs(1));
    assert!(mesh.crashes.contains(&("n-a-00".into(), "f".into(), 2)));
    assert!(
        !mesh
            .crashes
            .iter()
            .any(|(_, name, count)| name == "g" && *count > 1)
    );
    mesh.kill("n-a-03");
    mesh.start("n-a-03", ("north", "n-a"), 2, &["n-a-00"]);
    mesh.run(Duration::from_secs(4));
    mesh.feed("n-a-03", crash("f"));
    mesh.run(Duration::from_secs(1));
    assert!(mesh.crashes.contains(&("n-a-00".into(), "f".into(), 3)));
}

/// Guards against unbounded memory use on every node when a target crashes with ever new requests.
#[test]
fn bounded_counts() {
    let start = Instant::now();
    let config = ControlConfig {
        node: "own".into(),
        region: "north".into(),
        data_centre: "n-a".into(),
        control_address: "own".into(),
        mesh_address: "own".into(),
        admin_address: "own".into(),
        incarnation: 1,
        contacts: Vec::new(),
        seed: 5,
    };
    let mut core = ControlCore::new(config, start);
    for number in 0..2000 {
        core.handle(crash(&format!("f{number}")), start);
    }
    let shared = core.records().range(RecordKind::Crash, "").count();
    assert_eq!(shared, 256);
    for minute in 1..=11 {
        core.handle(ControlEvent::Tick, start + Duration::from_mins(minute));
    }
    assert_eq!(core.records().range(RecordKind::Crash, "").count(), 0);
    let actions = core.handle(crash("f1999"), start + Duration::from_mins(12));
    let fingerprint = "f1999".into();
    assert!(actions.contains(&ControlAction::CrashCounts {
        fingerprint,
        count: 1
    }));
}

/// Guards against a crash that most nodes learn of only from the next advertisement because a
/// message on the push tree was lost. The caller may immediately repeat its request through any
/// node.
#[test]
fn broadcast_despite_losses() {
    for seed in 1..=10 {
        let mut mesh = Mesh::new(seed);
        let names = mesh.start_many(16, ("north", "n-a"));
        mesh.run(Duration::from_secs(8));
        for step in 0..20 {
            mesh.announce("n-a-03", if step % 2 == 0 { "api" } else { "web" });
            mesh.run(Duration::from_millis(500));
        }
        mesh.loss = 0.25;
        mesh.feed("n-a-02", crash("f"));
        mesh.run(Duration::from_millis(100));
        let told = names
            .iter()
            .filter(|node| mesh.crashes.contains(&((*node).clone(), "f".into(), 1)))
            .count();
        assert!(told >= 15, "seed {seed}: {told} of 16");
    }
}
