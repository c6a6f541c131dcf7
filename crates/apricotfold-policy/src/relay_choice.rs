//! Selection of the nodes that follow the store on behalf of their data centre. See
//! `docs/platform.md`, section 4.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use apricotfold_model::{DataCentreName, InstanceRecord, InstanceState, NodeId};
use smallvec::SmallVec;

/// Number of relays in a data centre. There are two, so that one which is cut off or stalls does
/// not keep the other nodes from a change.
const RELAY_COUNT: usize = 2;

/// Number of nodes in a data centre up to which each follows the store itself, because relays would
/// save too little.
const MAX_DIRECT_NODES: usize = 4;

/// Bandwidth in Mbit/s above which a wider link does not make a node a better relay: a large table
/// for fifty nodes takes less than half a second on it.
const SUFFICIENT_MBPS: u32 = 100;

/// Relays that a node polls for changes.
pub type RelayNodes = SmallVec<[NodeId; RELAY_COUNT]>;

/// Nodes that follow the store themselves.
pub type FollowerNodes = SmallVec<[NodeId; MAX_DIRECT_NODES]>;

/// Relays of other data centres.
pub type RemoteRelays = SmallVec<[NodeId; 8]>;

/// Number of turns in which nodes take the place of relays that are not usable.
const TAKEOVER_TURNS: usize = 2;

/// Time that the nodes of a turn have to reach the store before those of the next one follow it, too.
const TURN_TIME: Duration = Duration::from_millis(600);

/// Nodes that take the place of relays, the first ones first.
pub type SuccessorNodes = SmallVec<[NodeId; RELAY_COUNT * TAKEOVER_TURNS]>;

/// Source from which a node receives changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowRole {
    /// The node follows the store itself.
    Direct,
    /// The node polls these relays, which follow the store.
    Through(RelayNodes),
}

/// Determines the role of a node from the instances that it knows. Relays are nodes with the widest
/// links, because all other nodes of the data centre receive from them. Nodes with the same information
/// choose the same relays; otherwise a node that is polled although it is not a relay says so in
/// its answer.
pub fn choose_role<'a>(
    own: &NodeId,
    data_centre: &DataCentreName,
    records: impl Iterator<Item = &'a InstanceRecord>,
) -> FollowRole {
    let local = records.filter(|record| record.data_centre == *data_centre);
    let candidates = ranked_candidates(local);
    if candidates.len() <= MAX_DIRECT_NODES {
        return FollowRole::Direct;
    }
    let relays: RelayNodes = first_nodes(&candidates).collect();
    if relays.contains(own) {
        return FollowRole::Direct;
    }
    FollowRole::Through(relays)
}

/// Determines the relays of all other data centres. A node polls them while its own relays are silent or
/// have lost the store: they send it what has changed, whereas from the store all nodes of the data
/// centre would read whole tables at once.
pub fn choose_remote_relays<'a>(
    data_centre: &DataCentreName,
    records: impl Iterator<Item = &'a InstanceRecord>,
) -> RemoteRelays {
    let others = records.filter(|record| record.data_centre != *data_centre);
    by_data_centre(others)
        .flat_map(|candidates| first_nodes(&candidates).collect::<RelayNodes>())
        .collect()
}

/// Determines the nodes that take the place of the relays of a data centre. `is_excluded` tells the relays,
/// and nodes that do not answer. As long as nodes have the same information, they choose the same ones, so
/// that one or two of them read the table from the store while the others wait for these.
pub fn choose_successors<'a>(
    data_centre: &DataCentreName,
    is_excluded: impl Fn(&NodeId) -> bool,
    records: impl Iterator<Item = &'a InstanceRecord>,
) -> SuccessorNodes {
    let local = records.filter(|record| record.data_centre == *data_centre);
    let candidates = ranked_candidates(local.filter(|record| !is_excluded(&record.node)));
    let successors = candidates.into_iter().take(RELAY_COUNT * TAKEOVER_TURNS);
    successors.map(|record| record.node.clone()).collect()
}

/// Returns the time for which a node leaves it to the successors before it to follow the store.
#[must_use]
pub fn takeover_delay(own: &NodeId, successors: &[NodeId]) -> Duration {
    let place = successors.iter().position(|node| node == own);
    let turn = place.map_or(TAKEOVER_TURNS, |place| place / RELAY_COUNT);
    TURN_TIME * u32::try_from(turn).unwrap_or(u32::MAX)
}

/// Returns those of the successors that should follow the store when nothing has been heard of it for
/// `overdue` longer than nodes wait for their relays.
#[must_use]
pub fn due_successors(successors: &[NodeId], overdue: Duration) -> &[NodeId] {
    let turns = 1 + overdue.as_millis() / TURN_TIME.as_millis();
    let count = usize::try_from(turns).unwrap_or(usize::MAX);
    let count = count.saturating_mul(RELAY_COUNT);
    &successors[..count.min(successors.len())]
}

/// Determines the nodes that follow the store themselves, as far as roles alone tell. A node compares
/// what its watches have delivered with what theirs have.
pub fn choose_followers<'a>(records: impl Iterator<Item = &'a InstanceRecord>) -> RemoteRelays {
    by_data_centre(records).flat_map(follower_nodes).collect()
}

/// Determines the nodes that can monitor the watches of a data centre, in the order in which they are
/// asked: the best of its region, so that few nodes pay for it, then the followers of the data centre,
/// which may be cut off from the rest of the region.
pub fn choose_monitors<'a>(
    data_centre: &DataCentreName,
    in_region: impl Fn(&DataCentreName) -> bool,
    records: impl Iterator<Item = &'a InstanceRecord> + Clone,
) -> FollowerNodes {
    let regional = records
        .clone()
        .filter(|record| in_region(&record.data_centre));
    let best = regional
        .filter(|record| record.state == InstanceState::Ready)
        .min_by_key(|record| relay_order(record));
    let local = records.filter(|record| record.data_centre == *data_centre);
    let mut monitors = follower_nodes(ranked_candidates(local));
    if let Some(best) = best.map(|record| &record.node)
        && monitors.first() != Some(best)
    {
        monitors.insert(0, best.clone());
    }
    monitors
}

/// Returns those of the candidates of a data centre that follow the store themselves.
fn follower_nodes(candidates: Vec<&InstanceRecord>) -> FollowerNodes {
    let count = if candidates.len() > MAX_DIRECT_NODES {
        RELAY_COUNT
    } else {
        MAX_DIRECT_NODES
    };
    let followers = candidates.into_iter().take(count);
    followers.map(|record| record.node.clone()).collect()
}

/// Returns the instances of each data centre that can be relays, the best first.
fn by_data_centre<'a>(
    records: impl Iterator<Item = &'a InstanceRecord>,
) -> impl Iterator<Item = Vec<&'a InstanceRecord>> {
    let mut groups: BTreeMap<&DataCentreName, Vec<&InstanceRecord>> = BTreeMap::new();
    for record in records {
        groups.entry(&record.data_centre).or_default().push(record);
    }
    groups.into_values().map(ranked_candidates)
}

/// Returns the instances that can be relays, the best first.
fn ranked_candidates<'a>(
    records: impl IntoIterator<Item = &'a InstanceRecord>,
) -> Vec<&'a InstanceRecord> {
    let mut candidates: Vec<_> = records
        .into_iter()
        .filter(|record| record.state == InstanceState::Ready)
        .collect();
    candidates.sort_by_key(|record| relay_order(record));
    candidates
}

fn first_nodes(candidates: &[&InstanceRecord]) -> impl Iterator<Item = NodeId> {
    let relays = candidates.iter().take(RELAY_COUNT);
    relays.map(|record| record.node.clone())
}

/// Sort key of the candidates; the lowest become relays. A link of unknown bandwidth is not known to
/// be narrow.
fn relay_order(record: &InstanceRecord) -> (Reverse<u32>, u64, &NodeId) {
    let bandwidth = match record.link_mbps {
        0 => SUFFICIENT_MBPS,
        known => known.min(SUFFICIENT_MBPS),
    };
    (Reverse(bandwidth), relay_rank(&record.node), &record.node)
}

/// Hashes a node name (FNV-1a), so that the relays do not depend on naming patterns.
fn relay_rank(node: &str) -> u64 {
    node.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
