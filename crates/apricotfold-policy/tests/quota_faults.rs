//! Quotas that nodes share, under random partitions, restarts and changes of the owner.

#[path = "support/quota_mesh.rs"]
mod quota_mesh;

use std::time::Duration;

use proptest::prelude::*;
use quota_mesh::{Demand, Mesh, bound};

/// Number of nodes; few, so that faults often concern the nodes that matter.
const NODES: usize = 9;

/// Longest partition that the bound must hold in.
const LONGEST_PARTITION: u64 = 9_000;

#[derive(Clone, Debug)]
enum Fault {
    /// Restarts a node, or starts it if it was killed.
    Restart(usize),
    RestartOwner,
    RestartAll,
    Kill(usize),
    KillOwner,
    /// Cuts the nodes whose bits are set off from the others and the store, for some milliseconds.
    Partition(u16, u64),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..NODES).prop_map(Fault::Restart),
        Just(Fault::RestartOwner),
        Just(Fault::RestartAll),
        (0..NODES).prop_map(Fault::Kill),
        Just(Fault::KillOwner),
        (1u16..512, 500..LONGEST_PARTITION).prop_map(|(nodes, time)| Fault::Partition(nodes, time)),
        (100u64..6_000).prop_map(Fault::Wait),
    ]
}

#[expect(clippy::cast_precision_loss, reason = "counts of a test are small")]
fn to_float(count: usize) -> f64 {
    count as f64
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Guards against more requests in any window of 5 s than the bound, whatever happens to the nodes.
    /// Faults follow each other at intervals of some seconds.
    #[test]
    fn bound_holds(
        rate in prop_oneof![Just(2.0), Just(8.0), Just(30.0), Just(120.0)],
        entries in prop::collection::vec(0..NODES, 1..NODES),
        excess in 0.5..7.0,
        faults in prop::collection::vec((fault(), 3_000u64..9_000), 1..7),
        seed in any::<u64>(),
    ) {
        let mut mesh = Mesh::new(NODES, &[rate], seed);
        let part = rate * excess / to_float(entries.len());
        let demand: Vec<Demand> = entries
            .iter()
            .map(|node| Demand { tenant: 0, node: *node, rate: part })
            .collect();
        mesh.run(Duration::from_secs(8), &demand);
        for (fault, pause) in &faults {
            let owner = mesh.owner(0);
            match *fault {
                Fault::Restart(node) => mesh.restart(node),
                Fault::RestartOwner => mesh.restart(owner),
                Fault::RestartAll => (0..NODES).for_each(|node| mesh.restart(node)),
                Fault::Kill(node) => mesh.kill(node),
                Fault::KillOwner => mesh.kill(owner),
                Fault::Partition(nodes, time) => {
                    for node in (0..NODES).filter(|node| nodes & (1 << node) != 0) {
                        mesh.set_side(node, 1);
                    }
                    mesh.run(Duration::from_millis(time), &demand);
                    (0..NODES).for_each(|node| mesh.set_side(node, 0));
                }
                Fault::Wait(time) => mesh.run(Duration::from_millis(time), &demand),
            }
            mesh.run(Duration::from_millis(*pause), &demand);
            if mesh.alive() == 0 {
                break;
            }
        }
        let peak = to_float(mesh.peak(0, Duration::ZERO));
        prop_assert!(peak <= bound(rate), "{} of {}", peak, bound(rate));
    }
}
