//! State shared by the tasks of the daemon.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, UNIX_EPOCH};

use apricotfold_control::RelayInfo;
use apricotfold_model::{
    MeshSnapshot, NodeConfig, ProfileLimits, TargetState, WallClock, log_event,
};
use apricotfold_policy::{CountedLosses, CrashGuard, CrashId, CrashMark, RequestFingerprint};
use arc_swap::ArcSwap;
use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{broadcast, watch};

use crate::balance::BalancerSet;
use crate::forward::{BufferedRequest, InFlightCounter};
use crate::request_fingerprint::fingerprint;
use crate::view::MeshView;
use apricotfold_proxy::AdmissionController;

/// Timeout for opening a connection. The one-way latency between data centres is at most 30 ms, so
/// a longer wait means that the other side is gone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an idle connection in the pool is closed. Servers close idle connections after
/// 30 s; the client closes them earlier, so that no request is sent on a connection that is being
/// closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest request body for which responses are recorded.
const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;
/// Crash reports that are queued for the control plane.
const CRASH_REPORT_CAPACITY: usize = 64;

/// Status of the control plane on this node, for the status endpoint and for claims.
#[derive(Clone, Debug, Default)]
pub struct ControlStatus {
    /// Newest known version of the profile that the target selected; 0 if none is known.
    pub head_version: u64,
    /// Whether this node holds a relay slot.
    pub relay: bool,
    /// Whether this node is its region's gateway.
    pub gateway: bool,
    /// Why the applied version is older than the head version; empty if it is not.
    pub lag_reason: CompactString,
    /// Whether the node has heard from enough sources to know the newest versions.
    pub ready: bool,
    /// Relay that writes claims for the data centre; `None` while none is known.
    pub acting_relay: Option<RelayInfo>,
}

/// State of this node, shared by all tasks.
pub struct NodeState {
    /// Validated settings.
    pub config: NodeConfig,
    /// Start time in milliseconds since the Unix epoch; distinguishes the processes that have run
    /// under the same node id. The control plane raises its copy above that of a former process, in
    /// case the clock was set back.
    pub incarnation: u64,
    /// Seed of random decisions, from the settings or else the incarnation.
    pub seed: u64,
    /// Active routes and the profile that they come from.
    pub snapshot: ArcSwap<MeshSnapshot>,
    /// Known nodes and their targets.
    pub view: ArcSwap<MeshView>,
    /// Latest status of the control plane.
    pub control: ArcSwap<ControlStatus>,
    /// True once it is known which profile version applies, or that there is none.
    pub ready: AtomicBool,
    /// True once the drain has started.
    pub draining: AtomicBool,
    /// True once the drain has ended and the process is about to exit.
    pub leaving: AtomicBool,
    /// Number of requests in progress, as entry node and as the target's node.
    pub in_flight: InFlightCounter,
    /// HTTP client for calls to other nodes and to the local target.
    pub client: reqwest::Client,
    /// Balancers that choose the targets of calls.
    pub balancers: BalancerSet,
    /// Admission control in front of the local target.
    pub admission: AdmissionController,
    /// Fingerprints of requests that were in flight when targets crashed.
    pub crashes: Mutex<CrashGuard>,
    /// When requests were last counted as in flight at a local crash.
    counted_losses: Mutex<CountedLosses>,
    /// Fingerprints of requests at local crashes, to be sent to other nodes.
    pub crash_reports: broadcast::Sender<RequestFingerprint>,
    target: watch::Sender<Option<(TargetState, Instant)>>,
    limits: Mutex<ProfileLimits>,
    random: Mutex<StdRng>,
}

impl NodeState {
    /// Creates the state of a node at start-up, without a target and not ready.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client cannot be set up.
    pub fn new(config: NodeConfig, clock: &dyn WallClock) -> eyre::Result<Arc<Self>> {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .local_address(config.local_address())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()?;
        let incarnation = clock
            .now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        let seed = if config.seed == 0 {
            incarnation
        } else {
            config.seed
        };
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
            in_flight: InFlightCounter::default(),
            client,
            balancers: BalancerSet::new(&config, seed),
            admission: AdmissionController::new(),
            crashes: Mutex::default(),
            counted_losses: Mutex::default(),
            crash_reports: broadcast::Sender::new(CRASH_REPORT_CAPACITY),
            target: watch::Sender::new(None),
            limits: Mutex::new(ProfileLimits::default()),
            config,
        }))
    }

    /// Returns the local target; `None` if none is attached.
    pub fn target(&self) -> Option<TargetState> {
        self.target
            .borrow()
            .as_ref()
            .map(|(target, _)| target.clone())
    }

    /// Returns the time of the target's latest announcement; `None` if no target is attached.
    pub fn last_announcement(&self) -> Option<Instant> {
        self.target.borrow().as_ref().map(|(_, at)| *at)
    }

    /// Subscribes to changes of the local target. The current state counts as a change, because an
    /// announcement may have arrived before the subscription.
    pub fn watch_target(&self) -> watch::Receiver<Option<(TargetState, Instant)>> {
        let mut receiver = self.target.subscribe();
        receiver.mark_changed();
        receiver
    }

    /// Sets the local target, or removes it. Subscribers are notified only of changes that matter
    /// to other nodes, not of each repeated announcement.
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

    /// Applies the limits of the active profile to the local target.
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

    /// Reports that the target crashed while it ran a request that was sent to it at `started`.
    pub fn report_crash(&self, request: &BufferedRequest, started: Instant) {
        let fingerprint = fingerprint(request);
        log_event!(warn, TargetGone, "connection lost in request {fingerprint}");
        let crashes = self.crashes.lock().expect("no panic while locked");
        if crashes.is_recently_answered(&fingerprint, Instant::now()) {
            return;
        }
        drop(crashes);
        let mut losses = self.counted_losses.lock().expect("no panic while locked");
        if !losses.record_loss(&fingerprint, started, Instant::now()) {
            return;
        }
        drop(losses);
        // Sending fails only if nothing receives reports, for example while the control plane
        // stops.
        let _ = self.crash_reports.send(fingerprint);
    }

    /// Tells whether a request was in flight at so many crashes that it is blocked. The fingerprint
    /// is computed only while crashes are known, since it needs a digest over the body.
    pub fn is_poison(&self, request: &BufferedRequest) -> bool {
        let crashes = self.crashes.lock().expect("no panic while locked");
        !crashes.is_empty() && crashes.is_blocked(&fingerprint(request), Instant::now())
    }

    /// Records that a target answered a request, which clears the request of earlier crashes and of
    /// those in the next seconds. Requests with large bodies are skipped: they are seldom repeated,
    /// and their digest costs time.
    pub fn record_response(&self, request: &BufferedRequest) {
        if request.body.len() > MAX_RECORDED_BODY_BYTES {
            return;
        }
        let fingerprint = fingerprint(request);
        let mut crashes = self.crashes.lock().expect("no panic while locked");
        crashes.record_answer(&fingerprint, Instant::now());
    }

    /// Merges the number of crashes that all nodes have seen for a request.
    pub fn merge_crashes(&self, fingerprint: &RequestFingerprint, count: u32) {
        let mut crashes = self.crashes.lock().expect("no panic while locked");
        crashes.merge_count(fingerprint, count, Instant::now());
    }

    /// Merges a crash during which a request was in flight.
    pub fn merge_crash(&self, fingerprint: &RequestFingerprint, crash: CrashId) {
        let now = Instant::now();
        let mut crashes = self.crashes.lock().expect("no panic while locked");
        crashes.merge(fingerprint, CrashMark::new(crash), now);
    }

    /// Returns a random number from the generator seeded with `seed`.
    pub fn random(&self) -> u64 {
        self.random.lock().expect("no panic while locked").random()
    }

    /// Marks the process as about to exit and notifies the control plane.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.target.send_modify(|_| {});
    }

    /// Starts the drain: the control plane notifies the peers, and new work is refused.
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
