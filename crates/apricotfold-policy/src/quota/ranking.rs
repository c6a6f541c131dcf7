//! Choice of the nodes that own quotas.

use std::cmp::Reverse;

use apricotfold_model::{InstanceRecord, InstanceState, NodeId};

/// Number of nodes among which the quotas are spread. Each node sends a message to each of them every
/// few seconds; with 4, all of a node's messages take under 1 KB/s.
const MAX_CANDIDATES: usize = 4;

/// Bandwidth in Mbit/s above which a wider link does not make a node a better owner.
const SUFFICIENT_MBPS: u32 = 100;

/// The nodes that may own quotas, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerCandidates(Vec<NodeId>);

/// Chooses the candidates among the ready nodes: those with the widest links.
pub fn choose_candidates<'a>(records: impl Iterator<Item = &'a InstanceRecord>) -> OwnerCandidates {
    let ready = records.filter(|record| record.state == InstanceState::Ready);
    let mut ranked: Vec<_> = ready
        .map(|record| {
            let bandwidth = match record.link_mbps {
                0 => SUFFICIENT_MBPS,
                known => known.min(SUFFICIENT_MBPS),
            };
            (Reverse(bandwidth), hash([&record.node]), &record.node)
        })
        .collect();
    if ranked.len() > MAX_CANDIDATES {
        ranked.select_nth_unstable(MAX_CANDIDATES - 1);
        ranked.truncate(MAX_CANDIDATES);
    }
    let mut nodes: Vec<NodeId> = ranked
        .into_iter()
        .map(|(_, _, node)| node.clone())
        .collect();
    nodes.sort_unstable();
    OwnerCandidates(nodes)
}

impl OwnerCandidates {
    /// Returns the candidates in the order in which they are to own a tenant's quota (rendezvous
    /// hashing), so that the loss of one moves only its tenants.
    #[must_use]
    pub fn ranked(&self, tenant: &str) -> Vec<&NodeId> {
        let mut nodes: Vec<_> = self.0.iter().collect();
        nodes.sort_by_key(|node| hash([tenant, node]));
        nodes
    }

    /// Returns the owner of a tenant's quota.
    #[must_use]
    pub fn owner(&self, tenant: &str) -> Option<&NodeId> {
        self.0.iter().min_by_key(|node| hash([tenant, node]))
    }

    /// Returns whether no node may own quotas.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Hashes texts (FNV-1a with a final mix), equally on every node and release.
fn hash<const N: usize>(texts: [&str; N]) -> u64 {
    let bytes = texts.into_iter().flat_map(|text| text.bytes().chain([0]));
    let sum = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (sum ^ (sum >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
