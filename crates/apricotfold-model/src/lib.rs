//! Validated domain types shared by all other crates.
//!
//! Raw input is deserialized into the generated types of `apricotfold-schema` and converted to
//! these types with `TryFrom`, so that the rest of the code never handles unvalidated values. See
//! `docs/design.md`, sections 2 to 4.

mod bundle;
mod entry;
mod error;
mod event;
mod field;
mod ids;
mod instance;
mod millis;
mod outcome;
mod profile;
mod proxy_config;
mod rate_limit;
mod rollout;
mod route_table;
mod settings;
mod snapshot;
mod table_changes;
mod table_check;
mod table_delta;
mod tenant;
mod wall_clock;

pub use bundle::{BundleError, MAX_BUNDLE_BYTES, ProfileBundle};
pub use entry::{
    CandidateEntry, ClaimEntry, HeadEntry, HeadState, NodeRefusal, OutcomeEntry, RelayEntry,
    VoteEntry, keys,
};
pub use error::StepError;
pub use event::{EventCode, event_message};
pub use field::{FieldError, FieldErrors, parse_json};
pub use ids::{
    BundleDigest, ClusterName, DataCentreName, ListenerName, NodeId, ProfileName, ProfileVersion,
    PublishId, RegionName, SecretName, ServiceName, VersionName,
};
pub use instance::{
    AnnouncementNumber, InstanceAnnouncement, InstanceId, InstanceRecord, InstanceState, NodeEpoch,
    StartTimeMillis, TargetIncarnation, TargetLife,
};
pub use millis::saturating_millis;
pub use outcome::{CallOutcome, RefusalReason, headers};
pub use profile::{
    CallPriority, ClusterRef, DrainPolicy, MeshProfile, ProfileLimits, RetryPolicy, RouteRule,
    WorkClass,
};
pub use proxy_config::{ProxyConfig, REQUIRED_SETTINGS, SharedRetryLimit};
pub use rate_limit::RateLimit;
pub use rollout::{RawRolloutOrder, RolloutOrder, RolloutState, RolloutStatus};
pub use route_table::{
    CallerLimits, HostName, RawCallerLimits, RawRouteTable, RawTableRoute, RetrySafety, RouteName,
    RouteTable, TableRoute, TableService, TableVersion, WeightedService,
};
pub use settings::{
    Distribution, LinkConfig, LinkImpairment, ListenerConfig, LoadBalancingPolicy, LoadConfig,
    NodeConfig, ScriptedStoreFault, SecretConfig, StoreConfig, StoreFaultKind, StoreStandinConfig,
    TargetStandinConfig, TargetState,
};
pub use snapshot::{ActiveRoute, InactiveRoute, MeshSnapshot, MissingDependency, SnapshotInput};
pub use table_changes::{ChangeKind, TableChange, table_changes};
pub use table_check::{CheckContext, FindingKind, TableFinding, check_table};
pub use table_delta::{RouteKey, TableDelta, TenantChanges};
pub use tenant::{ApiKeyDigest, RawTenant, Tenant, TenantDirectory, TenantName, TenantQuota};
pub use wall_clock::{SystemClock, WallClock};

/// Re-exported for the expansion of [`log_event!`].
#[doc(hidden)]
pub use log as log_crate;
