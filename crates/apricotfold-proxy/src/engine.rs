//! State shared by the proxy's tasks.

use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::num::NonZeroU32;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricotfold_model::{
    DataCentreName, InstanceAnnouncement, InstanceRecord, InstanceState, NodeEpoch, NodeId,
    ProfileLimits, ProxyConfig, ServiceName, TargetIncarnation, WallClock, log_event,
    saturating_millis,
};
use apricotfold_policy::{
    AdmissionLimits, AnnouncementEffect, DeadlineQueue, InboundWaits, InstanceRegistry,
    InstanceReport, LinkCosts, LocalInstance, LocalRuns, LocalityTier, NamedLimits, NodeLimits,
    ParentThrottle, PeerOffsets, RetryBudget, RetryDetector, TargetPace, TargetSelector,
    TrafficSplit,
};
use apricotfold_store::Revision;
use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::adapters::CallProtocol;
use crate::admission::AdmissionController;
use crate::callers::held_memory::HeldMemory;
use crate::connection_pool::{ConnectionPool, PoolConfig};
use crate::crash_tracker::CrashTracker;
use crate::departure_keeper::DepartureKeeper;
use crate::lifecycle::{Lifecycle, ProcessPhase};
use crate::link_meter::LinkMeter;
use crate::peer_exchange::InstanceList;
use crate::quota::QuotaGate;
use crate::rollout::RolloutKeeper;
use crate::store_health::StoreHealth;
use crate::table_cache::TableCache;

/// Admission limits of the local target. [`DeadlineQueue`] uses only `slots` and `long_percent`: it
/// bounds waits by the time that each request can spare, so the queue lengths and `queue_wait` have
/// no effect.
const TARGET_LIMITS: ProfileLimits = ProfileLimits {
    slots: None,
    long_percent: 75,
    short_queue: 256,
    long_queue: 64,
    queue_wait: Duration::from_secs(3),
};

/// Pool of connections to the local target, which runs on the same instance, so its listener
/// accepts at once.
const TARGET_POOL: PoolConfig = PoolConfig {
    kind: "target",
    connect_timeout: Duration::from_millis(250),
    idle_timeout: Duration::from_secs(8),
    tcp_user_timeout: Duration::from_secs(2),
    max_headers: None,
};

/// Pool of connections to other proxies. Round trips take at most 60 ms, so the connect timeout
/// allows for three lost round trips.
const PEER_POOL: PoolConfig = PoolConfig {
    kind: "peer",
    connect_timeout: Duration::from_millis(250),
    idle_timeout: Duration::from_secs(10),
    tcp_user_timeout: Duration::from_millis(1_500),
    // A target's answer with 100 headers, and those of the mesh.
    max_headers: Some(132),
};

/// Round-trip times between instances, and the cost of transferred bytes: the links between regions
/// carry about 4 KB/ms for all traffic together and are billed by volume. A bulk body of 60 KB waits
/// 240 ms for a link in its own data centre, about a third of the time that such requests have, before
/// it goes to another one.
const LINK_COSTS: LinkCosts = LinkCosts {
    data_centre: Duration::from_millis(1),
    region: Duration::from_millis(4),
    remote: Duration::from_millis(62),
    region_per_kb: Duration::from_millis(1),
    remote_per_kb: Duration::from_millis(4),
    region_per_bulk_kb: Duration::from_millis(4),
    remote_per_bulk_kb: Duration::from_millis(6),
};

/// Time for which a new instance counts as cold when its announcement says that it starts cold.
const COLD_PERIOD: Duration = Duration::from_secs(3);

/// Share of the common retry limit that the proxies may use. Each proxy keeps to its own share in
/// any window, so their sum does too. The rest covers nodes that restart and lose count of the
/// retries they have sent.
const RETRY_LIMIT_SHARE: f64 = 0.75;

/// Pace assumed for a target that reports none, in percent of the usual service time.
const DEFAULT_PACE: u32 = 100;

/// State of one proxy, shared by its tasks.
pub struct Engine {
    /// Validated settings, replaced when the settings file changes.
    pub config: ArcSwap<ProxyConfig>,
    /// Time of day of the instance, which no decision may use.
    pub clock: Arc<dyn WallClock>,
    /// Translation to and from the platform's headers and statuses.
    pub protocol: Arc<dyn CallProtocol>,
    /// Newest route table.
    pub tables: TableCache,
    /// Canary rollouts.
    pub rollouts: RolloutKeeper,
    /// Admission of requests to the local target.
    pub admission: AdmissionController,
    /// Requests that have crashed targets.
    pub crashes: CrashTracker,
    /// Pool of connections to the local target.
    pub target_connections: ConnectionPool,
    /// Pool of connections to other proxies.
    pub peer_connections: ConnectionPool,
    /// Instances as they are sent to other nodes.
    pub instance_list: InstanceList,
    /// Pacing of responses that leave over this instance's network link.
    pub link_meter: LinkMeter,
    /// Scheduling of bulk request bodies that arrive over this instance's network link.
    pub inbound_meter: LinkMeter,
    /// Availability of the store.
    pub store_health: StoreHealth,
    /// Held while another follower of the store is asked for its newer table.
    pub table_fetch: tokio::sync::Mutex<()>,
    /// Phase of the process and the requests in progress.
    pub lifecycle: Lifecycle,
    /// Limits on what strangers may make the node hold.
    pub limits: NodeLimits,
    /// Memory that strangers make the node hold.
    pub held_memory: Arc<HeldMemory>,
    /// Counter that is incremented when this node's entry in the store must be rewritten.
    pub registration: watch::Sender<u64>,
    /// Departures of the local target, see [`DepartureKeeper`].
    pub departures: DepartureKeeper,
    /// Quotas of the tenants.
    pub quotas: QuotaGate,
    /// Whether this node watches the store itself; if not, it polls relays.
    following: watch::Sender<bool>,
    /// Whether the relay that this node replaces still serves.
    preceded: AtomicBool,
    /// When another node last polled this one.
    polled: Mutex<Option<Instant>>,
    registry: Mutex<InstanceRegistry>,
    selector: Mutex<TargetSelector>,
    split: Mutex<TrafficSplit>,
    retry_detector: Mutex<RetryDetector>,
    runs: Mutex<LocalRuns>,
    parent_throttle: Mutex<ParentThrottle>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    local: Mutex<LocalInstance>,
    rate_limits: Mutex<NamedLimits>,
    target_pace: Mutex<TargetPace>,
    clock_offsets: Mutex<PeerOffsets>,
    inbound_waits: Mutex<InboundWaits>,
    /// When this node last introduced itself to others.
    introduced: Mutex<HashMap<NodeId, Instant>>,
    /// Service time that the local target reported last, in percent of its usual one.
    pace: AtomicU32,
    target_down: AtomicBool,
    /// Number of this process; 0 until the store or a peer has answered.
    node_epoch: AtomicU64,
    ready: AtomicBool,
}

impl Engine {
    /// Creates the state of a proxy that has just started. A seed of 0 in the settings selects a
    /// random one.
    pub fn new(
        config: ProxyConfig,
        protocol: Arc<dyn CallProtocol>,
        tables: TableCache,
        rollouts: RolloutKeeper,
        clock: Arc<dyn WallClock>,
    ) -> Self {
        let seed = if config.seed == 0 {
            random_seed(&config.node)
        } else {
            config.seed
        };
        let limits = AdmissionLimits::new(&TARGET_LIMITS, 0);
        let link_meter = LinkMeter::new(config.link_rate);
        let inbound_meter = LinkMeter::inbound(config.link_rate);
        let node = config.node.clone();
        let memory_mb = config.memory_mb.map(NonZeroU32::get);
        let node_limits = NodeLimits::new(memory_mb, config.fd_limit.map(NonZeroU32::get));
        let timely_from = Instant::now() + config.longest_announcement_delay();
        Self {
            crashes: CrashTracker::default(),
            config: ArcSwap::from_pointee(config),
            clock,
            protocol,
            tables,
            rollouts,
            admission: AdmissionController::with_rule(Box::new(DeadlineQueue::new(limits))),
            target_connections: ConnectionPool::new(TARGET_POOL),
            peer_connections: ConnectionPool::new(PEER_POOL),
            instance_list: InstanceList::default(),
            link_meter,
            inbound_meter,
            store_health: StoreHealth::new(),
            table_fetch: tokio::sync::Mutex::default(),
            lifecycle: Lifecycle::new(),
            limits: node_limits,
            held_memory: Arc::new(HeldMemory::new(node_limits.held_bytes)),
            registration: watch::Sender::new(0),
            departures: DepartureKeeper::default(),
            quotas: QuotaGate::new(node),
            following: watch::Sender::new(true),
            preceded: AtomicBool::new(false),
            polled: Mutex::default(),
            registry: Mutex::default(),
            selector: Mutex::new(TargetSelector::new(LINK_COSTS, seed)),
            split: Mutex::default(),
            retry_detector: Mutex::default(),
            runs: Mutex::default(),
            parent_throttle: Mutex::default(),
            budgets: Mutex::default(),
            local: Mutex::new(LocalInstance::new(timely_from)),
            rate_limits: Mutex::default(),
            target_pace: Mutex::new(TargetPace::new(0)),
            clock_offsets: Mutex::default(),
            inbound_waits: Mutex::default(),
            introduced: Mutex::default(),
            pace: AtomicU32::new(DEFAULT_PACE),
            target_down: AtomicBool::new(false),
            node_epoch: AtomicU64::new(0),
            ready: AtomicBool::new(false),
        }
    }

    /// Returns the id of this node.
    pub fn node(&self) -> NodeId {
        self.config.load().node.clone()
    }

    /// Sets whether this node watches the store itself or polls relays.
    pub fn follow_store(&self, following: bool) {
        self.following.send_if_modified(|known| {
            let changed = *known != following;
            if changed && following {
                self.store_health.begin_following();
            }
            *known = following;
            changed
        });
    }

    /// Records whether the relay that this node replaces still serves.
    pub fn set_preceded(&self, preceded: bool) {
        self.preceded.store(preceded, Ordering::Relaxed);
    }

    /// Returns whether others should poll this node: it watches the store, and the store has delivered the
    /// table since it began to. If no former relay serves any more, it need not have.
    pub fn serves_changes(&self) -> bool {
        let preceded = self.preceded.load(Ordering::Relaxed);
        self.follows_store() && (!preceded || self.store_health.has_read_table())
    }

    /// Returns whether this node watches the store itself.
    pub fn follows_store(&self) -> bool {
        *self.following.borrow()
    }

    /// Locks the rate limits that instances have stated.
    pub fn rate_limits(&self) -> MutexGuard<'_, NamedLimits> {
        lock(&self.rate_limits)
    }

    /// Locks the learned concurrency limit of the local target.
    pub fn target_pace(&self) -> MutexGuard<'_, TargetPace> {
        lock(&self.target_pace)
    }

    /// Locks the offsets of other nodes' clocks.
    pub fn clock_offsets(&self) -> MutexGuard<'_, PeerOffsets> {
        lock(&self.clock_offsets)
    }

    /// Locks the times at which this node last introduced itself to others.
    pub fn introduced(&self) -> MutexGuard<'_, HashMap<NodeId, Instant>> {
        lock(&self.introduced)
    }

    /// Locks what other nodes state of the wait for their incoming links.
    pub fn inbound_waits(&self) -> MutexGuard<'_, InboundWaits> {
        lock(&self.inbound_waits)
    }

    /// Records that another node polls this one.
    pub fn record_poll(&self) {
        *lock(&self.polled) = Some(Instant::now());
    }

    /// Returns when another node last polled this one.
    pub fn last_polled(&self) -> Option<Instant> {
        *lock(&self.polled)
    }

    /// Subscribes to changes of [`follows_store`](Self::follows_store).
    pub fn watch_following(&self) -> watch::Receiver<bool> {
        self.following.subscribe()
    }

    /// Locks the registry of known instances.
    pub fn registry(&self) -> MutexGuard<'_, InstanceRegistry> {
        lock(&self.registry)
    }

    /// Locks the target selection.
    pub fn selector(&self) -> MutexGuard<'_, TargetSelector> {
        lock(&self.selector)
    }

    /// Locks the split of traffic over weighted services.
    pub fn split(&self) -> MutexGuard<'_, TrafficSplit> {
        lock(&self.split)
    }

    /// Locks the detector of callers that retry after a refusal.
    pub fn retry_detector(&self) -> MutexGuard<'_, RetryDetector> {
        lock(&self.retry_detector)
    }

    /// Locks the list of requests that run at the local target.
    pub fn runs(&self) -> MutexGuard<'_, LocalRuns> {
        lock(&self.runs)
    }

    /// Locks the throttle for requests whose nested calls are likely to be refused.
    pub fn parent_throttle(&self) -> MutexGuard<'_, ParentThrottle> {
        lock(&self.parent_throttle)
    }

    /// Locks the state of the local target.
    pub fn local(&self) -> MutexGuard<'_, LocalInstance> {
        lock(&self.local)
    }

    /// Runs a closure with the retry budget of a service, which is created on first use.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        run: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let minimum = self.retry_minimum();
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            budget.set_minimum(minimum);
            return run(budget);
        }
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| self.new_budget().with_minimum(minimum));
        run(budget)
    }

    /// Returns this node's share of the retries per second that are allowed at any request rate. It
    /// changes with the number of known proxies.
    fn retry_minimum(&self) -> f64 {
        let limit = self.config.load().retry_limit;
        let proxies = u32::try_from(self.registry().len().max(1)).unwrap_or(u32::MAX);
        let slack_per_second = f64::from(limit.slack) / limit.window.as_secs_f64();
        RETRY_LIMIT_SHARE * slack_per_second / f64::from(proxies)
    }

    /// Creates a retry budget with this node's share of the common limit.
    fn new_budget(&self) -> RetryBudget {
        let limit = self.config.load().retry_limit;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the share is between 0 and 1"
        )]
        let percent = (limit.share * RETRY_LIMIT_SHARE * 100.0) as u32;
        RetryBudget::new(percent)
    }

    /// Applies an announcement of the local target.
    pub fn announce(&self, announcement: InstanceAnnouncement) -> AnnouncementEffect {
        let (slots, state) = (announcement.slots, announcement.state);
        let text = format!(
            "{} service {} state {state} slots {slots} born {} number {}",
            announcement.instance, announcement.service, announcement.born, announcement.number
        );
        let instance = announcement.instance.clone();
        let incarnation = announcement.incarnation();
        let (effect, former) = {
            let mut local = self.local();
            let former = local.current().cloned();
            (local.announce(announcement, Instant::now()), former)
        };
        if effect == AnnouncementEffect::Changed {
            let known = former.as_ref().map(InstanceAnnouncement::incarnation);
            self.pace_announced_target(slots, known.as_ref() != Some(&incarnation));
        }
        if effect == AnnouncementEffect::Changed
            && let Some(former) = former
            && former.incarnation() != incarnation
        {
            if former.instance == instance {
                // What an earlier incarnation stated does not bind the new one.
                self.rate_limits().forget(&instance);
            }
            if former.state == InstanceState::Ready {
                // It ended without notice.
                self.record_crash(&former.incarnation());
            }
        }
        match effect {
            AnnouncementEffect::Changed => {
                self.admission.set_limits(&TARGET_LIMITS, slots);
                self.admission.set_rate_limit(self.rate_limit(&instance));
                self.target_down.store(false, Ordering::Relaxed);
                log_event!(info, TargetAnnounced, "{text}");
                self.change_registration();
            }
            AnnouncementEffect::Repeated | AnnouncementEffect::Outdated => {}
        }
        effect
    }

    /// Returns the incarnation of the local target; `None` if there is no target.
    pub fn current_incarnation(&self) -> Option<TargetIncarnation> {
        let local = self.local();
        local.current().map(InstanceAnnouncement::incarnation)
    }

    /// Records that an incarnation of a target crashed and what it had not answered.
    pub fn record_crash(&self, incarnation: &TargetIncarnation) {
        if self.crashes.record_crash(incarnation) {
            self.change_registration();
        }
    }

    /// Requests that this node's entry in the store be rewritten.
    pub fn change_registration(&self) {
        self.registration.send_modify(|count| *count += 1);
    }

    /// Renews the lease now if the store has not answered this node for `age`, to learn whether it
    /// still does.
    pub fn probe_store(&self, age: Duration) {
        if self.store_health.needs_probe(age) {
            self.change_registration();
        }
    }

    /// Returns the record of the local target as other proxies may use it, or `None` if there is no
    /// target or it is not known yet whether an earlier process has acknowledged its departure.
    pub fn local_record(&self) -> Option<InstanceRecord> {
        let settled = self.departures.is_settled();
        let record = self.own_record();
        record.filter(|record| settled || record.departure().is_some())
    }

    /// Returns the record of the local target, or of the one that has left. The state is at least
    /// draining when this process is shutting down.
    pub fn own_record(&self) -> Option<InstanceRecord> {
        let config = self.config.load();
        let local = self.local();
        let (incarnation, announced) = local.announced()?;
        let target = local.current();
        let leaving = self.lifecycle.phase() != ProcessPhase::Serving;
        let state = if leaving {
            announced.max(InstanceState::Draining)
        } else {
            announced
        };
        let service = target.map_or(&config.service, |target| &target.service);
        Some(InstanceRecord {
            node: config.node.clone(),
            address: config.peer_address,
            node_epoch: self.node_epoch.load(Ordering::Relaxed),
            life: local.life(),
            data_centre: config.data_centre.clone(),
            instance: incarnation.instance,
            born: incarnation.born,
            number: target.map_or(0, |target| target.number),
            service: service.clone(),
            slots: target.map_or(0, |target| target.slots),
            state,
            announced: Some(announced),
            cold_ms: target.map_or(0, |target| saturating_millis(target.cold)),
            link_mbps: config.link_mbps(),
            version: target.and_then(|target| target.version.clone()),
        })
    }

    /// Returns the state that the local target itself announced last.
    pub fn announced_state(&self) -> Option<InstanceState> {
        self.local().announced().map(|(_, state)| state)
    }

    /// Starts the number of this process from a revision of the store, unless it has one. Revisions
    /// grow with each change, so it exceeds those of earlier processes unless the store was read
    /// from an older copy.
    pub fn start_epoch(&self, revision: Revision) {
        let revision = u64::try_from(revision).unwrap_or(0);
        let order = Ordering::Relaxed;
        // If it fails, the process already has a number.
        let _ = self.node_epoch.compare_exchange(0, revision, order, order);
    }

    /// Raises the number of this process above one that an earlier process of the node has used.
    /// Returns whether it had to be raised.
    pub fn raise_epoch(&self, earlier: NodeEpoch) -> bool {
        let raised = earlier.saturating_add(1);
        self.node_epoch.fetch_max(raised, Ordering::Relaxed) < raised
    }

    /// Returns the load, expected waits and pace of the local target.
    pub fn report(&self) -> InstanceReport {
        let load = self.admission.load();
        let running = self.admission.running();
        let waits = self.admission.waits();
        let pacer = self.link_meter.pacer();
        InstanceReport {
            running,
            waiting: load.in_flight.saturating_sub(running),
            slots: load.slots,
            pace: self.pace.load(Ordering::Relaxed),
            waits: waits.new.map(to_millis),
            nested_waits: waits.nested.map(to_millis),
            link_wait: to_millis(pacer.expected_wait(Instant::now())),
            link_time: to_millis(pacer.transfer_time(100 * 1024)),
        }
    }

    /// Records the pace that the local target reported, in percent of its usual service time.
    pub fn record_pace(&self, pace: u32) {
        self.pace.store(pace, Ordering::Relaxed);
    }

    /// Returns whether the local target refuses connections.
    pub fn is_target_down(&self) -> bool {
        self.target_down.load(Ordering::Relaxed)
    }

    /// Records whether the local target refuses connections. Returns whether that has changed.
    pub fn set_target_down(&self, down: bool) -> bool {
        self.target_down.swap(down, Ordering::Relaxed) != down
    }

    /// Returns how far a data centre is from this node.
    pub fn tier(&self, data_centre: &DataCentreName) -> LocalityTier {
        let config = self.config.load();
        if config.data_centre == *data_centre {
            return LocalityTier::SameDataCentre;
        }
        if config.data_centres.get(data_centre) == Some(&config.region) {
            return LocalityTier::SameRegion;
        }
        LocalityTier::Remote
    }

    /// Returns whether an instance that has been known for `age` may still be cold, whatever it
    /// announced.
    pub fn is_young(age: Duration) -> bool {
        age < COLD_PERIOD
    }

    /// Returns whether an instance that has been known for `age` is still cold.
    pub fn is_cold(record: &InstanceRecord, age: Duration) -> bool {
        age < COLD_PERIOD.min(Duration::from_millis(record.cold_ms))
    }

    /// Returns whether the node is ready for callers: it has a route table and is not shutting
    /// down. Logs each change.
    pub fn is_ready(&self) -> bool {
        let serving = self.lifecycle.phase() == ProcessPhase::Serving;
        let version = self.tables.version();
        let ready = serving && version > 0;
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let phase = self.lifecycle.phase();
            log_event!(
                info,
                ReadinessChanged,
                "ready {ready}: route table {version}, phase {phase}"
            );
        }
        ready
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

/// Returns a number that differs between names and between starts of the process.
pub(crate) fn random_seed(name: &impl Hash) -> u64 {
    RandomState::new().hash_one(name)
}
