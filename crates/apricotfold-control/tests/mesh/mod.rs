//! Simulated mesh: delivers the actions of several cores as events to the others, with seeded
//! faults.
#![allow(dead_code, reason = "each test uses another part of the helper")]

pub mod store;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use apricotfold_control::{
    ControlAction, ControlConfig, ControlCore, ControlEvent, MessageBody, StreamDirection, StreamId,
};
use apricotfold_model::TargetState;
use apricotfold_schema::peer::{Record, RecordId, RecordKind};
use compact_str::CompactString;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use store::FakeStore;

/// Several cores, the events in transit between them and one store.
pub struct Mesh {
    pub now: Instant,
    pub cores: BTreeMap<CompactString, ControlCore>,
    pub store: FakeStore,
    pub rng: StdRng,
    /// Probability that a message is lost, and that one is duplicated.
    pub loss: f64,
    pub max_delay: Duration,
    pub cut: BTreeSet<(CompactString, CompactString)>,
    pub paused: BTreeSet<CompactString>,
    /// Name prefixes of nodes that reach the store over the slow link.
    pub far_from_store: &'static [&'static str],
    /// Nodes whose daemon refuses every candidate.
    pub refusing: BTreeSet<CompactString>,
    pub applied: Vec<(CompactString, u64)>,
    /// Applied versions as in `applied`, with the id of the publish.
    pub applied_ids: Vec<(CompactString, u64, CompactString)>,
    pub logs: Vec<(CompactString, String)>,
    /// Pushed records with sender and receiver.
    pub pushed: Vec<(CompactString, CompactString, Record)>,
    /// Sender, receiver and number of endpoint ids of each advertisement.
    pub advertised: Vec<(CompactString, CompactString, usize)>,
    /// Number of `OpenStream` actions.
    pub opened: usize,
    /// Reported crash counts: node, fingerprint and count.
    pub crashes: Vec<(CompactString, CompactString, u32)>,
    streams: BTreeMap<StreamId, (CompactString, CompactString)>,
    queue: BTreeMap<(Instant, u64), (CompactString, ControlEvent)>,
    count: u64,
}

pub const TICK: Duration = Duration::from_millis(50);

impl Mesh {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::now(),
            cores: BTreeMap::new(),
            store: FakeStore::default(),
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            max_delay: Duration::from_millis(5),
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            far_from_store: &[],
            refusing: BTreeSet::new(),
            applied: Vec::new(),
            applied_ids: Vec::new(),
            logs: Vec::new(),
            pushed: Vec::new(),
            advertised: Vec::new(),
            opened: 0,
            crashes: Vec::new(),
            streams: BTreeMap::new(),
            queue: BTreeMap::new(),
            count: 0,
        }
    }

    /// Starts a node whose address is its name. Runs of one node are numbered from 1 and have
    /// incarnations of 1000 times their number.
    pub fn start(&mut self, node: &str, place: (&str, &str), run_number: u64, contacts: &[&str]) {
        let config = ControlConfig {
            node: node.into(),
            region: place.0.into(),
            data_centre: place.1.into(),
            control_address: node.into(),
            mesh_address: node.into(),
            admin_address: node.into(),
            incarnation: run_number * 1000,
            contacts: contacts
                .iter()
                .map(|name| CompactString::from(*name))
                .collect(),
            seed: self.rng.random(),
        };
        self.cores
            .insert(node.into(), ControlCore::new(config, self.now));
        self.announce(node, "web");
    }

    pub fn announce(&mut self, node: &str, profile: &str) {
        let target = TargetState {
            service: "desk".into(),
            profile: profile.into(),
            address: "127.0.0.1:1".parse().expect("address"),
            slots: 4,
            connections: 4,
            reported_load: 0,
            draining: false,
        };
        self.feed(node, ControlEvent::TargetChanged(Some(target)));
    }

    /// Starts `count` nodes in one data centre, all with the first two as contacts.
    pub fn start_many(&mut self, count: usize, place: (&str, &str)) -> Vec<CompactString> {
        let name = |index: usize| CompactString::from(format!("{}-{index:02}", place.1));
        let contacts = [name(0), name(1)];
        let contacts = [contacts[0].as_str(), contacts[1].as_str()];
        let names: Vec<CompactString> = (0..count).map(name).collect();
        for node in &names {
            self.start(node, place, 1, &contacts);
        }
        names
    }

    /// Kills a node; its peers only see their streams close.
    pub fn kill(&mut self, node: &str) {
        self.cores.remove(node);
        self.queue.retain(|_, (to, _)| to != node);
        let ended = |_: &StreamId, ends: &mut (CompactString, CompactString)| {
            ends.0 == node || ends.1 == node
        };
        let streams: Vec<_> = self.streams.extract_if(.., ended).collect();
        for (stream, (opener, acceptor)) in streams {
            let other = if opener == node { acceptor } else { opener };
            self.post(other, ControlEvent::StreamClosed { stream });
        }
    }

    /// Cuts or restores the links of every pair across two groups. Cut streams stay open and lose
    /// all messages.
    pub fn set_cut(&mut self, left: &[CompactString], right: &[CompactString], is_cut: bool) {
        for (one, other) in left.iter().flat_map(|l| right.iter().map(move |r| (l, r))) {
            for pair in [(one.clone(), other.clone()), (other.clone(), one.clone())] {
                if is_cut {
                    self.cut.insert(pair);
                } else {
                    self.cut.remove(&pair);
                }
            }
        }
    }

    /// Makes the store unavailable or available, and lets the daemons report it.
    pub fn set_store_unavailable(&mut self, unavailable: bool) {
        self.store.unavailable = unavailable;
        for node in self.cores.keys().cloned().collect::<Vec<_>>() {
            let event = if unavailable {
                ControlEvent::StoreUnavailable
            } else {
                ControlEvent::StoreAvailable
            };
            self.post(node, event);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next_tick = self.now + TICK;
            while let Some(entry) = self.queue.first_entry()
                && entry.key().0 <= next_tick
            {
                let ((at, _), (node, event)) = entry.remove_entry();
                self.now = self.now.max(at);
                if self.paused.contains(&node) {
                    self.count += 1;
                    let later = next_tick + TICK;
                    self.queue.insert((later, self.count), (node, event));
                    continue;
                }
                self.feed(&node, event);
            }
            self.now = next_tick;
            for (node, event) in self.store.expire(self.now) {
                self.post_store(node, event);
            }
            for node in self.cores.keys().cloned().collect::<Vec<_>>() {
                if !self.paused.contains(&node) {
                    self.feed(&node, ControlEvent::Tick);
                }
            }
        }
    }

    pub fn feed(&mut self, node: &str, event: ControlEvent) {
        let Some(core) = self.cores.get_mut(node) else {
            return;
        };
        for action in core.handle(event, self.now) {
            self.perform(node.into(), action);
        }
    }

    fn post(&mut self, node: CompactString, event: ControlEvent) {
        self.count += 1;
        let delay = self.max_delay.mul_f64(self.rng.random_range(0.0..1.0));
        self.queue
            .insert((self.now + delay, self.count), (node, event));
    }

    fn post_store(&mut self, node: CompactString, event: ControlEvent) {
        self.count += 1;
        let is_far = self
            .far_from_store
            .iter()
            .any(|start| node.starts_with(start));
        let delay = Duration::from_millis(if is_far { 60 } else { 2 });
        self.queue
            .insert((self.now + delay, self.count), (node, event));
    }

    fn perform(&mut self, node: CompactString, action: ControlAction) {
        match action {
            ControlAction::OpenStream { address } => self.open(node, address),
            ControlAction::CloseStream { stream } => {
                if let Some((opener, acceptor)) = self.streams.remove(&stream) {
                    let other = if opener == node { acceptor } else { opener };
                    self.post(other, ControlEvent::StreamClosed { stream });
                }
            }
            ControlAction::Send { stream, message } => {
                let Some((opener, acceptor)) = self.streams.get(&stream).cloned() else {
                    return;
                };
                let other = if opener == node { acceptor } else { opener };
                if let Some(MessageBody::Advertise(advertise)) = &message.body {
                    let endpoints = |id: &&RecordId| id.kind() == RecordKind::Endpoint;
                    let count = advertise.ids.iter().filter(endpoints).count();
                    self.advertised.push((node.clone(), other.clone(), count));
                }
                if let Some(MessageBody::Push(push)) = &message.body {
                    let pushed = push.records.iter().cloned();
                    self.pushed
                        .extend(pushed.map(|record| (node.clone(), other.clone(), record)));
                }
                if self.cut.contains(&(node, other.clone())) || self.rng.random_bool(self.loss) {
                    return;
                }
                let event = ControlEvent::Message { stream, message };
                if self.rng.random_bool(self.loss) {
                    self.post(other.clone(), event.clone());
                }
                self.post(other, event);
            }
            ControlAction::Prepare { candidate } => {
                let result = if self.refusing.contains(&node) {
                    Err("listener missing".into())
                } else {
                    Ok(())
                };
                let event = ControlEvent::PrepareResult {
                    profile: candidate.profile.into(),
                    version: candidate.version,
                    publish_id: candidate.publish_id.into(),
                    result,
                };
                self.post(node, event);
            }
            ControlAction::Apply { head } => {
                self.applied.push((node.clone(), head.version));
                self.applied_ids
                    .push((node.clone(), head.version, head.publish_id.into()));
                let (profile, version) = (head.profile.into(), head.version);
                self.post(node, ControlEvent::Applied { profile, version });
            }
            ControlAction::StoreRequest { id, request } => {
                for (node, event) in self
                    .store
                    .handle(&node, id, request, self.now, &mut self.rng)
                {
                    self.post_store(node, event);
                }
            }
            ControlAction::Log { code, text, .. } => {
                self.logs.push((node, format!("{} {text}", code.as_ref())));
            }
            ControlAction::CrashCounts { fingerprint, count } => {
                self.crashes.push((node, fingerprint, count));
            }
            ControlAction::RefuseStream { .. } | ControlAction::EndpointsChanged => {}
        }
    }

    fn open(&mut self, opener: CompactString, address: CompactString) {
        self.opened += 1;
        let is_cut = self.cut.contains(&(opener.clone(), address.clone()));
        let hello = self.cores[&opener].hello();
        let now = self.now;
        let Some(peer) = self.cores.get_mut(&address).filter(|_| !is_cut) else {
            let (refused, retry_after) = (!is_cut, None);
            let event = ControlEvent::StreamFailed {
                address,
                refused,
                retry_after,
            };
            return self.post(opener, event);
        };
        self.count += 1;
        let stream = StreamId(self.count);
        self.streams
            .insert(stream, (opener.clone(), address.clone()));
        let peer_hello = peer.hello();
        let direction = StreamDirection::Inbound;
        let event = ControlEvent::StreamOpened {
            stream,
            hello,
            direction,
        };
        let actions = peer.handle(event, now);
        let refusal = actions.iter().find_map(|action| match action {
            ControlAction::RefuseStream { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let direction = StreamDirection::Outbound {
            address: address.clone(),
        };
        let event = if refusal.is_some() {
            ControlEvent::StreamFailed {
                address: address.clone(),
                refused: false,
                retry_after: refusal,
            }
        } else {
            ControlEvent::StreamOpened {
                stream,
                hello: peer_hello,
                direction,
            }
        };
        self.post(opener, event);
        for action in actions {
            self.perform(address.clone(), action);
        }
    }
}
