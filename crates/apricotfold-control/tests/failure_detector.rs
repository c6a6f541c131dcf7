//! Tests of members that die, pause, return or are partitioned.

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

/// Guards against a dead node that is still reported live, and against live nodes that are reported
/// gone with it.
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

/// Guards against undetected failures when monitors die together with the members that they
/// monitor, and against returned members that an old removal hides.
#[test]
fn half_of_members_killed() {
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

/// Guards against members that stay gone because their clocks were set back before they were started
/// again, so that their incarnations begin below the former ones.
#[test]
fn clocks_set_back() {
    let mut mesh = Mesh::new(8);
    let names = mesh.start_many(10, ("north", "n-a"));
    mesh.run(secs(6));
    let restarted = &names[4..8];
    for node in restarted {
        mesh.kill(node);
    }
    mesh.run(secs(1));
    for node in restarted {
        mesh.start(node, ("north", "n-a"), 0, &["n-a-01", "n-a-03"]);
    }
    mesh.run(secs(8));
    assert_live(&mesh, &names, 10, "after the return");
    for node in restarted {
        let incarnation = mesh.cores[node].incarnation();
        assert!(incarnation > 1000, "{node} {incarnation}");
    }
}

/// Guards against a live node that stays gone because its monitors cannot reach it, and against a
/// suspicion and a refutation every second while the link is broken.
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

/// Guards against a two-node data centre that waits for a second monitor forever, and against a
/// single remaining node that does not detect the failure or the return of the other.
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

/// Guards against a node that suspects all other members after a pause, because it received nothing
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
        "the other nodes consider the paused node gone"
    );
    mesh.paused.clear();
    mesh.logs.clear();
    mesh.run(secs(5));
    let suspicions = mesh
        .logs
        .iter()
        .filter(|(node, text)| node == "n-a-02" && text.starts_with("AF4003"));
    assert_eq!(suspicions.count(), 0, "suspicions by the paused node");
    assert_live(&mesh, &names, 6, "after the pause");
}

/// Guards against halves of a data centre that never reconnect after a partition because each has
/// removed the other's endpoints.
#[test]
fn partitioned_members() {
    for seed in 0..4 {
        let mut mesh = Mesh::new(60 + seed);
        let names = mesh.start_many(10, ("north", "n-a"));
        mesh.run(secs(5));
        // Both contacts are in the first half.
        mesh.set_cut(&names[..5], &names[5..], true);
        mesh.run(secs(30));
        assert_live(&mesh, &names, 5, "during the split");
        mesh.set_cut(&names[..5], &names[5..], false);
        mesh.run(secs(15));
        assert_live(&mesh, &names, 10, "after the split");
    }
}

/// Guards against routing to an unreachable data centre, against its endpoints being lost
/// permanently, and against a data centre that drops its own targets when it is cut off.
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

/// Guards against a leaving node that is dropped only once its monitors agree, and against its
/// return through a refutation.
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
