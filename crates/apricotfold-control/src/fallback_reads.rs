//! One-off reads of the store by nodes that do not watch it. See `docs/design.md`, sections 4.4
//! and 5.5.

use std::time::{Duration, Instant};

use apricotfold_model::keys;

use crate::{RequestId, StoreRequest, action::ActionQueue};

/// Minimum interval between two reads of the same prefix.
const REPEAT_AFTER: Duration = Duration::from_secs(10);

/// Read state of one prefix.
#[derive(Debug)]
struct PrefixRead {
    prefix: &'static str,
    pending: Option<RequestId>,
    next: Instant,
}

/// Reads of the relay entries, to find peers, and of the heads, to satisfy the restart rule.
#[derive(Debug)]
pub(crate) struct FallbackReads {
    relays: PrefixRead,
    heads: PrefixRead,
}

impl FallbackReads {
    /// Schedules the first reads. The heads are read later than the relay entries, because usually
    /// a peer answers first.
    pub(crate) fn new(relays_at: Instant, heads_at: Instant) -> Self {
        let read = |prefix, next| PrefixRead {
            prefix,
            pending: None,
            next,
        };
        Self {
            relays: read(keys::RELAYS, relays_at),
            heads: read(keys::HEADS, heads_at),
        }
    }

    pub(crate) fn read_relays(&mut self, now: Instant, queue: &mut ActionQueue) {
        self.relays.read_if_due(now, queue);
    }

    pub(crate) fn read_heads(&mut self, now: Instant, queue: &mut ActionQueue) {
        self.heads.read_if_due(now, queue);
    }

    /// Returns the prefix that the request has read, or `None` if it is another request.
    pub(crate) fn answered(&mut self, id: RequestId) -> Option<&'static str> {
        for read in [&mut self.relays, &mut self.heads] {
            if read.pending == Some(id) {
                read.pending = None;
                return Some(read.prefix);
            }
        }
        None
    }
}

impl PrefixRead {
    fn read_if_due(&mut self, now: Instant, queue: &mut ActionQueue) {
        if now < self.next {
            return;
        }
        self.next = now + REPEAT_AFTER;
        let prefix = self.prefix.into();
        self.pending = Some(queue.send_store_request(StoreRequest::List { prefix }));
    }
}
