//! Delays between connection attempts, and the limit on new inbound streams. See
//! `docs/design.md`, section 5.5.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use apricotfold_model::NodeId;
use compact_str::CompactString;
use rand::{RngExt, rngs::StdRng};

const BASE_DELAY: Duration = Duration::from_millis(50);
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Time after which an attempt without an answer no longer blocks another one.
const DIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two streams to the same address, so that two nodes that disagree about a stream do
/// not reopen it without pause.
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

/// Connection attempts by address.
#[derive(Debug, Default)]
pub(crate) struct DialBackoff {
    dials: BTreeMap<CompactString, DialState>,
}

impl DialBackoff {
    /// Notes the start of an attempt; false while the address has to wait.
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

    /// Notes the node that answers at the address.
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
        // The peer's hint is a floor, and the jitter spreads those who got the same hint.
        dial.next = now + retry_after.unwrap_or_default() + jitter;
    }

    /// Node that last answered at the address.
    pub(crate) fn node_at(&self, address: &CompactString) -> Option<&NodeId> {
        self.dials.get(address)?.node.as_ref()
    }

    /// Attempts without an answer yet.
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

/// Admits a limited number of inbound streams a second.
#[derive(Debug, Default)]
pub(crate) struct InboundLimiter {
    admitted: VecDeque<Instant>,
}

impl InboundLimiter {
    /// Admits a stream, or tells when to try again.
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
