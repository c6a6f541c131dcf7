//! Store entries that this node has read or watches, and the records derived from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use apricotfold_model::{
    BundleDigest, CandidateEntry, EventCode, HeadEntry, HeadState, ProfileBundle, ProfileName,
    ProfileVersion, VoteEntry, keys,
};
use apricotfold_schema::peer::{CandidateBody, HeadBody, RecordKind};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use log::Level;

use crate::{
    RecordBody, RecordTable, RecordVersion, RequestId, StoreEntry, StoreReply, StoreRequest,
    StoredRecord, action::ActionQueue, bundle_cache::BundleCache,
};

/// Prefixes that a gateway watches.
pub(crate) const WATCHED_PREFIXES: [&str; 4] =
    [keys::HEADS, keys::CANDIDATES, keys::VOTES, keys::RELAYS];

/// Delay before a bundle is read from the store, as a multiple of the store's latency. A gateway
/// far from the store thus leaves the read to a nearer one, whose record crosses the link between
/// regions compressed.
const BUNDLE_DELAY_FACTOR: u32 = 8;
const MAX_BUNDLE_DELAY: Duration = Duration::from_secs(1);
const BUNDLE_RETRY: Duration = Duration::from_secs(1);
/// Age from which a candidate record without a store entry is stale. The lease of a candidate in
/// the store is 15 s.
const MAX_CANDIDATE_AGE: Duration = Duration::from_secs(20);

/// An undecided candidate of the store.
#[derive(Debug)]
pub(crate) struct OpenCandidate {
    pub(crate) entry: CandidateEntry,
    pub(crate) revision: i64,
}

/// State of a bundle that is needed for a record.
#[derive(Debug)]
enum BundleState {
    Due(Instant),
    Requested(RequestId, Instant),
    Ready(Bytes),
    Unusable(CompactString),
}

/// A record derived from the store's content.
pub(crate) struct FeedRecord {
    pub(crate) kind: RecordKind,
    pub(crate) key: CompactString,
    pub(crate) version: RecordVersion,
    pub(crate) body: RecordBody,
}

/// Inputs of one comparison of the store's content with the table.
pub(crate) struct FeedContext<'a> {
    /// True for a gateway, which publishes records for all profiles; false for a node that has read
    /// the store only for its startup, which needs just its own profile.
    pub(crate) all: bool,
    pub(crate) profile: &'a str,
    pub(crate) table: &'a RecordTable,
    pub(crate) cache: &'a BundleCache,
    pub(crate) now: Instant,
    pub(crate) queue: &'a mut ActionQueue,
}

/// Entries of the watched prefixes and the bundles read for them.
#[derive(Debug, Default)]
pub(crate) struct StoreFeed {
    pub(crate) heads: BTreeMap<ProfileName, (HeadEntry, i64)>,
    pub(crate) candidates: BTreeMap<ProfileName, OpenCandidate>,
    pub(crate) votes: BTreeMap<CompactString, (VoteEntry, i64)>,
    bundles: BTreeMap<BundleDigest, BundleState>,
    closed: Vec<(ProfileName, RecordVersion)>,
    reported: BTreeSet<(ProfileName, ProfileVersion)>,
    /// Time since which all heads of the store are known.
    listed: Option<Instant>,
    answer_time: Duration,
}

impl StoreFeed {
    pub(crate) fn has_heads(&self) -> bool {
        self.listed.is_some()
    }

    /// Returns true if all heads of the store have been known for the given time.
    pub(crate) fn listed_for(&self, time: Duration, now: Instant) -> bool {
        self.listed
            .is_some_and(|since| now.saturating_duration_since(since) >= time)
    }

    /// Drops all entries and bundles, because changes in the store are no longer seen. The older
    /// versions already reported stay known.
    pub(crate) fn clear(&mut self) {
        self.heads.clear();
        self.candidates.clear();
        self.votes.clear();
        self.bundles.clear();
        self.closed.clear();
        self.listed = None;
    }

    pub(crate) fn set_answer_time(&mut self, time: Duration) {
        self.answer_time = time;
    }

    /// Applies the store entries of a prefix: a complete listing, which replaces the known entries,
    /// or changes to them.
    pub(crate) fn take_entries(
        &mut self,
        prefix: &str,
        entries: &[StoreEntry],
        complete: bool,
        now: Instant,
    ) {
        if complete {
            self.start_listing(prefix, entries, now);
        }
        for entry in entries {
            self.take_entry(entry);
        }
    }

    fn start_listing(&mut self, prefix: &str, entries: &[StoreEntry], now: Instant) {
        match prefix {
            keys::HEADS => {
                self.heads.clear();
                self.listed = self.listed.or(Some(now));
            }
            keys::VOTES => self.votes.clear(),
            keys::CANDIDATES => {
                let present: BTreeSet<&str> =
                    entries.iter().map(|entry| entry.key.as_str()).collect();
                let ended: Vec<ProfileName> = self
                    .candidates
                    .keys()
                    .filter(|profile| !present.contains(keys::candidate(profile).as_str()))
                    .cloned()
                    .collect();
                for profile in ended {
                    self.close_candidate(&profile);
                }
            }
            _ => {}
        }
    }

    fn take_entry(&mut self, entry: &StoreEntry) {
        let key = entry.key.as_str();
        let revision = entry.revision;
        if key.starts_with(keys::HEADS) {
            if let Ok(head) = serde_json::from_slice::<HeadEntry>(&entry.value) {
                self.heads.insert(head.profile.clone(), (head, revision));
            }
        } else if key.starts_with(keys::CANDIDATES) {
            if let Ok(entry) = serde_json::from_slice::<CandidateEntry>(&entry.value) {
                let profile = entry.profile.clone();
                let known = self.candidates.get(&profile);
                if known.is_some_and(|known| known.revision < revision) {
                    self.close_candidate(&profile);
                }
                let candidate = OpenCandidate { entry, revision };
                self.candidates.insert(profile, candidate);
            }
        } else if key.starts_with(keys::VOTES)
            && let Ok(vote) = serde_json::from_slice::<VoteEntry>(&entry.value)
        {
            self.votes.insert(entry.key.clone(), (vote, revision));
        }
    }

    pub(crate) fn take_deletion(&mut self, key: &str) {
        if let Some(profile) = key.strip_prefix(keys::HEADS) {
            self.heads.remove(profile);
        } else if let Some(profile) = key.strip_prefix(keys::CANDIDATES) {
            self.close_candidate(profile);
        } else {
            self.votes.remove(key);
        }
    }

    fn close_candidate(&mut self, profile: &str) {
        let Some(candidate) = self.candidates.remove(profile) else {
            return;
        };
        let version = candidate_version(&candidate.entry, candidate.revision);
        self.closed.push((profile.into(), version));
    }

    /// Iterates over the vote entries on a publish with their keys and revisions.
    pub(crate) fn votes_on(
        &self,
        entry: &CandidateEntry,
    ) -> impl Iterator<Item = (&CompactString, &VoteEntry, i64)> {
        let prefix = keys::votes(&entry.profile, entry.version);
        let publish_id = entry.publish_id.clone();
        self.votes
            .iter()
            .filter(move |(key, _)| key.starts_with(&prefix))
            .map(|(key, (vote, revision))| (key, vote, *revision))
            .filter(move |(_, vote, _)| vote.publish_id == publish_id)
    }

    /// Returns why a bundle cannot be used, once it is known to be unusable.
    pub(crate) fn bundle_fault(&self, digest: &str) -> Option<&CompactString> {
        match self.bundles.get(digest) {
            Some(BundleState::Unusable(reason)) => Some(reason),
            _ => None,
        }
    }

    /// Processes the reply to a bundle request. Returns false if it belongs to another request.
    pub(crate) fn take_bundle(&mut self, id: RequestId, reply: &StoreReply, now: Instant) -> bool {
        let asked = self.bundles.iter().find_map(|(digest, state)| match state {
            BundleState::Requested(request, _) if *request == id => Some(digest.clone()),
            _ => None,
        });
        let Some(digest) = asked else {
            return false;
        };
        let state = match reply {
            StoreReply::Bundle { json: Some(json) } => match ProfileBundle::verify(json, &digest) {
                Ok(bundle) => BundleState::Ready(bundle.compress().into()),
                Err(error) => BundleState::Unusable(format_compact!("{error}")),
            },
            StoreReply::Bundle { json: None } => BundleState::Unusable("bundle missing".into()),
            _ => BundleState::Due(now + BUNDLE_RETRY),
        };
        self.bundles.insert(digest, state);
        true
    }

    /// Compares the store's content with the table and returns the records to publish.
    pub(crate) fn reconcile(&mut self, ctx: &mut FeedContext<'_>) -> Vec<FeedRecord> {
        let mut records = Vec::new();
        let mut used = BTreeSet::new();
        self.match_heads(&mut used, &mut records, ctx);
        if ctx.all {
            self.match_candidates(&mut used, &mut records, ctx);
            self.match_closed(&mut records, ctx);
        }
        // Drop bundles that no entry needs any more.
        self.bundles.retain(|digest, _| used.contains(digest));
        self.request_bundles(ctx.now, ctx.queue);
        records
    }

    fn match_heads(
        &mut self,
        used: &mut BTreeSet<BundleDigest>,
        records: &mut Vec<FeedRecord>,
        ctx: &mut FeedContext<'_>,
    ) {
        for (name, (entry, _)) in &self.heads {
            if !ctx.all && name != ctx.profile {
                continue;
            }
            let known = known_version(ctx.table, name);
            if entry.version < known && self.reported.insert((name.clone(), entry.version)) {
                let text =
                    format_compact!("profile {name}: store has {}, known {known}", entry.version);
                ctx.queue
                    .log(Level::Error, EventCode::OlderVersionIgnored, text);
            }
            if entry.version <= known {
                continue;
            }
            let withdrawn = entry.state == HeadState::Withdrawn;
            let bundle = if withdrawn {
                Bytes::new()
            } else {
                used.insert(entry.digest.clone());
                let due = ctx.now + bundle_delay(self.answer_time);
                match find_bundle(&mut self.bundles, ctx.cache, &entry.digest, due) {
                    Some(bundle) if !bundle.is_empty() => bundle,
                    _ => continue,
                }
            };
            let body = RecordBody::Head(HeadBody {
                profile: name.to_string(),
                version: entry.version,
                digest: entry.digest.to_string(),
                withdrawn,
                publish_id: entry.publish_id.to_string(),
                bundle,
            });
            records.push(FeedRecord {
                kind: RecordKind::Head,
                key: name.clone(),
                version: RecordVersion::new(entry.version, 0),
                body,
            });
        }
    }

    fn match_candidates(
        &mut self,
        used: &mut BTreeSet<BundleDigest>,
        records: &mut Vec<FeedRecord>,
        ctx: &FeedContext<'_>,
    ) {
        for (name, candidate) in &self.candidates {
            let entry = &candidate.entry;
            let version = candidate_version(entry, candidate.revision);
            let withdrawn = entry.state == HeadState::Withdrawn;
            let known = ctx.table.get(RecordKind::Candidate, name);
            let is_known = known.is_some_and(|known| known.version >= version);
            // An unusable bundle is remembered until the candidate is decided.
            let is_faulty = matches!(
                self.bundles.get(&entry.digest),
                Some(BundleState::Unusable(_))
            );
            if !withdrawn && (!is_known || is_faulty) {
                used.insert(entry.digest.clone());
            }
            if is_known {
                continue;
            }
            let due = ctx.now + bundle_delay(self.answer_time);
            let bundle = if withdrawn {
                Some(Bytes::new())
            } else {
                find_bundle(&mut self.bundles, ctx.cache, &entry.digest, due)
            };
            let Some(bundle) = bundle else {
                continue;
            };
            let body = RecordBody::Candidate(CandidateBody {
                profile: name.to_string(),
                version: entry.version,
                digest: entry.digest.to_string(),
                withdrawn,
                publish_id: entry.publish_id.to_string(),
                bundle,
            });
            records.push(FeedRecord {
                kind: RecordKind::Candidate,
                key: name.clone(),
                version,
                body,
            });
        }
    }

    /// Removes the records of candidates that this node saw end, and of those whose lease expired
    /// while no gateway watched. A younger record without a store entry may come from a gateway
    /// whose watch is ahead of this one.
    fn match_closed(&mut self, records: &mut Vec<FeedRecord>, ctx: &FeedContext<'_>) {
        let mut ended = std::mem::take(&mut self.closed);
        for (name, stored) in ctx.table.range(RecordKind::Candidate, "") {
            let is_stale = stored.age(ctx.now) >= MAX_CANDIDATE_AGE && self.has_heads();
            if is_stale && !self.candidates.contains_key(name) {
                ended.push((name.clone(), stored.version));
            }
        }
        for (name, version) in ended {
            let known = ctx.table.get(RecordKind::Candidate, &name);
            let is_current = known.is_some_and(|known| known.version == version);
            if !is_current || known.is_none_or(StoredRecord::is_removed) {
                continue;
            }
            records.push(FeedRecord {
                kind: RecordKind::Candidate,
                key: name,
                version: RecordVersion::new(version.epoch, version.sequence + 1),
                body: RecordBody::Removed,
            });
        }
    }

    fn request_bundles(&mut self, now: Instant, queue: &mut ActionQueue) {
        for (digest, state) in &mut self.bundles {
            let is_due = match state {
                BundleState::Due(due) => now >= *due,
                BundleState::Requested(_, sent) => {
                    now.saturating_duration_since(*sent) >= BUNDLE_RETRY * 5
                }
                _ => false,
            };
            if is_due {
                let digest = digest.clone();
                let id = queue.send_store_request(StoreRequest::ReadBundle { digest });
                *state = BundleState::Requested(id, now);
            }
        }
    }
}

fn bundle_delay(answer_time: Duration) -> Duration {
    (answer_time * BUNDLE_DELAY_FACTOR).min(MAX_BUNDLE_DELAY)
}

/// Returns the compressed bundle, empty if it is known to be unusable, or `None` while it still has
/// to be read.
fn find_bundle(
    bundles: &mut BTreeMap<BundleDigest, BundleState>,
    cache: &BundleCache,
    digest: &BundleDigest,
    due: Instant,
) -> Option<Bytes> {
    if let Some(bundle) = cache.find(digest) {
        return Some(bundle.clone());
    }
    let state = bundles
        .entry(digest.clone())
        .or_insert(BundleState::Due(due));
    match state {
        BundleState::Ready(bundle) => Some(bundle.clone()),
        BundleState::Unusable(_) => Some(Bytes::new()),
        _ => None,
    }
}

/// Version of a candidate's record, which combines the profile version and the entry's revision.
pub(crate) fn candidate_version(entry: &CandidateEntry, revision: i64) -> RecordVersion {
    RecordVersion::new(entry.version, u64::try_from(revision).unwrap_or_default())
}

/// Version of the head known for a profile; 0 if there is none.
pub(crate) fn known_version(table: &RecordTable, profile: &str) -> ProfileVersion {
    table
        .get(RecordKind::Head, profile)
        .map(|stored| stored.version.epoch)
        .unwrap_or_default()
}
