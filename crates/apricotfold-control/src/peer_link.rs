//! State of one peer stream.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use apricotfold_model::{DataCentreName, NodeId, RegionName};
use apricotfold_schema::peer::{Hello, Push, Record, RecordKind};
use compact_str::CompactString;
use prost::Message;

use crate::{
    MessageBody, RecordKey, RecordVersion, StreamDirection, StreamId, action::ActionQueue,
    record_table::RecordScope,
};

/// Maximum size of the records in one `Push` message. The transport rejects messages of 4 MiB, and
/// a single record has at most about 1 MiB.
const MAX_PUSH_BYTES: usize = 3 * 1024 * 1024;

/// Maximum number of ids queued for a link's next advertisement. Records whose ids are dropped are
/// transferred by anti-entropy.
const MAX_LAZY_IDS: usize = 4096;

/// Time after which a record with a bundle may be sent again over the same link, because the first
/// copy has arrived or is lost.
const RESEND_AFTER: Duration = Duration::from_secs(3);

/// An open stream to a peer.
#[derive(Debug)]
pub(crate) struct PeerLink {
    pub(crate) node: NodeId,
    pub(crate) region: RegionName,
    pub(crate) data_centre: DataCentreName,
    pub(crate) address: CompactString,
    pub(crate) incarnation: u64,
    /// Address to which this node opened the stream; `None` for an inbound stream.
    pub(crate) dialled: Option<CompactString>,
    pub(crate) opened: Instant,
    pub(crate) last_received: Instant,
    pub(crate) last_ping: Instant,
    pub(crate) last_digest: Instant,
    pub(crate) eager: bool,
    pub(crate) lazy: BTreeMap<RecordKey, RecordVersion>,
    sent_large: BTreeMap<RecordKey, (RecordVersion, Instant)>,
}

impl PeerLink {
    pub(crate) fn new(hello: &Hello, direction: StreamDirection, now: Instant) -> Self {
        let dialled = match direction {
            StreamDirection::Inbound => None,
            StreamDirection::Outbound { address } => Some(address),
        };
        Self {
            node: hello.node.as_str().into(),
            region: hello.region.as_str().into(),
            data_centre: hello.data_centre.as_str().into(),
            address: hello.control_address.as_str().into(),
            incarnation: hello.incarnation,
            dialled,
            opened: now,
            last_received: now,
            last_ping: now,
            last_digest: now,
            eager: true,
            lazy: BTreeMap::new(),
            sent_large: BTreeMap::new(),
        }
    }

    /// Returns the scope of the records that this link may carry.
    pub(crate) fn scope(&self, own_data_centre: &str) -> RecordScope {
        if self.data_centre == own_data_centre {
            RecordScope::DataCentre
        } else {
            RecordScope::All
        }
    }

    /// Queues an id for the next advertisement.
    pub(crate) fn advertise_later(&mut self, key: &RecordKey, version: RecordVersion) {
        if self.lazy.len() < MAX_LAZY_IDS || self.lazy.contains_key(key) {
            self.lazy.insert(key.clone(), version);
        }
    }

    /// Records that a head or candidate, which may carry a bundle, was sent over this link.
    pub(crate) fn note_sent(&mut self, key: &RecordKey, version: RecordVersion, now: Instant) {
        if matches!(key.kind, RecordKind::Head | RecordKind::Candidate) {
            self.sent_large
                .retain(|_, (_, at)| now.saturating_duration_since(*at) < RESEND_AFTER);
            self.sent_large.insert(key.clone(), (version, now));
        }
    }

    /// Returns true if this version was sent so recently that it is probably still in transit.
    pub(crate) fn was_sent(&self, key: &RecordKey, version: RecordVersion, now: Instant) -> bool {
        self.sent_large.get(key).is_some_and(|(sent, at)| {
            *sent == version && now.saturating_duration_since(*at) < RESEND_AFTER
        })
    }
}

/// Sends records in `Push` messages small enough for the transport.
pub(crate) fn send_records(stream: StreamId, records: Vec<Record>, queue: &mut ActionQueue) {
    let mut batch = Vec::new();
    let mut size = 0;
    for record in records {
        let length = record.encoded_len() + 8;
        if size + length > MAX_PUSH_BYTES && !batch.is_empty() {
            let records = std::mem::take(&mut batch);
            queue.send(stream, MessageBody::Push(Push { records }));
            size = 0;
        }
        size += length;
        batch.push(record);
    }
    if !batch.is_empty() {
        queue.send(stream, MessageBody::Push(Push { records: batch }));
    }
}
