//! Checks of a route table before it is published, beyond what makes it valid: entries that have no
//! effect, and limits that contradict each other. See `guide/check.md`.

use std::collections::HashSet;

use compact_str::{CompactString, format_compact};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{RawCallerLimits, RawRouteTable, RawTableRoute, RawTenant, RouteTable, TableVersion};

/// Bytes in a mebibyte.
const MEBIBYTE: u64 = 1024 * 1024;

/// Kind of a finding.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FindingKind {
    /// A value for which nodes reject the table.
    Invalid,
    /// Two services with the same name, of which the last counts.
    DuplicateService,
    /// A service that a route lists more than once.
    DuplicatePart,
    /// A service that gets no requests of a route, because its weight is 0.
    ZeroWeight,
    /// A service that no route names.
    UnusedService,
    /// A route whose host or prefix no request can have.
    UnreachableRoute,
    /// A tenant without keys, which cannot call.
    TenantWithoutKeys,
    /// An empty list of tenants, with which only public routes can be called.
    NoTenants,
    /// A timeout below the latency objective, which no answer within the timeout misses.
    TimeoutBelowObjective,
    /// More attempts than a service has targets.
    AttemptsAboveTargets,
    /// A burst below one second of the rate, which rejects traffic that arrives unevenly.
    BurstBelowRate,
    /// A burst without a rate, which limits nothing.
    BurstWithoutRate,
    /// Bodies that a node cannot hold.
    BodyAboveMemory,
    /// A limit of 0, under which no request passes.
    ZeroLimit,
    /// A version that nodes ignore, because the table in force has it or a later one.
    VersionNotNewer,
}

/// Something in a table that is probably not intended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TableFinding {
    /// Kind of the finding.
    pub kind: FindingKind,
    /// Place in the table, such as `routes[2].timeout-ms`.
    pub place: CompactString,
    /// What was found there. Never quotes a key.
    pub detail: CompactString,
}

/// What an operator knows about the nodes that will use a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CheckContext {
    /// Memory of the smallest node in mebibytes.
    pub memory_mb: Option<u64>,
    /// Number of targets of the smallest service.
    pub targets: Option<u32>,
    /// Version of the table in force.
    pub version_in_force: Option<TableVersion>,
}

/// Checks a table in its raw form, which still has the order of the entries and their duplicates.
/// Returns the findings in the order of the table.
#[must_use]
pub fn check_table(table: &RawRouteTable, context: CheckContext) -> Vec<TableFinding> {
    let mut findings = TableFindings::default();
    if let Err(errors) = RouteTable::try_from(table.clone()) {
        for error in errors.0 {
            let detail = format_compact!("found {:?}, expected {}", error.value, error.expected);
            findings.add(FindingKind::Invalid, error.field, detail);
        }
    }
    if let Some(version) = context.version_in_force
        && table.version <= version
    {
        let detail = format_compact!("{} is not above {version}, in force", table.version);
        findings.add(FindingKind::VersionNotNewer, "version", detail);
    }
    for (index, route) in table.routes.iter().enumerate() {
        findings.check_route(index, route, context);
    }
    findings.check_services(table);
    findings.check_limits(table.limits, context);
    if let Some(tenants) = &table.tenants {
        findings.check_tenants(tenants);
    }
    findings.0
}

#[derive(Debug, Default)]
struct TableFindings(Vec<TableFinding>);

impl TableFindings {
    fn add(
        &mut self,
        kind: FindingKind,
        place: impl Into<CompactString>,
        detail: impl Into<CompactString>,
    ) {
        self.0.push(TableFinding {
            kind,
            place: place.into(),
            detail: detail.into(),
        });
    }

    fn check_route(&mut self, index: usize, route: &RawTableRoute, context: CheckContext) {
        let name = &route.name;
        let place = |field: &str| format_compact!("routes[{index}].{field}");
        // The port of a request's host is dropped before the look-up.
        let outside_hosts = |char: char| matches!(char, ':' | '/') || is_outside_uri(char);
        if route.host.contains(outside_hosts) {
            let detail = format_compact!("{name}: no request has the host {:?}", route.host);
            self.add(FindingKind::UnreachableRoute, place("host"), detail);
        }
        let outside_paths = |char: char| matches!(char, '?' | '#') || is_outside_uri(char);
        if route.prefix.contains(outside_paths) {
            let detail = format_compact!("{name}: no path begins with {:?}", route.prefix);
            self.add(FindingKind::UnreachableRoute, place("prefix"), detail);
        }
        let mut services = HashSet::new();
        for part in &route.parts {
            let service = &part.service;
            if !services.insert(service) {
                let detail = format_compact!("{name}: lists {service} twice");
                self.add(FindingKind::DuplicatePart, place("parts"), detail);
            }
            if part.weight == 0 {
                let detail = format_compact!("{name}: {service} gets no requests");
                self.add(FindingKind::ZeroWeight, place("parts"), detail);
            }
        }
        let (timeout, objective) = (route.timeout_ms, route.target_latency_ms);
        if timeout < objective {
            let detail = format_compact!("{name}: {timeout} is below the objective of {objective}");
            let kind = FindingKind::TimeoutBelowObjective;
            self.add(kind, place("timeout-ms"), detail);
        }
        let attempts = route.max_attempts;
        if let Some(targets) = context.targets
            && attempts > targets.max(1)
        {
            let detail = format_compact!("{name}: {attempts} attempts, but {targets} targets");
            let kind = FindingKind::AttemptsAboveTargets;
            self.add(kind, place("max-attempts"), detail);
        }
    }

    fn check_services(&mut self, table: &RawRouteTable) {
        let parts = table.routes.iter().flat_map(|route| &route.parts);
        let used: HashSet<_> = parts.map(|part| &part.service).collect();
        let mut names = HashSet::new();
        for (index, service) in table.services.iter().enumerate() {
            let (name, place) = (&service.name, format_compact!("services[{index}].name"));
            if !names.insert(name) {
                let detail = format_compact!("{name} is listed before; only the last entry counts");
                self.add(FindingKind::DuplicateService, place, detail);
            } else if !used.contains(name) {
                let detail = format_compact!("no route names {name}");
                self.add(FindingKind::UnusedService, place, detail);
            }
        }
    }

    fn check_limits(&mut self, limits: RawCallerLimits, context: CheckContext) {
        for (field, is_zero) in [
            ("header-bytes", limits.header_bytes == 0),
            ("body-bytes", limits.body_bytes == 0),
            ("header-time-ms", limits.header_time_ms == 0),
            ("idle-time-ms", limits.idle_time_ms == 0),
        ] {
            if is_zero {
                let place = format_compact!("limits.{field}");
                self.add(FindingKind::ZeroLimit, place, "nothing passes a limit of 0");
            }
        }
        if let Some(memory) = context.memory_mb
            && limits.body_bytes > memory.saturating_mul(MEBIBYTE)
        {
            let bytes = limits.body_bytes;
            let detail = format_compact!("{bytes} bytes do not fit into {memory} MiB");
            self.add(FindingKind::BodyAboveMemory, "limits.body-bytes", detail);
        }
    }

    fn check_tenants(&mut self, tenants: &[RawTenant]) {
        if tenants.is_empty() {
            let detail = "only public routes can be called";
            self.add(FindingKind::NoTenants, "tenants", detail);
        }
        for (index, tenant) in tenants.iter().enumerate() {
            let (name, rate, burst) = (&tenant.name, tenant.rate, tenant.burst);
            let place = |field: &str| format_compact!("tenants[{index}].{field}");
            if tenant.keys.is_empty() {
                let detail = format_compact!("{name} cannot call");
                self.add(FindingKind::TenantWithoutKeys, place("keys"), detail);
            }
            if rate > 0.0 && burst < rate {
                let detail = format_compact!("{name}: {burst} is less than a second of {rate}");
                self.add(FindingKind::BurstBelowRate, place("burst"), detail);
            }
            if rate <= 0.0 && burst > 0.0 {
                let detail = format_compact!("{name}: {burst} has no effect without a rate");
                self.add(FindingKind::BurstWithoutRate, place("burst"), detail);
            }
        }
    }
}

/// Returns whether a character can be neither in the host nor in the path of a request.
fn is_outside_uri(char: char) -> bool {
    char.is_whitespace() || char.is_control()
}
