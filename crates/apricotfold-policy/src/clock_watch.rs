//! Observation of the time of day, for display only. See `docs/OPERATIONS.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use apricotfold_model::NodeId;

/// Difference in milliseconds between two clocks, or between a clock and where it should be; positive
/// if it is ahead.
pub type OffsetMillis = i64;

/// Smallest jump that is reported. Clocks that are adjusted slowly stay far below it.
const MIN_JUMP: OffsetMillis = 500;

/// Number of peers whose offset is kept.
const MAX_PEERS: usize = 16;

/// Age after which a peer's offset no longer counts.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Reports jumps of the time of day against the steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct JumpDetector {
    last: Option<(Instant, SystemTime)>,
}

impl JumpDetector {
    /// Compares both clocks. Returns by how much the time of day has jumped since the last call, if it
    /// has.
    pub fn observe(&mut self, steady: Instant, wall: SystemTime) -> Option<OffsetMillis> {
        let (last_steady, last_wall) = self.last.replace((steady, wall))?;
        let elapsed = steady.saturating_duration_since(last_steady);
        let jump = offset_between(wall, last_wall + elapsed);
        (jump.abs() >= MIN_JUMP).then_some(jump)
    }
}

/// Latest offsets of peers' clocks. Their median shows whether this node's clock is wrong.
#[derive(Clone, Debug, Default)]
pub struct PeerOffsets {
    known: BTreeMap<NodeId, (OffsetMillis, Instant)>,
}

impl PeerOffsets {
    /// Records the clock of a peer, which the peer read between `sent` and `sent + round_trip` of this
    /// node's clock.
    pub fn record(
        &mut self,
        peer: &NodeId,
        theirs: SystemTime,
        sent: SystemTime,
        round_trip: Duration,
        now: Instant,
    ) {
        self.known
            .retain(|_, (_, noticed)| now.saturating_duration_since(*noticed) < MAX_AGE);
        if self.known.len() >= MAX_PEERS && !self.known.contains_key(peer) {
            let oldest = self.known.iter().min_by_key(|(_, (_, noticed))| *noticed);
            if let Some(oldest) = oldest.map(|(peer, _)| peer.clone()) {
                self.known.remove(&oldest);
            }
        }
        let offset = offset_between(theirs, sent + round_trip / 2);
        self.known.insert(peer.clone(), (offset, now));
    }

    /// Returns how far this node's clock is ahead of the median of its peers' clocks, or `None` without
    /// recent peers.
    #[must_use]
    pub fn own_offset(&self, now: Instant) -> Option<OffsetMillis> {
        let recent = self.known.values();
        let recent = recent
            .filter(|(_, noticed)| now.saturating_duration_since(*noticed) < MAX_AGE)
            .map(|(offset, _)| *offset);
        let mut offsets: Vec<OffsetMillis> = recent.collect();
        offsets.sort_unstable();
        let median = offsets.get(offsets.len() / 2)?;
        Some(-median)
    }

    /// Number of peers whose offset is kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no peer's offset is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// Returns by how much a time is ahead of another one.
fn offset_between(time: SystemTime, other: SystemTime) -> OffsetMillis {
    let millis =
        |age: Duration| OffsetMillis::try_from(age.as_millis()).unwrap_or(OffsetMillis::MAX);
    match time.duration_since(other) {
        Ok(ahead) => millis(ahead),
        Err(behind) => -millis(behind.duration()),
    }
}
