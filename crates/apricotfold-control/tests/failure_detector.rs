//! Members that die, pause, return or are cut off.

mod mesh;

use std::time::Duration;

use apricotfold_control::ControlEvent;
use compact_str::CompactString;
use mesh::Mesh;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn live(mesh: &Mesh, node: &str) -> usize {
    mesh.cores[node].live_endpoints().len()
}

fn assert_live(mesh: &Mesh, nodes: &[CompactString], count: usize, step: &str) {
    for node in nodes {
        assert_eq!(live(mesh, node), count, "{step}: live endpoints of {node}");
    }
}

/// Guards against a dead node that stays in the live lists, and against live ones that leave them
/// with it.
#[test]
fn dead_member() {
    let mut mesh = Mesh::new(1);
    let mut names = mesh.start_many(10, ("north", "n-a"));
    mesh.run(secs(5));
    assert_live(&mesh, &names, 10, "start");
    mesh.kill("n-a-06");
    names.remove(6);
    mesh.run(Duration::from_millis(3500));
    assert_live(&mesh, &names, 9, "after the death");
    mesh.run(secs(20));
    assert_live(&mesh, &names, 9, "later");
}

/// Guards against monitors that die together with the members they watch, and against returned
/// members that an old removal hides.
#[test]
fn half_vanish() {
    let mut mesh = Mesh::new(2);
    let names = mesh.start_many(20, ("north", "n-a"));
    mesh.run(secs(6));
    let (dead, survivors): (Vec<_>, Vec<_>) = names
        .iter()
        .cloned()
        .partition(|name| name.as_bytes()[5] % 2 == 0);
    for node in &dead {
        mesh.kill(node);
    }
    mesh.run(secs(8));
    assert_live(&mesh, &survivors, 10, "after the loss");
    for node in &dead {
        mesh.start(node, ("north", "n-a"), 2, &["n-a-01", "n-a-03"]);
    }
    mesh.run(secs(8));
    assert_live(&mesh, &names, 20, "after the return");
    let endpoints = mesh.cores["n-a-01"].live_endpoints();
    for endpoint in endpoints.iter().filter(|found| dead.contains(&found.node)) {
        assert!(endpoint.incarnation >= 2000, "{endpoint:?}");
    }
}

/// Guards against a live node that stays out of the lists because its monitors cannot reach it,
/// and against a suspicion and a refutation each second while the link is broken.
#[test]
fn refuted_suspicion() {
    let mut mesh = Mesh::new(3);
    let names = mesh.start_many(10, ("north", "n-a"));
    mesh.run(secs(5));
    let subject = &names[4..5];
    mesh.set_cut(subject, &names[..4], true);
    mesh.set_cut(subject, &names[6..], true);
    mesh.run(secs(60));
    let incarnation = mesh.cores["n-a-04"].incarnation();
    assert!(incarnation < 1000 + 30, "incarnation {incarnation}");
    mesh.set_cut(subject, &names, false);
    mesh.run(secs(15));
    assert_live(&mesh, &names, 10, "after the repair");
}

/// Guards against a pair that waits for a second monitor for ever, and against a lone node that
/// misses somebody.
#[test]
fn two_members() {
    let mut mesh = Mesh::new(4);
    mesh.start_many(2, ("north", "n-a"));
    mesh.run(secs(4));
    assert_eq!(live(&mesh, "n-a-00"), 2);
    mesh.kill("n-a-01");
    mesh.run(secs(4));
    assert_eq!(live(&mesh, "n-a-00"), 1);
    mesh.start("n-a-01", ("north", "n-a"), 2, &["n-a-00"]);
    mesh.run(secs(4));
    assert_eq!(live(&mesh, "n-a-00"), 2);
    assert_eq!(live(&mesh, "n-a-01"), 2);
}

/// Guards against a node that was paused and then declares everybody gone, because it heard nobody
/// meanwhile.
#[test]
fn paused_member() {
    let mut mesh = Mesh::new(5);
    let names = mesh.start_many(6, ("north", "n-a"));
    mesh.run(secs(5));
    mesh.paused.insert("n-a-02".into());
    mesh.run(secs(8));
    assert_eq!(
        live(&mesh, "n-a-00"),
        5,
        "the paused node is gone for others"
    );
    mesh.paused.clear();
    mesh.logs.clear();
    mesh.run(secs(5));
    let blamed = mesh
        .logs
        .iter()
        .filter(|(node, text)| node == "n-a-02" && text.starts_with("AF4003"));
    assert_eq!(blamed.count(), 0, "suspicions by the paused node");
    assert_live(&mesh, &names, 6, "after the pause");
}

/// Guards against halves of a data centre that never find each other again, since each has removed
/// the other's endpoints.
#[test]
fn split_members() {
    for seed in 0..4 {
        let mut mesh = Mesh::new(60 + seed);
        let names = mesh.start_many(10, ("north", "n-a"));
        mesh.run(secs(5));
        // The contacts are in the left half only.
        mesh.set_cut(&names[..5], &names[5..], true);
        mesh.run(secs(30));
        assert_live(&mesh, &names, 5, "during the split");
        mesh.set_cut(&names[..5], &names[5..], false);
        mesh.run(secs(15));
        assert_live(&mesh, &names, 10, "after the split");
    }
}

/// Guards against calls to a data centre that nobody reaches, against its endpoints being lost for
/// good, and against a data centre that gives up its own targets when it is cut off.
#[test]
fn lost_data_centre() {
    let mut mesh = Mesh::new(7);
    let mut sides = Vec::new();
    for (place, contact) in [(("north", "n-a"), "n-a-00"), (("south", "s-a"), "s-a-00")] {
        let names: Vec<CompactString> = (0..4)
            .map(|i| format!("{}-{i:02}", place.1).into())
            .collect();
        for node in &names {
            mesh.start(node, place, 1, &[contact]);
        }
        sides.push(names);
    }
    mesh.run(secs(10));
    assert_live(&mesh, &sides.concat(), 8, "start");
    mesh.set_cut(&sides[0], &sides[1], true);
    mesh.run(secs(5));
    assert_live(&mesh, &sides.concat(), 4, "cut off");
    mesh.announce("n-a-01", "api");
    mesh.run(secs(30));
    mesh.set_cut(&sides[0], &sides[1], false);
    mesh.run(secs(8));
    assert_live(&mesh, &sides.concat(), 8, "joined again");
    let members = mesh.cores["s-a-03"].members();
    let changed = members.iter().find(|member| member.node == "n-a-01");
    assert_eq!(changed.expect("member").profile, "api");
}

/// Guards against a leaving node that others only drop after its monitors have agreed, and against
/// its return to the lists by a refutation.
#[test]
fn leaving_member() {
    let mut mesh = Mesh::new(8);
    let mut names = mesh.start_many(5, ("north", "n-a"));
    mesh.run(secs(4));
    mesh.feed("n-a-03", ControlEvent::Leaving);
    names.remove(3);
    mesh.run(Duration::from_millis(600));
    assert_live(&mesh, &names, 4, "soon after it left");
    mesh.run(secs(3));
    assert_live(&mesh, &names, 4, "later");
}
