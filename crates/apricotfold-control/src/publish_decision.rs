//! Decision on candidates, made by a relay that watches the store. See `docs/design.md`, section
//! 4.2.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use apricotfold_model::{
    CandidateEntry, EventCode, HeadEntry, NodeRefusal, OutcomeEntry, ProfileName, keys,
};
use apricotfold_schema::peer::RecordKind;
use compact_str::{CompactString, format_compact};
use log::Level;

use crate::{
    RecordBody, RequestId, StoreEntry, StoreReply, StoreRequest, StoreWrite,
    action::ActionQueue,
    store_feed::{OpenCandidate, StoreFeed, candidate_version, known_version},
    version_floor::stale_reason,
    vote_collector::{MAX_REFUSALS, VoteContext, compare, to_json},
};

/// Time after which data centres whose votes are missing count as unreachable.
const DECISION_WAIT: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which the outcome key is read because a store request was not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a committed decision before the candidate is evaluated again. The watch normally
/// reports the candidate's deletion earlier.
const DONE_DELAY: Duration = Duration::from_secs(3);

#[derive(Debug, PartialEq, Eq)]
enum DecisionStep {
    Open,
    Writing(RequestId),
    Reading(RequestId),
}

#[derive(Debug)]
struct Decision {
    revision: i64,
    /// Time at which the candidate's record was first seen in the table, from which on it is
    /// being sent to the nodes.
    pushed: Option<Instant>,
    step: DecisionStep,
    next: Instant,
    requested_at: Instant,
    /// Log text for the decision, used once the commit succeeds.
    summary: CompactString,
}

/// Decisions in progress on this relay, by profile.
#[derive(Debug, Default)]
pub(crate) struct PublishDecision {
    decisions: BTreeMap<ProfileName, Decision>,
}

/// Sum of the data centres' votes on a candidate.
struct Verdict {
    prepared: u32,
    refusals: Vec<NodeRefusal>,
    /// Revisions of the vote keys that the verdict is based on; 0 for an absent key.
    votes: BTreeMap<CompactString, i64>,
}

impl PublishDecision {
    pub(crate) fn tick(&mut self, feed: &StoreFeed, ctx: &mut VoteContext<'_>) {
        self.decisions
            .retain(|profile, _| feed.candidates.contains_key(profile));
        let Some(slot) = ctx.slot.clone() else {
            return;
        };
        for (profile, candidate) in &feed.candidates {
            let fresh = || Decision {
                revision: candidate.revision,
                pushed: None,
                step: DecisionStep::Open,
                next: ctx.now,
                requested_at: ctx.now,
                summary: CompactString::default(),
            };
            let decision = self.decisions.entry(profile.clone()).or_insert_with(fresh);
            if decision.revision != candidate.revision {
                *decision = fresh();
            }
            decision.tick(candidate, feed, &slot, ctx);
        }
    }

    /// Processes a store reply. Returns false if the request was not made by a decision.
    pub(crate) fn answer(
        &mut self,
        id: RequestId,
        reply: &StoreReply,
        feed: &StoreFeed,
        now: Instant,
        queue: &mut ActionQueue,
    ) -> bool {
        let mut decisions = self.decisions.iter_mut();
        let found = decisions.find(|(_, decision)| {
            decision.step == DecisionStep::Writing(id) || decision.step == DecisionStep::Reading(id)
        });
        let Some((profile, decision)) = found else {
            return false;
        };
        let publish_id = feed
            .candidates
            .get(profile)
            .map(|candidate| &candidate.entry.publish_id);
        decision.answer(profile, publish_id, reply, now, queue);
        true
    }

    /// Drops all decisions in progress. The outcome of their requests is unknown, and the
    /// candidates are evaluated again once the store is watched.
    pub(crate) fn store_lost(&mut self) {
        self.decisions.clear();
    }
}

impl Decision {
    fn tick(
        &mut self,
        candidate: &OpenCandidate,
        feed: &StoreFeed,
        slot: &(CompactString, i64),
        ctx: &mut VoteContext<'_>,
    ) {
        let entry = &candidate.entry;
        if self.pushed.is_none() && is_pushed(candidate, ctx) {
            self.pushed = Some(ctx.now);
        }
        let is_overdue = ctx.now.saturating_duration_since(self.requested_at) >= ANSWER_TIMEOUT;
        if self.step != DecisionStep::Open && is_overdue {
            self.read_back(&entry.profile, ctx.now, ctx.queue);
            return;
        }
        if self.step != DecisionStep::Open || ctx.now < self.next {
            return;
        }
        let mut verdict = read_votes(entry, feed);
        if let Some(reason) = find_refusal_reason(candidate, feed, ctx) {
            let node = ctx.config.node.clone();
            verdict.refusals.push(NodeRefusal { node, reason });
        }
        if verdict.refusals.is_empty() && !self.may_accept(entry, feed, &mut verdict, ctx) {
            return;
        }
        let request = decide(candidate, &verdict, slot);
        let id = ctx.queue.send_store_request(request);
        self.step = DecisionStep::Writing(id);
        self.requested_at = ctx.now;
        let outcome = match verdict.refusals.first() {
            None => format_compact!("accepted with {} prepared", verdict.prepared),
            Some(refusal) => format_compact!("rejected, {}: {}", refusal.node, refusal.reason),
        };
        self.summary = format_compact!("{} version {}: {outcome}", entry.profile, entry.version);
    }

    /// Returns true if every data centre with nodes of the profile has voted, or if
    /// [`DECISION_WAIT`] is over. If no such node is known, this node may not have heard of them
    /// yet, and the wait always applies.
    fn may_accept(
        &self,
        entry: &CandidateEntry,
        feed: &StoreFeed,
        verdict: &mut Verdict,
        ctx: &VoteContext<'_>,
    ) -> bool {
        let Some(pushed) = self.pushed else {
            return false;
        };
        let expected: BTreeSet<&str> = ctx
            .members
            .with_profile(&entry.profile)
            .map(|body| body.data_centre.as_str())
            .collect();
        let mut complete = !expected.is_empty() && feed.listed_for(DECISION_WAIT, ctx.now);
        for data_centre in expected {
            let key = keys::vote(&entry.profile, entry.version, data_centre).into();
            // The key may still hold the vote of an earlier publish. Its revision must not change
            // either.
            let stale = feed.votes.get(&key).map_or(0, |(_, revision)| *revision);
            let answered = verdict.votes.contains_key(&key);
            verdict.votes.entry(key).or_insert(stale);
            complete &= answered;
        }
        complete || ctx.now.saturating_duration_since(pushed) >= DECISION_WAIT
    }

    fn answer(
        &mut self,
        profile: &str,
        publish_id: Option<&CompactString>,
        reply: &StoreReply,
        now: Instant,
        queue: &mut ActionQueue,
    ) {
        match reply {
            StoreReply::Committed { .. } => {
                queue.log(Level::Info, EventCode::PublishDecided, self.summary.clone());
                self.wait(DONE_DELAY, now);
            }
            StoreReply::Uncertain if matches!(self.step, DecisionStep::Writing(_)) => {
                self.read_back(profile, now, queue);
            }
            StoreReply::Listed { entries } => {
                let is_done = publish_id.is_some_and(|id| was_decided(entries, id));
                if is_done {
                    let text = format_compact!("decision on {profile}");
                    queue.log(Level::Info, EventCode::LostAnswerSettled, text);
                }
                self.wait(if is_done { DONE_DELAY } else { RETRY_DELAY }, now);
            }
            // After a conflict the watch delivers the changed entries before the retry.
            _ => self.wait(RETRY_DELAY, now),
        }
    }

    fn wait(&mut self, delay: Duration, now: Instant) {
        self.step = DecisionStep::Open;
        self.next = now + delay;
    }

    fn read_back(&mut self, profile: &str, now: Instant, queue: &mut ActionQueue) {
        let prefix = keys::outcome(profile).into();
        let id = queue.send_store_request(StoreRequest::List { prefix });
        self.step = DecisionStep::Reading(id);
        self.requested_at = now;
    }
}

/// Returns true once the table holds the record of exactly this candidate.
fn is_pushed(candidate: &OpenCandidate, ctx: &VoteContext<'_>) -> bool {
    let version = candidate_version(&candidate.entry, candidate.revision);
    let stored = ctx
        .members
        .table
        .get(RecordKind::Candidate, &candidate.entry.profile);
    stored.is_some_and(|stored| stored.version == version && !stored.is_removed())
}

/// Returns why the relay itself refuses a candidate, if it does. If the table holds a newer
/// candidate record, this candidate's record would never reach the nodes, so the relay has to
/// refuse it.
fn find_refusal_reason(
    candidate: &OpenCandidate,
    feed: &StoreFeed,
    ctx: &VoteContext<'_>,
) -> Option<CompactString> {
    let entry = &candidate.entry;
    let table = ctx.members.table;
    let known = known_version(table, &entry.profile);
    if entry.version <= known {
        return Some(stale_reason(known));
    }
    let head = feed.heads.get(&entry.profile);
    if head.map_or(0, |(_, revision)| *revision) != entry.base_revision {
        return Some("head-changed".into());
    }
    let hidden = table
        .get(RecordKind::Candidate, &entry.profile)
        .filter(|stored| stored.version > candidate_version(entry, candidate.revision))
        .filter(|stored| match &stored.body {
            RecordBody::Candidate(body) => body.publish_id != entry.publish_id.as_str(),
            _ => true,
        });
    if let Some(stored) = hidden {
        return Some(stale_reason(stored.version.epoch));
    }
    feed.bundle_fault(&entry.digest).cloned()
}

fn read_votes(entry: &CandidateEntry, feed: &StoreFeed) -> Verdict {
    let mut verdict = Verdict {
        prepared: 0,
        refusals: Vec::new(),
        votes: BTreeMap::new(),
    };
    for (key, vote, revision) in feed.votes_on(entry) {
        verdict.prepared += vote.prepared;
        verdict.refusals.extend(vote.refusals.iter().cloned());
        verdict.votes.insert(key.clone(), revision);
    }
    verdict.refusals.truncate(MAX_REFUSALS);
    verdict
}

/// Builds the transaction that records the decision; several relays may attempt it. It compares
/// the votes too, so that it fails if a refusal was written that this relay has not yet seen.
fn decide(
    candidate: &OpenCandidate,
    verdict: &Verdict,
    slot: &(CompactString, i64),
) -> StoreRequest {
    let entry = &candidate.entry;
    let accepted = verdict.refusals.is_empty();
    let outcome = OutcomeEntry {
        publish_id: entry.publish_id.clone(),
        version: entry.version,
        accepted,
        prepared: verdict.prepared,
        refusals: verdict.refusals.clone(),
    };
    let candidate_key: CompactString = keys::candidate(&entry.profile).into();
    let head_key: CompactString = keys::head(&entry.profile).into();
    let mut compares = vec![
        compare(slot.0.clone(), slot.1),
        compare(candidate_key.clone(), candidate.revision),
    ];
    let mut writes = vec![
        StoreWrite::Put {
            key: keys::outcome(&entry.profile).into(),
            value: to_json(&outcome),
            ttl: None,
        },
        StoreWrite::Delete { key: candidate_key },
    ];
    if accepted {
        compares.push(compare(head_key.clone(), entry.base_revision));
        let votes = verdict.votes.iter();
        compares.extend(votes.map(|(key, revision)| compare(key.clone(), *revision)));
        let head = HeadEntry {
            profile: entry.profile.clone(),
            version: entry.version,
            digest: entry.digest.clone(),
            state: entry.state,
            publish_id: entry.publish_id.clone(),
            operator: entry.operator.clone(),
        };
        writes.push(StoreWrite::Put {
            key: head_key,
            value: to_json(&head),
            ttl: None,
        });
    }
    StoreRequest::Commit { compares, writes }
}

fn was_decided(entries: &[StoreEntry], publish_id: &str) -> bool {
    entries.iter().any(|entry| {
        serde_json::from_slice::<OutcomeEntry>(&entry.value)
            .is_ok_and(|outcome| outcome.publish_id == publish_id)
    })
}
