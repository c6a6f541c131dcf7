//! Votes on candidates: this node's own vote, and the vote entry of its data centre if the node is
//! the acting relay. See `docs/design.md`, section 4.2.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use apricotfold_model::{
    EventCode, NodeRefusal, ProfileName, ProfileVersion, PublishId, VoteEntry, keys,
};
use apricotfold_schema::peer::{CandidateBody, RecordKind, VoteBody};
use compact_str::{CompactString, format_compact};
use log::Level;

use crate::{
    ControlAction, ControlConfig, RecordBody, RecordTable, RecordVersion, RequestId, StoreCompare,
    StoreEntry, StoreReply, StoreRequest, StoreWrite, StoredRecord, VersionFloor,
    action::ActionQueue, live_members::LiveMembers, store_feed::known_version,
};

/// Time after which nodes that have not voted count as unreachable.
const VOTE_WAIT: Duration = Duration::from_secs(2);
/// Time to live of a vote entry in the store, the same as that of the candidate.
const VOTE_TTL: Duration = Duration::from_secs(15);
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which a store request without a reply counts as lost and is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of refusals listed in an entry; a single one rejects the candidate.
pub(crate) const MAX_REFUSALS: usize = 8;
/// Maximum length of a refusal reason, which keeps error messages of thousands of lines out of
/// the records.
const MAX_REASON_BYTES: usize = 400;

/// A candidate record of the table.
#[derive(Clone, Copy)]
pub(crate) struct KnownCandidate<'a> {
    pub(crate) version: RecordVersion,
    pub(crate) body: &'a CandidateBody,
    stored: &'a StoredRecord,
}

impl KnownCandidate<'_> {
    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.stored.age(now)
    }
}

/// Iterates over the candidates of the table, except those that have already become the head.
pub(crate) fn open_candidates(table: &RecordTable) -> impl Iterator<Item = KnownCandidate<'_>> {
    let stored = table.range(RecordKind::Candidate, "");
    stored.filter_map(|(_, stored)| match &stored.body {
        RecordBody::Candidate(body) => {
            let is_decided = match table.body(RecordKind::Head, &body.profile) {
                Some(RecordBody::Head(head)) => head.publish_id == body.publish_id,
                _ => false,
            };
            let version = stored.version;
            (!is_decided).then_some(KnownCandidate {
                version,
                body,
                stored,
            })
        }
        _ => None,
    })
}

/// Progress of writing a data centre's vote entry.
#[derive(Debug)]
enum VoteStep {
    /// No request is in flight. The entry is known to have this revision (0 if absent) and this
    /// number of refusals.
    Idle { revision: i64, refusals: usize },
    /// A write with this number of refusals is in flight.
    Writing { id: RequestId, refusals: usize },
    /// The key is being read because the outcome of a write is unknown.
    Reading { id: RequestId },
}

/// Collection of a data centre's votes on one candidate.
#[derive(Debug)]
struct VoteRound {
    version: RecordVersion,
    publish_id: PublishId,
    /// Store key of the data centre's vote entry.
    key: CompactString,
    seen: Instant,
    step: VoteStep,
    /// True once the store holds an entry for this publish.
    written: bool,
    next: Instant,
    requested_at: Instant,
}

/// Inputs of the vote collection and of the decision.
pub(crate) struct VoteContext<'a> {
    pub(crate) config: &'a ControlConfig,
    pub(crate) members: LiveMembers<'a>,
    /// Key and revision of this node's relay slot; `None` unless it is the acting relay and its
    /// lease allows it to write.
    pub(crate) slot: Option<(CompactString, i64)>,
    pub(crate) now: Instant,
    pub(crate) queue: &'a mut ActionQueue,
}

/// Casts this node's vote and, on the acting relay, writes the data centre's vote entry.
#[derive(Debug, Default)]
pub(crate) struct VoteCollector {
    /// Candidates that this node has checked or has asked the daemon to check, by profile.
    prepared: BTreeMap<ProfileName, (RecordVersion, PublishId)>,
    rounds: BTreeMap<ProfileName, VoteRound>,
}

impl VoteCollector {
    /// Checks the candidate of the selected profile once. Returns a refusal if its version is not
    /// above the known ones; otherwise asks the daemon to prepare it.
    pub(crate) fn start_check(
        &mut self,
        profile: &str,
        table: &RecordTable,
        floor: &VersionFloor,
        queue: &mut ActionQueue,
    ) -> Option<(RecordVersion, VoteBody)> {
        let candidate = open_candidates(table).find(|known| known.body.profile == profile)?;
        let publish_id: PublishId = candidate.body.publish_id.as_str().into();
        let mark = (candidate.version, publish_id);
        if self.prepared.get(profile) == Some(&mark) {
            return None;
        }
        self.prepared.insert(profile.into(), mark);
        let version = candidate.body.version;
        let head = known_version(table, profile);
        match floor.check_candidate(profile, version, head) {
            Ok(()) => {
                let candidate = candidate.body.clone();
                queue.push(ControlAction::Prepare { candidate });
                None
            }
            Err(reason) => Some((candidate.version, vote_body(candidate.body, Err(reason)))),
        }
    }

    /// Allows the candidate of a profile to be checked again after the target's profile changed.
    pub(crate) fn forget(&mut self, profile: &str) {
        self.prepared.remove(profile);
    }

    /// Builds this node's vote from the daemon's result, if the candidate is still the current one.
    pub(crate) fn prepared(
        &self,
        profile: &str,
        version: ProfileVersion,
        publish_id: &str,
        result: Result<(), CompactString>,
        table: &RecordTable,
    ) -> Option<(RecordVersion, VoteBody)> {
        let (known, id) = self.prepared.get(profile)?;
        if id != publish_id || known.epoch != version {
            return None;
        }
        let RecordBody::Candidate(body) = table.body(RecordKind::Candidate, profile)? else {
            return None;
        };
        if body.publish_id != publish_id {
            return None;
        }
        Some((*known, vote_body(body, result)))
    }

    /// Writes the data centre's vote entry of every open candidate for which a write is due.
    pub(crate) fn tick(&mut self, ctx: &mut VoteContext<'_>) {
        let table = ctx.members.table;
        let open: BTreeMap<&str, KnownCandidate<'_>> = open_candidates(table)
            .map(|known| (known.body.profile.as_str(), known))
            .collect();
        self.rounds
            .retain(|profile, _| open.contains_key(profile.as_str()));
        self.prepared
            .retain(|profile, _| open.contains_key(profile.as_str()));
        for (profile, candidate) in open {
            let publish_id: PublishId = candidate.body.publish_id.as_str().into();
            let fresh = || VoteRound::new(candidate, ctx.config, ctx.now);
            let round = self.rounds.entry(profile.into()).or_insert_with(fresh);
            if round.version != candidate.version || round.publish_id != publish_id {
                *round = fresh();
            }
            round.tick(candidate, ctx);
        }
    }

    /// Processes a store reply. Returns false if the request was not made by a vote round.
    pub(crate) fn answer(
        &mut self,
        id: RequestId,
        reply: &StoreReply,
        now: Instant,
        queue: &mut ActionQueue,
    ) -> bool {
        let round = self.rounds.values_mut().find(|round| round.waits_for(id));
        let Some(round) = round else {
            return false;
        };
        round.answer(reply, now, queue);
        true
    }

    /// Treats the requests in flight as unanswered, because the store became unavailable.
    pub(crate) fn store_lost(&mut self, now: Instant) {
        for round in self.rounds.values_mut() {
            round.answer_lost(now);
        }
    }
}

impl VoteRound {
    fn new(candidate: KnownCandidate<'_>, config: &ControlConfig, now: Instant) -> Self {
        let body = candidate.body;
        Self {
            version: candidate.version,
            publish_id: body.publish_id.as_str().into(),
            key: keys::vote(&body.profile, body.version, &config.data_centre).into(),
            seen: now,
            step: VoteStep::Idle {
                revision: 0,
                refusals: 0,
            },
            written: false,
            next: now,
            requested_at: now,
        }
    }

    fn waits_for(&self, asked: RequestId) -> bool {
        match self.step {
            VoteStep::Writing { id, .. } | VoteStep::Reading { id } => id == asked,
            VoteStep::Idle { .. } => false,
        }
    }

    fn answer_lost(&mut self, now: Instant) {
        if !matches!(self.step, VoteStep::Idle { .. }) {
            // With revision 0 the next write conflicts if the entry exists, and a conflict makes
            // this node read the key.
            self.step = VoteStep::Idle {
                revision: 0,
                refusals: 0,
            };
            self.written = false;
            self.next = now + RETRY_DELAY;
        }
    }

    fn tick(&mut self, candidate: KnownCandidate<'_>, ctx: &mut VoteContext<'_>) {
        if ctx.now.saturating_duration_since(self.requested_at) >= ANSWER_TIMEOUT {
            self.answer_lost(ctx.now);
        }
        let VoteStep::Idle { revision, refusals } = self.step else {
            return;
        };
        let Some((slot_key, slot_revision)) = ctx.slot.clone() else {
            return;
        };
        if ctx.now < self.next {
            return;
        }
        let count = count_votes(candidate, ctx);
        let is_late = ctx.now.saturating_duration_since(self.seen) >= VOTE_WAIT;
        let is_complete = count.answered >= count.expected || is_late;
        let has_change = !self.written || count.refusals.len() > refusals;
        let is_refused = !count.refusals.is_empty();
        if count.expected == 0 || !has_change || !(is_complete || is_refused) {
            return;
        }
        let key = self.key.clone();
        let refusals = count.refusals.len();
        let entry = VoteEntry {
            publish_id: self.publish_id.clone(),
            prepared: count.prepared,
            expected: count.expected,
            refusals: count.refusals,
            fence: slot_revision,
        };
        let candidate_revision = i64::try_from(self.version.sequence).unwrap_or_default();
        let compares = vec![
            compare(slot_key, slot_revision),
            compare(keys::candidate(&candidate.body.profile), candidate_revision),
            compare(key.clone(), revision),
        ];
        let writes = vec![StoreWrite::Put {
            key,
            value: to_json(&entry),
            ttl: Some(VOTE_TTL),
        }];
        let id = ctx
            .queue
            .send_store_request(StoreRequest::Commit { compares, writes });
        self.step = VoteStep::Writing { id, refusals };
        self.requested_at = ctx.now;
    }

    fn answer(&mut self, reply: &StoreReply, now: Instant, queue: &mut ActionQueue) {
        self.next = now + RETRY_DELAY;
        let refusals = match self.step {
            VoteStep::Writing { refusals, .. } => refusals,
            _ => 0,
        };
        match reply {
            StoreReply::Committed { revision } => {
                self.written = true;
                self.step = VoteStep::Idle {
                    revision: *revision,
                    refusals,
                };
            }
            StoreReply::Conflict | StoreReply::Uncertain
                if matches!(self.step, VoteStep::Writing { .. }) =>
            {
                let prefix = self.key.clone();
                let id = queue.send_store_request(StoreRequest::List { prefix });
                self.step = VoteStep::Reading { id };
                self.requested_at = now;
            }
            StoreReply::Listed { entries } => self.read_back(entries, queue),
            _ => self.answer_lost(now),
        }
    }

    /// Adopts the entry found under the key. It belongs either to this publish, written by a
    /// request whose reply was lost or by the previous relay, or to an earlier publish, in which
    /// case the next write replaces it.
    fn read_back(&mut self, entries: &[StoreEntry], queue: &mut ActionQueue) {
        let Some(found) = entries.iter().find(|entry| entry.key == self.key) else {
            self.step = VoteStep::Idle {
                revision: 0,
                refusals: 0,
            };
            return;
        };
        let vote = serde_json::from_slice::<VoteEntry>(&found.value).ok();
        let own = vote.filter(|vote| vote.publish_id == self.publish_id);
        self.written = own.is_some();
        self.step = VoteStep::Idle {
            revision: found.revision,
            refusals: own.map_or(0, |vote| vote.refusals.len()),
        };
        if self.written {
            let text = format_compact!("votes under {}", self.key);
            queue.log(Level::Info, EventCode::LostAnswerSettled, text);
        }
    }
}

#[derive(Default)]
struct VoteCount {
    expected: u32,
    answered: u32,
    prepared: u32,
    refusals: Vec<NodeRefusal>,
}

/// Counts the votes of the data centre's live nodes. Refusals of nodes that are no longer live
/// count too, since one refusal rejects the candidate.
fn count_votes(candidate: KnownCandidate<'_>, ctx: &VoteContext<'_>) -> VoteCount {
    let profile = &candidate.body.profile;
    let mut count = VoteCount::default();
    let mut votes: BTreeMap<&str, &VoteBody> = BTreeMap::new();
    let prefix = format!("{profile}/");
    for (_, stored) in ctx.members.table.range(RecordKind::Vote, &prefix) {
        if let RecordBody::Vote(body) = &stored.body
            && body.publish_id == candidate.body.publish_id
            && stored.version == candidate.version
        {
            votes.insert(&body.node, body);
        }
    }
    for body in ctx.members.with_profile(profile) {
        if body.data_centre != ctx.config.data_centre.as_str() {
            continue;
        }
        count.expected += 1;
        if let Some(vote) = votes.get(body.node.as_str()) {
            count.answered += 1;
            count.prepared += u32::from(vote.prepared);
        }
    }
    count.refusals = votes
        .values()
        .filter(|vote| !vote.prepared)
        .take(MAX_REFUSALS)
        .map(|vote| NodeRefusal {
            node: vote.node.as_str().into(),
            reason: vote.reason.as_str().into(),
        })
        .collect();
    // Refusals of nodes that are no longer live are not yet included in `expected`.
    count.expected = count
        .expected
        .max(u32::try_from(count.refusals.len()).unwrap_or_default());
    count
}

fn vote_body(candidate: &CandidateBody, result: Result<(), CompactString>) -> VoteBody {
    let prepared = result.is_ok();
    let mut reason = result.err().unwrap_or_default();
    let end = (0..=MAX_REASON_BYTES.min(reason.len()))
        .rev()
        .find(|end| reason.is_char_boundary(*end));
    reason.truncate(end.unwrap_or_default());
    VoteBody {
        profile: candidate.profile.clone(),
        version: candidate.version,
        publish_id: candidate.publish_id.clone(),
        node: String::new(),
        prepared,
        reason: reason.to_string(),
    }
}

pub(crate) fn compare(key: impl Into<CompactString>, revision: i64) -> StoreCompare {
    let key = key.into();
    StoreCompare { key, revision }
}

pub(crate) fn to_json(entry: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(entry).expect("store entries always serialize to JSON")
}
