//! Limit on the connections of one listener.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use apricotfold_policy::{
    AcceptDecision, CONNECTION_BYTES, ConnectionId, ConnectionPhase, OpenConnections,
};
use tokio::sync::Notify;

use super::held_memory::{HeldMemory, RunningMemory};

struct SlotState {
    open: OpenConnections,
    signals: HashMap<ConnectionId, Arc<Notify>>,
}

/// Connections of one listener.
pub struct ConnectionSlots {
    state: Mutex<SlotState>,
    memory: Arc<HeldMemory>,
}

impl ConnectionSlots {
    /// Creates slots for at most `limit` connections, whose memory is counted in `memory`.
    pub fn new(limit: usize, memory: &Arc<HeldMemory>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(SlotState {
                open: OpenConnections::new(limit),
                signals: HashMap::new(),
            }),
            memory: memory.clone(),
        })
    }

    /// Takes a slot for a connection that was accepted. Returns `None` if it must be closed.
    pub fn accept(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut state = self.lock();
        let decision = state.open.accept();
        let id = match decision {
            AcceptDecision::Served(id) => id,
            AcceptDecision::Replaces(id, replaced) => {
                if let Some(signal) = state.signals.remove(&replaced) {
                    signal.notify_one();
                }
                let text = || "the oldest connection without a request is closed".to_owned();
                self.memory.record_limit("connections", text);
                id
            }
            AcceptDecision::Refused => {
                let text = || "a connection is refused, all others are busy".to_owned();
                self.memory.record_limit("connections", text);
                return None;
            }
        };
        let signal = Arc::new(Notify::new());
        state.signals.insert(id, signal.clone());
        drop(state);
        Some(ConnectionSlot {
            slots: self.clone(),
            id,
            signal,
            _memory: self.memory.reserve(CONNECTION_BYTES),
        })
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().expect("no panic while locked")
    }
}

/// Slot of an open connection, free when it is dropped.
pub struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    id: ConnectionId,
    signal: Arc<Notify>,
    _memory: RunningMemory,
}

impl ConnectionSlot {
    /// Records that the body of the only unanswered request begins to arrive. Returns false if the
    /// connection was replaced before.
    pub fn begin_body(&self) -> bool {
        self.enter(ConnectionPhase::Receiving)
    }

    /// Records that a request is about to run. Returns false if the connection was replaced before,
    /// so that the request must not run.
    pub fn begin_request(&self) -> bool {
        self.enter(ConnectionPhase::Busy)
    }

    fn enter(&self, phase: ConnectionPhase) -> bool {
        self.slots.lock().open.enter(self.id, phase)
    }

    /// Records that all requests are answered.
    pub fn finish_requests(&self) {
        self.enter(ConnectionPhase::Idle);
    }

    /// Waits until the connection must be closed for another one, which happens only while none of
    /// its requests runs.
    pub async fn replaced(&self) {
        self.signal.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        state.open.close(self.id);
        state.signals.remove(&self.id);
    }
}

/// Marks a connection as busy until it is dropped.
pub struct BusySlot(Arc<ConnectionSlot>);

impl BusySlot {
    /// Marks the connection. Returns `None` if it was replaced before.
    pub fn begin(slot: &Arc<ConnectionSlot>) -> Option<Self> {
        slot.begin_request().then(|| Self(slot.clone()))
    }
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        self.0.finish_requests();
    }
}
