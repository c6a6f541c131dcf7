//! Departures of instances as nodes tell them to each other. See `docs/platform.md`, section 4.

use apricotfold_model::{NodeEpoch, NodeId, TargetLife};

/// Statement that the instance beside a node has left the mesh.
///
/// A list of instances no longer has it. Without the statement, a node that receives the list cannot
/// tell it from one whose entry has lapsed, which it goes on using for some time.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct NodeDeparture {
    /// Node that the instance ran beside.
    pub node: NodeId,
    /// Number of the node's process. What a later process says of its instance still counts.
    pub node_epoch: NodeEpoch,
    /// Number of the target's incarnation within the process.
    pub life: TargetLife,
}

impl NodeDeparture {
    /// Returns the process and the incarnation, which order the incarnations beside a node.
    #[must_use]
    pub fn life_order(&self) -> (NodeEpoch, TargetLife) {
        (self.node_epoch, self.life)
    }
}
