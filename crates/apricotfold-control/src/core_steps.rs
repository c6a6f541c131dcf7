//! Work that is due with time, and answers of the store.

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
    live_members::LiveMembers,
    member_watch::PING_INTERVAL,
    peer_overlay::OverlayPlan,
    publish_duty::{VoteTurn, open_candidates},
    push_tree::LinkTurn,
    relay_duty::{RelayDuty, RelayTurn, RelayUpdate, slot_key},
    relay_view::RelayView,
    store_feed::{FeedTurn, WATCHED, known_version},
    table_sync::SyncNeed,
};

/// A gap between ticks that tells that this process was paused and heard nobody meanwhile.
const PAUSE: Duration = Duration::from_secs(1);
/// Pings on links that nobody monitors, to find dead ones.
const LINK_PING_INTERVAL: Duration = Duration::from_secs(2);
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Age of a candidate until which its votes matter.
const URGENT_TIME: Duration = Duration::from_secs(5);
/// A node that has just started does not apply a head while a higher candidate is this young. The
/// candidate may be decided already, and the node may have run it before its restart.
const CANDIDATE_DOUBT: Duration = Duration::from_secs(20);
/// Longest wait for such a head: the decision takes 3 s, and the head another second.
const DOUBT_WAIT: Duration = Duration::from_secs(4);
/// Time as gateway after which the node watches the store, so that a short overlap of two gateways
/// costs no watch.
const WATCH_DELAY: Duration = Duration::from_millis(200);
/// Time after the start before which a node does not watch the store, since it has not yet heard
/// from the other relays of its region and takes itself for the gateway.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(3);

impl ControlCore {
    pub(crate) fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_tick) >= PAUSE {
            self.resume(now);
        }
        self.last_tick = now;
        if self.ring_changed {
            self.rebuild_ring();
        }
        self.refute(now);
        self.watch_members(now);
        self.do_relay_duty(now);
        self.watch_store(now);
        self.read_store(now);
        self.reconcile(now);
        self.vote_and_decide(now);
        self.check_restart(now);
        self.maintain_streams(now);
        self.send_pings(now);
        self.tree
            .tick(&mut self.overlay.links, now, &mut self.queue);
        let need = self.sync_need(now);
        with_links!(self, now, &[], |turn| self.sync.tick(
            need,
            &mut self.rng,
            turn
        ));
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.table.expire(now);
        }
    }

    /// Judges nobody by the silence of a time in which this process did not run.
    fn resume(&mut self, now: Instant) {
        self.watch.resumed(now);
        self.relay_view.resumed(now);
        for link in self.overlay.links.values_mut() {
            link.last_received = now;
        }
    }

    fn sync_need(&self, now: Instant) -> SyncNeed {
        if !self.floor.is_settled() {
            return SyncNeed::Unsettled;
        }
        let profile = self.picked_profile();
        let is_acting = self.relay_view.is_acting(&self.config, now);
        let is_involved = open_candidates(&self.table)
            .filter(|known| known.age(now) < URGENT_TIME)
            .any(|known| is_acting || known.body.profile == profile.as_str());
        if is_involved {
            return SyncNeed::Urgent;
        }
        SyncNeed::Normal
    }

    pub(crate) fn members_view(&self) -> LiveMembers<'_> {
        LiveMembers {
            table: &self.table,
            watch: &self.watch,
        }
    }

    fn watch_members(&mut self, now: Instant) {
        let config = &self.config;
        let report = self.watch.tick(
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
            // Without a single stream this node is the one that is cut off. It then stops using
            // the members, but does not remove them for everybody.
            if self.watch.suspects(&node) && !self.overlay.links.is_empty() {
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

    fn relay_turn(&mut self, now: Instant) -> (RelayTurn<'_>, RelayParts<'_>) {
        let turn = RelayTurn {
            config: &self.config,
            table: &self.table,
            ring: &self.ring,
            draining: self.phase != NodePhase::Serving,
            now,
            rng: &mut self.rng,
            queue: &mut self.queue,
        };
        let parts = RelayParts {
            duty: &mut self.relay,
            view: &self.relay_view,
        };
        (turn, parts)
    }

    fn do_relay_duty(&mut self, now: Instant) {
        let (mut turn, parts) = self.relay_turn(now);
        let update = parts.duty.tick(parts.view, &mut turn);
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

    /// Only gateways watch the store, so that its load grows with the regions, not with the nodes.
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
        let should_watch = is_due && is_known && !self.relay.is_store_away();
        if should_watch == self.watching {
            return;
        }
        self.watching = should_watch;
        self.feed.clear();
        for prefix in WATCHED {
            let prefix = prefix.into();
            let request = if should_watch {
                StoreRequest::Watch { prefix }
            } else {
                StoreRequest::Unwatch { prefix }
            };
            self.queue.ask_store(request);
        }
        let text = if should_watch {
            "watches the store"
        } else {
            "stops watching the store"
        };
        self.queue
            .log(Level::Info, EventCode::RelayRoleChanged, text);
    }

    /// Reads of nodes that do not watch: relays look for the other data centres, and a node whose
    /// peers do not answer looks for relays and heads.
    fn read_store(&mut self, now: Instant) {
        if self.watching {
            return;
        }
        let own = &self.config.data_centre;
        let has_foreign = self
            .overlay
            .links
            .values()
            .any(|link| link.data_centre != *own);
        let is_lonely = self.overlay.links.is_empty();
        if is_lonely || (self.relay.is_relay() && !has_foreign) {
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
        let profile = self.picked_profile();
        self.feed.set_answer_time(self.relay.answer_time());
        let records = self.feed.reconcile(&mut FeedTurn {
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
        let mut turn = VoteTurn {
            config: &self.config,
            members: LiveMembers {
                table: &self.table,
                watch: &self.watch,
            },
            slot,
            now,
            queue: &mut self.queue,
        };
        self.duty.tick(&mut turn);
        if self.watching && self.feed.has_heads() {
            self.decision.tick(&self.feed, &mut turn);
        }
    }

    fn check_restart(&mut self, now: Instant) {
        let others = self.ring.len().saturating_sub(1);
        if self.floor.check(others, now) || self.floor.is_settled() || !self.feed.has_heads() {
            return;
        }
        // The store's answer counts once the table holds every head that this node needs.
        let profile = self.picked_profile();
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
            gone: self.watch.gone_addresses(),
            seeks_contacts: !self.floor.is_settled() || self.ring.len() <= 1,
        };
        self.overlay
            .maintain(&plan, now, &mut self.rng, &mut self.queue);
    }

    fn send_pings(&mut self, now: Instant) {
        let monitored: Vec<StreamId> = self
            .watch
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
        let profile = self.picked_profile();
        if profile.is_empty() {
            return;
        }
        let vote = self
            .duty
            .consider(&profile, &self.table, &self.floor, &mut self.queue);
        if let Some((version, body)) = vote {
            self.publish_vote(version, body, now);
        }
    }

    /// Offers the known head of the picked profile to the daemon if the floor allows it.
    pub(crate) fn offer_head(&mut self, now: Instant) {
        let profile = self.picked_profile();
        let Some(RecordBody::Head(head)) = self.table.body(RecordKind::Head, &profile) else {
            return;
        };
        let listed = self.feed.heads.get(&profile);
        let is_behind = listed.is_some_and(|(entry, _)| entry.version > head.version);
        if self.is_in_doubt(&profile, head.version, now) {
            return;
        }
        if !is_behind && self.floor.offer(&profile, head.version) {
            let head = head.clone();
            self.queue.push(ControlAction::Apply { head });
        }
    }

    /// True when a restarted node knows of a higher candidate whose fate it has not heard.
    fn is_in_doubt(&self, profile: &str, version: ProfileVersion, now: Instant) -> bool {
        if self.floor.applied(profile) > 0 || self.floor.settled_for(DOUBT_WAIT, now) {
            return false;
        }
        let candidate = self.table.get(RecordKind::Candidate, profile);
        candidate
            .is_some_and(|known| known.version.epoch > version && known.age(now) < CANDIDATE_DOUBT)
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
            self.take_start_read(prefix, reply, now);
            return;
        }
        let (mut turn, parts) = self.relay_turn(now);
        if parts.duty.answer(id, reply, &mut turn) {
            return;
        }
        if self.feed.take_bundle(id, reply, now) {
            return;
        }
        if self.duty.answer(id, reply, now, &mut self.queue) {
            return;
        }
        self.decision
            .answer(id, reply, &self.feed, now, &mut self.queue);
    }

    fn take_start_read(&mut self, prefix: &str, reply: &StoreReply, now: Instant) {
        let StoreReply::Listed { entries } = reply else {
            return;
        };
        if self.relay.is_store_away() {
            self.relay.store_changed(false, now);
        }
        if prefix == keys::RELAYS {
            self.take_relay_entries(entries, true);
        } else if !self.watching {
            self.feed.take_entries(prefix, entries, true, now);
        }
    }

    pub(crate) fn store_lost(&mut self, now: Instant) {
        let text = "the store does not answer";
        self.queue
            .log(Level::Warn, EventCode::StoreUnavailable, text);
        self.relay.store_changed(true, now);
        self.duty.store_lost(now);
        self.decision.store_lost();
        self.watching = false;
        self.feed.clear();
    }
}

/// The parts that a [`RelayTurn`] is used on. Both are borrowed from the core at once.
struct RelayParts<'a> {
    duty: &'a mut RelayDuty,
    view: &'a RelayView,
}
