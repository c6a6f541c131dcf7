//! Publishing of this node's records, and the processing of records received from peers.

use std::{collections::BTreeSet, time::Instant};

use apricotfold_model::{EventCode, ProfileVersion};
use apricotfold_schema::peer::{
    BucketIds, CrashBody, EndpointBody, PeerMessage, Pong, Record, RecordId, RecordKind,
    StatusBody, SuspicionBody, VoteBody,
};
use compact_str::{CompactString, format_compact};
use log::Level;

use crate::{
    ControlAction, ControlCore, MessageBody, RecordBody, RecordKey, RecordVersion, StreamId,
    control_core::NodePhase,
    push_tree::{LinkContext, PushTree, is_flooded},
    record_body::{join_id, split_id},
    record_table::{MergeOutcome, StoredRecord},
    table_sync::TableSync,
};

/// Sequence number of an endpoint's removal. No update of the same incarnation can supersede it.
const REMOVAL_SEQUENCE: u64 = u64::MAX;
/// Maximum number of crash fingerprints that one node publishes at a time. Repeats of a request
/// share a fingerprint; more fingerprints mean that the crashes have another cause.
const MAX_SHARED_FINGERPRINTS: usize = 256;

/// Evaluates an expression with a `LinkContext` that borrows from the fields of the core.
macro_rules! with_links {
    ($core:ident, $now:ident, $stripped:expr, |$ctx:ident| $run:expr) => {{
        let location = $core.location($now);
        let mut ctx = LinkContext {
            table: &$core.table,
            links: &mut $core.overlay.links,
            location: &location,
            stripped: $stripped,
            now: $now,
            queue: &mut $core.queue,
        };
        let $ctx = &mut ctx;
        $run
    }};
}
pub(crate) use with_links;

impl ControlCore {
    /// Merges a record published by this node into the table and sends it to the peers if it is
    /// newer than the known one.
    pub(crate) fn publish(
        &mut self,
        key: RecordKey,
        version: RecordVersion,
        body: &RecordBody,
        now: Instant,
    ) {
        let record = Record {
            id: Some(join_id(&key, version)),
            origin_region: self.config.region.to_string(),
            origin_data_centre: self.config.data_centre.to_string(),
            body: body.encode(),
            removed: *body == RecordBody::Removed,
            age_ms: 0,
        };
        let is_stripped = self.has_bundle(body);
        if self.merge_record(&key, record, now) != MergeOutcome::Newer {
            return;
        }
        let keys = [key];
        let stripped: &[RecordKey] = if is_stripped { &keys } else { &[] };
        with_links!(self, now, stripped, |ctx| PushTree::broadcast(
            &keys, None, ctx
        ));
    }

    /// Returns true for a head whose bundle is in the cache, usually from its candidate.
    fn has_bundle(&self, body: &RecordBody) -> bool {
        match body {
            RecordBody::Head(head) => self.cache.find(&head.digest).is_some(),
            _ => false,
        }
    }

    /// Version that follows the known one of a record within an epoch.
    fn next_version(&self, kind: RecordKind, key: &str, epoch: u64) -> RecordVersion {
        let known = self.table.get(kind, key).map(|stored| stored.version);
        let sequence = known
            .filter(|version| version.epoch == epoch)
            .map_or(0, |version| version.sequence);
        RecordVersion::new(epoch, sequence.saturating_add(1))
    }

    pub(crate) fn publish_endpoint(&mut self, now: Instant) {
        if self.phase == NodePhase::Leaving {
            return;
        }
        self.sequence += 1;
        let profile = self.selected_profile();
        let target = self.target.as_ref();
        let config = &self.config;
        let body = EndpointBody {
            node: config.node.to_string(),
            region: config.region.to_string(),
            data_centre: config.data_centre.to_string(),
            control_address: config.control_address.to_string(),
            mesh_address: config.mesh_address.to_string(),
            service: target.map_or_else(String::new, |target| target.service.to_string()),
            draining: self.phase != NodePhase::Serving
                || target.is_some_and(|target| target.draining),
            slots: target.map_or(0, |target| target.slots),
            profile: profile.to_string(),
            admin_address: config.admin_address.to_string(),
        };
        let key = RecordKey::new(RecordKind::Endpoint, config.node.clone());
        let version = RecordVersion::new(config.incarnation, self.sequence);
        self.publish(key, version, &RecordBody::Endpoint(body), now);
        self.publish_status(now);
    }

    /// Publishes the applied version and the lag reason of this node to its data centre if they
    /// have changed.
    fn publish_status(&mut self, now: Instant) {
        let node = self.config.node.clone();
        let body = RecordBody::Status(StatusBody {
            node: node.to_string(),
            applied_version: self.floor.applied(&self.selected_profile()),
            lag_reason: self.lag_reason.to_string(),
        });
        let epoch = self.config.incarnation;
        let known = self.table.get(RecordKind::Status, &node);
        if known.is_some_and(|known| known.version.epoch == epoch && known.body == body) {
            return;
        }
        let version = self.next_version(RecordKind::Status, &node, epoch);
        self.publish(
            RecordKey::new(RecordKind::Status, node),
            version,
            &body,
            now,
        );
    }

    /// Removes this node's endpoint permanently, because the node exits.
    pub(crate) fn publish_leave(&mut self, now: Instant) {
        self.phase = NodePhase::Leaving;
        let key = RecordKey::new(RecordKind::Endpoint, self.config.node.clone());
        let version = RecordVersion::new(self.config.incarnation, REMOVAL_SEQUENCE);
        self.publish(key, version, &RecordBody::Removed, now);
    }

    /// Removes the endpoint of a member that is considered gone. Every monitor publishes an
    /// identical record.
    pub(crate) fn publish_gone(&mut self, node: &str, incarnation: u64, now: Instant) {
        let key = RecordKey::new(RecordKind::Endpoint, node);
        let version = RecordVersion::new(incarnation, REMOVAL_SEQUENCE);
        self.publish(key, version, &RecordBody::Removed, now);
    }

    /// Raises this node's incarnation if a monitor suspects the current one, if its endpoint was
    /// removed, or if an earlier run of this node has left a higher incarnation.
    pub(crate) fn refute(&mut self, now: Instant) {
        if self.phase == NodePhase::Leaving {
            return;
        }
        let own = RecordVersion::new(self.config.incarnation, self.sequence);
        let stored = self.table.get(RecordKind::Endpoint, &self.config.node);
        let known = stored.map(|stored| stored.version).unwrap_or_default();
        let prefix = format_compact!("{}/", self.config.node);
        let is_suspected = self
            .table
            .range(RecordKind::Suspicion, &prefix)
            .any(|(_, stored)| match &stored.body {
                RecordBody::Suspicion(body) => body.incarnation == own.epoch,
                _ => false,
            });
        if known == own && !is_suspected {
            return;
        }
        self.config.incarnation = own.epoch.max(known.epoch) + 1;
        self.sequence = 0;
        self.publish_endpoint(now);
    }

    pub(crate) fn publish_suspicion(
        &mut self,
        subject: &str,
        incarnation: Option<u64>,
        now: Instant,
    ) {
        let monitor = self.config.node.clone();
        let key = format_compact!("{subject}/{monitor}");
        let known = self.table.get(RecordKind::Suspicion, &key);
        let epoch = match (incarnation, known) {
            (Some(incarnation), _) => incarnation,
            (None, Some(known)) => known.version.epoch,
            (None, None) => return,
        };
        let version = self.next_version(RecordKind::Suspicion, &key, epoch);
        let body = match incarnation {
            Some(incarnation) => RecordBody::Suspicion(SuspicionBody {
                subject: subject.to_owned(),
                incarnation,
                monitor: monitor.to_string(),
            }),
            None => RecordBody::Removed,
        };
        self.publish(
            RecordKey::new(RecordKind::Suspicion, key),
            version,
            &body,
            now,
        );
    }

    pub(crate) fn publish_vote(
        &mut self,
        version: RecordVersion,
        mut body: VoteBody,
        now: Instant,
    ) {
        let (level, code) = if body.prepared {
            (Level::Info, EventCode::VersionPrepared)
        } else {
            (Level::Warn, EventCode::VersionRefused)
        };
        let text = format_compact!("{} version {} {}", body.profile, body.version, body.reason);
        self.queue.log(level, code, text.trim_end());
        let key = format_compact!("{}/{}", body.profile, self.config.node);
        body.node = self.config.node.to_string();
        let key = RecordKey::new(RecordKind::Vote, key);
        self.publish(key, version, &RecordBody::Vote(body), now);
    }

    pub(crate) fn publish_crash(&mut self, fingerprint: &str, now: Instant) {
        let key = format_compact!("{fingerprint}/{}", self.config.node);
        let own = self.config.node.as_str();
        let shared = self
            .table
            .range(RecordKind::Crash, "")
            .filter(
                |(_, stored)| matches!(&stored.body, RecordBody::Crash(body) if body.node == own),
            )
            .count();
        let known = self.table.get(RecordKind::Crash, &key);
        if known.is_none() && shared >= MAX_SHARED_FINGERPRINTS {
            return;
        }
        let version = self.next_version(RecordKind::Crash, &key, 0);
        let body = RecordBody::Crash(CrashBody {
            fingerprint: fingerprint.to_owned(),
            node: own.to_owned(),
            crashes: u32::try_from(version.sequence).unwrap_or(u32::MAX),
        });
        self.publish(RecordKey::new(RecordKind::Crash, key), version, &body, now);
    }

    pub(crate) fn applied(&mut self, profile: &str, version: ProfileVersion, now: Instant) {
        self.floor.confirm(profile, version);
        let text = format_compact!("{profile} version {version}");
        self.queue.log(Level::Info, EventCode::VersionApplied, text);
        if profile == self.selected_profile() {
            self.lag_reason = CompactString::default();
            self.publish_status(now);
        }
    }

    pub(crate) fn apply_failed(
        &mut self,
        profile: &str,
        version: ProfileVersion,
        reason: CompactString,
        now: Instant,
    ) {
        let text = format_compact!("{profile} version {version}: {reason}");
        self.queue
            .log(Level::Error, EventCode::VersionNotApplicable, text);
        if profile == self.selected_profile() {
            self.lag_reason = reason;
            self.publish_status(now);
        }
    }

    pub(crate) fn handle_message(&mut self, stream: StreamId, message: PeerMessage, now: Instant) {
        let Some(link) = self.overlay.links.get_mut(&stream) else {
            return;
        };
        link.last_received = now;
        let node = link.node.clone();
        self.detector.message_received(&node, now);
        let settled = self.floor.is_settled();
        match message.body {
            Some(MessageBody::Push(push)) => self.handle_push(stream, push.records, now),
            Some(MessageBody::Advertise(advertise)) => {
                self.pull(stream, &advertise.ids, true, now);
            }
            Some(MessageBody::Pull(pull)) => {
                with_links!(self, now, &[], |ctx| PushTree::answer_pull(
                    stream, &pull, ctx
                ));
            }
            Some(MessageBody::Prune(_)) => link.eager = false,
            Some(MessageBody::Digest(digest)) => {
                with_links!(self, now, &[], |ctx| TableSync::answer_digest(
                    stream, &digest, settled, ctx
                ));
            }
            Some(MessageBody::BucketIds(answer)) => self.handle_bucket_ids(stream, &answer, now),
            Some(MessageBody::Ping(ping)) => {
                let answer = Pong { nonce: ping.nonce };
                self.queue.send(stream, MessageBody::Pong(answer));
            }
            Some(MessageBody::Pong(_) | MessageBody::Hello(_)) | None => {}
        }
    }

    fn pull(
        &mut self,
        stream: StreamId,
        ids: &[RecordId],
        graft: bool,
        now: Instant,
    ) -> Vec<RecordKey> {
        with_links!(self, now, &[], |ctx| self
            .tree
            .pull_missing(stream, ids, graft, ctx))
    }

    fn handle_bucket_ids(&mut self, stream: StreamId, answer: &BucketIds, now: Instant) {
        let settled = self.floor.is_settled();
        let missing = self.pull(stream, &answer.ids, false, now);
        if answer.reply {
            with_links!(self, now, &[], |ctx| TableSync::answer_ids(
                stream, answer, settled, ctx
            ));
        } else {
            with_links!(self, now, &[], |ctx| TableSync::push_newer(
                stream, answer, ctx
            ));
        }
        let Some(link) = self.overlay.links.get(&stream) else {
            return;
        };
        // A node that is alone in its data centre can ask only relays of other data centres.
        let is_source = link.data_centre == self.config.data_centre || self.ring.len() <= 1;
        if answer.settled && is_source {
            let node = link.node.clone();
            let awaited: BTreeSet<RecordKey> = missing
                .into_iter()
                .filter(|key| {
                    matches!(
                        key.kind,
                        RecordKind::Head | RecordKind::Candidate | RecordKind::Endpoint
                    )
                })
                .collect();
            self.floor.peer_answered(&node, awaited);
        }
    }

    fn handle_push(&mut self, stream: StreamId, records: Vec<Record>, now: Instant) {
        let mut fresh = Vec::new();
        let mut stripped = Vec::new();
        let mut is_duplicate = false;
        for mut record in records {
            let Some(id) = record.id.clone() else {
                continue;
            };
            if self.cache.restore_bundle(&mut record).is_err() {
                self.pull(stream, &[id], false, now);
                continue;
            }
            let Some((key, _)) = split_id(&id) else {
                continue;
            };
            let is_stripped = key.kind == RecordKind::Head
                && RecordBody::decode(key.kind, &record.body)
                    .is_some_and(|body| self.has_bundle(&body));
            let was_asked = self.tree.finish_pull(&key);
            match self.merge_record(&key, record, now) {
                MergeOutcome::Newer => {
                    if is_stripped {
                        stripped.push(key.clone());
                    }
                    fresh.push(key);
                }
                MergeOutcome::Same => is_duplicate |= !was_asked && !is_flooded(key.kind),
                MergeOutcome::Older | MergeOutcome::Invalid => {}
            }
        }
        if fresh.is_empty() {
            if is_duplicate {
                PushTree::prune(stream, &mut self.overlay.links, &mut self.queue);
            }
            return;
        }
        with_links!(self, now, &stripped, |ctx| PushTree::broadcast(
            &fresh,
            Some(stream),
            ctx
        ));
    }

    /// Merges a record into the table and updates the state derived from it.
    fn merge_record(&mut self, key: &RecordKey, record: Record, now: Instant) -> MergeOutcome {
        let before = self
            .table
            .get(key.kind, &key.key)
            .map(|stored| (stored.version, stored.body.clone()));
        let outcome = self.table.merge(record, now);
        if outcome != MergeOutcome::Newer {
            return outcome;
        }
        match key.kind {
            RecordKind::Endpoint => self.endpoint_merged(&key.key, before.as_ref(), now),
            RecordKind::Head | RecordKind::Candidate => {
                if let Some(body) = self.table.body(key.kind, &key.key) {
                    self.cache.insert_bundle(body);
                }
            }
            RecordKind::Relay => self.relay_merged(&key.key, now),
            RecordKind::Crash => self.crash_merged(&key.key),
            _ => {}
        }
        self.floor.record_arrived(key);
        outcome
    }

    fn endpoint_merged(
        &mut self,
        node: &CompactString,
        before: Option<&(RecordVersion, RecordBody)>,
        now: Instant,
    ) {
        let body = match self.table.body(RecordKind::Endpoint, node) {
            Some(RecordBody::Endpoint(body)) => Some(body),
            _ => None,
        };
        let old = match before {
            Some((_, RecordBody::Endpoint(body))) => Some(body),
            _ => None,
        };
        let routing = |body: &EndpointBody| {
            let addresses = (body.mesh_address.clone(), body.control_address.clone());
            (body.service.clone(), addresses, body.slots, body.draining)
        };
        let epoch = |stored: &StoredRecord| stored.version.epoch;
        let new_epoch = self.table.get(RecordKind::Endpoint, node).map(epoch);
        let old_epoch = before.map(|(version, _)| version.epoch);
        if old.map(routing) != body.map(routing) || old_epoch != new_epoch {
            self.endpoints_changed = true;
        }
        let own = self.config.data_centre.as_str();
        if let Some(body) = body {
            self.detector.data_centre_seen(&body.data_centre, now);
            self.detector.forget_address(node);
            if old.is_none() && body.data_centre == own {
                let text = format_compact!("node {node}");
                self.queue.log(Level::Info, EventCode::MemberJoined, text);
            }
        } else if let Some(old) = old
            && old.data_centre == own
            && *node != self.config.node
        {
            let address = old.control_address.as_str().into();
            self.detector.remember_address(node.clone(), address);
            let text = format_compact!("node {node}");
            self.queue.log(Level::Info, EventCode::MemberGone, text);
        }
        let control =
            |body: &EndpointBody| (body.data_centre.clone(), body.control_address.clone());
        self.ring_changed |= old.map(control) != body.map(control);
    }

    fn relay_merged(&mut self, key: &CompactString, now: Instant) {
        self.relay_view.update(key, &self.table, now);
        if let Some(RecordBody::Relay(body)) = self.table.body(RecordKind::Relay, key) {
            self.detector.heartbeat(&body.data_centre, now);
        }
    }

    fn crash_merged(&mut self, key: &CompactString) {
        let Some((fingerprint, _)) = key.rsplit_once('/') else {
            return;
        };
        let prefix = format_compact!("{fingerprint}/");
        let count = self
            .table
            .range(RecordKind::Crash, &prefix)
            .map(|(_, stored)| match &stored.body {
                RecordBody::Crash(body) => body.crashes,
                _ => 0,
            })
            .fold(0, u32::saturating_add);
        self.queue.push(ControlAction::CrashCounts {
            fingerprint: fingerprint.into(),
            count,
        });
    }
}
