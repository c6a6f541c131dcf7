//! Periodic work of the control core, and the processing of store events and replies.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use apricotfold_model::{EventCode, ProfileVersion, RelayEntry, keys};
use apricotfold_schema::peer::{Ping, RecordKind};
use compact_str::{CompactString, format_compact};
use log::Level;
use rand::RngExt;

use crate::{
    ControlAction, ControlCore, MessageBody, RecordBody, RecordKey, RequestId, StoreEntry,
    StoreReply, StoreRequest, StreamId,
    control_core::NodePhase,
    core_records::with_links,
    failure_detector::PING_INTERVAL,
    live_members::LiveMembers,
    peer_overlay::OverlayPlan,
    push_tree::LinkContext,
    relay_role::{RelayContext, RelayRole, RelayUpdate, slot_key},
    relay_view::RelayView,
    store_feed::{FeedContext, WATCHED_PREFIXES, known_version},
    table_sync::SyncMode,
    vote_collector::{VoteContext, open_candidates},
};

/// Gap between two ticks from which the process is taken to have been paused, during which it
/// received no messages.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Ping interval on links to members that this node does not monitor, to detect dead links.
const LINK_PING_INTERVAL: Duration = Duration::from_secs(2);
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Age up to which a candidate makes anti-entropy urgent, because its votes still count.
const URGENT_CANDIDATE_AGE: Duration = Duration::from_secs(5);
/// A node that has just started does not apply a head while it knows a higher candidate younger
/// than this. The candidate may already be accepted, and the node may have run it before its
/// restart.
const UNDECIDED_CANDIDATE_AGE: Duration = Duration::from_secs(20);
/// Maximum wait for the outcome of such a candidate: the decision takes up to 3 s, and the head
/// arrives within another second.
const UNDECIDED_CANDIDATE_WAIT: Duration = Duration::from_secs(4);
/// Time as gateway before the node opens store watches, so that a short overlap of two gateways
/// does not open a second set.
const WATCH_DELAY: Duration = Duration::from_millis(200);
/// Time after startup before a node may watch the store. Until it has heard from the other relays
/// of its region it considers itself the gateway.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(3);

impl ControlCore {
    pub(crate) fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_tick) >= PAUSE_THRESHOLD {
            self.resume(now);
        }
        self.last_tick = now;
        if self.ring_changed {
            self.rebuild_ring();
        }
        self.refute(now);
        self.watch_members(now);
        self.tick_relay(now);
        self.watch_store(now);
        self.read_store(now);
        self.reconcile(now);
        self.vote_and_decide(now);
        self.check_restart(now);
        self.maintain_streams(now);
        self.send_pings(now);
        self.tree
            .tick(&mut self.overlay.links, now, &mut self.queue);
        let mode = self.sync_mode(now);
        with_links!(self, now, &[], |ctx| self.sync.tick(
            mode,
            &mut self.rng,
            ctx
        ));
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.table.expire(now);
        }
    }

    /// Restarts the silence timers after a pause of this process, so that no peer is suspected for
    /// the time in which this process did not run.
    fn resume(&mut self, now: Instant) {
        self.detector.resumed(now);
        self.relay_view.resumed(now);
        for link in self.overlay.links.values_mut() {
            link.last_received = now;
        }
    }

    fn sync_mode(&self, now: Instant) -> SyncMode {
        if !self.floor.is_settled() {
            return SyncMode::Unsettled;
        }
        let profile = self.selected_profile();
        let is_acting = self.relay_view.is_acting(&self.config, now);
        let is_involved = open_candidates(&self.table)
            .filter(|known| known.age(now) < URGENT_CANDIDATE_AGE)
            .any(|known| is_acting || known.body.profile == profile.as_str());
        if is_involved {
            return SyncMode::Urgent;
        }
        SyncMode::Normal
    }

    pub(crate) fn members_view(&self) -> LiveMembers<'_> {
        LiveMembers {
            table: &self.table,
            detector: &self.detector,
        }
    }

    fn watch_members(&mut self, now: Instant) {
        let config = &self.config;
        let report = self.detector.tick(
            &config.node,
            &config.data_centre,
            &self.ring,
            &self.table,
            now,
        );
        for (node, incarnation) in report.suspected {
            let text = format_compact!("node {node}, incarnation {incarnation}");
            self.queue
                .log(Level::Info, EventCode::MemberSuspected, text);
            self.publish_suspicion(&node, Some(incarnation), now);
        }
        for node in report.cleared {
            self.publish_suspicion(&node, None, now);
        }
        for (node, incarnation) in report.gone {
            self.endpoints_changed = true;
            // A node without any stream is itself cut off. It stops using the members that it
            // considers gone, but does not remove their endpoints on other nodes.
            if self.detector.suspects(&node) && !self.overlay.links.is_empty() {
                self.publish_gone(&node, incarnation, now);
            }
        }
        self.endpoints_changed |= !report.returned.is_empty();
        for (name, is_lost) in report.data_centres {
            let state = if is_lost { "lost" } else { "back" };
            let text = format_compact!("{name} {state}");
            self.queue
                .log(Level::Warn, EventCode::DataCentreChanged, text);
            self.endpoints_changed = true;
        }
    }

    fn relay_context(&mut self, now: Instant) -> (RelayContext<'_>, RelayParts<'_>) {
        let ctx = RelayContext {
            config: &self.config,
            table: &self.table,
            ring: &self.ring,
            draining: self.phase != NodePhase::Serving,
            now,
            rng: &mut self.rng,
            queue: &mut self.queue,
        };
        let parts = RelayParts {
            role: &mut self.relay,
            view: &self.relay_view,
        };
        (ctx, parts)
    }

    fn tick_relay(&mut self, now: Instant) {
        let (mut ctx, parts) = self.relay_context(now);
        let update = parts.role.tick(parts.view, &mut ctx);
        let Some(RelayUpdate {
            version,
            body,
            removed,
        }) = update
        else {
            return;
        };
        let key = RecordKey::new(RecordKind::Relay, slot_key(&body.data_centre, body.slot));
        let body = if removed {
            RecordBody::Removed
        } else {
            RecordBody::Relay(body)
        };
        self.publish(key, version, &body, now);
    }

    /// Opens or closes the store watches. Only gateways watch the store, so that its load grows
    /// with the number of regions and not with the number of nodes.
    fn watch_store(&mut self, now: Instant) {
        let is_gateway = self.relay.is_relay() && self.is_gateway(now);
        if !is_gateway {
            self.gateway_since = None;
        } else if self.gateway_since.is_none() {
            self.gateway_since = Some(now);
        }
        let is_due = self
            .gateway_since
            .is_some_and(|since| now.saturating_duration_since(since) >= WATCH_DELAY);
        let is_known = now.saturating_duration_since(self.started) >= FIRST_WATCH_DELAY;
        let should_watch = is_due && is_known && !self.relay.is_store_unavailable();
        if should_watch == self.watching {
            return;
        }
        self.watching = should_watch;
        self.feed.clear();
        for prefix in WATCHED_PREFIXES {
            let prefix = prefix.into();
            let request = if should_watch {
                StoreRequest::Watch { prefix }
            } else {
                StoreRequest::Unwatch { prefix }
            };
            self.queue.send_store_request(request);
        }
        let text = if should_watch {
            "watches the store"
        } else {
            "stops watching the store"
        };
        self.queue
            .log(Level::Info, EventCode::RelayRoleChanged, text);
    }

    /// Reads the store on a node that does not watch it: relays look for other data centres, and a
    /// node whose peers do not answer looks for relays and heads.
    fn read_store(&mut self, now: Instant) {
        if self.watching {
            return;
        }
        let own = &self.config.data_centre;
        let has_remote_link = self
            .overlay
            .links
            .values()
            .any(|link| link.data_centre != *own);
        let has_no_links = self.overlay.links.is_empty();
        if has_no_links || (self.relay.is_relay() && !has_remote_link) {
            self.reads.read_relays(now, &mut self.queue);
        }
        if !self.floor.is_settled() {
            self.reads.read_heads(now, &mut self.queue);
        }
    }

    fn reconcile(&mut self, now: Instant) {
        if !self.feed.has_heads() && !self.watching {
            return;
        }
        let profile = self.selected_profile();
        self.feed.set_answer_time(self.relay.answer_time());
        let records = self.feed.reconcile(&mut FeedContext {
            all: self.watching,
            profile: &profile,
            table: &self.table,
            cache: &self.cache,
            now,
            queue: &mut self.queue,
        });
        for record in records {
            let key = RecordKey::new(record.kind, record.key);
            self.publish(key, record.version, &record.body, now);
        }
    }

    fn vote_and_decide(&mut self, now: Instant) {
        let fence = self.relay.write_fence(now);
        let is_acting = self.relay_view.is_acting(&self.config, now);
        let slot = fence.filter(|_| is_acting).map(|(slot, revision)| {
            let key: CompactString = keys::relay(&self.config.data_centre, slot).into();
            (key, revision)
        });
        let mut ctx = VoteContext {
            config: &self.config,
            members: LiveMembers {
                table: &self.table,
                detector: &self.detector,
            },
            slot,
            now,
            queue: &mut self.queue,
        };
        self.votes.tick(&mut ctx);
        if self.watching && self.feed.has_heads() {
            self.decision.tick(&self.feed, &mut ctx);
        }
    }

    fn check_restart(&mut self, now: Instant) {
        let others = self.ring.len().saturating_sub(1);
        if self.floor.check(others, now) || self.floor.is_settled() || !self.feed.has_heads() {
            return;
        }
        // The store counts as a source once the table holds every head that this node needs.
        let profile = self.selected_profile();
        let has_all = self.feed.heads.iter().all(|(name, (entry, _))| {
            let is_needed = self.watching || *name == profile;
            !is_needed || known_version(&self.table, name) >= entry.version
        });
        if has_all && (self.watching || !profile.is_empty()) {
            self.floor.store_answered(now);
        }
    }

    fn maintain_streams(&mut self, now: Instant) {
        let mut contacts = self.config.contacts.clone();
        contacts.extend(self.relay_view.listed_addresses(&self.config));
        let relay_links = if self.relay.is_relay() {
            self.relay_view.links(&self.config, now)
        } else {
            Vec::new()
        };
        let plan = OverlayPlan {
            own: &self.config.node,
            data_centre: &self.config.data_centre,
            ring: &self.ring,
            relay_links,
            contacts: &contacts,
            gone: self.detector.gone_addresses(),
            seeks_contacts: !self.floor.is_settled() || self.ring.len() <= 1,
        };
        self.overlay
            .maintain(&plan, now, &mut self.rng, &mut self.queue);
    }

    fn send_pings(&mut self, now: Instant) {
        let monitored: Vec<StreamId> = self
            .detector
            .pinged()
            .filter_map(|node| self.overlay.stream_of(node))
            .collect();
        for (stream, link) in &mut self.overlay.links {
            let interval = if monitored.contains(stream) {
                PING_INTERVAL
            } else {
                LINK_PING_INTERVAL
            };
            if now.saturating_duration_since(link.last_ping) < interval {
                continue;
            }
            link.last_ping = now;
            let nonce = self.rng.random();
            self.queue.send(*stream, MessageBody::Ping(Ping { nonce }));
        }
    }

    pub(crate) fn check_candidate(&mut self, now: Instant) {
        let profile = self.selected_profile();
        if profile.is_empty() {
            return;
        }
        let vote = self
            .votes
            .start_check(&profile, &self.table, &self.floor, &mut self.queue);
        if let Some((version, body)) = vote {
            self.publish_vote(version, body, now);
        }
    }

    /// Asks the daemon to apply the head of the selected profile if the version floor allows it.
    pub(crate) fn offer_head(&mut self, now: Instant) {
        let profile = self.selected_profile();
        let Some(RecordBody::Head(head)) = self.table.body(RecordKind::Head, &profile) else {
            return;
        };
        let listed = self.feed.heads.get(&profile);
        let is_behind = listed.is_some_and(|(entry, _)| entry.version > head.version);
        if self.has_undecided_candidate(&profile, head.version, now) {
            return;
        }
        if !is_behind && self.floor.offer(&profile, head.version) {
            let head = head.clone();
            self.queue.push(ControlAction::Apply { head });
        }
    }

    /// Returns true if this node has restarted and knows a higher candidate whose outcome is not
    /// known to it.
    fn has_undecided_candidate(
        &self,
        profile: &str,
        version: ProfileVersion,
        now: Instant,
    ) -> bool {
        if self.floor.applied(profile) > 0 || self.floor.settled_for(UNDECIDED_CANDIDATE_WAIT, now)
        {
            return false;
        }
        let candidate = self.table.get(RecordKind::Candidate, profile);
        candidate.is_some_and(|known| {
            known.version.epoch > version && known.age(now) < UNDECIDED_CANDIDATE_AGE
        })
    }

    pub(crate) fn store_entries(
        &mut self,
        prefix: &str,
        entries: &[StoreEntry],
        complete: bool,
        now: Instant,
    ) {
        if !self.watching {
            return;
        }
        if prefix == keys::RELAYS {
            self.take_relay_entries(entries, complete);
        } else {
            self.feed.take_entries(prefix, entries, complete, now);
        }
    }

    fn take_relay_entries(&mut self, entries: &[StoreEntry], complete: bool) {
        let parsed = entries.iter().filter_map(|entry| {
            let relay: RelayEntry = serde_json::from_slice(&entry.value).ok()?;
            Some((entry.key.clone(), relay))
        });
        let parsed: BTreeMap<CompactString, RelayEntry> = parsed.collect();
        if complete {
            self.relay_view.set_listed(parsed);
            return;
        }
        for (key, entry) in parsed {
            self.relay_view.set_entry(key, entry);
        }
    }

    pub(crate) fn store_deleted(&mut self, key: &str) {
        if !self.watching {
            return;
        }
        if key.starts_with(keys::RELAYS) {
            self.relay_view.remove_entry(key);
        } else {
            self.feed.take_deletion(key);
        }
    }

    pub(crate) fn store_result(&mut self, id: RequestId, reply: &StoreReply, now: Instant) {
        if let Some(prefix) = self.reads.answered(id) {
            self.take_fallback_read(prefix, reply, now);
            return;
        }
        let (mut ctx, parts) = self.relay_context(now);
        if parts.role.answer(id, reply, &mut ctx) {
            return;
        }
        if self.feed.take_bundle(id, reply, now) {
            return;
        }
        if self.votes.answer(id, reply, now, &mut self.queue) {
            return;
        }
        self.decision
            .answer(id, reply, &self.feed, now, &mut self.queue);
    }

    fn take_fallback_read(&mut self, prefix: &str, reply: &StoreReply, now: Instant) {
        let StoreReply::Listed { entries } = reply else {
            return;
        };
        if self.relay.is_store_unavailable() {
            self.relay.store_changed(false, now);
        }
        if prefix == keys::RELAYS {
            self.take_relay_entries(entries, true);
        } else if !self.watching {
            self.feed.take_entries(prefix, entries, true, now);
        }
    }

    pub(crate) fn store_lost(&mut self, now: Instant) {
        let text = "the store does not answer or a watch was interrupted";
        self.queue
            .log(Level::Warn, EventCode::StoreUnavailable, text);
        self.relay.store_changed(true, now);
        self.votes.store_lost(now);
        self.decision.store_lost();
        self.watching = false;
        self.feed.clear();
    }
}

/// Components that are called with a [`RelayContext`]; both are borrowed from the core together
/// with the context.
struct RelayParts<'a> {
    role: &'a mut RelayRole,
    view: &'a RelayView,
}
