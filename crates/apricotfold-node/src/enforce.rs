//! Builds the node's snapshot of routes from the active profile and the known services.

use std::collections::BTreeSet;
use std::sync::Arc;

use apricotfold_model::{
    ListenerName, MeshProfile, MeshSnapshot, MissingDependency, ProfileVersion, SecretName,
    ServiceName, SnapshotInput, log_event,
};

use crate::node_metrics;
use crate::state::NodeState;

/// Holds the active profile and rebuilds the snapshot when the profile or the set of services
/// changes.
pub struct ProfileEnforcer {
    state: Arc<NodeState>,
    listeners: BTreeSet<ListenerName>,
    secrets: BTreeSet<SecretName>,
    services: BTreeSet<ServiceName>,
    profile: MeshProfile,
    version: ProfileVersion,
}

impl ProfileEnforcer {
    /// Creates an enforcer with the built-in default profile, version 0, and no services.
    pub fn new(state: Arc<NodeState>) -> Self {
        let config = &state.config;
        Self {
            listeners: config
                .listeners
                .iter()
                .map(|listener| listener.name.clone())
                .collect(),
            secrets: config
                .secrets
                .iter()
                .map(|secret| secret.name.clone())
                .collect(),
            services: BTreeSet::new(),
            profile: MeshProfile::default(),
            version: 0,
            state,
        }
    }

    /// Checks that this node has every listener and secret that the profile needs.
    ///
    /// # Errors
    ///
    /// Returns the listener or secret that this node lacks.
    pub fn prepare(&self, profile: &MeshProfile) -> Result<(), MissingDependency> {
        self.snapshot_input(profile, 0)
            .find_missing()
            .map_or(Ok(()), Err)
    }

    /// Replaces the active profile as a whole.
    ///
    /// # Errors
    ///
    /// Returns the listener or secret that this node lacks; the previous profile then stays active.
    pub fn apply(
        &mut self,
        profile: MeshProfile,
        version: ProfileVersion,
    ) -> Result<(), MissingDependency> {
        self.prepare(&profile)?;
        self.profile = profile;
        self.version = version;
        self.rebuild_snapshot();
        node_metrics::record_version(version);
        log_event!(
            info,
            VersionApplied,
            "profile {} version {version}",
            self.profile.name
        );
        Ok(())
    }

    /// Sets the services that have targets; a change activates or deactivates their routes.
    pub fn set_services(&mut self, services: BTreeSet<ServiceName>) {
        if services == self.services {
            return;
        }
        self.services = services;
        self.rebuild_snapshot();
    }

    fn snapshot_input<'a>(
        &'a self,
        profile: &'a MeshProfile,
        version: ProfileVersion,
    ) -> SnapshotInput<'a> {
        SnapshotInput {
            profile,
            version,
            listeners: &self.listeners,
            secrets: &self.secrets,
            services: &self.services,
        }
    }

    fn rebuild_snapshot(&self) {
        let snapshot = MeshSnapshot::from(self.snapshot_input(&self.profile, self.version));
        let previous = self.state.snapshot.load();
        for route in &snapshot.inactive {
            if !previous.inactive.contains(route) {
                let (name, missing) = (&route.rule.name, &route.missing);
                log_event!(warn, RouteChanged, "route {name} inactive: no {missing}");
            }
        }
        for route in &snapshot.routes {
            if !previous
                .routes
                .iter()
                .any(|known| known.rule.name == route.rule.name)
            {
                log_event!(info, RouteChanged, "route {} active", route.rule.name);
            }
        }
        self.state.set_limits(&snapshot.profile.limits);
        self.state.snapshot.store(Arc::new(snapshot));
    }
}
