//! An in-memory store with revisions, leases, watches and lost replies.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use apricotfold_control::{
    ControlEvent, RequestId, StoreEntry, StoreReply, StoreRequest, StoreWrite,
};
use apricotfold_model::{CandidateEntry, HeadState, ProfileBundle, keys};
use compact_str::CompactString;
use rand::{RngExt, rngs::StdRng};

/// Events with the nodes that they are addressed to.
pub type NodeEvents = Vec<(CompactString, ControlEvent)>;

#[derive(Default)]
pub struct FakeStore {
    pub unavailable: bool,
    /// Name prefixes of nodes that cannot reach the store.
    pub unreachable: &'static [&'static str],
    /// Probability that the reply to a successful commit is lost.
    pub lost_answers: f64,
    pub data: BTreeMap<CompactString, (Vec<u8>, i64)>,
    /// Lease id and expiry time of each leased key.
    leases: BTreeMap<CompactString, (i64, Instant)>,
    watches: Vec<(CompactString, CompactString)>,
    pub revision: i64,
    pub calls: BTreeMap<&'static str, u32>,
    /// Number of requests of any kind; a watch counts once.
    pub total: u32,
    /// Senders of the transactions that took effect.
    pub commits: Vec<CompactString>,
    pending: NodeEvents,
}

impl FakeStore {
    pub fn put(&mut self, key: &str, value: Vec<u8>, end: Option<Instant>) {
        self.revision += 1;
        self.data.insert(key.into(), (value.clone(), self.revision));
        self.leases.remove(key);
        if let Some(end) = end {
            self.leases.insert(key.into(), (self.revision, end));
        }
        let entry = StoreEntry {
            key: key.into(),
            value,
            revision: self.revision,
        };
        for (node, prefix) in &self.watches {
            if key.starts_with(prefix.as_str()) {
                let event = ControlEvent::StoreEntries {
                    prefix: prefix.clone(),
                    entries: vec![entry.clone()],
                    complete: false,
                };
                self.pending.push((node.clone(), event));
            }
        }
    }

    pub fn delete(&mut self, key: &str) {
        if self.data.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.leases.remove(key);
        for (node, prefix) in &self.watches {
            if key.starts_with(prefix.as_str()) {
                let event = ControlEvent::StoreDeleted { key: key.into() };
                self.pending.push((node.clone(), event));
            }
        }
    }

    /// Removes keys whose lease has expired and returns the events for the watchers.
    pub fn expire(&mut self, now: Instant) -> NodeEvents {
        let due: Vec<CompactString> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.delete(&key);
        }
        self.take_pending()
    }

    fn is_cut(&self, node: &str) -> bool {
        let mut starts = self.unreachable.iter();
        self.unavailable || starts.any(|start| node.starts_with(start))
    }

    fn take_pending(&mut self) -> NodeEvents {
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|(node, _)| !self.is_cut(node));
        pending
    }

    /// Publishes as the operator's command does: first the bundle, then the candidate.
    pub fn publish(&mut self, version: u64, publish_id: &str, now: Instant) -> bool {
        let bundle = ProfileBundle::parse("{\"name\":\"web\"}").expect("bundle");
        let candidate = keys::candidate("web");
        if self.data.contains_key(candidate.as_str()) || self.unavailable {
            return false;
        }
        let head = self.data.get(keys::head("web").as_str());
        let entry = CandidateEntry {
            profile: "web".into(),
            version,
            digest: bundle.digest.clone(),
            state: HeadState::Published,
            publish_id: publish_id.into(),
            operator: "test".into(),
            base_revision: head.map_or(0, |(_, revision)| *revision),
        };
        self.put(&keys::bundle(&bundle.digest), bundle.json.into(), None);
        let end = now + Duration::from_secs(15);
        self.put(
            &candidate,
            serde_json::to_vec(&entry).expect("json"),
            Some(end),
        );
        true
    }

    pub fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        let (value, _) = self.data.get(key)?;
        serde_json::from_slice(value).ok()
    }

    fn list(&self, prefix: &str) -> Vec<StoreEntry> {
        let entries = self.data.iter().filter(|(key, _)| key.starts_with(prefix));
        entries
            .map(|(key, (value, revision))| StoreEntry {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect()
    }

    pub fn handle(
        &mut self,
        node: &CompactString,
        id: RequestId,
        request: StoreRequest,
        now: Instant,
        rng: &mut StdRng,
    ) -> NodeEvents {
        self.total += 1;
        let reply = if self.is_cut(node) {
            Some(StoreReply::Unavailable)
        } else {
            self.answer(node, request, now, rng)
        };
        let mut events = self.take_pending();
        if let Some(reply) = reply {
            events.push((node.clone(), ControlEvent::StoreResult { id, reply }));
        }
        events
    }

    fn answer(
        &mut self,
        node: &CompactString,
        request: StoreRequest,
        now: Instant,
        rng: &mut StdRng,
    ) -> Option<StoreReply> {
        match request {
            StoreRequest::List { prefix } => {
                let entries = self.list(&prefix);
                return Some(StoreReply::Listed { entries });
            }
            StoreRequest::Watch { prefix } => {
                self.watches
                    .retain(|watch| *watch != (node.clone(), prefix.clone()));
                self.watches.push((node.clone(), prefix.clone()));
                let entries = self.list(&prefix);
                let event = ControlEvent::StoreEntries {
                    prefix,
                    entries,
                    complete: true,
                };
                self.pending.push((node.clone(), event));
                return None;
            }
            StoreRequest::Unwatch { prefix } => {
                self.watches
                    .retain(|watch| *watch != (node.clone(), prefix.clone()));
                return None;
            }
            StoreRequest::AcquireSlot { key, entry, ttl } => {
                if self.data.contains_key(&key) {
                    return Some(StoreReply::SlotOccupied);
                }
                self.put(
                    &key,
                    serde_json::to_vec(&entry).expect("json"),
                    Some(now + ttl),
                );
            }
            StoreRequest::RenewSlot { lease } => {
                let found = self.leases.values_mut().find(|(id, _)| *id == lease);
                let Some((_, end)) = found else {
                    return Some(StoreReply::SlotLost);
                };
                *end = now + Duration::from_secs(5);
                return Some(StoreReply::SlotRenewed);
            }
            StoreRequest::ReleaseSlot { lease } => {
                let held = self.leases.iter().find(|(_, (id, _))| *id == lease);
                if let Some(key) = held.map(|(key, _)| key.clone()) {
                    self.delete(&key);
                }
                return None;
            }
            StoreRequest::ReadBundle { digest } => {
                let found = self.data.get(keys::bundle(&digest).as_str());
                let json = found.map(|(value, _)| String::from_utf8(value.clone()).expect("text"));
                *self.calls.entry("bundle").or_default() += 1;
                return Some(StoreReply::Bundle { json });
            }
            StoreRequest::Commit { compares, writes } => {
                let holds = compares.iter().all(|compare| {
                    let found = self.data.get(&compare.key);
                    found.map_or(0, |(_, revision)| *revision) == compare.revision
                });
                if !holds {
                    return Some(StoreReply::Conflict);
                }
                self.commits.push(node.clone());
                for write in writes {
                    match write {
                        StoreWrite::Put { key, value, ttl } => {
                            self.put(&key, value, ttl.map(|ttl| now + ttl));
                        }
                        StoreWrite::Delete { key } => self.delete(&key),
                    }
                }
                if rng.random_bool(self.lost_answers) {
                    return Some(StoreReply::Uncertain);
                }
                let revision = self.revision;
                return Some(StoreReply::Committed { revision });
            }
        }
        let (revision, lease) = (self.revision, self.revision);
        Some(StoreReply::SlotAcquired { revision, lease })
    }
}
