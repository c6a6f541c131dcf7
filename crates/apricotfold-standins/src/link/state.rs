//! State shared by all connections of the link: faults, schedules and counters.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use apricotfold_model::{LinkConfig, LinkImpairment};
use apricotfold_schema::settings::LinkFault;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::schedule::{ChunkTiming, DirectionSchedule};

/// Direction of the data flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    ToClient,
}

/// Faults in the JSON form of the admin endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Faults of the direction to the upstream.
    pub to_upstream: LinkFault,
    /// Faults of the direction to the client.
    pub to_client: LinkFault,
    /// Addresses of the clients that the faults apply to; empty means all. This allows a link in front
    /// of an instance to partition data centres without partitioning the instances of one.
    pub sources: Vec<IpAddr>,
}

/// Active faults of both directions, with the clients that they apply to.
#[derive(Clone, Debug)]
pub struct LinkRules {
    to_upstream: LinkImpairment,
    to_client: LinkImpairment,
    sources: Vec<IpAddr>,
    unimpaired: LinkImpairment,
}

impl LinkRules {
    /// Impairment of a direction for a client; without any fault if the faults do not apply to it.
    #[must_use]
    pub fn for_client(&self, direction: Direction, client: IpAddr) -> &LinkImpairment {
        if !self.applies_to(client) {
            return &self.unimpaired;
        }
        match direction {
            Direction::ToUpstream => &self.to_upstream,
            Direction::ToClient => &self.to_client,
        }
    }

    /// True if either direction is cut for a client; a TCP connection cannot lose only one
    /// direction.
    #[must_use]
    pub fn is_cut(&self, client: IpAddr) -> bool {
        self.applies_to(client) && (self.to_upstream.cut || self.to_client.cut)
    }

    /// True if the link is cut for all clients and must refuse connections.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sources.is_empty() && (self.to_upstream.cut || self.to_client.cut)
    }

    fn applies_to(&self, client: IpAddr) -> bool {
        self.sources.is_empty() || self.sources.contains(&client)
    }
}

impl From<LinkFaults> for LinkRules {
    fn from(faults: LinkFaults) -> Self {
        Self {
            to_upstream: faults.to_upstream.into(),
            to_client: faults.to_client.into(),
            sources: faults.sources,
            unimpaired: LinkImpairment::default(),
        }
    }
}

impl From<&LinkRules> for LinkFaults {
    fn from(rules: &LinkRules) -> Self {
        Self {
            to_upstream: to_link_fault(&rules.to_upstream),
            to_client: to_link_fault(&rules.to_client),
            sources: rules.sources.clone(),
        }
    }
}

fn to_link_fault(impairment: &LinkImpairment) -> LinkFault {
    LinkFault {
        delay_ms: whole_milliseconds(impairment.delay),
        jitter_ms: whole_milliseconds(impairment.jitter),
        bandwidth: impairment.bandwidth.unwrap_or(0),
        stall: impairment.stall,
        cut: impairment.cut,
        half_open_after: impairment.half_open_after.unwrap_or(0),
    }
}

fn whole_milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Counters of one direction.
#[derive(Debug, Default)]
struct DirectionCounts {
    bytes: AtomicU64,
    dropped_bytes: AtomicU64,
    connections: AtomicU64,
}

/// Counters of one direction in the response of `GET /admin/counts`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DirectionReport {
    /// Bytes written to the receiving side.
    pub bytes: u64,
    /// Bytes discarded on half-open connections.
    pub dropped_bytes: u64,
    /// Connections on which at least one byte was delivered.
    pub connections: u64,
}

/// Response of `GET /admin/counts`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LinkReport {
    /// Traffic to the upstream.
    pub to_upstream: DirectionReport,
    /// Traffic to the client.
    pub to_client: DirectionReport,
    /// Connections accepted since the start.
    pub accepted: u64,
    /// Currently open connections.
    pub open: u64,
    /// Connections closed because the upstream could not be reached.
    pub unreachable: u64,
}

struct DirectionState {
    schedule: Mutex<DirectionSchedule>,
    counts: DirectionCounts,
}

impl DirectionState {
    fn new(seed: u64) -> Self {
        Self {
            schedule: Mutex::new(DirectionSchedule::new(seed, Instant::now())),
            counts: DirectionCounts::default(),
        }
    }

    fn schedule(&self) -> MutexGuard<'_, DirectionSchedule> {
        self.schedule.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> DirectionReport {
        DirectionReport {
            bytes: self.counts.bytes.load(Ordering::Relaxed),
            dropped_bytes: self.counts.dropped_bytes.load(Ordering::Relaxed),
            connections: self.counts.connections.load(Ordering::Relaxed),
        }
    }
}

/// State shared by all connections.
pub struct LinkState {
    rules: watch::Sender<LinkRules>,
    to_upstream: DirectionState,
    to_client: DirectionState,
    accepted: AtomicU64,
    open: AtomicU64,
    unreachable: AtomicU64,
}

impl LinkState {
    /// Creates the state with the configured faults, which apply to all clients.
    #[must_use]
    pub fn new(config: &LinkConfig) -> Self {
        let rules = LinkRules {
            to_upstream: config.to_upstream.clone(),
            to_client: config.to_client.clone(),
            sources: Vec::new(),
            unimpaired: LinkImpairment::default(),
        };
        Self {
            rules: watch::Sender::new(rules),
            to_upstream: DirectionState::new(config.seed),
            to_client: DirectionState::new(config.seed.wrapping_add(1)),
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            unreachable: AtomicU64::new(0),
        }
    }

    fn direction(&self, direction: Direction) -> &DirectionState {
        match direction {
            Direction::ToUpstream => &self.to_upstream,
            Direction::ToClient => &self.to_client,
        }
    }

    /// Subscribes to the active faults.
    pub fn rules(&self) -> watch::Receiver<LinkRules> {
        self.rules.subscribe()
    }

    /// Replaces the faults of both directions.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.rules.send_replace(faults.into());
    }

    /// Active faults.
    pub fn faults(&self) -> LinkFaults {
        LinkFaults::from(&*self.rules.borrow())
    }

    /// Schedules the transmission of a chunk in a direction.
    pub fn transmit(
        &self,
        direction: Direction,
        impairment: &LinkImpairment,
        bytes: usize,
    ) -> ChunkTiming {
        self.direction(direction)
            .schedule()
            .transmit(impairment, bytes, Instant::now())
    }

    /// Counts delivered bytes; `first` is true for the first delivery of a connection in this direction.
    pub fn count_delivered(&self, direction: Direction, bytes: usize, first: bool) {
        let counts = &self.direction(direction).counts;
        counts.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if first {
            counts.connections.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts bytes discarded on a half-open connection.
    pub fn count_dropped(&self, direction: Direction, bytes: usize) {
        let counts = &self.direction(direction).counts;
        counts
            .dropped_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a connection as accepted, and as open until the guard is dropped.
    pub fn open_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.accepted.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(Arc::clone(self))
    }

    /// Counts a connection whose upstream could not be reached.
    pub fn count_unreachable(&self) {
        self.unreachable.fetch_add(1, Ordering::Relaxed);
    }

    /// Current values of all counters.
    pub fn report(&self) -> LinkReport {
        LinkReport {
            to_upstream: self.to_upstream.report(),
            to_client: self.to_client.report(),
            accepted: self.accepted.load(Ordering::Relaxed),
            open: self.open.load(Ordering::Relaxed),
            unreachable: self.unreachable.load(Ordering::Relaxed),
        }
    }
}

/// Counts a connection as open until it is dropped.
pub struct ConnectionGuard(Arc<LinkState>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
