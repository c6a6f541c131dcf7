//! Control state of a node and the entry point that dispatches events to its components.

use std::time::{Duration, Instant};

use apricotfold_model::{CandidateEntry, EventCode, TargetState};
use apricotfold_schema::peer::Hello;
use compact_str::{CompactString, format_compact};
use log::Level;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    ControlAction, ControlConfig, ControlEvent, RecordTable, StreamDirection, StreamId,
    VersionFloor,
    action::ActionQueue,
    bundle_cache::BundleCache,
    failure_detector::FailureDetector,
    fallback_reads::FallbackReads,
    member_ring::MemberRing,
    peer_overlay::{OpenOutcome, PeerOverlay},
    publish_decision::PublishDecision,
    push_tree::{NodeLocation, PushTree},
    relay_role::RelayRole,
    relay_view::RelayView,
    store_feed::StoreFeed,
    table_sync::TableSync,
    vote_collector::VoteCollector,
};

/// Delay before the relay entries are read from the store. A contact usually answers earlier,
/// which makes the read unnecessary.
const RELAY_READ_DELAY: Duration = Duration::from_secs(2);
/// Delay before the heads are read from the store. The restart rule accepts a single peer after
/// 2 s, so that the read is needed only if no peer has answered by then.
const HEAD_READ_DELAY: Duration = Duration::from_secs(3);
/// Maximum jitter of the first reads, so that nodes started together do not all read at once.
const READ_JITTER: Duration = Duration::from_secs(2);

/// Shutdown phase of the node. The order of the variants is the order of the transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NodePhase {
    Serving,
    Draining,
    Leaving,
}

/// Control state of one node.
#[derive(Debug)]
pub struct ControlCore {
    pub(crate) config: ControlConfig,
    pub(crate) rng: StdRng,
    pub(crate) queue: ActionQueue,
    pub(crate) table: RecordTable,
    pub(crate) cache: BundleCache,
    pub(crate) overlay: PeerOverlay,
    pub(crate) tree: PushTree,
    pub(crate) sync: TableSync,
    pub(crate) ring: MemberRing,
    pub(crate) detector: FailureDetector,
    pub(crate) relay: RelayRole,
    pub(crate) relay_view: RelayView,
    pub(crate) feed: StoreFeed,
    pub(crate) votes: VoteCollector,
    pub(crate) decision: PublishDecision,
    pub(crate) floor: VersionFloor,
    pub(crate) reads: FallbackReads,
    pub(crate) target: Option<TargetState>,
    pub(crate) lag_reason: CompactString,
    /// Sequence number of this node's latest endpoint record within its incarnation.
    pub(crate) sequence: u64,
    pub(crate) phase: NodePhase,
    pub(crate) watching: bool,
    pub(crate) gateway_since: Option<Instant>,
    pub(crate) ring_changed: bool,
    pub(crate) endpoints_changed: bool,
    pub(crate) started: Instant,
    pub(crate) last_tick: Instant,
    pub(crate) next_expiry: Instant,
}

impl ControlCore {
    /// Creates the control state of a node that has not yet heard from peers or the store.
    #[must_use]
    pub fn new(config: ControlConfig, now: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(config.seed);
        let jitter = READ_JITTER.mul_f64(rng.random_range(0.0..1.0));
        let relays_at = now + RELAY_READ_DELAY + jitter;
        let heads_at = now + HEAD_READ_DELAY + jitter;
        let mut core = Self {
            rng,
            queue: ActionQueue::default(),
            table: RecordTable::default(),
            cache: BundleCache::default(),
            overlay: PeerOverlay::default(),
            tree: PushTree::default(),
            sync: TableSync::default(),
            ring: MemberRing::new(&config.node, std::iter::empty()),
            detector: FailureDetector::default(),
            relay: RelayRole::new(now),
            relay_view: RelayView::default(),
            feed: StoreFeed::default(),
            votes: VoteCollector::default(),
            decision: PublishDecision::default(),
            floor: VersionFloor::new(now),
            reads: FallbackReads::new(relays_at, heads_at),
            target: None,
            lag_reason: CompactString::default(),
            sequence: 0,
            phase: NodePhase::Serving,
            watching: false,
            gateway_since: None,
            ring_changed: true,
            endpoints_changed: false,
            started: now,
            last_tick: now,
            next_expiry: now,
            config,
        };
        core.publish_endpoint(now);
        core
    }

    /// Processes one event and returns the actions that the daemon has to carry out, in order.
    pub fn handle(&mut self, event: ControlEvent, now: Instant) -> Vec<ControlAction> {
        self.dispatch(event, now);
        self.update_derived_state(now);
        std::mem::take(&mut self.queue.actions)
    }

    fn dispatch(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Tick => self.tick(now),
            ControlEvent::StreamOpened {
                stream,
                hello,
                direction,
            } => self.stream_opened(stream, &hello, direction, now),
            ControlEvent::StreamFailed {
                address,
                refused,
                retry_after,
            } => self.stream_failed(&address, refused, retry_after, now),
            ControlEvent::StreamClosed { stream } => self.stream_closed(stream),
            ControlEvent::Message { stream, message } => self.handle_message(stream, message, now),
            ControlEvent::TargetChanged(target) => self.target_changed(target, now),
            ControlEvent::PrepareResult {
                profile,
                version,
                publish_id,
                result,
            } => {
                let vote = self
                    .votes
                    .prepared(&profile, version, &publish_id, result, &self.table);
                if let Some((version, body)) = vote {
                    self.publish_vote(version, body, now);
                }
            }
            ControlEvent::Applied { profile, version } => self.applied(&profile, version, now),
            ControlEvent::ApplyFailed {
                profile,
                version,
                reason,
            } => self.apply_failed(&profile, version, reason, now),
            ControlEvent::CrashObserved { fingerprint } => self.publish_crash(&fingerprint, now),
            ControlEvent::DrainStarted => {
                self.phase = self.phase.max(NodePhase::Draining);
                self.publish_endpoint(now);
            }
            ControlEvent::Leaving => self.publish_leave(now),
            ControlEvent::StoreEntries {
                prefix,
                entries,
                complete,
            } => self.store_entries(&prefix, &entries, complete, now),
            ControlEvent::StoreDeleted { key } => self.store_deleted(&key),
            ControlEvent::StoreResult { id, reply } => self.store_result(id, &reply, now),
            ControlEvent::StoreUnavailable => self.store_lost(now),
            ControlEvent::StoreAvailable => self.relay.store_changed(false, now),
        }
    }

    /// Updates the state derived from what the event changed.
    fn update_derived_state(&mut self, now: Instant) {
        if self.ring_changed {
            self.rebuild_ring();
        }
        self.check_candidate(now);
        self.offer_head(now);
        if std::mem::take(&mut self.endpoints_changed) {
            self.queue.push(ControlAction::EndpointsChanged);
        }
    }

    fn stream_opened(
        &mut self,
        stream: StreamId,
        hello: &Hello,
        direction: StreamDirection,
        now: Instant,
    ) {
        let outbound = matches!(direction, StreamDirection::Outbound { .. });
        let own = &self.config.node;
        let outcome = self
            .overlay
            .open(stream, hello, direction, own, now, &mut self.queue);
        if outcome == OpenOutcome::Dropped {
            return;
        }
        self.detector.message_received(&hello.node, now);
        let location = self.location(now);
        if outbound && let Some(link) = self.overlay.links.get_mut(&stream) {
            TableSync::start_exchange(stream, link, &self.table, &location, now, &mut self.queue);
        }
    }

    fn stream_failed(
        &mut self,
        address: &CompactString,
        refused: bool,
        retry_after: Option<Duration>,
        now: Instant,
    ) {
        self.overlay
            .dial_failed(address, retry_after, now, &mut self.rng);
        let member = self
            .ring
            .successors()
            .find(|member| member.address == *address);
        let Some(node) = member.map(|member| member.node.clone()) else {
            return;
        };
        // A node that answers with a retry delay is alive.
        if retry_after.is_some() {
            self.detector.message_received(&node, now);
        } else if refused {
            self.detector.refused(&node, now);
        }
    }

    fn stream_closed(&mut self, stream: StreamId) {
        if let Some(link) = self.overlay.forget(stream) {
            let text = format_compact!("node {} in {}", link.node, link.data_centre);
            self.queue.log(Level::Debug, EventCode::PeerLost, text);
        }
    }

    fn target_changed(&mut self, target: Option<TargetState>, now: Instant) {
        let old = self.target.take();
        let profile_of = |state: &Option<TargetState>| {
            state
                .as_ref()
                .map(|state| state.profile.clone())
                .unwrap_or_default()
        };
        let (before, after) = (profile_of(&old), profile_of(&target));
        self.target = target;
        if before != after {
            self.lag_reason = CompactString::default();
            self.votes.forget(&after);
            // The daemon has dropped this profile's configuration and needs it again. The version
            // floor stays in force.
            self.floor.allow_reapply(&after);
        }
        self.publish_endpoint(now);
    }

    /// Profile selected by the local target; empty for the built-in default.
    pub(crate) fn selected_profile(&self) -> CompactString {
        self.target
            .as_ref()
            .map(|target| target.profile.clone())
            .unwrap_or_default()
    }

    pub(crate) fn location(&self, now: Instant) -> NodeLocation {
        NodeLocation {
            region: self.config.region.clone(),
            data_centre: self.config.data_centre.clone(),
            is_relay: self.relay.is_relay(),
            is_gateway: self.is_gateway(now),
        }
    }

    pub(crate) fn rebuild_ring(&mut self) {
        self.ring_changed = false;
        let members = self.members_view();
        let local = members
            .known()
            .map(|(_, body)| body)
            .filter(|body| body.data_centre == self.config.data_centre.as_str())
            .map(|body| {
                let address: CompactString = body.control_address.as_str().into();
                (body.node.as_str().into(), address)
            });
        self.ring = MemberRing::new(&self.config.node, local);
    }

    /// Undecided candidates in the store, for the status page. Only a gateway sees them; the list
    /// is empty on other nodes.
    #[must_use]
    pub fn open_publishes(&self) -> Vec<CandidateEntry> {
        let candidates = self.feed.candidates.values();
        candidates
            .map(|candidate| candidate.entry.clone())
            .collect()
    }
}
