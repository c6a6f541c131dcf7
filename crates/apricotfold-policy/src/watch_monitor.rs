//! Choice of the node that monitors the watches of its region. See `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

use apricotfold_model::NodeId;
use smallvec::SmallVec;

/// Time for which a node that gave no usable answer is passed over. Its record may still be there for
/// seconds after it has gone, and a region may be cut in two.
const FAILED_EXCLUSION: Duration = Duration::from_secs(10);

/// Part of a node in monitoring the watches of its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MonitorRole {
    /// The node waits only briefly for the answers of its own watches.
    Monitors,
    /// The node asks this one whether it has lost an answer.
    Asks(NodeId),
}

/// Chooses the monitor among nodes that follow the store. Each node chooses for itself: where choices
/// differ for a while, there is one monitor more.
#[derive(Clone, Debug, Default)]
pub struct MonitorChoice {
    failed: SmallVec<[(NodeId, Instant); 2]>,
}

impl MonitorChoice {
    /// Returns the part of `own`. The candidates are ordered, the best first; those that have just given
    /// no usable answer are passed over, and a node without any other one monitors for itself.
    pub fn choose(&mut self, candidates: &[NodeId], own: &NodeId, now: Instant) -> MonitorRole {
        self.failed
            .retain(|(_, at)| now.saturating_duration_since(*at) < FAILED_EXCLUSION);
        let has_failed = |node: &NodeId| self.failed.iter().any(|(failed, _)| failed == node);
        let mut usable = candidates
            .iter()
            .filter(|node| *node == own || !has_failed(node));
        match usable.next() {
            Some(node) if node != own => MonitorRole::Asks(node.clone()),
            _ => MonitorRole::Monitors,
        }
    }

    /// Records whether a node that was asked answered as the monitor.
    pub fn record(&mut self, node: &NodeId, usable: bool, now: Instant) {
        self.failed.retain(|(failed, _)| failed != node);
        if !usable {
            self.failed.push((node.clone(), now));
        }
    }
}
