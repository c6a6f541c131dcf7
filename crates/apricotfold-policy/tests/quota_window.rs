//! Quotas that nodes share, under the loads and failures that operators expect.

#[path = "support/quota_mesh.rs"]
mod quota_mesh;

use std::time::Duration;

use quota_mesh::{Demand, Mesh, bound};

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn spread(tenant: usize, nodes: impl ExactSizeIterator<Item = usize>, rate: f64) -> Vec<Demand> {
    let part = rate / to_float(nodes.len());
    let demand = nodes.map(|node| Demand {
        tenant,
        node,
        rate: part,
    });
    demand.collect()
}

#[expect(clippy::cast_precision_loss, reason = "counts of a test are small")]
fn to_float(count: usize) -> f64 {
    count as f64
}

fn check(mesh: &Mesh, tenant: usize, rate: f64, case: &str) {
    let peak = to_float(mesh.peak(tenant, Duration::ZERO));
    assert!(peak <= bound(rate), "{case}: {peak} at {rate}/s");
}

/// Runs demand and returns the number of requests that ran and that were refused meanwhile.
fn run(mesh: &mut Mesh, time: Duration, demand: &[Demand]) -> (f64, f64) {
    let from = mesh.elapsed();
    mesh.run(time, demand);
    let (ran, refused) = mesh.count(0, from);
    (to_float(ran), to_float(refused))
}

/// Guards against a tenant that is refused below its limit where its traffic enters at few nodes or moves
/// to other nodes, or that gets less than the limit when it asks for more.
#[test]
fn three_nodes_get_limit() {
    for (seed, rate) in [
        (0, 2.0),
        (1, 2.0),
        (0, 8.0),
        (1, 8.0),
        (0, 60.0),
        (1, 700.0),
    ] {
        let case = format!("seed {seed}, {rate}/s");
        let mut mesh = Mesh::new(82, &[rate], seed);
        let usual = rate / 1.6;
        // Until 6 s after their start, owners lease only a part of the limit.
        mesh.run(seconds(8), &spread(0, 10..13, usual));
        let (ran, refused) = run(&mut mesh, seconds(10), &spread(0, 10..13, usual));
        assert!(refused <= ran * 0.005 + 1.0, "{case}: {ran}, {refused}");
        mesh.run(seconds(2), &spread(0, 40..43, usual));
        let (ran, refused) = run(&mut mesh, seconds(10), &spread(0, 40..43, usual));
        assert!(
            refused <= ran * 0.01 + 1.0,
            "{case}: moved: {ran}, {refused}"
        );
        let (ran, refused) = run(&mut mesh, seconds(10), &spread(0, 40..43, rate * 4.0));
        assert!(ran >= rate * 10.0, "{case}: hot: {ran}, {refused}");
        check(&mesh, 0, rate, &case);
    }
}

/// Returns what three nodes, some more or all ask for in all.
fn entries(rate: f64) -> [(&'static str, Vec<Demand>); 3] {
    let few = spread(0, 10..13, rate);
    [
        ("3 nodes", few),
        ("20 nodes", spread(0, 20..40, rate)),
        ("all nodes", spread(0, 0..82, rate)),
    ]
}

/// Guards against a burst at each node when the owner or all nodes restart, or are killed and replaced.
#[test]
fn restarts() {
    for rate in [2.0, 30.0, 300.0] {
        for (entry, demand) in entries(rate * 5.0) {
            let mut mesh = Mesh::new(82, &[rate], 3);
            mesh.run(seconds(8), &demand);
            let owner = mesh.owner(0);
            mesh.restart(owner);
            mesh.run(seconds(8), &demand);
            for node in 0..82 {
                mesh.restart(node);
            }
            mesh.run(seconds(8), &demand);
            mesh.kill(mesh.owner(0));
            mesh.run(seconds(10), &demand);
            mesh.restart(owner);
            mesh.run(seconds(6), &demand);
            let case = format!("{entry}, {rate}/s, {:?}", mesh.count(0, Duration::ZERO));
            check(&mesh, 0, rate, &case);
        }
    }
}

/// Guards against the limit being leased on both sides of a partition, and against requests below the
/// limit that are refused on the smaller side.
#[test]
fn partition_of_25() {
    for rate in [2.0, 30.0, 300.0] {
        for (entry, demand) in entries(rate * 5.0) {
            for owner_cut_off in [false, true] {
                let mut mesh = Mesh::new(82, &[rate], 4);
                mesh.run(seconds(8), &demand);
                let owner = mesh.owner(0);
                let cut_off: Vec<usize> = (0..82)
                    .filter(|node| (*node == owner) == owner_cut_off || *node != owner)
                    .take(25)
                    .collect();
                for node in &cut_off {
                    mesh.set_side(*node, 1);
                }
                if owner_cut_off {
                    mesh.set_side(owner, 1);
                }
                mesh.run(seconds(9), &demand);
                for node in 0..82 {
                    mesh.set_side(node, 0);
                }
                mesh.run(seconds(12), &demand);
                let case = format!("{entry}, {rate}/s, owner cut off {owner_cut_off}");
                check(&mesh, 0, rate, &case);
            }
        }
    }
    let rate = 60.0;
    let mut mesh = Mesh::new(82, &[rate], 5);
    let usual = spread(0, 0..82, rate / 1.6);
    mesh.run(seconds(12), &usual);
    let owner = mesh.owner(0);
    for node in (0..82).filter(|node| *node != owner).take(25) {
        mesh.set_side(node, 1);
    }
    let (ran, refused) = run(&mut mesh, seconds(9), &usual);
    // Nodes that are cut off have little more than one token each at this rate.
    assert!(refused <= (ran + refused) * 0.25, "{ran}, {refused}");
}

/// Guards against a limit that stays in force after it was lowered.
#[test]
fn lowered_limit() {
    for (entry, demand) in entries(400.0) {
        let mut mesh = Mesh::new(82, &[200.0], 6);
        mesh.run(seconds(10), &demand);
        mesh.set_limit(0, 20.0);
        let lowered = mesh.elapsed();
        mesh.run(seconds(15), &demand);
        let peak = to_float(mesh.peak(0, lowered));
        assert!(peak <= bound(20.0), "{entry}: {peak}");
        let (ran, _) = mesh.count(0, lowered + seconds(5));
        // Ten seconds of the limit, less what lies in the buckets of nodes that ask too rarely.
        assert!(ran >= 170, "{entry}: {ran}");
    }
}

/// Guards against messages that take more than 1 KB/s of a node in all. A message and its answer count
/// with 200 bytes of heads.
#[test]
fn message_bytes() {
    let rates: Vec<f64> = (0..84)
        .map(|tenant| match tenant {
            0..4 => 700.0,
            4..12 => 60.0,
            12..40 => 8.0,
            _ => 2.0,
        })
        .collect();
    let mut mesh = Mesh::new(82, &rates, 8);
    let demand: Vec<Demand> = rates
        .iter()
        .enumerate()
        .flat_map(|(tenant, rate)| {
            let usual = rate / 1.6;
            // Large tenants enter everywhere, others at ten or three nodes.
            let first = tenant * 7 % 72;
            let nodes = match *rate {
                100.0.. => 0..82,
                50.0.. => first..first + 10,
                _ => first..first + 3,
            };
            spread(tenant, nodes, usual)
        })
        .collect();
    mesh.run(seconds(12), &demand);
    let (bytes, messages) = (mesh.bytes, mesh.messages);
    mesh.run(seconds(10), &demand);
    let bytes = to_float(mesh.bytes - bytes) / 10.0 / 82.0;
    let messages = to_float(mesh.messages - messages) / 10.0 / 82.0;
    assert!(bytes < 1_000.0, "{bytes} bytes/s, {messages} messages/s");
}
