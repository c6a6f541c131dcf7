//! Turns an accepted profile and the known services into the node's snapshot.

use std::collections::BTreeSet;
use std::sync::Arc;

use apricotfold_model::{
    ListenerName, MeshProfile, MeshSnapshot, MissingDependency, ProfileVersion, SecretName,
    ServiceName, SnapshotInput, log_event,
};

use crate::measure;
use crate::state::NodeState;

/// Holds the profile in force and rebuilds the snapshot when it or the services change.
pub struct ProfileEnforcer {
    state: Arc<NodeState>,
    listeners: BTreeSet<ListenerName>,
    secrets: BTreeSet<SecretName>,
    services: BTreeSet<ServiceName>,
    profile: MeshProfile,
    version: ProfileVersion,
}

impl ProfileEnforcer {
    /// Starts with the built-in default profile.
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

    /// Checks that this node could enforce the profile.
    ///
    /// # Errors
    ///
    /// Returns the listener or secret that this node lacks.
    pub fn prepare(&self, profile: &MeshProfile) -> Result<(), MissingDependency> {
        self.input(profile, 0).find_missing().map_or(Ok(()), Err)
    }

    /// Puts a profile in force as a whole.
    ///
    /// # Errors
    ///
    /// Returns the listener or secret that this node lacks; the earlier profile stays in force.
    pub fn apply(
        &mut self,
        profile: MeshProfile,
        version: ProfileVersion,
    ) -> Result<(), MissingDependency> {
        self.prepare(&profile)?;
        self.profile = profile;
        self.version = version;
        self.swap();
        measure::record_version(version);
        log_event!(
            info,
            VersionApplied,
            "profile {} version {version}",
            self.profile.name
        );
        Ok(())
    }

    /// Takes over the services that now have targets.
    pub fn set_services(&mut self, services: BTreeSet<ServiceName>) {
        if services == self.services {
            return;
        }
        self.services = services;
        self.swap();
    }

    fn input<'a>(&'a self, profile: &'a MeshProfile, version: ProfileVersion) -> SnapshotInput<'a> {
        SnapshotInput {
            profile,
            version,
            listeners: &self.listeners,
            secrets: &self.secrets,
            services: &self.services,
        }
    }

    fn swap(&self) {
        let snapshot = MeshSnapshot::from(self.input(&self.profile, self.version));
        let former = self.state.snapshot.load();
        for route in &snapshot.inactive {
            if !former.inactive.contains(route) {
                let (name, missing) = (&route.rule.name, &route.missing);
                log_event!(warn, RouteChanged, "route {name} inactive: no {missing}");
            }
        }
        for route in &snapshot.routes {
            if !former
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
