//! Validated settings of the mesh proxy. See `guide/platform.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::ops::RangeInclusive;
use std::time::Duration;

use apricotfold_schema::settings as raw;
use compact_str::CompactString;

use crate::settings::read_address;
use crate::{DataCentreName, FieldError, FieldErrors, NodeId, RegionName, ServiceName};

/// Default grace period; common process managers wait this long.
const DEFAULT_GRACE: Duration = Duration::from_secs(6);
/// Default interval between announcements of the target.
const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Default window of the retry budget.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Bytes per second in one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Default of the minimum lease time.
const DEFAULT_LEASE_MIN: Duration = Duration::from_secs(1);

/// Ranges of the figures, to which larger and smaller ones are brought, so that no sum or quotient of
/// them overflows. The platform's store grants leases of up to ten minutes.
const LEASE_MIN_RANGE: RangeInclusive<f64> = 0.001..=600.0;
const INTERVAL_RANGE: RangeInclusive<f64> = 0.1..=3_600.0;
const GRACE_RANGE: RangeInclusive<f64> = 0.001..=3_600.0;
const RETRY_WINDOW_RANGE: RangeInclusive<f64> = 0.001..=3_600.0;
const RETRY_SHARE_RANGE: RangeInclusive<f64> = 0.0..=10.0;
const LINK_MBPS_RANGE: RangeInclusive<f64> = 0.01..=1e7;

/// Seconds in a millisecond.
const MILLISECOND: f64 = 0.001;

/// Limit on retries and hedges, shared by all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryLimit {
    /// Number of retries and hedges allowed per first attempt.
    pub share: f64,
    /// Number of retries and hedges per window allowed in addition to the share.
    pub slack: u32,
    /// Length of the window in which attempts are counted.
    pub window: Duration,
}

/// Settings without which the proxy cannot serve. All others have a default with which it can: a process
/// whose other settings are partly invalid serves with the defaults of those.
pub const REQUIRED_SETTINGS: [&str; 10] = [
    "node",
    "region",
    "data_centre",
    "caller_address",
    "peer_address",
    "announce_address",
    "ready_address",
    "target_address",
    "service",
    "store_address",
];

/// Settings of the mesh proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyConfig {
    /// Id of the node.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Region of each data centre.
    pub data_centres: HashMap<DataCentreName, RegionName>,
    /// Address that serves callers on this instance.
    pub caller_address: SocketAddr,
    /// Address that serves calls from other proxies.
    pub peer_address: SocketAddr,
    /// Address that receives the local target's announcements.
    pub announce_address: SocketAddr,
    /// Address that serves the platform's readiness checks.
    pub ready_address: SocketAddr,
    /// Address that serves metrics; `None` disables them.
    pub metrics_address: Option<SocketAddr>,
    /// Address of the local target.
    pub target_address: SocketAddr,
    /// Service of the local target.
    pub service: ServiceName,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Minimum lease time that the store grants.
    pub lease_min: Duration,
    /// Interval at which the target announces itself.
    pub announce_interval: Duration,
    /// Time that the platform leaves between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Limit on retries and hedges.
    pub retry_limit: SharedRetryLimit,
    /// Bandwidth of the instance's network link in bytes per second; `None` if it is unknown.
    pub link_rate: Option<f64>,
    /// Memory of the machine in MiB; `None` if it is unknown.
    pub memory_mb: Option<NonZeroU32>,
    /// File descriptors that the process may open; `None` if it is unknown.
    pub fd_limit: Option<NonZeroU32>,
    /// Whether the number of concurrent runs at the local target is learned from its answers.
    pub pace_targets: bool,
    /// Seed of all random decisions; 0 takes a seed from the operating system.
    pub seed: u64,
}

/// Announcement intervals without an announcement after which a target counts as gone. Announcements
/// can be seconds late, and a crashed target is noticed much earlier because it refuses connections.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 5;

impl ProxyConfig {
    /// Returns the time after which a target that sends no announcement counts as gone, which is longer
    /// than an announcement can be delayed.
    #[must_use]
    pub fn longest_announcement_delay(&self) -> Duration {
        self.announce_interval * MAX_MISSED_ANNOUNCEMENTS
    }

    /// Returns the bandwidth of the instance's link in whole Mbit/s, at least 1; 0 if it is unknown.
    #[must_use]
    pub fn link_mbps(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the conversion saturates, and a bandwidth is not negative"
        )]
        let mbps = |rate: f64| (rate / BYTES_PER_MEGABIT).max(1.0) as u32;
        self.link_rate.map_or(0, mbps)
    }

    /// Returns the names of the settings that differ and take effect only after a restart.
    #[must_use]
    pub fn restart_differences(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("node", self.node != other.node),
            ("data_centre", self.data_centre != other.data_centre),
            (
                "caller_address",
                self.caller_address != other.caller_address,
            ),
            ("peer_address", self.peer_address != other.peer_address),
            (
                "announce_address",
                self.announce_address != other.announce_address,
            ),
            ("ready_address", self.ready_address != other.ready_address),
            (
                "target_address",
                self.target_address != other.target_address,
            ),
            ("store_address", self.store_address != other.store_address),
            ("service", self.service != other.service),
            ("link_mbps", self.link_rate != other.link_rate),
            ("memory_mb", self.memory_mb != other.memory_mb),
            ("fd_limit", self.fd_limit != other.fd_limit),
        ];
        fields
            .into_iter()
            .filter_map(|(name, differs)| differs.then_some(name))
            .collect()
    }
}

impl TryFrom<raw::ProxySettings> for ProxyConfig {
    type Error = FieldErrors;

    fn try_from(settings: raw::ProxySettings) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        for (field, text) in [
            ("node", &settings.node),
            ("region", &settings.region),
            ("data_centre", &settings.data_centre),
            ("service", &settings.service),
        ] {
            errors.check(!text.is_empty(), || FieldError::new(field, text, "a name"));
        }
        let mut figure = |field, text: &str| read_figure(&mut errors, field, text);
        let lease_min = figure("lease_min_ms", &settings.lease_min_ms);
        let announce_interval = figure("announce_interval_ms", &settings.announce_interval_ms);
        let grace_millis = figure("grace_ms", &settings.grace_ms);
        let grace_seconds = figure("grace_s", &settings.grace_s);
        let share = figure("retry_share", &settings.retry_share).unwrap_or(0.0);
        let slack = figure("retry_slack", &settings.retry_slack);
        let window_millis = figure("retry_window_ms", &settings.retry_window_ms);
        let window_seconds = figure("retry_window_s", &settings.retry_window_s);
        let link_mbps = figure("link_mbps", &settings.link_mbps);
        let memory_mb = figure("memory_mb", &settings.memory_mb);
        let fd_limit = figure("fd_limit", &settings.fd_limit);
        let metrics_address = match settings.metrics_address.as_str() {
            "" => None,
            text => Some(read_address(&mut errors, "metrics_address", text)),
        };
        let data_centres = settings
            .data_centres
            .into_iter()
            .map(|(name, region)| (CompactString::from(name), CompactString::from(region)))
            .collect();
        let config = Self {
            node: settings.node.into(),
            region: settings.region.into(),
            data_centre: settings.data_centre.into(),
            data_centres,
            caller_address: read_address(&mut errors, "caller_address", &settings.caller_address),
            peer_address: read_address(&mut errors, "peer_address", &settings.peer_address),
            announce_address: read_address(
                &mut errors,
                "announce_address",
                &settings.announce_address,
            ),
            ready_address: read_address(&mut errors, "ready_address", &settings.ready_address),
            metrics_address,
            target_address: read_address(&mut errors, "target_address", &settings.target_address),
            service: settings.service.into(),
            store_address: read_address(&mut errors, "store_address", &settings.store_address),
            lease_min: time(None, lease_min, LEASE_MIN_RANGE).unwrap_or(DEFAULT_LEASE_MIN),
            announce_interval: time(None, announce_interval, INTERVAL_RANGE)
                .unwrap_or(DEFAULT_ANNOUNCE_INTERVAL),
            grace: time(grace_seconds, grace_millis, GRACE_RANGE).unwrap_or(DEFAULT_GRACE),
            retry_limit: SharedRetryLimit {
                share: bring_into(share, &RETRY_SHARE_RANGE),
                slack: slack.map_or(0, whole),
                window: time(window_seconds, window_millis, RETRY_WINDOW_RANGE)
                    .unwrap_or(DEFAULT_RETRY_WINDOW),
            },
            link_rate: link_mbps
                .filter(|mbps| *mbps > 0.0)
                .map(|mbps| bring_into(mbps, &LINK_MBPS_RANGE) * BYTES_PER_MEGABIT),
            memory_mb: memory_mb.and_then(positive),
            fd_limit: fd_limit.and_then(positive),
            pace_targets: settings.pace_targets,
            seed: settings.seed,
        };
        errors.finish(config)
    }
}

/// Reads a figure; `None` if it is missing or invalid.
fn read_figure(errors: &mut FieldErrors, field: &'static str, text: &str) -> Option<f64> {
    let text = text.trim();
    if text.is_empty() {
        return None;
    }
    let value: Option<f64> = text.parse().ok();
    let valid = value.filter(|value| value.is_finite() && *value >= 0.0);
    errors.check(valid.is_some(), || {
        FieldError::new(field, text, "a number that is not negative")
    });
    valid
}

/// Returns a time that is given in seconds or in milliseconds; `None` if it is missing or 0.
fn time(seconds: Option<f64>, millis: Option<f64>, range: RangeInclusive<f64>) -> Option<Duration> {
    let seconds = seconds.or(millis.map(|millis| millis * MILLISECOND));
    let seconds = seconds.filter(|seconds| *seconds > 0.0);
    seconds.map(|seconds| Duration::from_secs_f64(bring_into(seconds, &range)))
}

fn bring_into(value: f64, range: &RangeInclusive<f64>) -> f64 {
    value.clamp(*range.start(), *range.end())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and figures are not negative"
)]
fn whole(value: f64) -> u32 {
    value as u32
}

/// Returns a whole number, at least 1; `None` for 0, which means that it is unknown.
fn positive(value: f64) -> Option<NonZeroU32> {
    NonZeroU32::new(whole(value)).or((value > 0.0).then_some(NonZeroU32::MIN))
}
