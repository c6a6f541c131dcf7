//! Decisions of the call path as state machines without I/O.
//!
//! No code in this crate opens a socket, reads a clock or blocks: time is passed in as
//! [`std::time::Instant`], and random numbers are drawn from a seeded generator, so that every decision
//! can be reproduced in a test.
//! The node daemon carries the decisions out. See
//! `docs/design.md`, sections 2.1 and 6.
//!
//! At the entry node, a [`CallPlan`] controls a call. It spends from [`CallBudgets`], delays hedges
//! by a [`HedgeTimer`] and sends to targets that a [`ServiceBalancer`] chooses; a [`CrashGuard`]
//! blocks requests that crash targets. At the target's node, an [`AdmissionQueue`] decides which
//! requests run and an [`OrderLedger`] keeps the answers of keyed orders. At the acting relay, a
//! [`ClaimBatch`] batches the claims of these orders.
//!
//! For each [`PlanAction::SendAttempt`], the daemon calls [`ServiceBalancer::pick`] with the nodes
//! that the call was sent to before, then [`ServiceBalancer::start_attempt`]. When the attempt
//! ends, it calls [`ServiceBalancer::finish_attempt`], [`HedgeTimer::record`] and
//! [`CallPlan::handle`], in this order, so that the choice of a retry's target takes the result of
//! the attempt into account. If no target can be picked, the attempt ends as refused with the
//! reason of the pick and `not-run`.
//!
//! Each service and work class has its own balancer, [`CallBudgets`] and [`HedgeTimer`].

mod admission;
mod admission_policy;
mod announcement_check;
mod attempt;
mod balancer;
mod budget;
mod claims;
mod clock_watch;
mod counted_losses;
mod crash;
mod deadline_queue;
mod decay;
mod direct_fallback;
mod hedge;
mod held_bytes;
mod inbound_waits;
mod instance_registry;
mod ledger;
mod link_pacer;
mod local_instance;
mod local_runs;
mod named_limits;
mod node_departure;
mod node_limits;
mod open_connections;
mod parent_throttle;
mod picker;
mod plan;
mod poll_order;
mod quota;
mod rate_gate;
mod relay_choice;
mod request_intake;
mod retry_after;
mod retry_tracker;
mod rollout;
mod service_time;
mod target;
mod target_load;
mod target_pace;
mod target_selector;
mod tenant_share;
mod traffic_split;
mod unanswered_runs;
mod waiting;
mod watch_audit;
mod watch_monitor;
mod window_count;

pub use admission::{AdmissionEvents, AdmissionId, AdmissionLimits, AdmissionQueue};
pub use admission_policy::{
    Admission, AdmissionEvent, AdmissionPolicy, AdmissionRequest, CallStanding,
};
pub use announcement_check::{AnnouncementRefusal, TargetIdentity};
pub use attempt::{AttemptResult, LoadReport};
pub use balancer::{
    LocalityTier, ServiceBalancer, TargetChange, TargetChoice, TargetEntry, TargetStatus,
    TierReason,
};
pub use budget::{CallBudgets, RetryBudget};
pub use claims::{ClaimBatch, ClaimRequest, ClaimTicket};
pub use clock_watch::{JumpDetector, OffsetMillis, PeerOffsets};
pub use counted_losses::CountedLosses;
pub use crash::{
    CrashEvidence, CrashGuard, CrashId, CrashMark, CrashMarks, ObservedMark, RequestFingerprint,
    is_current_evidence,
};
pub use deadline_queue::{DeadlineQueue, ExpectedWaits, priority_index};
pub use direct_fallback::{DirectFallback, STORE_SILENCE, StoreContact};
pub use hedge::HedgeTimer;
pub use held_bytes::{HeldBytes, HoldDecision, HolderId};
pub use inbound_waits::InboundWaits;
pub use instance_registry::{ChangedNodes, InstanceRegistry};
pub use ledger::{ClaimId, OrderKey, OrderLedger, OrderOutcome, StoredAnswer};
pub use link_pacer::{BULK_MIN_BYTES, LinkPacer};
pub use local_instance::{AnnouncementEffect, LocalInstance, TargetReply};
pub use local_runs::{LocalRuns, NestedCapacity, RunId, RunSummary};
pub use named_limits::NamedLimits;
pub use node_departure::NodeDeparture;
pub use node_limits::{CONNECTION_BYTES, NodeLimits};
pub use open_connections::{AcceptDecision, ConnectionId, ConnectionPhase, OpenConnections};
pub use parent_throttle::ParentThrottle;
pub use picker::{ChoiceReason, PickCandidate, TargetPicker};
pub use plan::{AttemptNumber, CallLimits, CallPlan, PlanAction, PlanActions, PlanEvent};
pub use poll_order::{PollOrder, RemoteOrder};
pub use quota::{
    LEASE_TIME, MessageFault, MessageNumber, OwnerCandidates, OwnerChange, OwnerTerm, QuotaHolder,
    QuotaNode, QuotaOwner, QuotaShare, RENEWAL_INTERVAL, ShareAsk, ShareGrant, TakeResult,
    choose_candidates, divide_fairly,
};
pub use rate_gate::RateGate;
pub use relay_choice::{
    FollowRole, FollowerNodes, RelayNodes, RemoteRelays, SuccessorNodes, choose_followers,
    choose_monitors, choose_remote_relays, choose_role, choose_successors, due_successors,
    takeover_delay,
};
pub use request_intake::{IntakePhase, RequestIntake};
pub use retry_after::{RetryDetector, advise_retry_after};
pub use retry_tracker::{RetryDecision, RetryTracker, SendOutcome};
pub use rollout::{
    AnswerSample, CANARY_DECISION_SHARE, ClaimAction, DeciderClaim, GRANT_LIFETIME, KnownRollout,
    OrderAge, RolloutCounts, RolloutDecider, RolloutGrant, RolloutRecord, RolloutReport,
    RolloutView, RouteCounts, VersionCounts, VersionGroup, VersionVerdict, compare_versions,
    decider_rank,
};
pub use target_load::InstanceReport;
pub use target_pace::{EndedRun, PaceChange, PaceReason, RunEnd, TargetPace, WorkKind};
pub use target_selector::{AttemptEnd, LinkCosts, SelectedTarget, TargetCandidate, TargetSelector};
pub use traffic_split::TrafficSplit;
pub use unanswered_runs::{SentNumber, UnansweredRuns};
pub use watch_audit::{EntryRevision, WatchAudit, WatchDoubt, WatchProgress};
pub use watch_monitor::{MonitorChoice, MonitorRole};
