//! State shared by all requests of a target: slots, load, service times and the journal.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use apricotfold_model::{TargetStandinConfig, WorkClass};
use apricotfold_schema::settings::TargetAnnouncement;
use serde::Serialize;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::journal::{JournalEntry, RequestInfo, RequestJournal};
use super::load_history::LoadHistory;
use super::service_time::ServiceTimes;

/// State shared by all requests of a target.
pub struct TargetRuntime {
    config: TargetStandinConfig,
    address: SocketAddr,
    times: Mutex<ServiceTimes>,
    history: Mutex<LoadHistory>,
    slots: Arc<Semaphore>,
    load: watch::Sender<u32>,
    draining: AtomicBool,
    reports_paused: AtomicBool,
    shed: AtomicU32,
    /// Requests that started, with their ends.
    pub journal: Arc<RequestJournal>,
}

/// Response of `GET /admin/status`.
#[derive(Clone, Debug, Serialize)]
pub struct TargetStatus {
    /// Requests that wait for a slot or run.
    pub in_flight: u32,
    /// Slots that no request occupies.
    pub free_slots: usize,
    /// Requests rejected since the start because the load was at its limit.
    pub shed: u32,
    /// True once the drain has started.
    pub draining: bool,
    /// Factor on all service times, which simulates a straggler; 1 for normal speed.
    pub slow_factor: u32,
    /// True while periodic announcements are paused.
    pub reports_paused: bool,
}

impl TargetRuntime {
    /// Creates the state of an idle target that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal file cannot be opened.
    pub fn new(config: &TargetStandinConfig, address: SocketAddr) -> eyre::Result<Arc<Self>> {
        let runtime = Self {
            address,
            times: Mutex::new(ServiceTimes::new(config, Instant::now())),
            history: Mutex::new(LoadHistory::new(config.report_delay)),
            slots: Arc::new(Semaphore::new(config.slots as usize)),
            load: watch::Sender::new(0),
            draining: AtomicBool::new(false),
            reports_paused: AtomicBool::new(false),
            shed: AtomicU32::new(0),
            journal: Arc::new(RequestJournal::open(&config.journal_file)?),
            config: config.clone(),
        };
        Ok(Arc::new(runtime))
    }

    fn times(&self) -> MutexGuard<'_, ServiceTimes> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn history(&self) -> MutexGuard<'_, LoadHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Service name and address, which identify the target in responses.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}@{}", self.config.service, self.address)
    }

    /// Counts a request as in flight, or returns `None` if it is shed because of the load limit.
    pub fn admit(self: &Arc<Self>) -> Option<LoadGuard> {
        let limit = match self.config.shed_above {
            0 => u32::MAX,
            limit => limit,
        };
        let admitted = self.load.send_if_modified(|load| {
            let admits = *load < limit;
            *load += u32::from(admits);
            admits
        });
        if !admitted {
            self.shed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.record_load();
        Some(LoadGuard(Arc::clone(self)))
    }

    fn release(&self) {
        self.load.send_modify(|load| *load -= 1);
        self.record_load();
    }

    fn record_load(&self) {
        let load = *self.load.borrow();
        self.history().record(load, Instant::now());
    }

    /// Waits for a slot, then records the start of the request in the journal.
    pub async fn start(self: &Arc<Self>, load: LoadGuard, info: RequestInfo) -> RunningRequest {
        let slot = Arc::clone(&self.slots).acquire_owned().await;
        RunningRequest {
            entry: self.journal.start(info),
            // The semaphore is never closed, so the permit is always present.
            _slot: slot.ok(),
            _load: load,
        }
    }

    /// Service time of a new request of a class.
    pub fn sample_service_time(&self, class: WorkClass) -> Duration {
        self.times().sample(class, Instant::now())
    }

    /// Service time of work that takes `base` on a warm target without slowdown.
    pub fn scale_service_time(&self, base: Duration) -> Duration {
        self.times().scale(base, Instant::now())
    }

    /// Sets the factor on the service times of later requests.
    pub fn set_slow_factor(&self, factor: u32) {
        self.times().set_slow_factor(factor);
    }

    /// Pauses or resumes periodic announcements.
    pub fn pause_reports(&self, paused: bool) {
        self.reports_paused.store(paused, Ordering::Relaxed);
    }

    /// True while periodic announcements are paused.
    pub fn reports_paused(&self) -> bool {
        self.reports_paused.load(Ordering::Relaxed)
    }

    /// Marks the target as draining in its announcements and status.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Waits until no request waits for a slot or runs.
    pub async fn wait_for_idle(&self) {
        let mut load = self.load.subscribe();
        // This runtime owns the sender, so this cannot fail.
        let _ = load.wait_for(|load| *load == 0).await;
    }

    /// Announcement to the node. The reported load lags by the configured report delay.
    pub fn announcement(&self) -> TargetAnnouncement {
        TargetAnnouncement {
            service: self.config.service.to_string(),
            profile: self.config.profile.to_string(),
            address: self.address.to_string(),
            slots: self.config.slots,
            connections: self.config.connections,
            reported_load: self.history().reported(Instant::now()),
            draining: self.draining.load(Ordering::Relaxed),
        }
    }

    /// Current state for `GET /admin/status`.
    pub fn status(&self) -> TargetStatus {
        TargetStatus {
            in_flight: *self.load.borrow(),
            free_slots: self.slots.available_permits(),
            shed: self.shed.load(Ordering::Relaxed),
            draining: self.draining.load(Ordering::Relaxed),
            slow_factor: self.times().slow_factor(),
            reports_paused: self.reports_paused(),
        }
    }
}

/// Counts a request as in flight until it is dropped.
pub struct LoadGuard(Arc<TargetRuntime>);

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// A request that occupies a slot. Dropping it before [`RunningRequest::finish`] records it as
/// cancelled. Fields are dropped in declaration order, so that the end is in the journal before the
/// slot is free.
pub struct RunningRequest {
    entry: JournalEntry,
    _slot: Option<OwnedSemaphorePermit>,
    _load: LoadGuard,
}

impl RunningRequest {
    /// Records that the request completed, and frees its slot.
    pub fn finish(self) {
        self.entry.finish();
    }
}
