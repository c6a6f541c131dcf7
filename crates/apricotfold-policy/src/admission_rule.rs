//! What rules of admission have in common.

use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, RefusalReason, WorkClass};

use crate::{AdmissionEvents, AdmissionId, AdmissionLimits, ExpectedWaits, LoadReport};

/// Answer to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Pass it to the target now and call [`AdmissionQueue::release`] when it has ended.
    Run,
    /// An [`AdmissionEvent`] for it follows.
    Wait,
    /// Answer `not-run` with this reason.
    Refuse(RefusalReason),
}

/// Decision about a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// Pass it to the target now and call [`AdmissionQueue::release`] when it has ended.
    Start(AdmissionId),
    /// Answer `not-run` with this reason.
    Refuse(AdmissionId, RefusalReason),
}

/// What refusing a request would waste; more is worth more.
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
    /// A caller's first try.
    #[default]
    New,
    /// The caller was refused before and came back when it was told to. Refused again, it has no
    /// time left.
    Returned,
    /// A running request made this call and fails without its answer, with all the work done so
    /// far.
    Nested,
}

/// A request that is offered to a target.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Short or long work.
    pub class: WorkClass,
    /// Importance under overload.
    pub priority: CallPriority,
    /// What a refusal would waste.
    pub standing: CallStanding,
    /// Time until which an answer is worth waiting for a slot.
    pub useful_until: Instant,
    /// End of the caller's patience.
    pub deadline: Instant,
}

/// Decides which requests a target runs, which wait, and which are refused.
pub trait AdmissionPolicy: Send + std::fmt::Debug {
    /// Decides about a new request. The events concern other requests.
    fn offer(
        &mut self,
        id: AdmissionId,
        offer: &AdmissionRequest,
        now: Instant,
    ) -> (Admission, AdmissionEvents);

    /// Notes that a running request has ended, with or without an answer of the target.
    fn release(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents;

    /// Notes that the caller of a request has gone, whether it waits or runs.
    fn cancel(&mut self, id: AdmissionId, now: Instant) -> AdmissionEvents;

    /// Refuses requests that waited too long and starts those that can run.
    fn expire(&mut self, now: Instant) -> AdmissionEvents;

    /// Time at which [`expire`](Self::expire) must be called, `None` while nothing waits.
    fn next_expiry(&self) -> Option<Instant>;

    /// Changes the limits. Running requests continue, even when they are more than the new slots.
    fn set_limits(&mut self, limits: AdmissionLimits, now: Instant) -> AdmissionEvents;

    /// Starts or stops refusing new requests.
    fn set_draining(&mut self, draining: bool);

    /// Running and waiting requests, and slots.
    fn load(&self) -> LoadReport;

    /// Number of requests that run.
    fn running(&self) -> u32;

    /// Time that work of a class takes; zero where it is not estimated.
    fn expected_service_time(&self, _class: WorkClass) -> Duration {
        Duration::ZERO
    }

    /// Expected waits of requests that arrive now; zero where they are not estimated.
    fn waits(&self, _now: Instant) -> ExpectedWaits {
        ExpectedWaits::default()
    }
}
