//! The one immutable view of configuration that a node serves from. See `docs/design.md`,
//! section 1.3, invariant I2.

use std::collections::BTreeSet;

use compact_str::CompactString;
use strum::Display;

use crate::{
    ClusterRef, ListenerName, MeshProfile, ProfileVersion, RouteRule, SecretName, ServiceName,
};

/// Kind of the part that a route lacks.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum MissingDependency {
    /// No live target of the cluster's service is known.
    #[strum(to_string = "cluster {0}")]
    Cluster(CompactString),
    /// The node has no listener of that name.
    #[strum(to_string = "listener {0}")]
    Listener(CompactString),
    /// The node has no secret of that name.
    #[strum(to_string = "secret {0}")]
    Secret(CompactString),
}

/// A route together with its cluster, both present on this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRoute {
    /// The route.
    pub rule: RouteRule,
    /// The cluster that it names.
    pub cluster: ClusterRef,
}

/// A route that matches nothing until its missing part appears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InactiveRoute {
    /// The route.
    pub rule: RouteRule,
    /// The first part found missing.
    pub missing: MissingDependency,
}

/// What a snapshot is built from.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotInput<'a> {
    /// The profile to enforce.
    pub profile: &'a MeshProfile,
    /// Its version; 0 for the built-in default.
    pub version: ProfileVersion,
    /// Listeners that this node has.
    pub listeners: &'a BTreeSet<ListenerName>,
    /// Secrets that this node has.
    pub secrets: &'a BTreeSet<SecretName>,
    /// Services with at least one live target.
    pub services: &'a BTreeSet<ServiceName>,
}

/// An immutable view of routes, clusters, listeners and secrets. It is replaced as a whole, so that
/// a reader never meets a route without its parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MeshSnapshot {
    /// The enforced profile.
    pub profile: MeshProfile,
    /// Its version; 0 for the built-in default.
    pub version: ProfileVersion,
    /// Routes that can be served, in the order in which they are tried.
    pub routes: Vec<ActiveRoute>,
    /// Routes whose cluster, listener or secret is missing.
    pub inactive: Vec<InactiveRoute>,
}

impl MeshSnapshot {
    /// Finds the first route that matches, active or not.
    ///
    /// # Errors
    ///
    /// Returns the inactive route when it is the first match, or `None` when nothing matches. An
    /// inactive route hides later ones, so that a request never takes another route only because
    /// a service is away for a moment.
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
    /// Tells whether a request belongs to this route.
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
    /// Finds a listener or secret that the profile needs and this node does not have. A node
    /// refuses to prepare such a profile; a missing cluster only makes its routes inactive, since
    /// services come and go.
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
