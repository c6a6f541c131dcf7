//! Differences between two versions of a route table, which nodes send to each other instead of
//! whole tables. See `docs/platform.md`, section 4.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use compact_str::CompactString;

use crate::{
    CallerLimits, FieldError, FieldErrors, HostName, RawCallerLimits, RawRouteTable, RawTableRoute,
    RawTenant, RouteTable, ServiceName, TableRoute, TableService, TableVersion, TenantDirectory,
    TenantName, saturating_millis,
};

/// Host and prefix of a route, which identify it within a table.
pub type RouteKey = (HostName, CompactString);

/// Changes that turn one version of a route table into a later one.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TableDelta {
    /// Version that the changes were made from.
    pub base: TableVersion,
    /// Version that results.
    pub version: TableVersion,
    /// Services that are new or differ.
    pub services: Vec<TableService>,
    /// Services that the later version does not have.
    pub removed_services: Vec<ServiceName>,
    /// Routes that are new or differ.
    pub routes: Vec<RawTableRoute>,
    /// Routes that the later version does not have.
    pub removed_routes: Vec<RouteKey>,
    /// Limits of the later version.
    pub limits: RawCallerLimits,
    /// Changes of the tenants; `None` if the later version has no tenants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<TenantChanges>,
    /// [`RouteTable::digest`] of the later version, which shows whether the result is the same
    /// table.
    pub digest: u64,
}

/// Changes of the tenants between two versions of a route table.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TenantChanges {
    /// Tenants that are new or differ.
    pub changed: Vec<RawTenant>,
    /// Tenants that the later version does not have.
    pub removed: Vec<TenantName>,
}

impl TenantChanges {
    fn between(former: Option<&TenantDirectory>, later: &TenantDirectory) -> Self {
        let known = |name: &str| former.and_then(|former| former.get(name));
        let changed = later
            .iter()
            .filter(|tenant| known(&tenant.name) != Some(*tenant));
        let names = former.into_iter().flat_map(TenantDirectory::iter);
        let removed = names.filter(|tenant| later.get(&tenant.name).is_none());
        Self {
            changed: changed.map(|tenant| RawTenant::from(&**tenant)).collect(),
            removed: removed.map(|tenant| tenant.name.clone()).collect(),
        }
    }
}

impl RouteTable {
    /// Returns the changes that turn `base` into this table.
    #[must_use]
    pub fn delta_from(&self, base: &Self) -> TableDelta {
        let routes = self
            .keyed_routes()
            .filter(|(host, prefix, route)| base.route(host, prefix) != Some(*route))
            .map(|(host, prefix, route)| raw_route(host, prefix, route))
            .collect();
        let removed_routes = base
            .keyed_routes()
            .filter(|(host, prefix, _)| self.route(host, prefix).is_none())
            .map(|(host, prefix, _)| (host.clone(), prefix.clone()))
            .collect();
        let services = self.services.values();
        let changed = services.filter(|service| base.service(&service.name) != Some(*service));
        let former = base.services.keys();
        let removed = former.filter(|name| !self.services.contains_key(*name));
        TableDelta {
            base: base.version,
            version: self.version,
            services: changed.cloned().collect(),
            removed_services: removed.cloned().collect(),
            routes,
            removed_routes,
            limits: RawCallerLimits::from(self.limits),
            tenants: self
                .tenants
                .as_ref()
                .map(|later| TenantChanges::between(base.tenants.as_ref(), later)),
            digest: self.digest(),
        }
    }

    /// Returns the table that results from applying changes to this one. Unchanged routes are shared
    /// between both.
    ///
    /// The base of the changes may be older than this table: they hold whole routes, so they also fit
    /// a version in between unless it changed a route that the later version changed back. The digest
    /// shows that.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes are for other versions or do not result in the table that they
    /// were made from.
    pub fn apply_delta(&self, delta: &TableDelta) -> Result<Self, FieldErrors> {
        let mut errors = FieldErrors::default();
        errors.check(delta.base <= self.version, || {
            FieldError::new("base", delta.base, "at most the version of the table")
        });
        errors.check(delta.version > self.version, || {
            FieldError::new(
                "version",
                delta.version,
                "a version above that of the table",
            )
        });
        let mut next = self.clone();
        next.version = delta.version;
        next.limits = CallerLimits::from(delta.limits);
        next.tenants = delta.tenants.as_ref().map(|changes| {
            let former = next.tenants.take().unwrap_or_default();
            if changes.changed.is_empty() && changes.removed.is_empty() {
                return former;
            }
            former.with_changes(&changes.changed, &changes.removed)
        });
        for name in &delta.removed_services {
            next.services.remove(name);
        }
        for service in &delta.services {
            next.services.insert(service.name.clone(), service.clone());
        }
        for (host, prefix) in &delta.removed_routes {
            next.remove_route(host, prefix);
        }
        for route in &delta.routes {
            let host = route.host.clone();
            let prefix = route.prefix.clone();
            let route = Arc::new(TableRoute::from(route.clone()));
            next.hosts.entry(host).or_default().insert(prefix, route);
        }
        errors.check(next.digest() == delta.digest, || {
            FieldError::new("digest", delta.digest, "the digest of the resulting table")
        });
        errors.finish(next)
    }

    /// Digest of the content, which two nodes compare to learn whether they have the same table.
    #[must_use]
    pub fn digest(&self) -> u64 {
        // Sums do not depend on the iteration order of the maps.
        let routes = self
            .keyed_routes()
            .fold(0, |sum: u64, route| sum.wrapping_add(hash_of(&route)));
        let services = self
            .services
            .values()
            .fold(0, |sum: u64, service| sum.wrapping_add(hash_of(service)));
        let tenants = self.tenants.as_ref().map(|tenants| {
            let digests = tenants.iter().map(hash_of);
            digests.fold(0, u64::wrapping_add)
        });
        hash_of(&(self.version, self.limits, routes, services, tenants))
    }

    fn keyed_routes(&self) -> impl Iterator<Item = (&HostName, &CompactString, &Arc<TableRoute>)> {
        self.hosts.iter().flat_map(|(host, prefixes)| {
            let routes = prefixes.iter();
            routes.map(move |(prefix, route)| (host, prefix, route))
        })
    }

    pub(crate) fn route(&self, host: &str, prefix: &str) -> Option<&Arc<TableRoute>> {
        self.hosts.get(host)?.get(prefix)
    }

    fn remove_route(&mut self, host: &str, prefix: &str) {
        let Some(prefixes) = self.hosts.get_mut(host) else {
            return;
        };
        prefixes.remove(prefix);
        if prefixes.is_empty() {
            self.hosts.remove(host);
        }
    }
}

impl From<&RouteTable> for RawRouteTable {
    fn from(table: &RouteTable) -> Self {
        let routes = table.keyed_routes();
        Self {
            version: table.version,
            services: table.services.values().cloned().collect(),
            routes: routes
                .map(|(host, prefix, route)| raw_route(host, prefix, route))
                .collect(),
            limits: RawCallerLimits::from(table.limits),
            tenants: table.tenants.as_ref().map(|tenants| {
                let raw = tenants.iter().map(|tenant| RawTenant::from(&**tenant));
                raw.collect()
            }),
        }
    }
}

fn raw_route(host: &HostName, prefix: &CompactString, route: &TableRoute) -> RawTableRoute {
    RawTableRoute {
        name: route.name.clone(),
        host: host.clone(),
        prefix: prefix.clone(),
        parts: route.parts.to_vec(),
        repeat: route.repeat,
        class: route.class,
        timeout_ms: saturating_millis(route.timeout),
        target_latency_ms: saturating_millis(route.target_latency),
        priority: route.priority,
        max_attempts: route.max_attempts,
        public: route.public,
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
