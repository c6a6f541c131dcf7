//! Canary rollouts: the operators' orders and their results. See `docs/design/rollouts.md`.

use std::time::Duration;

use strum::{Display, EnumString, IntoStaticStr};

use crate::{FieldError, ServiceName, VersionName};

/// Longest duration of a rollout. Orders of these deployments last 12 to 16 s; a duration beyond this
/// one is a mistake.
const MAX_DURATION: Duration = Duration::from_hours(1);

/// An operator's order to replace the version of a service, as read from its text.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RawRolloutOrder {
    /// Service whose targets are replaced.
    pub service: ServiceName,
    /// Version that the service is to have.
    pub target_version: VersionName,
    /// Time in seconds after which the rollout must have ended.
    pub duration_s: f64,
}

/// An operator's order to replace the version of a service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutOrder {
    /// Service whose targets are replaced.
    pub service: ServiceName,
    /// Version that the service is to have.
    pub target_version: VersionName,
    /// Time from the order after which the rollout must have ended.
    pub duration: Duration,
}

impl TryFrom<RawRolloutOrder> for RolloutOrder {
    type Error = FieldError;

    fn try_from(raw: RawRolloutOrder) -> Result<Self, Self::Error> {
        if raw.service.is_empty() {
            return Err(FieldError::new("service", "", "the name of a service"));
        }
        if raw.target_version.is_empty() {
            return Err(FieldError::new("target_version", "", "a version"));
        }
        let duration = Duration::try_from_secs_f64(raw.duration_s).ok();
        let duration = duration.filter(|time| !time.is_zero() && *time <= MAX_DURATION);
        let duration = duration.ok_or_else(|| {
            FieldError::new("duration_s", raw.duration_s, "seconds, up to an hour")
        })?;
        Ok(Self {
            service: raw.service,
            target_version: raw.target_version,
            duration,
        })
    }
}

/// How far a rollout has come.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutState {
    /// The new version gets a share of the requests.
    Active,
    /// The new version has replaced the others.
    Completed,
    /// The new version gets no more requests.
    RolledBack,
}

impl RolloutState {
    /// Returns whether the rollout has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Active
    }
}

/// State of a rollout as it is reported to the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Service of the order.
    pub service: ServiceName,
    /// Version of the order.
    pub target_version: VersionName,
    /// How far the rollout has come.
    pub state: RolloutState,
}
