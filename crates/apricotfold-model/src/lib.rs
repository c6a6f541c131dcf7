//! Checked domain types that every other crate shares.
//!
//! Raw input is read into the generated types of `apricotfold-schema` and becomes one of these types
//! through `TryFrom`, so that the rest of the code never meets an unchecked value. See
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
mod route_table;
mod settings;
mod snapshot;

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
    PublishId, RegionName, SecretName, ServiceName,
};
pub use instance::{
    AnnouncementNumber, BornMillis, InstanceAnnouncement, InstanceId, InstanceRecord, InstanceState,
};
pub use millis::whole_millis;
pub use outcome::{CallOutcome, RefusalReason, headers};
pub use profile::{
    CallPriority, ClusterRef, DrainRule, LimitRule, MeshProfile, RetryRule, RouteRule, WorkClass,
};
pub use proxy_config::{ProxyConfig, SharedRetryLimit};
pub use route_table::{
    CallerLimits, HostName, RawCallerLimits, RawRouteTable, RawTableRoute, RepeatRule, RouteName,
    RouteTable, ServicePart, TableRoute, TableService, TableVersion,
};
pub use settings::{
    Distribution, LinkConfig, LinkRule, ListenerConfig, LoadConfig, NodeConfig, PickerKind,
    SecretConfig, StoreConfig, StoreFaultKind, StoreFaultRule, StoreStandinConfig,
    TargetStandinConfig, TargetState,
};
pub use snapshot::{ActiveRoute, InactiveRoute, MeshSnapshot, MissingPart, SnapshotInput};

/// Used by [`log_event!`].
#[doc(hidden)]
pub use log as log_crate;
