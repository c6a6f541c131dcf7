//! Expected waits for the incoming links of other nodes' machines. See `docs/design/bulk-uploads.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::NodeId;

/// Time after which a stated wait is forgotten, because other nodes' uploads have changed it.
const MEMORY: Duration = Duration::from_secs(2);

/// Keeps what each node stated last of the wait for its machine's incoming link.
///
/// A wait shrinks as time passes, because the link works off what it has granted.
#[derive(Clone, Debug, Default)]
pub struct InboundWaits {
    free_at: HashMap<NodeId, (Instant, Instant)>,
}

impl InboundWaits {
    /// Records the wait that a node stated at `now`.
    pub fn record(&mut self, node: &NodeId, wait: Duration, now: Instant) {
        if wait.is_zero() {
            self.free_at.remove(node);
        } else {
            self.free_at.insert(node.clone(), (now + wait, now));
        }
    }

    /// Returns the expected wait of a bulk body for a node's link.
    #[must_use]
    pub fn wait(&self, node: &str, now: Instant) -> Duration {
        let known = self.free_at.get(node);
        let recent = known.filter(|(_, stated)| now < *stated + MEMORY);
        recent.map_or(Duration::ZERO, |(free_at, _)| {
            free_at.saturating_duration_since(now)
        })
    }

    /// Drops what is no longer valid.
    pub fn prune(&mut self, now: Instant) {
        self.free_at.retain(|_, (_, stated)| now < *stated + MEMORY);
    }
}
