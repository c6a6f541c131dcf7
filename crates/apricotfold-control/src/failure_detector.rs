//! Failure detection of members and data centres. See `docs/design.md`, section 5.4.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use apricotfold_model::{DataCentreName, NodeId};
use apricotfold_schema::peer::RecordKind;
use compact_str::CompactString;

use crate::{
    RecordBody, RecordTable, RecordVersion, member_ring::MemberRing, peer_overlay::RING_LINKS,
};

/// Interval between pings to a monitored ring successor.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(500);
const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Maximum number of doublings of [`SUSPECT_AFTER`] after refutations, which limits 1.5 s to 48 s.
const MAX_TIMEOUT_DOUBLINGS: u32 = 5;
const GONE_AFTER: Duration = Duration::from_secs(1);
const DATA_CENTRE_LOST_AFTER: Duration = Duration::from_secs(3);
/// Number of monitors that have to suspect a member, if that many are available.
const REQUIRED_MONITORS: usize = 2;
/// Maximum number of addresses of gone members that are kept for reconnection attempts.
const MAX_GONE_ADDRESSES: usize = 64;

/// Changes detected by one tick.
#[derive(Debug, Default)]
pub(crate) struct DetectorReport {
    /// Members that this node has started to suspect, with their incarnation.
    pub(crate) suspected: Vec<(NodeId, u64)>,
    /// Members that answer again and are no longer suspected by this node.
    pub(crate) cleared: Vec<NodeId>,
    /// Members newly considered gone, with their incarnation.
    pub(crate) gone: Vec<(NodeId, u64)>,
    /// Members that are no longer considered gone.
    pub(crate) returned: Vec<NodeId>,
    /// Data centres that became lost (true) or came back (false).
    pub(crate) data_centres: Vec<(DataCentreName, bool)>,
}

#[derive(Debug)]
struct Probe {
    heard: Instant,
    /// Incarnation that this node suspects.
    suspected: Option<u64>,
    /// Number of suspicions that the member has refuted since this node last heard from it.
    refuted: u32,
}

impl Probe {
    /// Silence after which the member is suspected. It doubles with each refutation, since a
    /// broken link to a live member would otherwise cause a suspicion and a refutation every 1.5 s.
    fn suspicion_timeout(&self) -> Duration {
        SUSPECT_AFTER * (1 << self.refuted.min(MAX_TIMEOUT_DOUBLINGS))
    }
}

/// Monitors ring successors by pings and data centres by the heartbeats of their relays.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    probes: BTreeMap<NodeId, Probe>,
    /// Members that enough monitors suspect, with their incarnation and the time since when.
    agreed: BTreeMap<NodeId, (u64, Instant)>,
    gone: BTreeMap<NodeId, u64>,
    gone_addresses: VecDeque<(NodeId, CompactString)>,
    heard: BTreeMap<DataCentreName, Instant>,
    lost: BTreeSet<DataCentreName>,
}

impl FailureDetector {
    /// Resets a member's silence; any message from it proves that it is alive.
    pub(crate) fn message_received(&mut self, node: &str, now: Instant) {
        if let Some(probe) = self.probes.get_mut(node) {
            probe.heard = now;
            probe.refuted = 0;
        }
    }

    /// Makes a member suspect at the next check, because it refused a connection and so no process
    /// listens at its address.
    pub(crate) fn refused(&mut self, node: &str, now: Instant) {
        if let Some(probe) = self.probes.get_mut(node)
            && let Some(past) = now.checked_sub(SUSPECT_AFTER)
        {
            probe.heard = probe.heard.min(past);
        }
    }

    /// Restarts all silence timers, because this process was paused and received nothing.
    pub(crate) fn resumed(&mut self, now: Instant) {
        for probe in self.probes.values_mut() {
            probe.heard = now;
        }
        for heard in self.heard.values_mut() {
            *heard = now;
        }
        for (_, since) in self.agreed.values_mut() {
            *since = now;
        }
    }

    pub(crate) fn data_centre_seen(&mut self, name: &str, now: Instant) {
        if !self.heard.contains_key(name) {
            self.heard.insert(name.into(), now);
        }
    }

    pub(crate) fn heartbeat(&mut self, name: &str, now: Instant) {
        self.heard.insert(name.into(), now);
    }

    pub(crate) fn is_lost(&self, data_centre: &str) -> bool {
        self.lost.contains(data_centre)
    }

    pub(crate) fn is_gone(&self, node: &str, incarnation: u64) -> bool {
        self.gone.get(node) == Some(&incarnation)
    }

    /// Keeps the address of a gone member, so that it can be reached again after a partition.
    pub(crate) fn remember_address(&mut self, node: NodeId, address: CompactString) {
        self.gone_addresses.retain(|(known, _)| *known != node);
        self.gone_addresses.push_back((node, address));
        if self.gone_addresses.len() > MAX_GONE_ADDRESSES {
            self.gone_addresses.pop_front();
        }
    }

    pub(crate) fn forget_address(&mut self, node: &str) {
        self.gone_addresses.retain(|(known, _)| known != node);
    }

    pub(crate) fn gone_addresses(&self) -> Vec<CompactString> {
        self.gone_addresses
            .iter()
            .map(|(_, address)| address.clone())
            .collect()
    }

    /// Members that this node monitors: its nearest ring successors up to the [`RING_LINKS`]th that
    /// nobody suspects, including the suspected ones between them.
    pub(crate) fn pinged(&self) -> impl Iterator<Item = &NodeId> {
        self.probes.keys()
    }

    /// Returns true if this node is one of the monitors that suspect the member.
    pub(crate) fn suspects(&self, node: &str) -> bool {
        self.probes
            .get(node)
            .is_some_and(|probe| probe.suspected.is_some())
    }

    pub(crate) fn tick(
        &mut self,
        own: &NodeId,
        own_data_centre: &str,
        ring: &MemberRing,
        table: &RecordTable,
        now: Instant,
    ) -> DetectorReport {
        let mut report = DetectorReport::default();
        let suspicions = collect_suspicions(table);
        self.choose_probes(ring, &suspicions, now);
        self.check_probes(table, now, &mut report);
        self.check_agreement(own, ring, &suspicions, now, &mut report);
        self.check_data_centres(own_data_centre, now, &mut report);
        report
    }

    /// Chooses the ring successors to monitor, skipping past suspected members. A run of adjacent
    /// members that died together is thus detected as a whole, without waiting for dead monitors.
    /// The suspected members stay among the probes, because a second monitor has to confirm them.
    fn choose_probes(
        &mut self,
        ring: &MemberRing,
        suspicions: &BTreeMap<NodeId, Suspicion>,
        now: Instant,
    ) {
        let mut open = 0;
        let near: BTreeSet<&NodeId> = ring
            .successors()
            .take_while(|member| {
                let is_needed = open < RING_LINKS;
                open += usize::from(!suspicions.contains_key(&member.node));
                is_needed
            })
            .map(|member| &member.node)
            .collect();
        self.probes.retain(|node, _| near.contains(node));
        for node in near {
            self.probes.entry(node.clone()).or_insert(Probe {
                heard: now,
                suspected: None,
                refuted: 0,
            });
        }
    }

    fn check_probes(&mut self, table: &RecordTable, now: Instant, report: &mut DetectorReport) {
        for (node, probe) in &mut self.probes {
            let Some(version) = endpoint_version(table, node) else {
                continue;
            };
            if probe.suspected.is_some_and(|known| known < version.epoch) {
                probe.suspected = None;
                probe.refuted += 1;
                probe.heard = now;
            }
            let is_silent = now.saturating_duration_since(probe.heard) >= probe.suspicion_timeout();
            if is_silent && probe.suspected.is_none() {
                probe.suspected = Some(version.epoch);
                report.suspected.push((node.clone(), version.epoch));
            }
            if !is_silent && probe.suspected.take().is_some() {
                report.cleared.push(node.clone());
            }
        }
    }

    fn check_agreement(
        &mut self,
        own: &NodeId,
        ring: &MemberRing,
        suspicions: &BTreeMap<NodeId, Suspicion>,
        now: Instant,
        report: &mut DetectorReport,
    ) {
        if suspicions.is_empty() && self.gone.is_empty() {
            self.agreed.clear();
            return;
        }
        let open = ring
            .successors()
            .map(|member| &member.node)
            .chain(std::iter::once(own))
            .filter(|node| !suspicions.contains_key(*node))
            .count();
        let mut agreed = BTreeMap::new();
        for (node, suspicion) in suspicions {
            // `open` does not include the subject, because the subject is suspected.
            let needed = open.clamp(1, REQUIRED_MONITORS);
            if suspicion.monitors.len() < needed || node == own {
                continue;
            }
            let since = match self.agreed.get(node) {
                Some((incarnation, since)) if *incarnation == suspicion.incarnation => *since,
                _ => now,
            };
            agreed.insert(node.clone(), (suspicion.incarnation, since));
        }
        self.agreed = agreed;
        let mut gone = BTreeMap::new();
        for (node, (incarnation, since)) in &self.agreed {
            if now.saturating_duration_since(*since) >= GONE_AFTER {
                gone.insert(node.clone(), *incarnation);
            }
        }
        for (node, incarnation) in &gone {
            if self.gone.get(node) != Some(incarnation) {
                report.gone.push((node.clone(), *incarnation));
            }
        }
        for node in self.gone.keys() {
            if !gone.contains_key(node) {
                report.returned.push(node.clone());
            }
        }
        self.gone = gone;
    }

    fn check_data_centres(&mut self, own: &str, now: Instant, report: &mut DetectorReport) {
        for (name, heard) in &self.heard {
            let is_silent = now.saturating_duration_since(*heard) >= DATA_CENTRE_LOST_AFTER;
            let is_lost = name != own && is_silent;
            let changed = if is_lost {
                self.lost.insert(name.clone())
            } else {
                self.lost.remove(name)
            };
            if changed {
                report.data_centres.push((name.clone(), is_lost));
            }
        }
    }
}

/// Monitors that suspect the current incarnation of a member.
#[derive(Debug)]
pub(crate) struct Suspicion {
    pub(crate) incarnation: u64,
    pub(crate) monitors: BTreeSet<NodeId>,
}

/// Collects the valid suspicions: those of the current incarnation of a member by a monitor whose
/// endpoint has not been removed.
fn collect_suspicions(table: &RecordTable) -> BTreeMap<NodeId, Suspicion> {
    let mut suspicions: BTreeMap<NodeId, Suspicion> = BTreeMap::new();
    for (_, stored) in table.range(RecordKind::Suspicion, "") {
        let RecordBody::Suspicion(body) = &stored.body else {
            continue;
        };
        let is_current = endpoint_version(table, &body.subject)
            .is_some_and(|version| version.epoch == body.incarnation);
        if !is_current || endpoint_version(table, &body.monitor).is_none() {
            continue;
        }
        suspicions
            .entry(body.subject.as_str().into())
            .or_insert_with(|| Suspicion {
                incarnation: body.incarnation,
                monitors: BTreeSet::new(),
            })
            .monitors
            .insert(body.monitor.as_str().into());
    }
    suspicions
}

/// Version of a member's endpoint; `None` if it is unknown or removed.
fn endpoint_version(table: &RecordTable, node: &str) -> Option<RecordVersion> {
    table
        .get(RecordKind::Endpoint, node)
        .filter(|stored| !stored.is_removed())
        .map(|stored| stored.version)
}
