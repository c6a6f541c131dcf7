//! Single reads of the store by nodes that do not watch it. See `docs/design.md`, sections 4.4
//! and 5.5.

use std::time::{Duration, Instant};

use apricotfold_model::keys;

use crate::{RequestId, StoreRequest, action::ActionQueue};

/// Between two reads of the same prefix.
const REPEAT_AFTER: Duration = Duration::from_secs(10);

/// One prefix that may have to be read.
#[derive(Debug)]
struct PrefixRead {
    prefix: &'static str,
    asked: Option<RequestId>,
    next: Instant,
}

/// Reads of the relay entries, to find peers, and of the heads, to satisfy the restart rule.
#[derive(Debug)]
pub(crate) struct StartReads {
    relays: PrefixRead,
    heads: PrefixRead,
}

impl StartReads {
    /// Plans the first reads. The heads come later, because usually a peer answers before.
    pub(crate) fn new(relays_at: Instant, heads_at: Instant) -> Self {
        let read = |prefix, next| PrefixRead {
            prefix,
            asked: None,
            next,
        };
        Self {
            relays: read(keys::RELAYS, relays_at),
            heads: read(keys::HEADS, heads_at),
        }
    }

    pub(crate) fn read_relays(&mut self, now: Instant, queue: &mut ActionQueue) {
        self.relays.ask(now, queue);
    }

    pub(crate) fn read_heads(&mut self, now: Instant, queue: &mut ActionQueue) {
        self.heads.ask(now, queue);
    }

    /// Prefix that the request read, if it is one of these.
    pub(crate) fn answered(&mut self, id: RequestId) -> Option<&'static str> {
        for read in [&mut self.relays, &mut self.heads] {
            if read.asked == Some(id) {
                read.asked = None;
                return Some(read.prefix);
            }
        }
        None
    }
}

impl PrefixRead {
    fn ask(&mut self, now: Instant, queue: &mut ActionQueue) {
        if now < self.next {
            return;
        }
        self.next = now + REPEAT_AFTER;
        let prefix = self.prefix.into();
        self.asked = Some(queue.ask_store(StoreRequest::List { prefix }));
    }
}
