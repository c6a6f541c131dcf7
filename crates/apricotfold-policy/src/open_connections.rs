//! Decision which connection makes room for a new one at a listener. See
//! `docs/design/caller-limits.md`.

use std::collections::BTreeMap;

/// Id of a connection, in the order in which a listener accepted them.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It has not sent a complete head yet.
    Silent,
    /// All its requests are answered.
    Idle,
    /// The body of its only unanswered request is arriving, which has not run.
    Receiving,
    /// A request is running or being answered.
    Busy,
}

/// Result of accepting a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// The connection is served.
    Served(ConnectionId),
    /// The first connection is served after the second one is closed, whose requests have not run.
    Replaces(ConnectionId, ConnectionId),
    /// The connection is closed, because requests run on all others.
    Refused,
}

/// Open connections of a listener, within a limit.
#[derive(Clone, Debug)]
pub struct OpenConnections {
    limit: usize,
    open: BTreeMap<ConnectionId, ConnectionPhase>,
    next: ConnectionId,
}

impl OpenConnections {
    /// Creates an empty set for at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: BTreeMap::new(),
            next: 0,
        }
    }

    /// Accepts a connection. At the limit it takes the place of the oldest one that has sent no
    /// complete head, else of the oldest idle one, else of the one whose body has been arriving
    /// longest: a caller sends its request at once, and callers connect again when an idle connection
    /// is closed.
    pub fn accept(&mut self) -> AcceptDecision {
        let oldest = |phase| {
            let mut open = self.open.iter();
            open.find(|(_, known)| **known == phase).map(|(id, _)| *id)
        };
        let replaced = if self.open.len() < self.limit {
            None
        } else {
            let mut replaced = oldest(ConnectionPhase::Silent);
            replaced = replaced.or_else(|| oldest(ConnectionPhase::Idle));
            match replaced.or_else(|| oldest(ConnectionPhase::Receiving)) {
                Some(replaced) => Some(replaced),
                None => return AcceptDecision::Refused,
            }
        };
        self.next += 1;
        let id = self.next;
        self.open.insert(id, ConnectionPhase::Silent);
        match replaced {
            None => AcceptDecision::Served(id),
            Some(replaced) => {
                self.open.remove(&replaced);
                AcceptDecision::Replaces(id, replaced)
            }
        }
    }

    /// Records what a connection is doing. Returns false if it was replaced and must be closed.
    pub fn enter(&mut self, id: ConnectionId, phase: ConnectionPhase) -> bool {
        let known = self.open.get_mut(&id);
        known.map(|known| *known = phase).is_some()
    }

    /// Records that a connection was closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
