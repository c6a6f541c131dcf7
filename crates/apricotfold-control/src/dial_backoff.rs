//! Backoff of connection attempts, and the rate limit of inbound streams. See `docs/design.md`,
//! section 5.5.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use apricotfold_model::NodeId;
use compact_str::CompactString;
use rand::{RngExt, rngs::StdRng};

const BASE_DELAY: Duration = Duration::from_millis(50);
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Time after which an attempt without a result no longer blocks another one.
const DIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum interval between two attempts to the same address after a success, so that two nodes
/// that disagree about a stream do not reopen it in a tight loop.
const REOPEN_DELAY: Duration = Duration::from_millis(500);
/// Time after which an unused address is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(2);
const INBOUND_PER_SECOND: usize = 32;
const INBOUND_WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct DialState {
    failures: u32,
    next: Instant,
    pending: bool,
    node: Option<NodeId>,
    used: Instant,
}

/// Backoff state of connection attempts, by address.
#[derive(Debug, Default)]
pub(crate) struct DialBackoff {
    dials: BTreeMap<CompactString, DialState>,
}

impl DialBackoff {
    /// Starts an attempt. Returns false while the address is in backoff or an attempt is pending.
    pub(crate) fn start(&mut self, address: &CompactString, now: Instant) -> bool {
        let dial = self.dials.entry(address.clone()).or_insert(DialState {
            failures: 0,
            next: now,
            pending: false,
            node: None,
            used: now,
        });
        if now < dial.next {
            return false;
        }
        dial.pending = true;
        dial.next = now + DIAL_TIMEOUT;
        dial.used = now;
        true
    }

    /// Records a successful attempt and the node that answered at the address.
    pub(crate) fn succeeded(&mut self, address: &CompactString, node: NodeId) {
        if let Some(dial) = self.dials.get_mut(address) {
            dial.failures = 0;
            dial.pending = false;
            dial.next = dial.used + REOPEN_DELAY;
            dial.node = Some(node);
        }
    }

    pub(crate) fn failed(
        &mut self,
        address: &CompactString,
        retry_after: Option<Duration>,
        now: Instant,
        rng: &mut StdRng,
    ) {
        let Some(dial) = self.dials.get_mut(address) else {
            return;
        };
        let ceiling = BASE_DELAY
            .saturating_mul(1 << dial.failures.min(10))
            .min(MAX_DELAY);
        let jitter = ceiling.mul_f64(rng.random_range(0.0..1.0));
        dial.failures = dial.failures.saturating_add(1);
        dial.pending = false;
        // The delay requested by the peer is a minimum; the jitter spreads the nodes that were
        // given the same delay.
        dial.next = now + retry_after.unwrap_or_default() + jitter;
    }

    /// Returns the node that last answered at the address.
    pub(crate) fn node_at(&self, address: &CompactString) -> Option<&NodeId> {
        self.dials.get(address)?.node.as_ref()
    }

    /// Returns the number of attempts in progress.
    pub(crate) fn pending(&self) -> usize {
        self.dials.values().filter(|dial| dial.pending).count()
    }

    pub(crate) fn clean(&mut self, now: Instant) {
        for dial in self.dials.values_mut() {
            dial.pending &= now < dial.next;
        }
        self.dials
            .retain(|_, dial| now.saturating_duration_since(dial.used) < FORGET_AFTER);
    }
}

/// Limits the number of inbound streams admitted per second.
#[derive(Debug, Default)]
pub(crate) struct InboundLimiter {
    admitted: VecDeque<Instant>,
}

impl InboundLimiter {
    /// Admits a stream, or returns the delay after which the peer may retry.
    pub(crate) fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        while let Some(first) = self.admitted.front()
            && now.saturating_duration_since(*first) >= INBOUND_WINDOW
        {
            self.admitted.pop_front();
        }
        if self.admitted.len() < INBOUND_PER_SECOND {
            self.admitted.push_back(now);
            return Ok(());
        }
        let oldest = self.admitted.front().copied().unwrap_or(now);
        Err(INBOUND_WINDOW.saturating_sub(now.saturating_duration_since(oldest)))
    }
}
