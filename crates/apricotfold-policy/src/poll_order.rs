//! Order in which a node polls relays for changes. See `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

use apricotfold_model::NodeId;
use smallvec::SmallVec;

/// Time for which a relay that did not answer is polled only if no other relay can be. Its record may
/// still be there for seconds after it has gone.
const FAILED_EXCLUSION: Duration = Duration::from_secs(2);

/// Order in which a node polls its relays.
#[derive(Clone, Debug, Default)]
pub struct PollOrder {
    turn: usize,
    failed: SmallVec<[(NodeId, Instant); 2]>,
}

impl PollOrder {
    /// Creates an order that begins with the relay at this index.
    #[must_use]
    pub fn new(turn: usize) -> Self {
        Self {
            turn,
            failed: SmallVec::new(),
        }
    }

    /// Returns the relay to poll next: the relays take turns, without those that have just failed.
    /// Returns `None` while the answers of all relays that could be polled are `awaited`.
    pub fn next_relay(
        &mut self,
        relays: &[NodeId],
        awaited: &[NodeId],
        now: Instant,
    ) -> Option<NodeId> {
        self.failed
            .retain(|(_, at)| now.saturating_duration_since(*at) < FAILED_EXCLUSION);
        self.turn += 1;
        let order = (0..relays.len()).map(|offset| &relays[(self.turn + offset) % relays.len()]);
        let has_failed = |relay: &NodeId| self.failed.iter().any(|(failed, _)| failed == relay);
        let all_failed = relays.iter().all(has_failed);
        let mut usable = order.filter(|relay| all_failed || !has_failed(relay));
        usable.find(|relay| !awaited.contains(relay)).cloned()
    }

    /// Returns whether a relay has just failed to answer.
    #[must_use]
    pub fn has_failed(&self, relay: &NodeId, now: Instant) -> bool {
        let mut failed = self.failed.iter();
        failed.any(|(failed, at)| {
            failed == relay && now.saturating_duration_since(*at) < FAILED_EXCLUSION
        })
    }

    /// Records whether a relay answered.
    pub fn record(&mut self, relay: &NodeId, answered: bool, now: Instant) {
        self.failed.retain(|(failed, _)| failed != relay);
        if !answered {
            self.failed.push((relay.clone(), now));
        }
    }
}

/// Shortest interval of polls of relays in other data centres. It is shorter than that of polls in the
/// own one, so that each of those that does not help can be followed by a remote one.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Time without such polls after one that did not help. While the store answers nobody, none of them
/// does.
const REMOTE_PAUSE: Duration = Duration::from_secs(1);

/// Order and pace in which a node polls relays of other data centres.
#[derive(Clone, Debug)]
pub struct RemoteOrder {
    order: PollOrder,
    next: Instant,
}

impl RemoteOrder {
    /// Creates an order that begins with the relay at this index.
    #[must_use]
    pub fn new(turn: usize, now: Instant) -> Self {
        Self {
            order: PollOrder::new(turn),
            next: now,
        }
    }

    /// Returns whether it is not too early for the next poll.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Returns the relay to poll now, or `None` if it is too early or all of them are `awaited`.
    pub fn next_relay(
        &mut self,
        relays: &[NodeId],
        awaited: &[NodeId],
        now: Instant,
    ) -> Option<NodeId> {
        if !self.is_due(now) {
            return None;
        }
        self.next = now + REMOTE_POLL_INTERVAL;
        self.order.next_relay(relays, awaited, now)
    }

    /// Records whether the answer of a relay was usable.
    pub fn record(&mut self, relay: &NodeId, usable: bool, now: Instant) {
        if !usable {
            self.next = self.next.max(now + REMOTE_PAUSE);
        }
        self.order.record(relay, usable, now);
    }
}
