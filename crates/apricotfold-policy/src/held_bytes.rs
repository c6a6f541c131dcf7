//! Decision which request body is given up when callers make a node hold more than its memory
//! budget. See `docs/design/caller-limits.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Bytes that a holder must receive to count as having made progress. A client that sends a byte at
/// a time holds its memory as long as one that has stopped.
const PROGRESS_BYTES: usize = 4 * 1024;

/// Id of something that holds memory and can be given up, unique in the life of a process.
pub type HolderId = u64;

/// Result of asking for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// The memory is counted.
    Granted,
    /// This holder is to be given up, which may be the asking one. Nothing more is counted yet; the
    /// asking holder asks again.
    GiveUp(HolderId),
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    /// Size at the last progress, and when that was.
    mark: usize,
    progressed: Instant,
}

/// Counts the memory that callers make a node hold, within a budget.
///
/// Requests whose bodies are still arriving are holders, any of which can be given up, because
/// their requests have not run. Memory of connections and of running requests is reserved, and never
/// given up.
#[derive(Clone, Debug)]
pub struct HeldBytes {
    budget: usize,
    reserved: usize,
    held: usize,
    holders: HashMap<HolderId, Holder>,
    next: HolderId,
}

impl HeldBytes {
    /// Creates a count with a budget in bytes.
    #[must_use]
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            reserved: 0,
            held: 0,
            holders: HashMap::new(),
            next: 0,
        }
    }

    /// Returns the number of bytes that are held and reserved.
    #[must_use]
    pub fn total(&self) -> usize {
        self.held + self.reserved
    }

    /// Adds a holder that holds nothing yet.
    pub fn add(&mut self, now: Instant) -> HolderId {
        self.next += 1;
        let holder = Holder {
            bytes: 0,
            mark: 0,
            progressed: now,
        };
        self.holders.insert(self.next, holder);
        self.next
    }

    /// Asks to hold `bytes` in all.
    ///
    /// Over the budget, the holder with the largest product of its bytes and the time since its last
    /// progress is given up, among those that hold at least the average. So a holder below the
    /// average is never given up for another one, and one above it always exists.
    pub fn hold(&mut self, id: HolderId, bytes: usize, now: Instant) -> HoldDecision {
        let Some(holder) = self.holders.get_mut(&id) else {
            return HoldDecision::GiveUp(id);
        };
        let before = holder.bytes;
        let fits = self.held + self.reserved + bytes.saturating_sub(before) <= self.budget;
        if !fits && bytes > before {
            return HoldDecision::GiveUp(self.choose(id, bytes, now));
        }
        holder.bytes = bytes;
        if bytes >= holder.mark + PROGRESS_BYTES {
            holder.mark = bytes;
            holder.progressed = now;
        }
        self.held = self.held - before + bytes;
        HoldDecision::Granted
    }

    /// Removes a holder and returns the bytes that it held.
    pub fn remove(&mut self, id: HolderId) -> usize {
        let bytes = self.holders.remove(&id).map_or(0, |holder| holder.bytes);
        self.held -= bytes;
        bytes
    }

    /// Removes a holder whose request is about to run, and reserves its bytes.
    pub fn pass_on(&mut self, id: HolderId) -> usize {
        let bytes = self.remove(id);
        self.reserve(bytes);
        bytes
    }

    /// Counts memory that is never given up, whether or not it is within the budget.
    pub fn reserve(&mut self, bytes: usize) {
        self.reserved += bytes;
    }

    /// Ends a reservation.
    pub fn release(&mut self, bytes: usize) {
        self.reserved -= bytes;
    }

    fn choose(&self, asking: HolderId, wanted: usize, now: Instant) -> HolderId {
        let size = |id: HolderId, holder: &Holder| if id == asking { wanted } else { holder.bytes };
        let all: usize = self
            .holders
            .iter()
            .map(|(id, holder)| size(*id, holder))
            .sum();
        let average = all / self.holders.len().max(1);
        let weight = |id: HolderId, holder: &Holder| {
            let stalled = now.saturating_duration_since(holder.progressed);
            let stalled = stalled + Duration::from_millis(1);
            size(id, holder) as u128 * stalled.as_micros()
        };
        let eligible = self
            .holders
            .iter()
            .filter(|(id, holder)| size(**id, holder) >= average);
        let heaviest = eligible.max_by_key(|(id, holder)| (weight(**id, holder), **id));
        heaviest.map_or(asking, |(id, _)| *id)
    }
}
