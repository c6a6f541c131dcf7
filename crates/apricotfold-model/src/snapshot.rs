//! The immutable configuration snapshot from which a node serves calls. See `docs/design.md`,
//! section 1.3, invariant I2.

use std::collections::BTreeSet;

use compact_str::CompactString;
use strum::Display;

use crate::{
    ClusterRef, ListenerName, MeshProfile, ProfileVersion, RouteRule, SecretName, ServiceName,
};

/// A dependency of a route or profile that is missing on this node.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum MissingDependency {
    /// No live target of the cluster's service is known.
    #[strum(to_string = "cluster {0}")]
    Cluster(CompactString),
    /// The node has no listener with this name.
    #[strum(to_string = "listener {0}")]
    Listener(CompactString),
    /// The node has no secret with this name.
    #[strum(to_string = "secret {0}")]
    Secret(CompactString),
}

/// A route whose dependencies are all present on this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRoute {
    /// Rule that defines the route.
    pub rule: RouteRule,
    /// Cluster that the rule references.
    pub cluster: ClusterRef,
}

/// A route that cannot be served until its missing dependency appears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InactiveRoute {
    /// Rule that defines the route.
    pub rule: RouteRule,
    /// First missing dependency.
    pub missing: MissingDependency,
}

/// The inputs from which a snapshot is built.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotInput<'a> {
    /// Profile to enforce.
    pub profile: &'a MeshProfile,
    /// Version of the profile; 0 for the built-in default.
    pub version: ProfileVersion,
    /// Names of the listeners that are configured on this node.
    pub listeners: &'a BTreeSet<ListenerName>,
    /// Names of the secrets that are configured on this node.
    pub secrets: &'a BTreeSet<SecretName>,
    /// Names of the services with at least one live target.
    pub services: &'a BTreeSet<ServiceName>,
}

/// An immutable snapshot of routes, clusters, listeners and secrets. It is replaced as a whole, so
/// that a reader never finds a route without its dependencies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MeshSnapshot {
    /// Profile that is enforced.
    pub profile: MeshProfile,
    /// Version of the profile; 0 for the built-in default.
    pub version: ProfileVersion,
    /// Routes that can be served, in matching order.
    pub routes: Vec<ActiveRoute>,
    /// Routes whose cluster, listener or secret is missing.
    pub inactive: Vec<InactiveRoute>,
}

impl MeshSnapshot {
    /// Finds the first route that matches a request, whether active or inactive.
    ///
    /// # Errors
    ///
    /// Returns the inactive route if it is the first match, or `None` if no route matches. An
    /// inactive route takes precedence over later ones, so that a request is not sent along another
    /// route while a service is temporarily unavailable.
    pub fn find_route(
        &self,
        listener: &str,
        method: &str,
        path: &str,
    ) -> Result<&ActiveRoute, Option<&InactiveRoute>> {
        let matched = self
            .profile
            .routes
            .iter()
            .find(|rule| rule.matches(listener, method, path));
        let Some(rule) = matched else {
            return Err(None);
        };
        if let Some(route) = self
            .routes
            .iter()
            .find(|route| route.rule.name == rule.name)
        {
            return Ok(route);
        }
        Err(self
            .inactive
            .iter()
            .find(|route| route.rule.name == rule.name))
    }
}

impl RouteRule {
    /// Returns whether a request matches this route.
    #[must_use]
    pub fn matches(&self, listener: &str, method: &str, path: &str) -> bool {
        if self.listener != listener {
            return false;
        }
        if !self.methods.is_empty() && !self.methods.iter().any(|allowed| allowed == method) {
            return false;
        }
        let prefix = self.path_prefix.trim_end_matches('/');
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

impl From<SnapshotInput<'_>> for MeshSnapshot {
    fn from(input: SnapshotInput<'_>) -> Self {
        let mut snapshot = Self {
            profile: input.profile.clone(),
            version: input.version,
            ..Self::default()
        };
        for rule in &input.profile.routes {
            match resolve_route(rule, &input) {
                Ok(cluster) => snapshot.routes.push(ActiveRoute {
                    rule: rule.clone(),
                    cluster,
                }),
                Err(missing) => snapshot.inactive.push(InactiveRoute {
                    rule: rule.clone(),
                    missing,
                }),
            }
        }
        snapshot
    }
}

impl SnapshotInput<'_> {
    /// Returns the first listener or secret that the profile requires and this node lacks. A node
    /// votes against such a profile. A missing cluster only makes its routes inactive, since
    /// services can appear and disappear at any time.
    #[must_use]
    pub fn find_missing(&self) -> Option<MissingDependency> {
        let listener = self
            .profile
            .listeners
            .iter()
            .find(|name| !self.listeners.contains(*name));
        if let Some(name) = listener {
            return Some(MissingDependency::Listener(name.clone()));
        }
        let secret = self
            .profile
            .secrets
            .iter()
            .find(|name| !self.secrets.contains(*name));
        secret.map(|name| MissingDependency::Secret(name.clone()))
    }
}

fn resolve_route(
    rule: &RouteRule,
    input: &SnapshotInput<'_>,
) -> Result<ClusterRef, MissingDependency> {
    if !input.listeners.contains(&rule.listener) {
        return Err(MissingDependency::Listener(rule.listener.clone()));
    }
    let clusters = &input.profile.clusters;
    let cluster = clusters
        .iter()
        .find(|cluster| cluster.name == rule.cluster && input.services.contains(&cluster.service))
        .ok_or_else(|| MissingDependency::Cluster(rule.cluster.clone()))?;
    match &cluster.secret {
        Some(name) if !input.secrets.contains(name) => Err(MissingDependency::Secret(name.clone())),
        _ => Ok(cluster.clone()),
    }
}
