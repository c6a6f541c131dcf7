//! Routes of a whole mesh: which service answers a host and path, and under which limits.
//!
//! A table is checked as a whole and replaced as a whole, so that a reader never meets a route
//! without its service. See `docs/platform.md`, section 3.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use smallvec::SmallVec;
use strum::{Display, EnumString};

use crate::{CallPriority, FieldError, FieldErrors, ServiceName, WorkClass};

/// Version of a route table; grows with each change.
pub type TableVersion = u64;
/// Name of a route within one table.
pub type RouteName = CompactString;
/// Host that callers name.
pub type HostName = CompactString;

/// Whether a request may be run again after it may have run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RetrySafety {
    /// It may run several times.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
}

/// One service that answers a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum of the route's weights.
    pub weight: u32,
}

/// One service of a table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TableService {
    /// Its name.
    pub name: ServiceName,
    /// Path at which its targets answer health checks; empty for none.
    pub health_path: CompactString,
}

/// One route as it is written down, before it is checked.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawTableRoute {
    /// Name, for logs.
    pub name: RouteName,
    /// Host that requests name.
    pub host: HostName,
    /// Path prefix; begins and ends with a slash.
    pub prefix: CompactString,
    /// Services with their shares.
    pub parts: Vec<WeightedService>,
    /// Whether requests may run again.
    pub repeat: RetrySafety,
    /// Short or long work.
    pub class: WorkClass,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which answers are wanted, in milliseconds.
    pub target_latency_ms: u64,
    /// Importance under overload.
    pub priority: CallPriority,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawCallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time for the head of a request, in milliseconds.
    pub header_time_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_time_ms: u64,
}

/// A table as it is written down, before it is checked.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawRouteTable {
    /// Version; above 0.
    pub version: TableVersion,
    /// All services.
    pub services: Vec<TableService>,
    /// The routes.
    pub routes: Vec<RawTableRoute>,
    /// Limits on callers.
    pub limits: RawCallerLimits,
}

/// Checked limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time for the head of a request.
    pub header_time: Duration,
    /// Longest time that a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits before a table is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A checked route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRoute {
    /// Name, for logs.
    pub name: RouteName,
    /// Services with their shares; the weights sum to more than 0.
    pub parts: SmallVec<[WeightedService; 2]>,
    /// Whether requests may run again.
    pub repeat: RetrySafety,
    /// Short or long work.
    pub class: WorkClass,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which answers are wanted.
    pub target_latency: Duration,
    /// Importance under overload.
    pub priority: CallPriority,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
}

type PrefixMap = HashMap<CompactString, Arc<TableRoute>>;

/// All routes of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// The version; 0 before any is known.
    pub version: TableVersion,
    /// Limits on callers.
    pub limits: CallerLimits,
    hosts: BTreeMap<HostName, PrefixMap>,
    services: HashMap<ServiceName, TableService>,
}

impl RouteTable {
    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&TableService> {
        self.services.get(name)
    }

    /// Finds the route with the longest prefix of `path`. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<TableRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        // Every prefix ends with a slash, so only the parts of the path up to a slash can match.
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.into_iter()
            .find_map(|end| prefixes.get(path.get(..end)?))
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Tells whether there is no route.
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
        let limits = CallerLimits {
            header_bytes: raw.limits.header_bytes,
            body_bytes: raw.limits.body_bytes,
            header_time: Duration::from_millis(raw.limits.header_time_ms),
            idle_time: Duration::from_millis(raw.limits.idle_time_ms),
        };
        errors.finish(Self {
            version: raw.version,
            limits,
            hosts,
            services,
        })
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
