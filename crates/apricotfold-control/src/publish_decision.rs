//! Decision of a candidate by any relay that watches the store. See `docs/design.md`, section 4.2.

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

/// Time after which data centres that have not answered count as unreachable.
const DECISION_WAIT: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// A request without an answer is settled by reading back after this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// After its own decision a relay waits this long for the candidate's end before it looks again.
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
    /// When the candidate's record was first seen in the table, and so was on its way to the
    /// nodes.
    pushed: Option<Instant>,
    step: DecisionStep,
    next: Instant,
    requested_at: Instant,
    /// Text for the log once the decision is written.
    summary: CompactString,
}

/// Candidates that this relay decides.
#[derive(Debug, Default)]
pub(crate) struct PublishDecision {
    decisions: BTreeMap<ProfileName, Decision>,
}

/// Result of looking at all votes.
struct Verdict {
    prepared: u32,
    refusals: Vec<NodeRefusal>,
    /// Vote keys with the revisions that the verdict rests on, 0 for absent ones.
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

    /// Takes the answer to a write or a read; false when it belongs to nobody here.
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

    /// Looks again at what was on its way when the store was lost.
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

    /// A candidate may be accepted when every data centre with nodes of the profile has answered,
    /// or when the wait is over. Without any such node known, this node may just not have heard of
    /// them yet, and the wait always applies.
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
            // An entry of an earlier publish may still stand there; its revision must not change.
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
            // After a conflict the watch brings what has changed.
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

/// True once the record of exactly this candidate is in the table.
fn is_pushed(candidate: &OpenCandidate, ctx: &VoteContext<'_>) -> bool {
    let version = candidate_version(&candidate.entry, candidate.revision);
    let stored = ctx
        .members
        .table
        .get(RecordKind::Candidate, &candidate.entry.profile);
    stored.is_some_and(|stored| stored.version == version && !stored.is_removed())
}

/// Reasons against a candidate that the relay itself knows of. A record that a newer one hides
/// would never reach the nodes, so such a candidate has to be refused here.
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

/// One transaction that every relay may try. The votes are compared too, so that a refusal that
/// was written but not yet seen here makes it fail.
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
