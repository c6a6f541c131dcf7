//! Which nodes of a data centre follow the store for the others. See `docs/platform.md`, section 4.

use apricotfold_model::{DataCentreName, InstanceRecord, InstanceState, NodeId};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

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

/// Useless answers of relays in a row after which a node follows the store itself.
const MAX_FAILURES: u32 = 2;

/// Time for which a node then does so at least.
const DIRECT_TIME: Duration = Duration::from_secs(8);

/// Time for which a node that has just started follows the store itself. It learns the relays by
/// then.
const START_TIME: Duration = Duration::from_secs(2);

/// Decides whether a node that may follow relays follows the store itself instead.
///
/// A node does so when its relays have no fresh word of the store although the store answers it:
/// then the relays are cut off. While the store answers nobody, following it would only add calls,
/// and at its return every node would read the whole table at once.
#[derive(Clone, Copy, Debug)]
pub struct DirectFallback {
    failures: u32,
    direct_until: Instant,
}

impl DirectFallback {
    /// Starts with a node that follows the store.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            direct_until: now + START_TIME,
        }
    }

    /// Tells whether a node that follows the store goes on doing so without asking relays.
    #[must_use]
    pub fn stays_direct(&self, now: Instant) -> bool {
        now < self.direct_until
    }

    /// Decides after a relay's answer. `reached` tells whether the store answers this node itself.
    /// Returns whether the node follows the store from now on, or `None` to leave that as it is.
    pub fn after_answer(&mut self, usable: bool, reached: bool, now: Instant) -> Option<bool> {
        if usable {
            self.failures = 0;
            return Some(false);
        }
        self.failures += 1;
        if self.failures < MAX_FAILURES || !reached {
            return None;
        }
        self.failures = 0;
        self.direct_until = now + DIRECT_TIME;
        Some(true)
    }
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
