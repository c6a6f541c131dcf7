//! Validated profiles, which define how the traffic of a service is routed, retried, limited and
//! drained.

use std::ops::RangeInclusive;
use std::time::Duration;

use apricotfold_schema::settings::{
    ClusterSpec, DrainSpec, LimitSpec, ProfileSpec, RetrySpec, RouteSpec,
};
use compact_str::{CompactString, format_compact};
use smallvec::SmallVec;
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    ClusterName, FieldError, FieldErrors, ListenerName, ProfileName, SecretName, ServiceName,
};

const MAX_NAME_CHARS: usize = 63;
const MAX_ROUTES: usize = 1_000;
const MAX_CLUSTERS: usize = 650;
const MAX_ATTEMPTS: u32 = 5;
const MAX_TIMEOUT_MS: u32 = 3_600_000;
const MAX_QUEUE: u32 = 10_000;
const MAX_SLOTS: u32 = 10_000;

/// Class of a request by its expected running time. Long requests wait in a separate queue.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
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
pub enum WorkClass {
    /// Requests with a short running time, such as page views, look-ups and orders.
    #[default]
    Short,
    /// Downloads and other requests that run many times longer than a page view.
    Long,
}

/// Priority of a call under overload, ordered from the first to be refused to the last.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallPriority {
    /// Refused before all other calls.
    Sheddable,
    /// Priority of calls whose route sets none.
    #[default]
    Normal,
    /// Refused only after all other calls.
    Critical,
}

/// A named group of targets: the live targets of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterRef {
    /// Name by which routes reference the cluster.
    pub name: ClusterName,
    /// Service whose targets belong to the cluster.
    pub service: ServiceName,
    /// Secret that a node must have to call the cluster.
    pub secret: Option<SecretName>,
}

/// A rule that forwards matching requests to a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route, used in logs.
    pub name: CompactString,
    /// Listener on which the request must arrive.
    pub listener: ListenerName,
    /// Prefix of the request's path; it matches whole path segments only.
    pub path_prefix: CompactString,
    /// HTTP methods that match; empty matches all methods.
    pub methods: SmallVec<[CompactString; 4]>,
    /// Cluster to which requests are forwarded.
    pub cluster: ClusterName,
    /// Work class of the requests.
    pub class: WorkClass,
    /// Priority of the requests.
    pub priority: CallPriority,
    /// Maximum duration of a call, including all attempts.
    pub timeout: Duration,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
    /// Whether requests must carry an idempotency key, which is claimed before a request runs.
    pub require_key: bool,
}

/// Retry and hedging policy for calls from callers of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts per call, including the first.
    pub max_attempts: u32,
    /// Retry budget as a percentage of first attempts.
    pub budget_percent: u32,
    /// Latency percentile after which an idempotent call is hedged; `None` disables hedging.
    pub hedge_percentile: Option<u32>,
    /// Hedging budget as a percentage of first attempts.
    pub hedge_budget_percent: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 2,
            budget_percent: 10,
            hedge_percentile: None,
            hedge_budget_percent: 5,
        }
    }
}

/// Concurrency and queue limits that a node enforces for its local target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProfileLimits {
    /// Maximum number of concurrent requests; `None` uses the number that the target announced.
    pub slots: Option<u32>,
    /// Maximum percentage of the slots that long requests may occupy.
    pub long_percent: u32,
    /// Maximum number of short requests in the queue.
    pub short_queue: u32,
    /// Maximum number of long requests in the queue.
    pub long_queue: u32,
    /// Maximum time that a request waits in a queue.
    pub queue_wait: Duration,
}

impl Default for ProfileLimits {
    fn default() -> Self {
        Self {
            slots: None,
            long_percent: 50,
            short_queue: 64,
            long_queue: 16,
            queue_wait: Duration::from_millis(40),
        }
    }
}

/// Timing of a node's drain before it shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainPolicy {
    /// Time for which a draining node still accepts requests from peers that do not yet know of the
    /// drain.
    pub notice: Duration,
    /// Time allowed for requests in flight to complete.
    pub grace: Duration,
}

impl Default for DrainPolicy {
    fn default() -> Self {
        Self {
            notice: Duration::from_millis(500),
            grace: Duration::from_mins(10),
        }
    }
}

/// A validated profile. The built-in default profile has no routes and default limits; it applies
/// to services that select no profile or a withdrawn one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MeshProfile {
    /// Name of the profile.
    pub name: ProfileName,
    /// Listeners that a node must have to apply the profile.
    pub listeners: SmallVec<[ListenerName; 4]>,
    /// Secrets that a node must have to apply the profile.
    pub secrets: SmallVec<[SecretName; 4]>,
    /// Clusters that the routes reference.
    pub clusters: Vec<ClusterRef>,
    /// Routes in matching order; the first match wins.
    pub routes: Vec<RouteRule>,
    /// Retry and hedging policy.
    pub retries: RetryPolicy,
    /// Limits that a node enforces for its local target.
    pub limits: ProfileLimits,
    /// Drain timing of the nodes.
    pub drain: DrainPolicy,
}

impl TryFrom<ProfileSpec> for MeshProfile {
    type Error = FieldErrors;

    fn try_from(spec: ProfileSpec) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        check_name(&mut errors, "name", &spec.name);
        check_names(&mut errors, "listeners", &spec.listeners);
        check_names(&mut errors, "secrets", &spec.secrets);
        check_count(&mut errors, "clusters", spec.clusters.len(), MAX_CLUSTERS);
        check_count(&mut errors, "routes", spec.routes.len(), MAX_ROUTES);
        let secrets: SmallVec<_> = spec.secrets.iter().map(CompactString::from).collect();
        let listeners: SmallVec<_> = spec.listeners.iter().map(CompactString::from).collect();
        let clusters = read_clusters(&mut errors, spec.clusters, &secrets);
        let routes = read_routes(&mut errors, spec.routes, &listeners, &clusters);
        let profile = Self {
            name: spec.name.into(),
            retries: read_retries(&mut errors, spec.retries),
            limits: read_limits(&mut errors, spec.limits),
            drain: read_drain(&mut errors, spec.drain),
            listeners,
            secrets,
            clusters,
            routes,
        };
        errors.finish(profile)
    }
}

fn check_count(errors: &mut FieldErrors, field: &'static str, count: usize, limit: usize) {
    errors.check(count <= limit, || {
        FieldError::new(field, count, format_compact!("at most {limit} entries"))
    });
}

/// Adds an error unless `name` can be used in a store key and a URL without escaping.
pub(crate) fn check_name(errors: &mut FieldErrors, field: &str, name: &str) {
    let valid = !name.is_empty()
        && name.len() <= MAX_NAME_CHARS
        && name
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
    errors.check(valid, || {
        FieldError::new(field, name, "1 to 63 characters from a-z, 0-9 and -")
    });
}

fn check_names(errors: &mut FieldErrors, field: &str, names: &[String]) {
    for (index, name) in names.iter().enumerate() {
        let path = format!("{field}[{index}]");
        check_name(errors, &path, name);
        errors.check(!names[..index].contains(name), || {
            FieldError::new(path.as_str(), name, "a name that is listed once")
        });
    }
}

fn check_range(errors: &mut FieldErrors, field: &str, value: u32, low: u32, high: u32) {
    errors.check((low..=high).contains(&value), || {
        FieldError::new(
            field,
            value,
            format_compact!("a whole number from {low} to {high}"),
        )
    });
}

/// Parses an enum value by name; an empty string yields the default.
pub(crate) fn read_enum<T: std::str::FromStr + Default>(
    errors: &mut FieldErrors,
    field: &str,
    text: &str,
    expected: &'static str,
) -> T {
    if text.is_empty() {
        return T::default();
    }
    text.parse().unwrap_or_else(|_| {
        errors.push(FieldError::new(field, text, expected));
        T::default()
    })
}

fn read_clusters(
    errors: &mut FieldErrors,
    specs: Vec<ClusterSpec>,
    secrets: &[SecretName],
) -> Vec<ClusterRef> {
    let mut clusters: Vec<ClusterRef> = Vec::with_capacity(specs.len());
    for (index, spec) in specs.into_iter().enumerate() {
        let path = format!("clusters[{index}]");
        check_name(errors, &format!("{path}.name"), &spec.name);
        check_name(errors, &format!("{path}.service"), &spec.service);
        errors.check(clusters.iter().all(|known| known.name != spec.name), || {
            FieldError::new(
                format!("{path}.name"),
                &spec.name,
                "a name that is used once",
            )
        });
        let secret = (!spec.secret.is_empty()).then(|| CompactString::from(&spec.secret));
        let known = secret.as_ref().is_none_or(|name| secrets.contains(name));
        errors.check(known, || {
            FieldError::new(
                format!("{path}.secret"),
                &spec.secret,
                "a name listed in secrets",
            )
        });
        clusters.push(ClusterRef {
            name: spec.name.into(),
            service: spec.service.into(),
            secret,
        });
    }
    clusters
}

fn read_routes(
    errors: &mut FieldErrors,
    specs: Vec<RouteSpec>,
    listeners: &[ListenerName],
    clusters: &[ClusterRef],
) -> Vec<RouteRule> {
    let mut routes: Vec<RouteRule> = Vec::with_capacity(specs.len());
    for (index, spec) in specs.into_iter().enumerate() {
        let route = read_route(errors, index, spec, listeners, clusters);
        errors.check(routes.iter().all(|known| known.name != route.name), || {
            FieldError::new(
                format!("routes[{index}].name"),
                &route.name,
                "a name that is used once",
            )
        });
        routes.push(route);
    }
    routes
}

fn read_route(
    errors: &mut FieldErrors,
    index: usize,
    spec: RouteSpec,
    listeners: &[ListenerName],
    clusters: &[ClusterRef],
) -> RouteRule {
    let at = |field: &str| format!("routes[{index}].{field}");
    check_name(errors, &at("name"), &spec.name);
    errors.check(listeners.iter().any(|name| *name == spec.listener), || {
        FieldError::new(at("listener"), &spec.listener, "a name listed in listeners")
    });
    errors.check(
        clusters.iter().any(|known| known.name == spec.cluster),
        || FieldError::new(at("cluster"), &spec.cluster, "the name of one of clusters"),
    );
    errors.check(spec.path_prefix.starts_with('/'), || {
        FieldError::new(
            at("path_prefix"),
            &spec.path_prefix,
            "a path that starts with /",
        )
    });
    for method in &spec.methods {
        let valid = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        errors.check(valid, || {
            FieldError::new(at("methods"), method, "an HTTP method in capital letters")
        });
    }
    check_range(
        errors,
        &at("timeout_ms"),
        spec.timeout_ms,
        1,
        MAX_TIMEOUT_MS,
    );
    errors.check(!(spec.idempotent && spec.require_key), || {
        FieldError::new(at("require_key"), true, "false on an idempotent route")
    });
    RouteRule {
        class: read_enum(errors, &at("class"), &spec.class, "short or long"),
        priority: read_enum(
            errors,
            &at("priority"),
            &spec.priority,
            "critical, normal or sheddable",
        ),
        name: spec.name.into(),
        listener: spec.listener.into(),
        path_prefix: spec.path_prefix.into(),
        methods: spec.methods.into_iter().map(CompactString::from).collect(),
        cluster: spec.cluster.into(),
        timeout: Duration::from_millis(spec.timeout_ms.into()),
        idempotent: spec.idempotent,
        require_key: spec.require_key,
    }
}

fn read_retries(errors: &mut FieldErrors, spec: Option<RetrySpec>) -> RetryPolicy {
    let spec = spec.unwrap_or_default();
    let default = RetryPolicy::default();
    let mut read = |field, value: Option<u32>, default, low, high| {
        read_range(
            errors,
            &format!("retries.{field}"),
            value,
            default,
            low..=high,
        )
    };
    let attempts = read(
        "max_attempts",
        spec.max_attempts,
        default.max_attempts,
        1,
        MAX_ATTEMPTS,
    );
    let budget = read(
        "budget_percent",
        spec.budget_percent,
        default.budget_percent,
        0,
        100,
    );
    let percentile = default.hedge_percentile.unwrap_or_default();
    let percentile = read("hedge_percentile", spec.hedge_percentile, percentile, 0, 99);
    let hedges = default.hedge_budget_percent;
    let hedges = read(
        "hedge_budget_percent",
        spec.hedge_budget_percent,
        hedges,
        0,
        100,
    );
    RetryPolicy {
        max_attempts: attempts,
        budget_percent: budget,
        hedge_percentile: (percentile > 0).then_some(percentile),
        hedge_budget_percent: hedges,
    }
}

fn read_limits(errors: &mut FieldErrors, spec: Option<LimitSpec>) -> ProfileLimits {
    let spec = spec.unwrap_or_default();
    let default = ProfileLimits::default();
    let wait = millis(default.queue_wait);
    let mut read = |field, value: Option<u32>, default, high| {
        read_range(errors, &format!("limits.{field}"), value, default, 0..=high)
    };
    let slots = read("slots", spec.slots, 0, MAX_SLOTS);
    let long_percent = read("long_percent", spec.long_percent, default.long_percent, 90);
    let short_queue = read(
        "short_queue",
        spec.short_queue,
        default.short_queue,
        MAX_QUEUE,
    );
    let long_queue = read("long_queue", spec.long_queue, default.long_queue, MAX_QUEUE);
    let wait = read("queue_wait_ms", spec.queue_wait_ms, wait, MAX_TIMEOUT_MS);
    ProfileLimits {
        slots: (slots > 0).then_some(slots),
        long_percent,
        short_queue,
        long_queue,
        queue_wait: Duration::from_millis(wait.into()),
    }
}

fn read_drain(errors: &mut FieldErrors, spec: Option<DrainSpec>) -> DrainPolicy {
    let spec = spec.unwrap_or_default();
    let default = DrainPolicy::default();
    let mut read = |field, value: Option<u32>, default, range| {
        let value = read_range(
            errors,
            &format!("drain.{field}"),
            value,
            millis(default),
            range,
        );
        Duration::from_millis(value.into())
    };
    DrainPolicy {
        notice: read("notice_ms", spec.notice_ms, default.notice, 0..=3_000),
        grace: read("grace_ms", spec.grace_ms, default.grace, 1..=MAX_TIMEOUT_MS),
    }
}

/// Validates that a number lies in a range; uses the default if it is absent.
fn read_range(
    errors: &mut FieldErrors,
    field: &str,
    value: Option<u32>,
    default: u32,
    range: RangeInclusive<u32>,
) -> u32 {
    let value = value.unwrap_or(default);
    check_range(errors, field, value, *range.start(), *range.end());
    value
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
