//! State that all connections of the link share: faults, schedules and counts.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use apricotfold_model::{LinkConfig, LinkImpairment};
use apricotfold_schema::settings::LinkFault;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::schedule::{DirectionSchedule, PieceTransit};

/// Direction of data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    ToClient,
}

/// Faults of both directions, as the admin endpoints read and write them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Faults of data to the upstream.
    pub to_upstream: LinkFault,
    /// Faults of data to the client.
    pub to_client: LinkFault,
    /// Addresses of the clients that the faults concern; empty means all. A link before one
    /// instance can so separate data centres without separating the instances of one.
    pub sources: Vec<IpAddr>,
}

/// Faults of both directions.
#[derive(Clone, Debug)]
pub struct LinkRules {
    to_upstream: LinkImpairment,
    to_client: LinkImpairment,
    sources: Vec<IpAddr>,
    faultless: LinkImpairment,
}

impl LinkRules {
    /// Faults of one direction for a client.
    #[must_use]
    pub fn of(&self, direction: Direction, client: IpAddr) -> &LinkImpairment {
        if !self.concerns(client) {
            return &self.faultless;
        }
        match direction {
            Direction::ToUpstream => &self.to_upstream,
            Direction::ToClient => &self.to_client,
        }
    }

    /// True if either direction is cut for a client; a TCP connection cannot lose one direction
    /// alone.
    #[must_use]
    pub fn is_cut(&self, client: IpAddr) -> bool {
        self.concerns(client) && (self.to_upstream.cut || self.to_client.cut)
    }

    /// True if the link is cut for every client, so that connections are refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sources.is_empty() && (self.to_upstream.cut || self.to_client.cut)
    }

    fn concerns(&self, client: IpAddr) -> bool {
        self.sources.is_empty() || self.sources.contains(&client)
    }
}

impl From<LinkFaults> for LinkRules {
    fn from(faults: LinkFaults) -> Self {
        Self {
            to_upstream: faults.to_upstream.into(),
            to_client: faults.to_client.into(),
            sources: faults.sources,
            faultless: LinkImpairment::default(),
        }
    }
}

impl From<&LinkRules> for LinkFaults {
    fn from(rules: &LinkRules) -> Self {
        Self {
            to_upstream: describe(&rules.to_upstream),
            to_client: describe(&rules.to_client),
            sources: rules.sources.clone(),
        }
    }
}

fn describe(rule: &LinkImpairment) -> LinkFault {
    LinkFault {
        delay_ms: whole_milliseconds(rule.delay),
        jitter_ms: whole_milliseconds(rule.jitter),
        bandwidth: rule.bandwidth.unwrap_or(0),
        stall: rule.stall,
        cut: rule.cut,
        half_open_after: rule.half_open_after.unwrap_or(0),
    }
}

fn whole_milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Counts of one direction.
#[derive(Debug, Default)]
struct DirectionCounts {
    bytes: AtomicU64,
    dropped_bytes: AtomicU64,
    connections: AtomicU64,
}

/// What the admin endpoint tells of one direction.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DirectionReport {
    /// Bytes delivered.
    pub bytes: u64,
    /// Bytes dropped on half-open connections.
    pub dropped_bytes: u64,
    /// Connections that delivered at least one byte.
    pub connections: u64,
}

/// What the admin endpoint tells of the link.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LinkReport {
    /// Data to the upstream.
    pub to_upstream: DirectionReport,
    /// Data to the client.
    pub to_client: DirectionReport,
    /// Connections accepted since the start.
    pub accepted: u64,
    /// Connections open now.
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

/// State that all connections share.
pub struct LinkState {
    rules: watch::Sender<LinkRules>,
    to_upstream: DirectionState,
    to_client: DirectionState,
    accepted: AtomicU64,
    open: AtomicU64,
    unreachable: AtomicU64,
}

impl LinkState {
    /// Starts with the faults of the settings.
    #[must_use]
    pub fn new(config: &LinkConfig) -> Self {
        let rules = LinkRules {
            to_upstream: config.to_upstream.clone(),
            to_client: config.to_client.clone(),
            sources: Vec::new(),
            faultless: LinkImpairment::default(),
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

    /// Follows the faults as they change.
    pub fn rules(&self) -> watch::Receiver<LinkRules> {
        self.rules.subscribe()
    }

    /// Replaces the faults of both directions.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.rules.send_replace(faults.into());
    }

    /// The faults that are in force.
    pub fn faults(&self) -> LinkFaults {
        LinkFaults::from(&*self.rules.borrow())
    }

    /// Puts a piece of data on the line of a direction.
    pub fn transmit(
        &self,
        direction: Direction,
        rule: &LinkImpairment,
        bytes: usize,
    ) -> PieceTransit {
        self.direction(direction)
            .schedule()
            .transmit(rule, bytes, Instant::now())
    }

    /// Counts delivered bytes; `first` is true for the first ones of a connection.
    pub fn count_delivered(&self, direction: Direction, bytes: usize, first: bool) {
        let counts = &self.direction(direction).counts;
        counts.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if first {
            counts.connections.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts bytes dropped on a half-open connection.
    pub fn count_dropped(&self, direction: Direction, bytes: usize) {
        let counts = &self.direction(direction).counts;
        counts
            .dropped_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a connection as open until the guard is dropped.
    pub fn open_connection(self: &Arc<Self>) -> OpenGuard {
        self.accepted.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenGuard(Arc::clone(self))
    }

    /// Counts a connection whose upstream could not be reached.
    pub fn count_unreachable(&self) {
        self.unreachable.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts since the start.
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

/// Counts a connection as open.
pub struct OpenGuard(Arc<LinkState>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
