//! The route table of a mesh, which maps a host and path to services and sets the limits for calls.
//!
//! A table is validated and replaced as a whole, so that a reader never finds a route without its
//! service. See `docs/platform.md`, section 3.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use smallvec::SmallVec;
use strum::{Display, EnumString};

use crate::{
    CallPriority, FieldError, FieldErrors, RawTenant, ServiceName, TenantDirectory, WorkClass,
    saturating_millis,
};

/// Version of a route table; increases with each change.
pub type TableVersion = u64;
/// Name of a route within a table.
pub type RouteName = CompactString;
/// Host name that callers send in the `host` header.
pub type HostName = CompactString;

/// Whether it is safe to retry a request that may already have run.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RetrySafety {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
}

/// A service that receives a weighted share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A service in a route table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TableService {
    /// Name by which routes reference the service.
    pub name: ServiceName,
    /// Path of the health check of its targets; empty if there is none.
    pub health_path: CompactString,
}

/// A route as configured, before validation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawTableRoute {
    /// Name of the route, used in logs.
    pub name: RouteName,
    /// Host name that requests must carry.
    pub host: HostName,
    /// Path prefix, which must start and end with a slash.
    pub prefix: CompactString,
    /// Weighted services among which the requests are distributed.
    pub parts: Vec<WeightedService>,
    /// Whether requests can safely be retried.
    pub repeat: RetrySafety,
    /// Work class of the requests.
    pub class: WorkClass,
    /// Maximum time that a caller waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds.
    pub target_latency_ms: u64,
    /// Priority under overload.
    pub priority: CallPriority,
    /// Maximum number of targets to which a request is sent; 0 counts as 1.
    pub max_attempts: u32,
    /// Whether the route needs no API key in a table with tenants.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Limits on what a caller may send, before validation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawCallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    pub header_time_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_time_ms: u64,
}

/// A route table as configured, before validation.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawRouteTable {
    /// Version of the table, which must be greater than 0.
    pub version: TableVersion,
    /// All services that the routes may reference.
    pub services: Vec<TableService>,
    /// Routes of all hosts, in any order.
    pub routes: Vec<RawTableRoute>,
    /// Limits on what callers may send.
    pub limits: RawCallerLimits,
    /// Tenants; `None` if callers need no API keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<RawTenant>>,
}

/// Validated limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request head.
    pub header_time: Duration,
    /// Maximum idle time of a connection.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits in force until a table is loaded; common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A validated route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TableRoute {
    /// Name of the route, used in logs.
    pub name: RouteName,
    /// Weighted services among which the requests are distributed; the sum of the weights is
    /// greater than 0.
    pub parts: SmallVec<[WeightedService; 2]>,
    /// Whether requests can safely be retried.
    pub repeat: RetrySafety,
    /// Work class of the requests.
    pub class: WorkClass,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency objective.
    pub target_latency: Duration,
    /// Priority under overload.
    pub priority: CallPriority,
    /// Maximum number of targets to which a request is sent; at least 1.
    pub max_attempts: u32,
    /// Whether the route needs no API key in a table with tenants.
    pub public: bool,
}

type PrefixMap = BTreeMap<CompactString, Arc<TableRoute>>;

/// A validated route table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the table; 0 until a table is loaded.
    pub version: TableVersion,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Tenants; `None` if callers need no API keys.
    pub tenants: Option<TenantDirectory>,
    pub(crate) hosts: BTreeMap<HostName, PrefixMap>,
    pub(crate) services: HashMap<ServiceName, TableService>,
}

impl RouteTable {
    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&TableService> {
        self.services.get(name)
    }

    /// Finds the route of a host whose prefix is the longest match for `path`. Case and port of
    /// `host` are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<TableRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut path = path;
        loop {
            // A prefix of the path sorts between any shorter one and the path.
            let not_after = (Bound::Unbounded, Bound::Included(path));
            let (prefix, route) = prefixes.range::<str, _>(not_after).next_back()?;
            if path.starts_with(prefix.as_str()) {
                return Some(route);
            }
            // What is left to match is no longer than a prefix of the table, however long the path is.
            // Every prefix ends with a slash.
            let same = path.bytes().zip(prefix.bytes());
            let shared = same.take_while(|(own, other)| own == other).count();
            let end = path.as_bytes()[..shared]
                .iter()
                .rposition(|byte| *byte == b'/')?;
            path = &path[..=end];
        }
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

impl TryFrom<RawRouteTable> for RouteTable {
    type Error = FieldErrors;

    fn try_from(raw: RawRouteTable) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        errors.check(raw.version > 0, || {
            FieldError::new("version", raw.version, "a number above 0")
        });
        let services: HashMap<ServiceName, TableService> = raw
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let mut hosts: BTreeMap<HostName, PrefixMap> = BTreeMap::new();
        for (index, route) in raw.routes.into_iter().enumerate() {
            check_route(&route, index, &services, &mut errors);
            let host = HostName::from(route.host.to_ascii_lowercase());
            let prefix = route.prefix.clone();
            let known = hosts.entry(host).or_default();
            let former = known.insert(prefix, Arc::new(TableRoute::from(route)));
            if let Some(former) = former {
                let field = format!("routes[{index}].prefix");
                let expected = "a prefix that no other route of the host has";
                errors.push(FieldError::new(field, &former.name, expected));
            }
        }
        let tenants = match raw.tenants.map(TenantDirectory::try_from).transpose() {
            Ok(tenants) => tenants,
            Err(invalid) => {
                errors.0.extend(invalid.0);
                None
            }
        };
        errors.finish(Self {
            version: raw.version,
            limits: CallerLimits::from(raw.limits),
            tenants,
            hosts,
            services,
        })
    }
}

impl From<CallerLimits> for RawCallerLimits {
    fn from(limits: CallerLimits) -> Self {
        Self {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
            header_time_ms: saturating_millis(limits.header_time),
            idle_time_ms: saturating_millis(limits.idle_time),
        }
    }
}

impl From<RawCallerLimits> for CallerLimits {
    fn from(raw: RawCallerLimits) -> Self {
        Self {
            header_bytes: raw.header_bytes,
            body_bytes: raw.body_bytes,
            header_time: Duration::from_millis(raw.header_time_ms),
            idle_time: Duration::from_millis(raw.idle_time_ms),
        }
    }
}

impl From<RawTableRoute> for TableRoute {
    fn from(raw: RawTableRoute) -> Self {
        Self {
            name: raw.name,
            parts: raw.parts.into(),
            repeat: raw.repeat,
            class: raw.class,
            timeout: Duration::from_millis(raw.timeout_ms),
            target_latency: Duration::from_millis(raw.target_latency_ms),
            priority: raw.priority,
            max_attempts: raw.max_attempts.max(1),
            public: raw.public,
        }
    }
}

fn check_route(
    route: &RawTableRoute,
    index: usize,
    services: &HashMap<ServiceName, TableService>,
    errors: &mut FieldErrors,
) {
    let field = |name: &str| format!("routes[{index}].{name}");
    let bounded = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    errors.check(bounded, || {
        let expected = "a path that begins and ends with a slash";
        FieldError::new(field("prefix"), &route.prefix, expected)
    });
    errors.check(!route.host.is_empty(), || {
        FieldError::new(field("host"), &route.host, "a host name")
    });
    errors.check(route.timeout_ms > 0, || {
        FieldError::new(field("timeout-ms"), route.timeout_ms, "above 0")
    });
    let weight: u64 = route.parts.iter().map(|part| u64::from(part.weight)).sum();
    errors.check(weight > 0, || {
        FieldError::new(field("parts"), weight, "a sum of weights above 0")
    });
    for part in &route.parts {
        errors.check(services.contains_key(&part.service), || {
            let expected = "a service of this table";
            FieldError::new(field("parts"), &part.service, expected)
        });
    }
}
