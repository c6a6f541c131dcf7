//! Which nodes of a data centre follow the store for the others. See `docs/platform.md`, section 4.

use apricotfold_model::{DataCentreName, InstanceRecord, InstanceState, NodeId};
use smallvec::SmallVec;

/// Nodes of a data centre that follow the store. Two of them, so that one that is cut off or
/// stands still does not keep the others from a change.
const RELAYS: usize = 2;

/// Nodes of a data centre up to which each follows the store itself: a relay saves too little.
const MAX_DIRECT: usize = 4;

/// Nodes that a follower asks.
pub type RelayNodes = SmallVec<[NodeId; RELAYS]>;

/// How a node learns of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowRole {
    /// From the store.
    Direct,
    /// From these nodes, which follow the store.
    Through(RelayNodes),
}

/// Chooses a node's role from the instances that it knows. Nodes with the same knowledge choose the
/// same relays; with different knowledge, a node that is asked although it is no relay says so.
pub fn choose_role<'a>(
    own: &NodeId,
    data_centre: &DataCentreName,
    records: impl Iterator<Item = &'a InstanceRecord>,
) -> FollowRole {
    let mut nodes: Vec<&NodeId> = records
        .filter(|record| record.data_centre == *data_centre && record.state == InstanceState::Ready)
        .map(|record| &record.node)
        .collect();
    if nodes.len() <= MAX_DIRECT {
        return FollowRole::Direct;
    }
    nodes.sort_by_key(|node| (rank_node(node), *node));
    let relays: RelayNodes = nodes.into_iter().take(RELAYS).cloned().collect();
    if relays.contains(own) {
        return FollowRole::Direct;
    }
    FollowRole::Through(relays)
}

/// Spreads the duty over nodes whatever their names are (FNV-1a).
fn rank_node(node: &str) -> u64 {
    node.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
