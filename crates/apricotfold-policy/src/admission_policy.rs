//! Types and trait shared by the admission policies.

use std::time::{Duration, Instant};

use apricotfold_model::{
    CallPriority, RateLimit, RefusalReason, RetrySafety, TenantName, WorkClass,
};

use crate::{AdmissionEvents, AdmissionId, AdmissionLimits, ExpectedWaits, LoadReport};

/// Decision about a newly arrived request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Forward the request to the target now and call [`AdmissionPolicy::release`] when it ends.
    Run,
    /// The request is queued; an [`AdmissionEvent`] with the decision follows.
    Wait,
    /// Answer `not-run` with this reason.
    Refuse(RefusalReason),
}

/// Decision about a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// Forward the request to the target now and call [`AdmissionPolicy::release`] when it ends.
    Start(AdmissionId),
    /// Answer `not-run` with this reason.
    Refuse(AdmissionId, RefusalReason),
}

/// Origin of a request, ordered by the work that refusing it would waste, least first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallStanding {
    /// First attempt of a caller.
    #[default]
    New,
    /// Retry after an earlier refusal, made at the time that the refusal advised. If it is refused
    /// again, the caller has no time left for another attempt.
    Returned,
    /// Call made by a running request. If it is refused, that request fails and all work done for
    /// it is lost.
    Nested,
}

/// A request that arrives at a target.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Work class, which decides the queue and the slots that the request may use.
    pub class: WorkClass,
    /// Decides which requests are served first and which are refused under overload.
    pub priority: CallPriority,
    /// Origin of the request, which decides how long it may wait in the queue.
    pub standing: CallStanding,
    /// Whether the request may run more than once. One that may not is not started so late that its
    /// deadline would cut it off.
    pub repeat: RetrySafety,
    /// Latest time at which an answer is still useful; bounds the time spent waiting for a slot.
    pub useful_until: Instant,
    /// Time at which the caller stops waiting for an answer.
    pub deadline: Instant,
    /// Tenant that gets a fair share of the slots; `None` in meshes without tenants and for calls of
    /// running requests.
    pub tenant: Option<TenantName>,
}

/// Decides which requests a target runs, which are queued, and which are refused.
pub trait AdmissionPolicy: Send + std::fmt::Debug {
    /// Decides about a new request. The returned events concern other requests.
    fn offer(
        &mut self,
        id: AdmissionId,
        offer: &AdmissionRequest,
        now: Instant,
    ) -> (Admission, AdmissionEvents);

    /// Records that a running request has ended, with or without an answer from the target.
    fn release(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents;

    /// Records that the caller of a queued or running request has gone.
    fn cancel(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents;

    /// Refuses requests whose time in the queue has run out and starts those that can run.
    fn expire(&mut self, now: Instant) -> AdmissionEvents;

    /// Returns the time at which [`expire`](Self::expire) must be called, or `None` if nothing is
    /// queued.
    fn next_expiry(&self) -> Option<Instant>;

    /// Changes the limits. Running requests continue, even if there are more of them than slots in
    /// the new limits.
    fn set_limits(&mut self, limits: AdmissionLimits, now: Instant) -> AdmissionEvents;

    /// Sets the request rate that the target states, or `None` if it states none. The default
    /// implementation ignores it.
    fn set_rate_limit(&mut self, _limit: Option<RateLimit>, _now: Instant) -> AdmissionEvents {
        AdmissionEvents::new()
    }

    /// Limits the running requests below the number of slots, or removes the limit. The default
    /// implementation ignores it.
    fn set_run_limit(&mut self, _limit: Option<u32>, _now: Instant) -> AdmissionEvents {
        AdmissionEvents::new()
    }

    /// Counts a request that reached the target without being admitted, such as a health check.
    fn count_request(&mut self, _now: Instant) {}

    /// Starts or stops refusing new requests with [`RefusalReason::Draining`].
    fn set_draining(&mut self, draining: bool);

    /// Number of running and queued requests, and of slots.
    fn load(&self) -> LoadReport;

    /// Number of running requests.
    fn running(&self) -> u32;

    /// Estimated service time of a work class; zero if the policy does not estimate it.
    fn expected_service_time(&self, _class: WorkClass) -> Duration {
        Duration::ZERO
    }

    /// Expected queueing times of requests that arrive now; zero if the policy does not estimate
    /// them.
    fn waits(&self, _now: Instant) -> ExpectedWaits {
        ExpectedWaits::default()
    }
}
