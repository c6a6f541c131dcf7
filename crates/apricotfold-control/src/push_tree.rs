//! Broadcasts new records over eager links and their ids over lazy links, as in Plumtree. See
//! `docs/design.md`, sections 5.2 and 5.3.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use apricotfold_model::{DataCentreName, RegionName};
use apricotfold_schema::peer::{Advertise, Prune, Pull, RecordId, RecordKind};

use crate::{
    MessageBody, RecordBody, RecordKey, RecordTable, RecordVersion, StreamId,
    action::ActionQueue,
    bundle_cache::strip_bundle,
    peer_link::{PeerLink, send_records},
    record_body::{join_id, split_id},
    record_table::{RecordScope, StoredRecord},
};

const ADVERTISE_INTERVAL: Duration = Duration::from_millis(500);
/// Time during which a pulled record is not pulled again over another link. It covers the transfer
/// of a large bundle over the slow link between regions.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Open peer links by stream.
pub(crate) type LinkMap = BTreeMap<StreamId, PeerLink>;

/// Location and relay role of this node, which determine the records that it sends over a link.
#[derive(Clone, Debug)]
pub(crate) struct NodeLocation {
    pub(crate) region: RegionName,
    pub(crate) data_centre: DataCentreName,
    pub(crate) is_relay: bool,
    pub(crate) is_gateway: bool,
}

impl NodeLocation {
    /// Returns true if a new record is sent over a link. Between data centres only relays send, and
    /// between regions only the gateway of the record's region of origin, so that one copy per
    /// region crosses the slow link.
    fn sends(&self, link: &PeerLink, key: &RecordKey, stored: &StoredRecord) -> bool {
        if link.data_centre == self.data_centre {
            return true;
        }
        if RecordScope::of(key.kind) == RecordScope::DataCentre || !self.is_relay {
            return false;
        }
        if link.region == self.region {
            return true;
        }
        self.is_gateway && stored.origin_region == self.region
    }
}

fn belongs_to_publish(kind: RecordKind) -> bool {
    matches!(
        kind,
        RecordKind::Head | RecordKind::Candidate | RecordKind::Vote
    )
}

/// Returns true if records of a kind are pushed over lazy links too. Crash records are rare, and
/// the caller of a request that crashes targets may immediately repeat it through any node.
pub(crate) fn is_flooded(kind: RecordKind) -> bool {
    kind == RecordKind::Crash
}

/// State that operations on the links work on.
pub(crate) struct LinkContext<'a> {
    pub(crate) table: &'a RecordTable,
    pub(crate) links: &'a mut LinkMap,
    pub(crate) location: &'a NodeLocation,
    /// Heads to send without their bundle, which the peers have already received with the
    /// candidate.
    pub(crate) stripped: &'a [RecordKey],
    pub(crate) now: Instant,
    pub(crate) queue: &'a mut ActionQueue,
}

/// Pulls in flight and the schedule of advertisements on lazy links.
#[derive(Debug, Default)]
pub(crate) struct PushTree {
    pulls: BTreeMap<RecordKey, (RecordVersion, Instant)>,
    next_advertise: Option<Instant>,
}

impl PushTree {
    /// Sends records or their ids over every link except the one on which they arrived.
    pub(crate) fn broadcast(
        keys: &[RecordKey],
        source: Option<StreamId>,
        ctx: &mut LinkContext<'_>,
    ) {
        let LinkContext {
            table,
            location,
            now,
            ..
        } = *ctx;
        for (stream, link) in ctx.links.iter_mut() {
            if Some(*stream) == source {
                continue;
            }
            let mut records = Vec::new();
            for key in keys {
                let Some(stored) = table.get(key.kind, &key.key) else {
                    continue;
                };
                if !location.sends(link, key, stored) {
                    continue;
                }
                // A slow stream may drop a push, and a publish cannot wait for anti-entropy.
                let eager = link.eager || is_flooded(key.kind);
                if !eager || belongs_to_publish(key.kind) {
                    link.advertise_later(key, stored.version);
                }
                if !eager {
                    continue;
                }
                link.note_sent(key, stored.version, now);
                let mut record = table.export(key, now);
                if let (RecordBody::Head(body), Some(record)) = (&stored.body, &mut record)
                    && ctx.stripped.contains(key)
                {
                    strip_bundle(record, body);
                }
                records.extend(record);
            }
            send_records(*stream, records, ctx.queue);
        }
    }

    /// Ends the pull of a record that has arrived. Returns false if it was not pulled.
    pub(crate) fn finish_pull(&mut self, key: &RecordKey) -> bool {
        self.pulls.remove(key).is_some()
    }

    /// Makes the link lazy at both ends, because its records arrive earlier over another link.
    pub(crate) fn prune(stream: StreamId, links: &mut LinkMap, queue: &mut ActionQueue) {
        if let Some(link) = links.get_mut(&stream)
            && link.eager
        {
            link.eager = false;
            queue.send(stream, MessageBody::Prune(Prune {}));
        }
    }

    /// Pulls the records of these ids that the table lacks, unless they are already being pulled,
    /// and returns the keys of all that it lacks. Grafting makes the link eager again, because the
    /// eager links did not deliver the record in time.
    pub(crate) fn pull_missing(
        &mut self,
        stream: StreamId,
        ids: &[RecordId],
        graft: bool,
        ctx: &mut LinkContext<'_>,
    ) -> Vec<RecordKey> {
        let LinkContext { table, now, .. } = *ctx;
        let Some(link) = ctx.links.get_mut(&stream) else {
            return Vec::new();
        };
        let mut missing = Vec::new();
        let mut wanted = Vec::new();
        for (key, version) in ids.iter().filter_map(split_id) {
            if !table.lacks(&key, version) {
                continue;
            }
            if !self.is_pulled(&key, version, now) {
                self.pulls.insert(key.clone(), (version, now));
                wanted.push(join_id(&key, version));
            }
            missing.push(key);
        }
        if !wanted.is_empty() {
            link.eager |= graft;
            let pull = Pull { ids: wanted, graft };
            ctx.queue.send(stream, MessageBody::Pull(pull));
        }
        missing
    }

    fn is_pulled(&self, key: &RecordKey, version: RecordVersion, now: Instant) -> bool {
        self.pulls.get(key).is_some_and(|(asked, at)| {
            *asked >= version && now.saturating_duration_since(*at) < PULL_TIMEOUT
        })
    }

    /// Answers a pull with the records in the table, which may be newer than the requested
    /// versions.
    pub(crate) fn answer_pull(stream: StreamId, pull: &Pull, ctx: &mut LinkContext<'_>) {
        let LinkContext {
            table,
            location,
            now,
            ..
        } = *ctx;
        let Some(link) = ctx.links.get_mut(&stream) else {
            return;
        };
        link.eager |= pull.graft;
        let scope = link.scope(&location.data_centre);
        let mut records = Vec::new();
        for (key, _) in pull.ids.iter().filter_map(split_id) {
            if !scope.carries(key.kind) {
                continue;
            }
            if let Some(stored) = table.get(key.kind, &key.key) {
                link.note_sent(&key, stored.version, now);
            }
            records.extend(table.export(&key, now));
        }
        send_records(stream, records, ctx.queue);
    }

    /// Advertises the ids queued on lazy links and drops pulls that have timed out.
    pub(crate) fn tick(&mut self, links: &mut LinkMap, now: Instant, queue: &mut ActionQueue) {
        if self.next_advertise.is_some_and(|next| now < next) {
            return;
        }
        self.next_advertise = Some(now + ADVERTISE_INTERVAL);
        self.pulls
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < PULL_TIMEOUT);
        for (stream, link) in links.iter_mut() {
            if link.lazy.is_empty() {
                continue;
            }
            let ids = std::mem::take(&mut link.lazy)
                .iter()
                .map(|(key, version)| join_id(key, *version))
                .collect();
            queue.send(*stream, MessageBody::Advertise(Advertise { ids }));
        }
    }
}
