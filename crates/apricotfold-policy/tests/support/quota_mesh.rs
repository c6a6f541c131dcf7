//! Simulated nodes that share quotas, with partitions and restarts. Time passes in steps.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use apricotfold_model::{InstanceRecord, InstanceState, NodeId, TenantName, TenantQuota};
use apricotfold_policy::{
    MessageNumber, QuotaNode, ShareAsk, ShareGrant, TakeResult, choose_candidates,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Step of the simulation.
pub const STEP: Duration = Duration::from_millis(10);

/// What the proxy adds to the decisions: the interval and the longest time of messages, the longest wait
/// of a request, and the interval of checks.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_WAIT: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(250);

/// Number of checks after which a node determines the owners anew.
const TICKS_PER_UPDATE: usize = 4;

/// Time after which the store drops a node that has died or is cut off.
const LAPSE_TIME: Duration = Duration::from_secs(4);

/// Bytes of the heads of a message and its answer.
const HEAD_BYTES: usize = 200;

/// Requests of a tenant that arrive at random at a node.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub tenant: usize,
    pub node: usize,
    pub rate: f64,
}

#[derive(Debug)]
struct Link {
    busy: bool,
    wanted: bool,
    sent: Option<Instant>,
}

#[derive(Debug)]
struct SimNode {
    quotas: QuotaNode,
    alive: bool,
    /// Side of a partition; nodes and the store reach each other on the same side.
    side: u8,
    lost_since: Option<Instant>,
    /// Nodes that the store had when this one last reached it.
    known: Vec<bool>,
    links: BTreeMap<usize, Link>,
    waiting: Vec<(usize, Instant)>,
    survey: Option<(Vec<usize>, Instant)>,
}

#[derive(Debug)]
enum Payload {
    Asks(MessageNumber, Vec<ShareAsk>),
    Answer(Vec<ShareAsk>, Vec<ShareGrant>, Instant),
    Timeout(Instant),
}

#[derive(Debug)]
struct Flight {
    due: Instant,
    from: usize,
    to: usize,
    sent: Instant,
    payload: Payload,
}

/// A run or a refusal of a tenant's request.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub at: Duration,
    pub tenant: usize,
    pub ran: bool,
}

/// All nodes.
pub struct Mesh {
    pub ended: Vec<Ended>,
    pub bytes: usize,
    pub messages: usize,
    start: Instant,
    now: Instant,
    nodes: Vec<SimNode>,
    present: Vec<bool>,
    names: Vec<TenantName>,
    quotas: Vec<TenantQuota>,
    flights: Vec<Flight>,
    random: StdRng,
    processes: u64,
    ticks: usize,
}

fn node_id(index: usize) -> NodeId {
    format!("node-{index:02}").into()
}

fn record(index: usize) -> InstanceRecord {
    InstanceRecord {
        version: None,
        node: node_id(index),
        address: ([127, 0, 0, 1], 1).into(),
        node_epoch: 1,
        life: 1,
        data_centre: "dc".into(),
        instance: "i".into(),
        born: 1,
        number: 1,
        service: "s".into(),
        slots: 4,
        state: InstanceState::Ready,
        announced: None,
        cold_ms: 0,
        link_mbps: 0,
    }
}

impl Mesh {
    pub fn new(count: usize, rates: &[f64], seed: u64) -> Self {
        let start = Instant::now();
        let quotas = rates.iter().map(|rate| TenantQuota {
            rate: *rate,
            burst: *rate,
        });
        let mut mesh = Self {
            ended: Vec::new(),
            bytes: 0,
            messages: 0,
            start,
            now: start,
            nodes: Vec::new(),
            present: vec![true; count],
            names: (0..rates.len())
                .map(|i| format!("tenant-{i:02}").into())
                .collect(),
            quotas: quotas.collect(),
            flights: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            processes: 0,
            ticks: 0,
        };
        for index in 0..count {
            let node = mesh.process(index);
            mesh.nodes.push(node);
        }
        mesh
    }

    fn process(&mut self, index: usize) -> SimNode {
        self.processes += 1;
        let mut quotas = QuotaNode::new(node_id(index), self.processes, self.now);
        quotas.set_quotas(self.limits());
        SimNode {
            quotas,
            alive: true,
            side: 0,
            lost_since: None,
            known: vec![false; self.present.len()],
            links: BTreeMap::new(),
            waiting: Vec::new(),
            survey: None,
        }
    }

    fn limits(&self) -> HashMap<TenantName, TenantQuota> {
        let names = self.names.iter().cloned();
        names.zip(self.quotas.iter().copied()).collect()
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Returns the number of running nodes.
    pub fn alive(&self) -> usize {
        self.nodes.iter().filter(|node| node.alive).count()
    }

    /// Returns the node that owns a tenant's limit, by all nodes that the store has; the first node if it
    /// has none.
    pub fn owner(&self, tenant: usize) -> usize {
        let candidates = Self::candidates(&self.present);
        let owner = candidates.owner(&self.names[tenant]);
        let owner = owner.cloned().unwrap_or_else(|| node_id(0));
        (0..self.nodes.len())
            .find(|index| node_id(*index) == owner)
            .expect("known")
    }

    fn candidates(known: &[bool]) -> apricotfold_policy::OwnerCandidates {
        let records = (0..known.len()).filter(|index| known[*index]);
        let records: Vec<_> = records.map(record).collect();
        choose_candidates(records.iter())
    }

    pub fn set_side(&mut self, node: usize, side: u8) {
        self.nodes[node].side = side;
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// Starts a killed node, or restarts a running one.
    pub fn restart(&mut self, node: usize) {
        let side = self.nodes[node].side;
        self.nodes[node] = self.process(node);
        self.nodes[node].side = side;
        self.flights
            .retain(|flight| flight.from != node || matches!(flight.payload, Payload::Asks(..)));
    }

    pub fn set_limit(&mut self, tenant: usize, rate: f64) {
        self.quotas[tenant] = TenantQuota { rate, burst: rate };
        let limits = self.limits();
        for node in &mut self.nodes {
            node.quotas.set_quotas(limits.clone());
        }
    }

    pub fn run(&mut self, time: Duration, demand: &[Demand]) {
        let end = self.now + time;
        while self.now < end {
            self.step(demand);
        }
    }

    fn step(&mut self, demand: &[Demand]) {
        let before = self.elapsed();
        self.now += STEP;
        let ticks =
            before.as_millis() / TICK.as_millis() != self.elapsed().as_millis() / TICK.as_millis();
        self.deliver();
        if ticks {
            self.update_store();
            self.ticks += 1;
            for index in 0..self.nodes.len() {
                let updates = (self.ticks + index).is_multiple_of(TICKS_PER_UPDATE);
                self.tick(index, updates || self.nodes[index].quotas.is_unknown());
            }
        }
        for known in demand {
            let expected = known.rate * STEP.as_secs_f64();
            let mut arrivals = expected.floor();
            if self.random.random::<f64>() < expected - arrivals {
                arrivals += 1.0;
            }
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                self.arrive(known.node, known.tenant);
            }
        }
        for index in 0..self.nodes.len() {
            self.serve_waiting(index);
            self.send_wanted(index);
        }
    }

    fn update_store(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.alive && node.side == 0 {
                node.lost_since = None;
                self.present[index] = true;
            } else {
                let since = *node.lost_since.get_or_insert(self.now);
                if self.now - since >= LAPSE_TIME {
                    self.present[index] = false;
                }
            }
        }
    }

    fn tick(&mut self, index: usize, updates: bool) {
        if !self.nodes[index].alive {
            return;
        }
        let now = self.now;
        if updates {
            self.update_owners(index);
        }
        let node = &mut self.nodes[index];
        for owner in node.quotas.due(now) {
            let owner = index_of(&owner);
            if owner == index {
                node.quotas.answer_own("", now);
            } else {
                want(node, owner);
            }
        }
        self.survey(index);
    }

    fn update_owners(&mut self, index: usize) {
        let in_contact = self.nodes[index].side == 0;
        if in_contact {
            self.nodes[index].known.clone_from(&self.present);
        }
        let candidates = Self::candidates(&self.nodes[index].known);
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.quotas.update_owners(candidates, in_contact, now).grown {
            let others = (0..self.present.len()).filter(|other| *other != index);
            node.survey = Some((others.collect(), now));
        }
    }

    fn survey(&mut self, index: usize) {
        let now = self.now;
        let Some((open, next)) = self.nodes[index].survey.take() else {
            return;
        };
        if now < next {
            self.nodes[index].survey = Some((open, next));
            return;
        }
        let mut silent = Vec::new();
        for other in open {
            if !self.is_reachable(index, other) {
                silent.push(other);
                continue;
            }
            for ask in self.nodes[other].quotas.holder.report(now) {
                let quotas = &mut self.nodes[index].quotas;
                quotas.owner.learn(&node_id(other), &ask, now);
            }
        }
        let others = u32::try_from(self.nodes.len() - 1).expect("few");
        let unheard = f64::from(u32::try_from(silent.len()).expect("few")) / f64::from(others);
        self.nodes[index].quotas.owner.record_survey(1.0 - unheard);
        if !silent.is_empty() {
            self.nodes[index].survey = Some((silent, now + Duration::from_secs(1)));
        }
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        from.alive && to.alive && from.side == to.side
    }

    fn arrive(&mut self, index: usize, tenant: usize) {
        let now = self.now;
        if !self.nodes[index].alive {
            return;
        }
        let (name, quota) = (&self.names[tenant], self.quotas[tenant]);
        let holder = &mut self.nodes[index].quotas.holder;
        match holder.take(name, quota, now) {
            TakeResult::Taken => self.end(tenant, true),
            TakeResult::Exhausted(_) => self.end(tenant, false),
            TakeResult::AskOwner => {
                holder.set_waiting(name, true);
                self.nodes[index].waiting.push((tenant, now + MAX_WAIT));
            }
        }
    }

    fn end(&mut self, tenant: usize, ran: bool) {
        let at = self.elapsed();
        self.ended.push(Ended { at, tenant, ran });
    }

    fn serve_waiting(&mut self, index: usize) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        for (tenant, until) in waiting {
            let (name, quota) = (self.names[tenant].clone(), self.quotas[tenant]);
            let node = &mut self.nodes[index];
            let mut result = node.quotas.holder.take_again(&name, quota, now);
            if result == TakeResult::AskOwner {
                match node
                    .quotas
                    .node_for(&name, now)
                    .map(|owner| index_of(&owner))
                {
                    Some(owner) if owner == index => {
                        node.quotas.answer_own(&name, now);
                        result = node.quotas.holder.take_again(&name, quota, now);
                    }
                    Some(owner) => want(node, owner),
                    None => {}
                }
            }
            if result == TakeResult::AskOwner && now < until {
                node.waiting.push((tenant, until));
                continue;
            }
            node.quotas.holder.set_waiting(&name, false);
            node.quotas.holder.trim(&name);
            self.end(tenant, result == TakeResult::Taken);
        }
    }

    fn send_wanted(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let ready = node.links.iter().filter(|(_, link)| {
            let paced = link.sent.is_none_or(|sent| now >= sent + MESSAGE_INTERVAL);
            link.wanted && !link.busy && paced
        });
        let mut ready: Vec<usize> = ready.map(|(owner, _)| *owner).collect();
        ready.sort_unstable();
        for owner in ready {
            let node = &mut self.nodes[index];
            let (number, asks) = node.quotas.message_to(&node_id(owner), now);
            let link = node.links.get_mut(&owner).expect("listed");
            link.wanted = false;
            link.sent = Some(now);
            if asks.is_empty() {
                continue;
            }
            link.busy = true;
            self.messages += 1;
            self.bytes += HEAD_BYTES + serde_json::to_vec(&asks).expect("plain").len();
            self.post(index, owner, now, Payload::Asks(number, asks));
            self.flights.push(Flight {
                due: now + MESSAGE_TIMEOUT,
                from: owner,
                to: index,
                sent: now,
                payload: Payload::Timeout(now),
            });
        }
    }

    fn post(&mut self, from: usize, to: usize, sent: Instant, payload: Payload) {
        let delay = Duration::from_millis(self.random.random_range(1..35));
        self.flights.push(Flight {
            due: self.now + delay,
            from,
            to,
            sent,
            payload,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.due <= now);
        self.flights = later;
        let due: Vec<Flight> = due;
        for flight in due {
            let Flight {
                from,
                to,
                sent,
                payload,
                ..
            } = flight;
            if let Payload::Timeout(sent) = payload {
                let node = &mut self.nodes[to];
                if let Some(link) = node.links.get_mut(&from)
                    && link.busy
                    && link.sent == Some(sent)
                {
                    link.busy = false;
                    node.quotas.record_silence(&node_id(from), now);
                }
                continue;
            }
            if !self.is_reachable(from, to) {
                continue;
            }
            match payload {
                Payload::Asks(number, asks) => {
                    let quotas = &mut self.nodes[to].quotas;
                    if let Ok(grants) = quotas.answer(&node_id(from), number, &asks, now) {
                        self.bytes += serde_json::to_vec(&grants).expect("plain").len();
                        self.post(to, from, sent, Payload::Answer(asks, grants, sent));
                    }
                }
                Payload::Answer(asks, grants, sent) => {
                    let node = &mut self.nodes[to];
                    // An answer after the timeout is dropped.
                    if let Some(link) = node.links.get_mut(&from)
                        && link.busy
                        && link.sent == Some(sent)
                    {
                        link.busy = false;
                        node.quotas.apply(&node_id(from), &asks, &grants, sent, now);
                    }
                }
                Payload::Timeout(_) => {}
            }
        }
    }

    /// Returns the most runs of a tenant in a window of 5 s that begins at or after a time.
    pub fn peak(&self, tenant: usize, from: Duration) -> usize {
        let window = Duration::from_secs(5);
        let runs = self
            .ended
            .iter()
            .filter(|ended| ended.ran && ended.tenant == tenant);
        let runs: Vec<Duration> = runs
            .map(|ended| ended.at)
            .filter(|at| *at >= from)
            .collect();
        let mut first = 0;
        let mut peak = 0;
        for (last, at) in runs.iter().enumerate() {
            while *at >= runs[first] + window {
                first += 1;
            }
            peak = peak.max(last + 1 - first);
        }
        peak
    }

    /// Returns the number of runs and refusals of a tenant from a time on.
    pub fn count(&self, tenant: usize, from: Duration) -> (usize, usize) {
        let ended = self
            .ended
            .iter()
            .filter(|ended| ended.tenant == tenant && ended.at >= from);
        let (ran, refused): (Vec<&Ended>, Vec<&Ended>) = ended.partition(|ended| ended.ran);
        (ran.len(), refused.len())
    }
}

fn index_of(node: &NodeId) -> usize {
    node["node-".len()..].parse().expect("a number")
}

fn want(node: &mut SimNode, owner: usize) {
    let link = node.links.entry(owner).or_insert(Link {
        busy: false,
        wanted: false,
        sent: None,
    });
    link.wanted = true;
}

/// Returns the most requests that may run in a window of 5 s.
pub fn bound(rate: f64) -> f64 {
    (rate * 5.0 + rate) * 1.1 + 20.0
}
