//! Anti-entropy: peers compare digests and exchange what one of them lacks. See
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
    push_tree::{LinkTurn, NodePlace},
    record_body::split_id,
};

const SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Interval while a candidate is open that this node votes on or counts the votes of. A vote that
/// a lost message holds back counts as missing after 2 s.
const URGENT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a node under the restart rule asks every peer of its data centre.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);
/// The same on a stream that has been open for longer than [`SETTLE_TIME`]. Where no peer has a
/// complete answer and the store is away, frequent digests would only cost bytes.
const LATE_SETTLE_INTERVAL: Duration = Duration::from_secs(1);
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// How much a node depends on exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncNeed {
    Normal,
    /// A candidate is open and this node takes part in its votes.
    Urgent,
    /// The restart rule waits for peers.
    Unsettled,
}

/// Times of the latest exchanges that this node started.
#[derive(Debug, Default)]
pub(crate) struct TableSync {
    last: Option<Instant>,
    /// Latest one inside the data centre because of an open candidate.
    last_urgent: Option<Instant>,
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}

impl TableSync {
    /// Starts an exchange over one stream.
    pub(crate) fn ask(
        stream: StreamId,
        link: &mut PeerLink,
        table: &RecordTable,
        place: &NodePlace,
        now: Instant,
        queue: &mut ActionQueue,
    ) {
        link.last_digest = now;
        let scope = link.scope(&place.data_centre);
        let buckets = table.digest(scope).to_vec();
        queue.send(stream, MessageBody::Digest(Digest { buckets }));
    }

    pub(crate) fn tick(&mut self, need: SyncNeed, rng: &mut StdRng, turn: &mut LinkTurn<'_>) {
        let LinkTurn {
            table, place, now, ..
        } = *turn;
        if need == SyncNeed::Unsettled {
            for (stream, link) in turn.links.iter_mut() {
                let is_local = link.data_centre == place.data_centre;
                let is_new = now.saturating_duration_since(link.opened) < SETTLE_TIME;
                let interval = if is_new {
                    SETTLE_INTERVAL
                } else {
                    LATE_SETTLE_INTERVAL
                };
                if is_local && is_due(Some(link.last_digest), interval, now) {
                    Self::ask(*stream, link, table, place, now, turn.queue);
                }
            }
        }
        if need == SyncNeed::Urgent && is_due(self.last_urgent, URGENT_INTERVAL, now) {
            self.last_urgent = Some(now);
            Self::ask_random(true, rng, turn);
        }
        if is_due(self.last, SYNC_INTERVAL, now) {
            self.last = Some(now);
            Self::ask_random(false, rng, turn);
        }
    }

    fn ask_random(local_only: bool, rng: &mut StdRng, turn: &mut LinkTurn<'_>) {
        let own = &turn.place.data_centre;
        let streams: Vec<StreamId> = turn
            .links
            .iter()
            .filter(|(_, link)| !local_only || link.data_centre == *own)
            .map(|(stream, _)| *stream)
            .collect();
        if streams.is_empty() {
            return;
        }
        let stream = streams[rng.random_range(0..streams.len())];
        if let Some(link) = turn.links.get_mut(&stream) {
            Self::ask(stream, link, turn.table, turn.place, turn.now, turn.queue);
        }
    }

    /// Answers a digest with the ids of the differing buckets. An answer without ids tells the
    /// peer that both tables are equal, which its restart rule needs to know.
    pub(crate) fn answer_digest(
        stream: StreamId,
        digest: &Digest,
        settled: bool,
        turn: &mut LinkTurn<'_>,
    ) {
        let table = turn.table;
        let Some(link) = turn.links.get(&stream) else {
            return;
        };
        let scope = link.scope(&turn.place.data_centre);
        let buckets = table.differing(scope, &digest.buckets);
        let ids = table.bucket_ids(scope, &buckets);
        let answer = BucketIds {
            buckets,
            ids,
            reply: false,
            settled,
        };
        turn.queue.send(stream, MessageBody::BucketIds(answer));
    }

    /// Sends the records of the buckets that the peer lacks or holds in an older version.
    pub(crate) fn push_newer(stream: StreamId, answer: &BucketIds, turn: &mut LinkTurn<'_>) {
        let LinkTurn {
            table, place, now, ..
        } = *turn;
        let Some(link) = turn.links.get_mut(&stream) else {
            return;
        };
        let theirs: BTreeMap<RecordKey, RecordVersion> =
            answer.ids.iter().filter_map(split_id).collect();
        let scope = link.scope(&place.data_centre);
        let mut records = Vec::new();
        for (key, stored) in table.select(scope, &answer.buckets) {
            let is_newer = theirs.get(key).is_none_or(|known| *known < stored.version);
            if !is_newer || link.was_sent(key, stored.version, now) {
                continue;
            }
            link.note_sent(key, stored.version, now);
            records.extend(table.export(key, now));
        }
        send_records(stream, records, turn.queue);
    }

    /// Answers a peer that asks for the ids of some buckets.
    pub(crate) fn answer_ids(
        stream: StreamId,
        request: &BucketIds,
        settled: bool,
        turn: &mut LinkTurn<'_>,
    ) {
        let table = turn.table;
        let Some(link) = turn.links.get(&stream) else {
            return;
        };
        let scope = link.scope(&turn.place.data_centre);
        let answer = BucketIds {
            buckets: request.buckets.clone(),
            ids: table.bucket_ids(scope, &request.buckets),
            reply: false,
            settled,
        };
        turn.queue.send(stream, MessageBody::BucketIds(answer));
    }
}
