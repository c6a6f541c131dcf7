//! Peer streams that a node keeps open. See `docs/design.md`, sections 5.2 and 5.5.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use apricotfold_model::{EventCode, NodeId};
use apricotfold_schema::peer::Hello;
use compact_str::{CompactString, format_compact};
use log::Level;
use rand::{RngExt, rngs::StdRng};

use crate::{
    ControlAction, StreamDirection, StreamId,
    action::ActionQueue,
    dial_backoff::{DialBackoff, InboundLimiter},
    member_ring::MemberRing,
    peer_link::PeerLink,
};

const MIN_STREAMS: usize = 3;
const MAX_STREAMS: usize = 10;
/// Number of ring successors that every node stays connected to and monitors.
pub(crate) const RING_LINKS: usize = 2;
/// Number of streams tolerated above the target, since peers choose this node at random.
const STREAM_SLACK: usize = 4;
/// Age below which a surplus stream is kept, so that both sides can exchange members over it.
const MIN_STREAM_AGE: Duration = Duration::from_secs(5);
/// Silence after which a stream is closed. Every link is pinged at least every 2 s.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);

/// Inputs of the overlay maintenance.
pub(crate) struct OverlayPlan<'a> {
    pub(crate) own: &'a NodeId,
    pub(crate) data_centre: &'a str,
    pub(crate) ring: &'a MemberRing,
    /// Relays and gateways that this node has to stay connected to as a relay.
    pub(crate) relay_links: Vec<(NodeId, CompactString)>,
    pub(crate) contacts: &'a [CompactString],
    /// Addresses of members considered gone, which are probed at random.
    pub(crate) gone: Vec<CompactString>,
    /// True while the restart rule waits for peers or no other member is known.
    pub(crate) seeks_contacts: bool,
}

/// Result of registering an opened stream.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum OpenOutcome {
    Kept,
    Dropped,
}

/// Open peer streams and connection attempts of this node.
#[derive(Debug, Default)]
pub(crate) struct PeerOverlay {
    pub(crate) links: BTreeMap<StreamId, PeerLink>,
    by_node: BTreeMap<NodeId, StreamId>,
    dials: DialBackoff,
    inbound_limiter: InboundLimiter,
    next_probe: Option<Instant>,
}

impl PeerOverlay {
    pub(crate) fn stream_of(&self, node: &str) -> Option<StreamId> {
        self.by_node.get(node).copied()
    }

    /// Registers a new stream. Drops it if it leads to this node itself, exceeds the limit of
    /// inbound streams, or duplicates a stream that takes precedence.
    pub(crate) fn open(
        &mut self,
        stream: StreamId,
        hello: &Hello,
        direction: StreamDirection,
        own: &NodeId,
        now: Instant,
        queue: &mut ActionQueue,
    ) -> OpenOutcome {
        if let StreamDirection::Outbound { address } = &direction {
            self.dials.succeeded(address, hello.node.as_str().into());
        }
        if hello.node == own.as_str() {
            queue.push(ControlAction::CloseStream { stream });
            return OpenOutcome::Dropped;
        }
        if direction == StreamDirection::Inbound
            && let Err(retry_after) = self.inbound_limiter.admit(now)
        {
            let text = format_compact!("node {}, retry after {retry_after:?}", hello.node);
            queue.log(Level::Debug, EventCode::PeerRefused, text);
            queue.push(ControlAction::RefuseStream {
                stream,
                retry_after,
            });
            return OpenOutcome::Dropped;
        }
        let link = PeerLink::new(hello, direction, now);
        if let Some(known) = self.stream_of(&link.node) {
            if !self.replaces(known, &link, own) {
                queue.push(ControlAction::CloseStream { stream });
                return OpenOutcome::Dropped;
            }
            self.close(known, queue);
        }
        let text = format_compact!("node {} in {}", link.node, link.data_centre);
        queue.log(Level::Debug, EventCode::PeerConnected, text);
        self.by_node.insert(link.node.clone(), stream);
        self.links.insert(stream, link);
        OpenOutcome::Kept
    }

    /// Returns true if a new stream replaces the known one to the same node. If both sides have
    /// opened one at the same time, both keep the one opened by the node with the lower id.
    fn replaces(&self, known: StreamId, new: &PeerLink, own: &NodeId) -> bool {
        let Some(old) = self.links.get(&known) else {
            return true;
        };
        if new.incarnation != old.incarnation {
            return new.incarnation > old.incarnation;
        }
        if new.dialled.is_some() == old.dialled.is_some() {
            return true;
        }
        new.dialled.is_some() == (*own < new.node)
    }

    pub(crate) fn close(&mut self, stream: StreamId, queue: &mut ActionQueue) {
        if self.forget(stream).is_some() {
            queue.push(ControlAction::CloseStream { stream });
        }
    }

    /// Drops the state of a stream without closing it, and returns it.
    pub(crate) fn forget(&mut self, stream: StreamId) -> Option<PeerLink> {
        let link = self.links.remove(&stream)?;
        if self.by_node.get(&link.node) == Some(&stream) {
            self.by_node.remove(&link.node);
        }
        Some(link)
    }

    pub(crate) fn dial_failed(
        &mut self,
        address: &CompactString,
        retry_after: Option<Duration>,
        now: Instant,
        rng: &mut StdRng,
    ) {
        self.dials.failed(address, retry_after, now, rng);
    }

    /// Number of streams, open or being opened, that a node maintains in a data centre with this
    /// number of members.
    pub(crate) fn target(members: usize) -> usize {
        let wanted = members.max(1).ilog2() as usize + 1;
        wanted
            .clamp(MIN_STREAMS, MAX_STREAMS)
            .min(members.saturating_sub(1))
    }

    /// Opens missing streams and closes silent, surplus and unneeded ones.
    pub(crate) fn maintain(
        &mut self,
        plan: &OverlayPlan<'_>,
        now: Instant,
        rng: &mut StdRng,
        queue: &mut ActionQueue,
    ) {
        self.dials.clean(now);
        self.close_silent(now, queue);
        for (node, address) in &plan.relay_links {
            self.connect(node, address, now, queue);
        }
        for member in plan.ring.successors().take(RING_LINKS) {
            self.connect(&member.node, &member.address, now, queue);
        }
        let local = self.count_local(plan);
        let target = Self::target(plan.ring.len());
        if local < target {
            self.connect_random(plan, now, rng, queue);
        }
        if plan.seeks_contacts || local == 0 {
            self.connect_contact(plan, now, rng, queue);
        }
        if local > target + STREAM_SLACK {
            self.close_surplus(plan, now, queue);
        } else {
            self.close_unneeded_remote(plan, local, now, queue);
        }
        self.probe_gone(plan, now, rng, queue);
    }

    fn close_silent(&mut self, now: Instant, queue: &mut ActionQueue) {
        let silent: Vec<StreamId> = self
            .links
            .iter()
            .filter(|(_, link)| now.saturating_duration_since(link.last_received) > SILENCE_LIMIT)
            .map(|(stream, _)| *stream)
            .collect();
        for stream in silent {
            if let Some(link) = self.links.get(&stream) {
                let text = format_compact!("node {} timed out", link.node);
                queue.log(Level::Info, EventCode::PeerLost, text);
            }
            self.close(stream, queue);
        }
    }

    fn count_local(&self, plan: &OverlayPlan<'_>) -> usize {
        let open = self
            .links
            .values()
            .filter(|link| link.data_centre == plan.data_centre);
        open.count() + self.dials.pending()
    }

    /// Opens a stream to a node unless one is open or the last attempt is too recent.
    fn connect(
        &mut self,
        node: &NodeId,
        address: &CompactString,
        now: Instant,
        queue: &mut ActionQueue,
    ) {
        if !self.by_node.contains_key(node) {
            self.dial(address, now, queue);
        }
    }

    fn dial(&mut self, address: &CompactString, now: Instant, queue: &mut ActionQueue) {
        let taken = self
            .dials
            .node_at(address)
            .is_some_and(|node| self.by_node.contains_key(node));
        if taken || address.is_empty() || !self.dials.start(address, now) {
            return;
        }
        let address = address.clone();
        queue.push(ControlAction::OpenStream { address });
    }

    fn connect_random(
        &mut self,
        plan: &OverlayPlan<'_>,
        now: Instant,
        rng: &mut StdRng,
        queue: &mut ActionQueue,
    ) {
        let others = plan.ring.len().saturating_sub(1);
        if others == 0 {
            return;
        }
        let pick = plan.ring.successor(rng.random_range(0..others));
        if let Some(member) = pick {
            self.connect(&member.node, &member.address, now, queue);
        }
    }

    fn connect_contact(
        &mut self,
        plan: &OverlayPlan<'_>,
        now: Instant,
        rng: &mut StdRng,
        queue: &mut ActionQueue,
    ) {
        if plan.contacts.is_empty() || self.links.len() + self.dials.pending() >= MIN_STREAMS {
            return;
        }
        let pick = rng.random_range(0..plan.contacts.len());
        let address = &plan.contacts[pick];
        let is_own = self.dials.node_at(address) == Some(plan.own);
        if !is_own {
            self.dial(address, now, queue);
        }
    }

    /// Closes the oldest local stream that neither side needs as a ring neighbour or relay link.
    fn close_surplus(&mut self, plan: &OverlayPlan<'_>, now: Instant, queue: &mut ActionQueue) {
        let needed = Self::needed_nodes(plan);
        let surplus = self
            .links
            .iter()
            .filter(|(_, link)| link.data_centre == plan.data_centre)
            .filter(|(_, link)| now.saturating_duration_since(link.opened) > MIN_STREAM_AGE)
            .filter(|(_, link)| !needed.contains(&link.node))
            .min_by_key(|(_, link)| link.opened)
            .map(|(stream, _)| *stream);
        if let Some(stream) = surplus {
            self.close(stream, queue);
        }
    }

    /// Nodes to which this node must stay connected: ring neighbours on both sides and relay links.
    fn needed_nodes(plan: &OverlayPlan<'_>) -> BTreeSet<NodeId> {
        let ring = plan.ring.len();
        let neighbours = (0..RING_LINKS).flat_map(|step| {
            let behind = ring.checked_sub(2 + step);
            [Some(step), behind].into_iter().flatten()
        });
        neighbours
            .filter_map(|distance| plan.ring.successor(distance))
            .map(|member| member.node.clone())
            .chain(plan.relay_links.iter().map(|(node, _)| node.clone()))
            .collect()
    }

    /// Closes a stream to another data centre that this node opened to a contact or as a relay and
    /// no longer needs.
    fn close_unneeded_remote(
        &mut self,
        plan: &OverlayPlan<'_>,
        local: usize,
        now: Instant,
        queue: &mut ActionQueue,
    ) {
        if local == 0 || plan.seeks_contacts {
            return;
        }
        let unneeded = self
            .links
            .iter()
            .filter(|(_, link)| link.data_centre != plan.data_centre && link.dialled.is_some())
            .filter(|(_, link)| now.saturating_duration_since(link.opened) > MIN_STREAM_AGE)
            .find(|(_, link)| !plan.relay_links.iter().any(|(node, _)| *node == link.node))
            .map(|(stream, _)| *stream);
        if let Some(stream) = unneeded {
            self.close(stream, queue);
        }
    }

    /// Connects to a random contact or gone member from time to time. After a partition within the
    /// data centre both halves consider each other gone and would otherwise never reconnect.
    fn probe_gone(
        &mut self,
        plan: &OverlayPlan<'_>,
        now: Instant,
        rng: &mut StdRng,
        queue: &mut ActionQueue,
    ) {
        const INTERVAL: Duration = Duration::from_secs(2);
        /// Expected number of probes per interval by all nodes of the data centre together.
        const PROBES: f64 = 4.0;
        if self.next_probe.is_some_and(|next| now < next) {
            return;
        }
        self.next_probe = Some(now + INTERVAL);
        #[expect(
            clippy::cast_precision_loss,
            reason = "a data centre has far fewer members"
        )]
        let share = PROBES / plan.ring.len() as f64;
        let candidates: Vec<&CompactString> = plan
            .gone
            .iter()
            .chain(plan.contacts)
            .filter(|address| self.is_unlinked(address, plan.own))
            .collect();
        if candidates.is_empty() || !rng.random_bool(share.min(1.0)) {
            return;
        }
        let address = candidates[rng.random_range(0..candidates.len())].clone();
        self.dial(&address, now, queue);
    }

    fn is_unlinked(&self, address: &CompactString, own: &NodeId) -> bool {
        let linked = self
            .links
            .values()
            .any(|link| link.address == *address || link.dialled.as_ref() == Some(address));
        let known = self
            .dials
            .node_at(address)
            .is_some_and(|node| node == own || self.by_node.contains_key(node));
        !linked && !known
    }
}
