//! Polls the relays of the data centre for changes instead of watching the store. See
//! `docs/platform.md`, section 4.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, log_event};
use apricotfold_policy::{
    DirectFallback, FollowRole, PollOrder, RemoteOrder, STORE_SILENCE, SuccessorNodes,
    choose_remote_relays, choose_role, choose_successors, due_successors, takeover_delay,
};
use rand::RngExt;
use smallvec::SmallVec;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::engine::Engine;
use crate::peer_exchange::{ExchangeResponse, exchange};
use crate::relays::hand_over::FormerRelays;
use crate::relays::succession::Succession;

/// Interval at which a node polls one of its relays. Two relays are polled in turn, so a change
/// that one of them has missed arrives after two intervals.
const POLL_INTERVAL: Duration = Duration::from_millis(450);

/// Age of this node's last answer from the store above which it calls the store while it doubts its
/// relays.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(200);

/// Time at which a relay last sent a part of a long answer.
type ProgressMark = Arc<Mutex<Option<Instant>>>;

/// Why a node is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollSource {
    /// It is a relay of the own data centre.
    Relay,
    /// It was one, and those that replace it do not follow the store yet.
    Former,
    /// It takes the place of relays that do not answer or have lost the store.
    Successor,
    /// It is a relay of another data centre.
    Remote,
}

/// A finished poll.
struct PollResult {
    relay: NodeId,
    address: SocketAddr,
    source: PollSource,
    answered: bool,
    /// When the store last answered the relay; `None` if the answer is not usable.
    confirmed: Option<Instant>,
}

/// Polls relays while they are usable. An answer that takes longer than the interval is awaited
/// while the other relay is polled. Relays of other data centres are polled while none of the own ones is
/// known to be in contact with the store.
pub struct RelayPoller {
    engine: Arc<Engine>,
    fallback: DirectFallback,
    order: PollOrder,
    remote_order: RemoteOrder,
    former: FormerRelays,
    succession: Succession,
    /// Whether a relay of another data centre was polled since one of the own ones was usable.
    polls_remote: bool,
    polls: JoinSet<PollResult>,
    /// Relays whose answer is awaited.
    awaited: SmallVec<[NodeId; 4]>,
    progress: ProgressMark,
}

impl RelayPoller {
    /// Creates the poller of a node that has just started, which watches the store at first.
    pub fn new(engine: Arc<Engine>) -> Self {
        // Nodes that start together would otherwise all poll the same relay at the same time.
        let turn = usize::from(engine.selector().random().random::<u8>());
        Self {
            engine,
            fallback: DirectFallback::new(Instant::now()),
            order: PollOrder::new(turn),
            remote_order: RemoteOrder::new(turn, Instant::now()),
            former: FormerRelays::default(),
            succession: Succession::default(),
            polls_remote: false,
            polls: JoinSet::new(),
            awaited: SmallVec::new(),
            progress: Arc::default(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let check = self.fallback.next_check(Instant::now());
            tokio::select! {
                () = tokio::time::sleep_until(check.into()), if !self.engine.follows_store() => {
                    self.check_silence();
                }
                _ = ticks.tick() => match self.role() {
                    FollowRole::Direct => self.follow_directly(),
                    FollowRole::Through(relays) => self.poll_local(&relays),
                },
                Some(finished) = self.polls.join_next() => match finished {
                    Ok(result) => self.finish_poll(&result),
                    Err(error) => {
                        log_event!(error, ExchangeFailed, "a poll ended: {error}");
                        self.awaited.clear();
                    }
                },
            }
        }
    }

    fn role(&self) -> FollowRole {
        let config = self.engine.config.load();
        let registry = self.engine.registry();
        choose_role(&config.node, &config.data_centre, registry.staying())
    }

    /// Follows the store, and polls a former relay until the store has delivered the table, which may take
    /// longer than until the next version.
    fn follow_directly(&mut self) {
        let former = self.former.latest(&[], Instant::now());
        self.engine.set_preceded(former.is_some());
        self.engine.follow_store(true);
        if !self.engine.serves_changes() {
            self.poll_former(&[]);
        }
    }

    /// Polls the next relay of the own data centre, or one of another if all of the own ones are awaited.
    fn poll_local(&mut self, relays: &[NodeId]) {
        let now = Instant::now();
        let polled = self.engine.last_polled();
        if self.engine.follows_store() && self.fallback.stays_direct(polled, now) {
            return;
        }
        match self.order.next_relay(relays, &self.awaited, now) {
            Some(relay) => self.poll_known(relay, PollSource::Relay),
            None => self.poll_remote(),
        }
    }

    /// Polls a relay that the present ones replace. Returns false if there is none.
    fn poll_former(&mut self, relays: &[NodeId]) -> bool {
        let former = self.former.latest(relays, Instant::now());
        let Some((relay, address)) = former.filter(|(relay, _)| !self.awaited.contains(relay))
        else {
            return false;
        };
        self.poll(relay, address, PollSource::Former);
        true
    }

    /// Polls the next relay of another data centre, unless it is too early for that.
    fn poll_remote(&mut self) {
        let now = Instant::now();
        if !self.remote_order.is_due(now) {
            return;
        }
        let relays = {
            let config = self.engine.config.load();
            choose_remote_relays(&config.data_centre, self.engine.registry().staying())
        };
        let next = self.remote_order.next_relay(&relays, &self.awaited, now);
        let Some(relay) = next else {
            return;
        };
        if !std::mem::replace(&mut self.polls_remote, true) {
            log_event!(
                info,
                RelayRoleChanged,
                "polls relays of other data centres, {relay} first"
            );
        }
        self.poll_known(relay, PollSource::Remote);
    }

    /// Polls the nodes that take the place of the relays, unless it is too early for that. Any of them may
    /// be the first one that follows the store, or may have ended as well.
    fn poll_successors(&mut self, relays: &[NodeId]) {
        let now = Instant::now();
        if !self.succession.is_due(now) {
            return;
        }
        self.succession.begin_poll(now);
        let own = self.engine.node();
        let successors = self.successors(relays, now);
        for successor in due_successors(&successors, self.fallback.overdue(now)) {
            if *successor != own && !self.awaited.contains(successor) {
                self.poll_known(successor.clone(), PollSource::Successor);
            }
        }
    }

    /// Returns the nodes that take the place of these relays.
    fn successors(&self, relays: &[NodeId], now: Instant) -> SuccessorNodes {
        let config = self.engine.config.load();
        let is_excluded = |node: &NodeId| relays.contains(node) || self.order.has_failed(node, now);
        let registry = self.engine.registry();
        choose_successors(&config.data_centre, is_excluded, registry.staying())
    }

    /// Returns the time for which this node leaves it to others to follow the store in place of these
    /// relays. If no node of the data centre answers, no other could.
    fn takeover_delay(&self, relays: &[NodeId], now: Instant) -> Duration {
        if !self.succession.has_answered(now) {
            return Duration::ZERO;
        }
        takeover_delay(&self.engine.node(), &self.successors(relays, now))
    }

    /// Polls a node that is in the list of instances.
    fn poll_known(&mut self, relay: NodeId, source: PollSource) {
        let address = {
            let registry = self.engine.registry();
            registry.record(&relay).map(|record| record.address)
        };
        if let Some(address) = address {
            self.poll(relay, address, source);
        }
    }

    fn poll(&mut self, relay: NodeId, address: SocketAddr, source: PollSource) {
        self.awaited.push(relay.clone());
        let (engine, progress) = (self.engine.clone(), self.progress.clone());
        self.polls.spawn(async move {
            let started = Instant::now();
            let mark = |now| *progress.lock().expect("no panic while locked") = Some(now);
            let (answered, confirmed) = match exchange(&engine, address, &mark).await {
                Ok(answer) => {
                    let confirmed = confirmed_at(&answer, Instant::now());
                    if confirmed.is_none() {
                        let (follows, age) = (answer.follows_store, answer.store_age_ms);
                        log_event!(
                            info,
                            ExchangeFailed,
                            "relay {relay} is not usable: follows the store {follows}, store age {age:?} ms"
                        );
                    }
                    (true, confirmed)
                }
                Err(cause) => {
                    let elapsed = started.elapsed();
                    let version = engine.tables.version();
                    log_event!(
                        info,
                        ExchangeFailed,
                        "relay {relay} at {address} after {elapsed:?}, own table {version}: {cause}"
                    );
                    (false, None)
                }
            };
            PollResult {
                relay,
                address,
                source,
                answered,
                confirmed,
            }
        });
    }

    /// Polls a relay of another data centre and calls the store when the own relays' contact with it is in
    /// doubt. Follows the store if only it answers.
    fn check_silence(&mut self) {
        let FollowRole::Through(relays) = self.role() else {
            return;
        };
        let now = Instant::now();
        let progress = *self.progress.lock().expect("no panic while locked");
        let contact = self.engine.store_health.contact();
        let delay = self.takeover_delay(&relays, now);
        let decided = self.fallback.after_silence(progress, contact, delay, now);
        self.apply_decision(decided);
        if decided.is_none() && self.fallback.is_in_doubt(now) {
            self.engine.probe_store(MAX_CONTACT_AGE);
            self.poll_successors(&relays);
            self.poll_remote();
        }
    }

    fn finish_poll(&mut self, result: &PollResult) {
        let now = Instant::now();
        self.awaited.retain(|relay| *relay != result.relay);
        if result.source == PollSource::Remote {
            self.finish_remote_poll(result, now);
            return;
        }
        self.order.record(&result.relay, result.answered, now);
        if result.answered {
            self.succession.record_answer(now);
        }
        let usable = result.confirmed.is_some();
        let (relay, address) = (&result.relay, result.address);
        self.former.record(relay, address, usable, now);
        let FollowRole::Through(relays) = self.role() else {
            return;
        };
        if usable {
            self.polls_remote = false;
        } else if result.source == PollSource::Successor {
            return;
        } else {
            let served = self.poll_former(&relays);
            if served && result.source == PollSource::Relay {
                return;
            }
            if !served {
                self.poll_successors(&relays);
                self.poll_remote();
            }
        }
        let contact = self.engine.store_health.contact();
        let delay = self.takeover_delay(&relays, now);
        let decided = self
            .fallback
            .after_answer(result.confirmed, contact, delay, now);
        self.apply_decision(decided);
    }

    fn finish_remote_poll(&mut self, result: &PollResult, now: Instant) {
        let usable = result.confirmed.is_some();
        self.remote_order.record(&result.relay, usable, now);
        if let Some(confirmed) = result.confirmed {
            self.fallback.confirm_remote(confirmed);
        }
    }

    fn apply_decision(&self, decided: Option<bool>) {
        let Some(direct) = decided.filter(|direct| *direct != self.engine.follows_store()) else {
            return;
        };
        if direct {
            log_event!(
                info,
                RelayRoleChanged,
                "watches the store, no relay is known to be in contact with it"
            );
        } else {
            log_event!(info, RelayRoleChanged, "polls relays");
        }
        self.engine.follow_store(direct);
    }
}

/// Returns when the store last answered the relay, or `None` if that was too long ago or the relay
/// does not follow the store.
fn confirmed_at(answer: &ExchangeResponse, now: Instant) -> Option<Instant> {
    let age = Duration::from_millis(answer.store_age_ms?);
    let usable = answer.follows_store && age <= STORE_SILENCE;
    now.checked_sub(age).filter(|_| usable)
}
