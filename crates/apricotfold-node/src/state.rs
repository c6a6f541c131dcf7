//! State that the daemon's tasks share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use apricotfold_control::RelayInfo;
use apricotfold_model::{MeshSnapshot, NodeConfig, NodeId, ProfileLimits, TargetState, log_event};
use apricotfold_policy::{CrashGuard, RequestFingerprint};
use arc_swap::ArcSwap;
use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{broadcast, watch};

use crate::balance::BalancerSet;
use crate::crash::fingerprint;
use crate::forward::{HeldRequest, InFlight};
use crate::view::MeshView;
use apricotfold_proxy::AdmissionController;

/// Longest time to open a connection. Data centres are at most 30 ms apart, one way; a longer wait
/// means that the other side is gone.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Shorter than the time after which the receiving side closes an idle connection (30 s), so that
/// a request never meets a connection that is being closed.
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Stands for the sum of all nodes' crash counts, which the control plane delivers.
const ALL_NODES: NodeId = CompactString::const_new("all-nodes");
/// Largest body of a request whose answers are remembered.
const MAX_POPULAR_BYTES: usize = 64 * 1024;
/// Crash reports that may wait for the control plane.
const CRASH_REPORTS: usize = 64;

/// What the control plane reports for the status page.
#[derive(Clone, Debug, Default)]
pub struct ControlStatus {
    /// Known head version of the picked profile.
    pub head_version: u64,
    /// Whether this node holds a relay slot.
    pub relay: bool,
    /// Whether this node is its region's gateway.
    pub gateway: bool,
    /// Why the node lags behind the head; empty when it does not.
    pub lag_reason: CompactString,
    /// Whether the node has heard from enough sources to know the newest versions.
    pub ready: bool,
    /// Relay that writes claims for the data centre.
    pub acting_relay: Option<RelayInfo>,
}

/// State of one node.
pub struct NodeState {
    /// The checked settings.
    pub config: NodeConfig,
    /// Start time in milliseconds since the epoch; tells apart the lives of a node id.
    pub incarnation: u64,
    /// Seed of random decisions.
    pub seed: u64,
    /// Routes in force.
    pub snapshot: ArcSwap<MeshSnapshot>,
    /// Known nodes.
    pub view: ArcSwap<MeshView>,
    /// Report of the control plane.
    pub control: ArcSwap<ControlStatus>,
    /// True once a profile version, or its absence, is known.
    pub ready: AtomicBool,
    /// True once the node is leaving.
    pub draining: AtomicBool,
    /// True once all work has ended and the process is about to exit.
    pub leaving: AtomicBool,
    /// Requests in progress, as entry node and as target's node.
    pub in_flight: InFlight,
    /// Client for calls to nodes and to the target.
    pub client: reqwest::Client,
    /// Choice of targets for each service.
    pub balancers: BalancerSet,
    /// Limits of the local target.
    pub admission: AdmissionController,
    /// Requests that were in flight at crashes.
    pub crashes: Mutex<CrashGuard>,
    /// Crashes to be told to other nodes.
    pub crash_reports: broadcast::Sender<RequestFingerprint>,
    target: watch::Sender<Option<(TargetState, Instant)>>,
    limits: Mutex<ProfileLimits>,
    random: Mutex<StdRng>,
}

impl NodeState {
    /// Prepares the state of a node that has just started.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client cannot be set up.
    pub fn new(config: NodeConfig) -> eyre::Result<Arc<Self>> {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_LIMIT)
            .local_address(config.local_address())
            .pool_idle_timeout(IDLE_LIMIT)
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()?;
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        let seed = if config.seed == 0 {
            incarnation
        } else {
            config.seed
        };
        let node: NodeId = config.node.clone();
        Ok(Arc::new(Self {
            incarnation,
            snapshot: ArcSwap::default(),
            view: ArcSwap::default(),
            control: ArcSwap::default(),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            seed,
            in_flight: InFlight::default(),
            client,
            balancers: BalancerSet::new(&config, seed),
            admission: AdmissionController::new(),
            crashes: Mutex::new(CrashGuard::new(node)),
            crash_reports: broadcast::Sender::new(CRASH_REPORTS),
            target: watch::Sender::new(None),
            limits: Mutex::new(ProfileLimits::default()),
            config,
        }))
    }

    /// The local target, if one is attached.
    pub fn target(&self) -> Option<TargetState> {
        self.target
            .borrow()
            .as_ref()
            .map(|(target, _)| target.clone())
    }

    /// Time of the target's latest announcement.
    pub fn last_announcement(&self) -> Option<Instant> {
        self.target.borrow().as_ref().map(|(_, at)| *at)
    }

    /// Follows changes of the local target. The present state counts as a change, because an
    /// announcement may have come before the subscription.
    pub fn watch_target(&self) -> watch::Receiver<Option<(TargetState, Instant)>> {
        let mut receiver = self.target.subscribe();
        receiver.mark_changed();
        receiver
    }

    /// Takes over an announcement, or its absence. Watchers hear only of changes that matter to
    /// other nodes, not of each repeated announcement.
    pub fn set_target(&self, target: Option<(TargetState, Instant)>) {
        let changed = self.target.send_if_modified(|known| {
            let changed = !is_same_target(known.as_ref(), target.as_ref());
            *known = target;
            changed
        });
        if !changed {
            return;
        }
        if let Some(target) = self.target() {
            let (service, profile) = (&target.service, &target.profile);
            let draining = target.draining;
            log_event!(
                info,
                TargetAnnounced,
                "service {service} profile {profile} at {} slots {} draining {draining}",
                target.address,
                target.slots
            );
        }
        self.refresh_limits();
    }

    /// Takes over the limits of the profile in force.
    pub fn set_limits(&self, limits: &ProfileLimits) {
        *self.limits.lock().expect("no panic while locked") = *limits;
        self.refresh_limits();
    }

    fn refresh_limits(&self) {
        let limits = *self.limits.lock().expect("no panic while locked");
        let target = self.target();
        let slots = target.as_ref().map_or(0, |target| target.slots);
        let leaving = target.is_some_and(|target| target.draining);
        self.admission.set_limits(&limits, slots);
        self.admission
            .set_draining(leaving || self.draining.load(Ordering::Relaxed));
    }

    /// Notes that the target died while it ran a request that was sent to it at `started`.
    pub fn note_crash(&self, request: &HeldRequest, started: Instant) {
        let fingerprint = fingerprint(request);
        log_event!(warn, TargetGone, "connection lost in request {fingerprint}");
        let mut crashes = self.crashes.lock().expect("no panic while locked");
        if !crashes.is_suspect(&fingerprint, started, Instant::now()) {
            return;
        }
        drop(crashes);
        // The control plane may be stopping; the report is then of no use to anybody.
        let _ = self.crash_reports.send(fingerprint);
    }

    /// Tells whether a request was in flight at too many crashes. The fingerprint is worked out
    /// only while crashes are known, since it costs a digest over the body.
    pub fn is_poison(&self, request: &HeldRequest) -> bool {
        let mut crashes = self.crashes.lock().expect("no panic while locked");
        !crashes.is_empty() && crashes.is_blocked(&fingerprint(request), Instant::now())
    }

    /// Notes that a target answered a request, which clears it of earlier crashes and of those in
    /// the next seconds. Requests with large bodies are not popular, and their digest costs time.
    pub fn note_answer(&self, request: &HeldRequest) {
        if request.body.len() > MAX_POPULAR_BYTES {
            return;
        }
        let fingerprint = fingerprint(request);
        let mut crashes = self.crashes.lock().expect("no panic while locked");
        crashes.record_answer(&fingerprint, Instant::now());
    }

    /// Takes over the number of crashes that all nodes have seen for a request.
    pub fn merge_crashes(&self, fingerprint: &RequestFingerprint, count: u32) {
        let mut crashes = self.crashes.lock().expect("no panic while locked");
        crashes.merge(fingerprint, &ALL_NODES, count, Instant::now());
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        self.random.lock().expect("no panic while locked").random()
    }

    /// Announces that the process is about to exit.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.target.send_modify(|_| {});
    }

    /// Starts to leave: the control plane tells the peers, and new work is refused.
    pub fn start_drain(&self) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        log_event!(
            info,
            DrainStarted,
            "{} requests in flight",
            self.in_flight.count()
        );
        self.admission.set_draining(true);
        // Wakes the control plane, which reads the drain flag together with the target.
        self.target.send_modify(|_| {});
    }
}

fn is_same_target(
    known: Option<&(TargetState, Instant)>,
    new: Option<&(TargetState, Instant)>,
) -> bool {
    match (known, new) {
        (None, None) => true,
        (Some((known, _)), Some((new, _))) => {
            let known = TargetState {
                reported_load: new.reported_load,
                ..known.clone()
            };
            known == *new
        }
        _ => false,
    }
}
