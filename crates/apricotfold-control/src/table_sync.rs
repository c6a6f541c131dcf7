//! Anti-entropy: peers compare digests and exchange the records that one of them lacks. See
//! `docs/design.md`, section 5.2.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use apricotfold_schema::peer::{BucketIds, Digest};
use rand::{RngExt, rngs::StdRng};

use crate::{
    MessageBody, RecordKey, RecordTable, RecordVersion, StreamId,
    action::ActionQueue,
    peer_link::{PeerLink, send_records},
    push_tree::{LinkContext, NodeLocation},
    record_body::split_id,
};

const SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Interval while a candidate is open on which this node votes or whose votes it counts. A vote
/// delayed by a lost message counts as missing after 2 s.
const URGENT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a node that waits for the restart rule sends digests to every peer of its data
/// centre.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval that replaces [`SETTLE_INTERVAL`] on streams open for longer than
/// [`EARLY_SETTLE_PERIOD`]. If no peer has a complete answer and the store is unavailable, frequent
/// digests would only cost bandwidth.
const LATE_SETTLE_INTERVAL: Duration = Duration::from_secs(1);
const EARLY_SETTLE_PERIOD: Duration = Duration::from_secs(5);

/// Determines how often a node starts exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncMode {
    Normal,
    /// A candidate is open and this node takes part in its votes.
    Urgent,
    /// The restart rule waits for peers.
    Unsettled,
}

/// Start times of the latest exchanges that this node started.
#[derive(Debug, Default)]
pub(crate) struct TableSync {
    last: Option<Instant>,
    /// Start of the latest exchange within the data centre because of an open candidate.
    last_urgent: Option<Instant>,
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}

impl TableSync {
    /// Starts an exchange over a stream by sending a digest.
    pub(crate) fn start_exchange(
        stream: StreamId,
        link: &mut PeerLink,
        table: &RecordTable,
        location: &NodeLocation,
        now: Instant,
        queue: &mut ActionQueue,
    ) {
        link.last_digest = now;
        let scope = link.scope(&location.data_centre);
        let buckets = table.digest(scope).to_vec();
        queue.send(stream, MessageBody::Digest(Digest { buckets }));
    }

    pub(crate) fn tick(&mut self, mode: SyncMode, rng: &mut StdRng, ctx: &mut LinkContext<'_>) {
        let LinkContext {
            table,
            location,
            now,
            ..
        } = *ctx;
        if mode == SyncMode::Unsettled {
            for (stream, link) in ctx.links.iter_mut() {
                let is_local = link.data_centre == location.data_centre;
                let is_new = now.saturating_duration_since(link.opened) < EARLY_SETTLE_PERIOD;
                let interval = if is_new {
                    SETTLE_INTERVAL
                } else {
                    LATE_SETTLE_INTERVAL
                };
                if is_local && is_due(Some(link.last_digest), interval, now) {
                    Self::start_exchange(*stream, link, table, location, now, ctx.queue);
                }
            }
        }
        if mode == SyncMode::Urgent && is_due(self.last_urgent, URGENT_INTERVAL, now) {
            self.last_urgent = Some(now);
            Self::start_random_exchange(true, rng, ctx);
        }
        if is_due(self.last, SYNC_INTERVAL, now) {
            self.last = Some(now);
            Self::start_random_exchange(false, rng, ctx);
        }
    }

    fn start_random_exchange(local_only: bool, rng: &mut StdRng, ctx: &mut LinkContext<'_>) {
        let own = &ctx.location.data_centre;
        let streams: Vec<StreamId> = ctx
            .links
            .iter()
            .filter(|(_, link)| !local_only || link.data_centre == *own)
            .map(|(stream, _)| *stream)
            .collect();
        if streams.is_empty() {
            return;
        }
        let stream = streams[rng.random_range(0..streams.len())];
        if let Some(link) = ctx.links.get_mut(&stream) {
            Self::start_exchange(stream, link, ctx.table, ctx.location, ctx.now, ctx.queue);
        }
    }

    /// Answers a digest with the record ids of the differing buckets. An answer without ids tells
    /// the peer that both tables are equal, which its restart rule needs to know.
    pub(crate) fn answer_digest(
        stream: StreamId,
        digest: &Digest,
        settled: bool,
        ctx: &mut LinkContext<'_>,
    ) {
        let table = ctx.table;
        let Some(link) = ctx.links.get(&stream) else {
            return;
        };
        let scope = link.scope(&ctx.location.data_centre);
        let buckets = table.differing(scope, &digest.buckets);
        let ids = table.bucket_ids(scope, &buckets);
        let answer = BucketIds {
            buckets,
            ids,
            reply: false,
            settled,
        };
        ctx.queue.send(stream, MessageBody::BucketIds(answer));
    }

    /// Sends the records of the buckets that the peer lacks or has in an older version.
    pub(crate) fn push_newer(stream: StreamId, answer: &BucketIds, ctx: &mut LinkContext<'_>) {
        let LinkContext {
            table,
            location,
            now,
            ..
        } = *ctx;
        let Some(link) = ctx.links.get_mut(&stream) else {
            return;
        };
        let peer_versions: BTreeMap<RecordKey, RecordVersion> =
            answer.ids.iter().filter_map(split_id).collect();
        let scope = link.scope(&location.data_centre);
        let mut records = Vec::new();
        for (key, stored) in table.select(scope, &answer.buckets) {
            let is_newer = peer_versions
                .get(key)
                .is_none_or(|known| *known < stored.version);
            if !is_newer || link.was_sent(key, stored.version, now) {
                continue;
            }
            link.note_sent(key, stored.version, now);
            records.extend(table.export(key, now));
        }
        send_records(stream, records, ctx.queue);
    }

    /// Answers a peer that requests the record ids of some buckets.
    pub(crate) fn answer_ids(
        stream: StreamId,
        request: &BucketIds,
        settled: bool,
        ctx: &mut LinkContext<'_>,
    ) {
        let table = ctx.table;
        let Some(link) = ctx.links.get(&stream) else {
            return;
        };
        let scope = link.scope(&ctx.location.data_centre);
        let answer = BucketIds {
            buckets: request.buckets.clone(),
            ids: table.bucket_ids(scope, &request.buckets),
            reply: false,
            settled,
        };
        ctx.queue.send(stream, MessageBody::BucketIds(answer));
    }
}
