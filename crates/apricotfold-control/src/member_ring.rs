//! Hash ring of the members of the local data centre.

use apricotfold_model::NodeId;
use compact_str::CompactString;

use crate::stable_hash::stable_hash;

/// A member of the ring, ordered by hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RingMember {
    pub(crate) hash: u64,
    pub(crate) node: NodeId,
    pub(crate) address: CompactString,
}

/// Members sorted by hash, always including this node.
#[derive(Debug, Default)]
pub(crate) struct MemberRing {
    members: Vec<RingMember>,
    own: usize,
}

impl MemberRing {
    pub(crate) fn new(own: &NodeId, others: impl Iterator<Item = (NodeId, CompactString)>) -> Self {
        let mut members: Vec<RingMember> = others
            .filter(|(node, _)| node != own)
            .chain(std::iter::once((own.clone(), CompactString::default())))
            .map(|(node, address)| RingMember {
                hash: stable_hash(&[node.as_bytes()]),
                node,
                address,
            })
            .collect();
        members.sort_unstable();
        let own = members
            .iter()
            .position(|member| member.node == *own)
            .unwrap_or_default();
        Self { members, own }
    }

    /// Returns the number of members, including this node.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Iterates over all other members, nearest successor first.
    pub(crate) fn successors(&self) -> impl Iterator<Item = &RingMember> {
        let (before, after) = self.members.split_at(self.own);
        after.iter().skip(1).chain(before)
    }

    /// Returns another member by its distance along the ring; 0 is the nearest successor.
    pub(crate) fn successor(&self, distance: usize) -> Option<&RingMember> {
        if distance + 1 >= self.members.len() {
            return None;
        }
        let index = (self.own + 1 + distance) % self.members.len();
        self.members.get(index)
    }

    /// Returns the members by their rank for the relay slots of the data centre. The rank also
    /// depends on the data centre's name, so that it is unrelated to the order of the ring.
    pub(crate) fn ranked(&self, data_centre: &str) -> Vec<&NodeId> {
        let mut ranked: Vec<(u64, &NodeId)> = self
            .members
            .iter()
            .map(|member| {
                let hash = stable_hash(&[member.node.as_bytes(), data_centre.as_bytes()]);
                (hash, &member.node)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, node)| node).collect()
    }
}
