//! Decisions of the call path as plain state machines.
//!
//! Nothing in this crate opens a socket, reads a clock or waits: time comes in as
//! [`std::time::Instant`] and randomness from a seed, so that every decision can be repeated in a
//! test. The node daemon carries the decisions out. See `docs/design.md`, sections 2.1 and 6.
//!
//! At the entry node, a call is guided by a [`CallPlan`], which spends from [`CallBudgets`], waits
//! for a [`HedgeTimer`] and sends to targets that a [`ServiceBalancer`] chooses; a [`CrashGuard`]
//! stops requests that crash targets. At the target's node, an [`AdmissionQueue`] decides what runs,
//! an [`OrderLedger`] keeps the answers of keyed orders, and a [`ClaimBatch`] at the acting relay
//! groups their claims.
//!
//! For each [`PlanAction::SendAttempt`], the daemon calls [`ServiceBalancer::pick`] with the nodes
//! that the call was sent to before, then [`ServiceBalancer::start_attempt`]. When the attempt ends,
//! it calls [`ServiceBalancer::finish_attempt`], [`HedgeTimer::record`] and [`CallPlan::handle`], in
//! this order, so that a retry is chosen with what the attempt has shown. When no target can be
//! picked, the attempt ends as refused with the reason of the pick and `not-run`.
//!
//! [`CallBudgets`] and [`HedgeTimer`] belong to one service and work class, as balancers do.

mod admission;
mod admission_rule;
mod attempt;
mod balancer;
mod budget;
mod claims;
mod crash;
mod crest_queue;
mod decay;
mod hedge;
mod instance_registry;
mod ledger;
mod link_gauge;
mod load_choice;
mod local_instance;
mod local_runs;
mod parent_throttle;
mod picker;
mod plan;
mod relay_choice;
mod repeat_guide;
mod return_time;
mod target;
mod target_load;
mod traffic_split;
mod waiting;
mod window_count;

pub use admission::{AdmissionEvents, AdmissionId, AdmissionLimits, AdmissionQueue};
pub use admission_rule::{
    Admission, AdmissionEvent, AdmissionPolicy, AdmissionRequest, CallStanding,
};
pub use attempt::{AttemptResult, LoadReport};
pub use balancer::{
    LocalityTier, ServiceBalancer, TargetChange, TargetChoice, TargetEntry, TargetStatus,
    TierReason,
};
pub use budget::{CallBudgets, RetryBudget};
pub use claims::{ClaimBatch, ClaimRequest, ClaimTicket};
pub use crash::{CrashGuard, RequestFingerprint};
pub use crest_queue::{DeadlineQueue, ExpectedWaits, rank};
pub use hedge::HedgeTimer;
pub use instance_registry::{ChangedNodes, InstanceRegistry};
pub use ledger::{ClaimId, OrderKey, OrderLedger, OrderOutcome, StoredAnswer};
pub use link_gauge::{BULK_MIN_BYTES, LinkPacer};
pub use load_choice::{AttemptEnd, LinkCosts, SelectedTarget, TargetCandidate, TargetSelector};
pub use local_instance::{AnnouncementEffect, LocalInstance};
pub use local_runs::{LocalRuns, NestedCapacity, RunId, RunSummary};
pub use parent_throttle::ParentThrottle;
pub use picker::{ChoiceReason, PickCandidate, TargetPicker};
pub use plan::{AttemptNumber, CallLimits, CallPlan, PlanAction, PlanActions, PlanEvent};
pub use relay_choice::{DirectFallback, FollowRole, RelayNodes, choose_role};
pub use repeat_guide::{RetryDecision, RetryTracker, SendOutcome};
pub use return_time::{RetryDetector, advise_retry_after};
pub use target_load::InstanceReport;
pub use traffic_split::TrafficSplit;
