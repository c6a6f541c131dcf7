//! In-memory [`ConfigStore`] for tests of the publish logic, with faults and a scripted relay.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use apricotfold::{
    CommandError, PublishContent, PublishReport, PublishRequest, PublishTimes, Publisher,
};
use apricotfold_model::{
    CandidateEntry, HeadEntry, NodeRefusal, OutcomeEntry, ProfileBundle, StepError, keys,
};
use apricotfold_store::{
    Compare, ConfigStore, LeaseId, RangeResponse, Revision, StoreEntry, StoreError, StoreFuture,
    StoreTxn, StoreWrite, TxnResponse, WatchBatch, WatchEvent, WatchStream, WriteEffect,
};
use futures_util::StreamExt;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep};

pub const ADDRESS: &str = "http://fake-store";
pub const PROFILE: &str = "almanac";
/// Each call takes this long, so that other operators and relays can act between two calls.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// What happens to a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteFault {
    /// It takes effect, and the answer is lost.
    LostAnswer,
    /// It is lost on its way.
    LostRequest,
    /// It seems lost and arrives just before the next transaction.
    Late,
}

#[derive(Default)]
struct State {
    revision: Revision,
    entries: BTreeMap<String, StoreEntry>,
    leases: BTreeSet<LeaseId>,
    last_lease: LeaseId,
    watchers: Vec<(String, UnboundedSender<WatchBatch>)>,
    faults: VecDeque<WriteFault>,
    late: Option<StoreTxn>,
    away_until: Option<Instant>,
    refuses_watch: bool,
    revocation_fault: Option<WriteFault>,
    /// Steps of all calls with the time of each.
    calls: Vec<(&'static str, Instant)>,
}

/// The store.
#[derive(Default)]
pub struct FakeStore(Mutex<State>);

impl State {
    fn call(&mut self, step: &'static str) -> Result<(), StoreError> {
        let now = Instant::now();
        self.calls.push((step, now));
        if self.away_until.is_some_and(|until| now < until) {
            return Err(failure(step, WriteEffect::None));
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        let entry = self.entries.get(compare.key());
        match compare {
            Compare::Absent { .. } => entry.is_none(),
            Compare::ModRevision { revision, .. } => {
                entry.map_or(0, |entry| entry.mod_revision) == *revision
            }
            Compare::CreateRevision { revision, .. } => {
                entry.map_or(0, |entry| entry.create_revision) == *revision
            }
        }
    }

    /// Applies a transaction. Like the real store, refuses one that names an ended lease.
    fn apply(&mut self, txn: &StoreTxn) -> Option<TxnResponse> {
        let succeeded = txn.compares.iter().all(|compare| self.holds(compare));
        let mut found = Vec::new();
        if succeeded {
            let leases_live = txn.writes.iter().all(|write| match write {
                StoreWrite::Put { lease, .. } => *lease == 0 || self.leases.contains(lease),
                StoreWrite::Delete { .. } => true,
            });
            if !leases_live {
                return None;
            }
            self.revision += 1;
            txn.writes.iter().for_each(|write| self.write(write));
        } else {
            let keys = txn.compares.iter().map(Compare::key);
            found.extend(keys.filter_map(|key| self.entries.get(key).cloned()));
        }
        Some(TxnResponse {
            succeeded,
            revision: self.revision,
            found,
        })
    }

    fn write(&mut self, write: &StoreWrite) {
        let (key, event) = match write {
            StoreWrite::Put { key, value, lease } => {
                let known = self.entries.get(key);
                let entry = StoreEntry {
                    key: key.clone(),
                    value: value.clone(),
                    create_revision: known.map_or(self.revision, |entry| entry.create_revision),
                    mod_revision: self.revision,
                    lease: *lease,
                };
                self.entries.insert(key.clone(), entry.clone());
                (key, WatchEvent::Put(entry))
            }
            StoreWrite::Delete { key } => {
                self.entries.remove(key);
                (key, WatchEvent::Delete(key.clone()))
            }
        };
        for (prefix, sender) in &self.watchers {
            if key.starts_with(prefix.as_str()) {
                let revision = self.revision;
                let events = vec![event.clone()];
                sender.send(WatchBatch { revision, events }).ok();
            }
        }
    }

    fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        let entry = self.entries.get(key)?;
        Some(serde_json::from_str(&entry.value).unwrap())
    }

    fn put(&mut self, key: String, value: &impl serde::Serialize) {
        let value = serde_json::to_string(value).unwrap();
        self.apply(&StoreTxn::default().put(key, value)).unwrap();
    }
}

fn failure(step: &'static str, effect: WriteEffect) -> StoreError {
    let error = StepError::new(step, ADDRESS, eyre::eyre!("scripted fault"));
    StoreError { error, effect }
}

impl FakeStore {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Scripts the fault of the next write of a candidate that has none yet.
    pub fn fail_candidate(&self, fault: WriteFault) {
        self.state().faults.push_back(fault);
    }

    pub fn stay_away(&self, time: Duration) {
        self.state().away_until = Some(Instant::now() + time);
    }

    pub fn refuse_watches(&self) {
        self.state().refuses_watch = true;
    }

    /// Scripts the fault of the next revocation of a lease.
    pub fn fail_revocation(&self, fault: WriteFault) {
        self.state().revocation_fault = Some(fault);
    }

    /// Times of all calls with this step; an empty step stands for every call.
    pub fn call_times(&self, step: &str) -> Vec<Instant> {
        let state = self.state();
        let calls = state.calls.iter();
        calls
            .filter(|(made, _)| step.is_empty() || *made == step)
            .map(|(_, time)| *time)
            .collect()
    }

    pub fn head(&self) -> Option<HeadEntry> {
        self.state().read(&keys::head(PROFILE))
    }

    pub fn candidate(&self) -> Option<CandidateEntry> {
        self.state().read(&keys::candidate(PROFILE))
    }

    pub fn put(&self, key: String, value: &impl serde::Serialize) {
        self.state().put(key, value);
    }

    /// Another operator's bundle becomes the head, as if it had been decided elsewhere.
    pub fn put_head(&self, version: u64, bundle: &ProfileBundle) {
        let text = StoreTxn::default().put(keys::bundle(&bundle.digest), &bundle.json);
        self.state().apply(&text).unwrap();
        let head = HeadEntry {
            profile: PROFILE.into(),
            version,
            digest: bundle.digest.clone(),
            state: apricotfold_model::HeadState::Published,
            publish_id: format!("rival-{version}").into(),
            operator: "rival".into(),
        };
        self.put(keys::head(PROFILE), &head);
    }

    /// Waits until `found` returns something; panics after 100 s, so that a publish that ended
    /// early fails the test.
    pub async fn until<T>(&self, found: impl Fn(&Self) -> Option<T>) -> T {
        let deadline = Instant::now() + Duration::from_secs(100);
        loop {
            if let Some(value) = found(self) {
                return value;
            }
            assert!(Instant::now() < deadline, "the publish did not get there");
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until a candidate is there.
    pub async fn candidate_written(&self) -> CandidateEntry {
        self.until(Self::candidate).await
    }

    /// Waits until a call with this step has been made.
    pub async fn called(&self, step: &str) {
        self.until(|store| store.call_times(step).pop()).await;
    }

    /// Decides as relays do: head, outcome and candidate change at once.
    pub fn decide(&self, prepared: u32, refusals: &[(&str, &str)]) {
        let candidate = self.candidate().expect("a candidate to decide about");
        let refusals: Vec<NodeRefusal> = refusals
            .iter()
            .map(|(node, reason)| NodeRefusal {
                node: (*node).into(),
                reason: (*reason).into(),
            })
            .collect();
        let outcome = OutcomeEntry {
            publish_id: candidate.publish_id.clone(),
            version: candidate.version,
            accepted: refusals.is_empty(),
            prepared,
            refusals,
        };
        let mut txn = StoreTxn::default()
            .put(
                keys::outcome(PROFILE),
                serde_json::to_string(&outcome).unwrap(),
            )
            .delete(keys::candidate(PROFILE));
        if outcome.accepted {
            let head = HeadEntry {
                profile: candidate.profile,
                version: candidate.version,
                digest: candidate.digest,
                state: candidate.state,
                publish_id: candidate.publish_id,
                operator: candidate.operator,
            };
            txn = txn.put(keys::head(PROFILE), serde_json::to_string(&head).unwrap());
        }
        self.state().apply(&txn).unwrap();
    }

    /// Publishes `content` as operator `ours` and waits 15 s for the decision.
    pub async fn publish(
        &self,
        content: PublishContent,
        wait: Duration,
    ) -> Result<PublishReport, CommandError> {
        let request = PublishRequest {
            profile: PROFILE.into(),
            operator: "ours".into(),
            content,
        };
        let times = PublishTimes {
            decision: Duration::from_secs(15),
            wait,
            tries: 2,
        };
        Publisher::new(self, &request, times).run().await
    }
}

impl ConfigStore for FakeStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, RangeResponse> {
        Box::pin(async move {
            sleep(ANSWER_TIME).await;
            let mut state = self.state();
            state.call("get")?;
            Ok(RangeResponse {
                revision: state.revision,
                entries: state.entries.get(key).cloned().into_iter().collect(),
            })
        })
    }

    fn list<'a>(&'a self, _prefix: &'a str) -> StoreFuture<'a, RangeResponse> {
        unimplemented!("a publish reads single keys")
    }

    fn commit<'a>(&'a self, txn: &'a StoreTxn) -> StoreFuture<'a, TxnResponse> {
        Box::pin(async move {
            sleep(ANSWER_TIME).await;
            let mut state = self.state();
            state.call("commit")?;
            if let Some(late) = state.late.take() {
                state.apply(&late);
            }
            let candidate = keys::candidate(PROFILE);
            let writes_candidate = txn
                .writes
                .iter()
                .any(|write| matches!(write, StoreWrite::Put { key, .. } if *key == candidate));
            let fault = writes_candidate.then(|| state.faults.pop_front()).flatten();
            match fault {
                None => return state.apply(txn).ok_or(failure("commit", WriteEffect::None)),
                Some(WriteFault::LostAnswer) => drop(state.apply(txn)),
                Some(WriteFault::LostRequest) => {}
                Some(WriteFault::Late) => state.late = Some(txn.clone()),
            }
            Err(failure("commit", WriteEffect::Unknown))
        })
    }

    fn grant(&self, _ttl: Duration) -> StoreFuture<'_, LeaseId> {
        Box::pin(async move {
            sleep(ANSWER_TIME).await;
            let mut state = self.state();
            state.call("grant")?;
            state.last_lease += 1;
            let lease = state.last_lease;
            state.leases.insert(lease);
            Ok(lease)
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        Box::pin(async move {
            sleep(ANSWER_TIME).await;
            let mut state = self.state();
            state.call("keep-alive")?;
            let live = state.leases.contains(&lease);
            Ok(Duration::from_secs(if live { 15 } else { 0 }))
        })
    }

    fn revoke(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        Box::pin(async move {
            sleep(ANSWER_TIME).await;
            let mut state = self.state();
            state.call("revoke")?;
            let fault = state.revocation_fault.take();
            if fault != Some(WriteFault::LostRequest) {
                if !state.leases.remove(&lease) {
                    return Err(failure("revoke", WriteEffect::None));
                }
                state.entries.retain(|_, entry| entry.lease != lease);
            }
            match fault {
                Some(_) => Err(failure("revoke", WriteEffect::Unknown)),
                None => Ok(()),
            }
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, _revision: Revision) -> StoreFuture<'a, WatchStream> {
        Box::pin(async move {
            sleep(ANSWER_TIME).await;
            let mut state = self.state();
            state.call("watch")?;
            if state.refuses_watch {
                return Err(failure("watch", WriteEffect::None));
            }
            let (sender, receiver) = unbounded_channel();
            state.watchers.push((prefix.to_owned(), sender));
            let stream = futures_util::stream::unfold(receiver, |mut receiver| async {
                let batch = receiver.recv().await?;
                Some((Ok(batch), receiver))
            });
            Ok(stream.boxed())
        })
    }
}

/// A profile whose single route has the given time limit.
pub fn bundle(timeout_ms: u32) -> ProfileBundle {
    let text = format!(
        r#"{{"name": "{PROFILE}", "listeners": ["callers"],
            "clusters": [{{"name": "desk", "service": "parish-desk"}}],
            "routes": [{{"name": "pages", "listener": "callers", "path_prefix": "/",
                         "cluster": "desk", "timeout_ms": {timeout_ms}}}]}}"#
    );
    ProfileBundle::parse(&text).unwrap()
}

/// The profile as content of a publish.
pub fn content(timeout_ms: u32) -> PublishContent {
    PublishContent::Bundle(Box::new(bundle(timeout_ms)))
}
