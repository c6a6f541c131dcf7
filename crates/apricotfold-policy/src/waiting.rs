//! Queue of requests of one work class.

use std::time::Instant;

use apricotfold_model::CallPriority;

use crate::AdmissionId;

/// A request that is queued for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) id: AdmissionId,
    pub(crate) priority: CallPriority,
    /// Time at which it is refused if it has not started.
    pub(crate) expires: Instant,
    /// Whether `expires` derives from the request's deadline rather than from the maximum time in
    /// the queue.
    pub(crate) deadline_bound: bool,
}

/// Queued requests in the order of their arrival. A queue holds a few dozen requests, so a linear
/// scan is cheaper than an index.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    requests: Vec<WaitingRequest>,
}

impl WaitingQueue {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn push(&mut self, request: WaitingRequest) {
        self.requests.push(request);
    }

    pub(crate) fn remove(&mut self, id: AdmissionId) {
        self.requests.retain(|request| request.id != id);
    }

    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.requests.iter().map(|request| request.expires).min()
    }

    pub(crate) fn top_priority(&self) -> Option<CallPriority> {
        self.requests.iter().map(|request| request.priority).max()
    }

    /// Counts the requests that would be served before a new one.
    pub(crate) fn count_ahead(&self, priority: CallPriority, newest_first: bool) -> usize {
        self.requests
            .iter()
            .filter(|known| {
                known.priority > priority || (known.priority == priority && !newest_first)
            })
            .count()
    }

    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<WaitingRequest> {
        self.requests
            .extract_if(.., |request| request.expires <= now)
            .collect()
    }

    /// Removes and returns the request that runs next: the oldest or newest one of the highest
    /// priority.
    pub(crate) fn take_first(&mut self, newest_first: bool) -> Option<WaitingRequest> {
        let top = self.top_priority()?;
        let is_top = |request: &WaitingRequest| request.priority == top;
        let index = if newest_first {
            self.requests.iter().rposition(is_top)
        } else {
            self.requests.iter().position(is_top)
        };
        index.map(|index| self.requests.remove(index))
    }

    /// Removes and returns the request that would be served last, to free its place for one of the
    /// given priority. Its priority is lower or, if the newest goes first, equal; `None` if there
    /// is no such request.
    pub(crate) fn displace(
        &mut self,
        priority: CallPriority,
        newest_first: bool,
    ) -> Option<WaitingRequest> {
        let lowest = self.requests.iter().map(|request| request.priority).min()?;
        let is_lowest = |request: &WaitingRequest| request.priority == lowest;
        if lowest > priority || (lowest == priority && !newest_first) {
            return None;
        }
        let index = if newest_first {
            self.requests.iter().position(is_lowest)
        } else {
            self.requests.iter().rposition(is_lowest)
        };
        index.map(|index| self.requests.remove(index))
    }
}
