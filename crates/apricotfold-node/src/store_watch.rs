//! Distribution through the store instead of peer streams: every node writes its endpoint to the
//! store and watches all endpoints and heads there. It is the baseline for measurements, see
//! `docs/design.md`, section 2.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use apricotfold_control::RelayInfo;
use apricotfold_model::{
    CandidateEntry, HeadEntry, HeadState, MeshProfile, OutcomeEntry, ProfileBundle, ProfileName,
    log_event,
};
use apricotfold_store::{
    Compare, ConfigStore, HttpStore, LeaseId, StoreEntry, StoreTxn, WatchBatch, WatchEvent,
};
use compact_str::ToCompactString;
use futures_util::StreamExt;

use crate::enforce::ProfileEnforcer;
use crate::node_metrics;
use crate::state::{ControlStatus, NodeState};
use crate::view::{EndpointInfo, MeshView};

const ENDPOINTS_PREFIX: &str = "/apricotfold/endpoints/";
const ENDPOINT_TTL: Duration = Duration::from_secs(5);
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Announces this node in the store and watches the store until the process ends. Starts over after
/// each error.
pub async fn run(state: Arc<NodeState>) {
    let store = match HttpStore::new(&state.config.store, state.config.local_address()) {
        Ok(store) => store,
        Err(error) => {
            log_event!(error, StoreUnavailable, "{error:#}");
            return;
        }
    };
    let mut session = WatchSession::new(state, Arc::new(store));
    loop {
        if let Err(error) = session.follow_store().await {
            log_event!(warn, StoreUnavailable, "{error:#}");
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

struct WatchSession {
    state: Arc<NodeState>,
    store: Arc<dyn ConfigStore>,
    enforcer: ProfileEnforcer,
    view: MeshView,
    heads: BTreeMap<ProfileName, (HeadEntry, i64)>,
    lease: LeaseId,
}

impl WatchSession {
    fn new(state: Arc<NodeState>, store: Arc<dyn ConfigStore>) -> Self {
        Self {
            enforcer: ProfileEnforcer::new(state.clone()),
            state,
            store,
            view: MeshView::default(),
            heads: BTreeMap::new(),
            lease: 0,
        }
    }

    async fn follow_store(&mut self) -> eyre::Result<()> {
        self.lease = self.store.grant(ENDPOINT_TTL).await?;
        self.announce().await?;
        let listing = self.store.list(apricotfold_model::keys::ROOT).await?;
        node_metrics::record_store_call("list");
        self.view = MeshView::default();
        for entry in &listing.entries {
            self.apply_entry(entry).await?;
        }
        self.refresh().await?;
        self.state.ready.store(true, Ordering::Relaxed);
        log_event!(
            info,
            StoreAvailable,
            "watching {}",
            apricotfold_model::keys::ROOT
        );
        let start = listing.revision + 1;
        let mut watch = self
            .store
            .watch(apricotfold_model::keys::ROOT, start)
            .await?;
        let mut renew = tokio::time::interval(RENEW_INTERVAL);
        let mut target = self.state.watch_target();
        let mut crashes = self.state.crash_reports.subscribe();
        let mut own_crashes: u64 = 0;
        loop {
            tokio::select! {
                batch = watch.next() => {
                    let batch = batch.ok_or_else(|| eyre::eyre!("the store ended the watch"))??;
                    self.apply_batch(batch).await?;
                }
                _ = renew.tick() => {
                    if self.store.keep_alive(self.lease).await?.is_zero() {
                        eyre::bail!("the lease of the endpoint entry expired");
                    }
                    node_metrics::record_store_call("keep-alive");
                }
                Ok(fingerprint) = crashes.recv() => {
                    own_crashes += 1;
                    self.state.merge_crash(&fingerprint, own_crashes.to_compact_string());
                }
                changed = target.changed() => {
                    changed?;
                    self.announce().await?;
                    self.refresh().await?;
                }
            }
        }
    }

    async fn announce(&self) -> eyre::Result<()> {
        let config = &self.state.config;
        let target = self.state.target();
        let info = EndpointInfo {
            node: config.node.clone(),
            region: config.region.clone(),
            data_centre: config.data_centre.clone(),
            mesh_address: config.advertised_mesh.clone(),
            control_address: config.advertised_control.clone(),
            service: target
                .as_ref()
                .map(|target| target.service.clone())
                .unwrap_or_default(),
            profile: target
                .as_ref()
                .map(|target| target.profile.clone())
                .unwrap_or_default(),
            slots: target.as_ref().map_or(0, |target| target.slots),
            draining: self.state.draining.load(Ordering::Relaxed)
                || target.is_some_and(|target| target.draining),
            admin_address: config.admin_address.to_string().into(),
            applied_version: Some(self.state.snapshot.load().version),
            live: true,
            lag_reason: self.state.control.load().lag_reason.clone(),
        };
        let key = format!("{ENDPOINTS_PREFIX}{}", config.node);
        let value = serde_json::to_string(&info)?;
        let txn = StoreTxn::default().put_leased(key, value, self.lease);
        self.store.commit(&txn).await?;
        node_metrics::record_store_call("commit");
        Ok(())
    }

    /// Returns this node as its own acting relay, because without peers every node writes its own
    /// claims.
    fn own_relay(&self) -> RelayInfo {
        let config = &self.state.config;
        RelayInfo {
            data_centre: config.data_centre.clone(),
            region: config.region.clone(),
            slot: 0,
            node: config.node.clone(),
            control_address: config.advertised_control.clone(),
            fence: 0,
            live: true,
            acting: true,
            gateway: false,
        }
    }

    async fn apply_batch(&mut self, batch: WatchBatch) -> eyre::Result<()> {
        for event in batch.events {
            match event {
                WatchEvent::Put(entry) => self.apply_entry(&entry).await?,
                WatchEvent::Delete(key) => {
                    if let Some(node) = key.strip_prefix(ENDPOINTS_PREFIX) {
                        self.view.members.remove(node);
                    }
                }
            }
        }
        self.refresh().await
    }

    async fn apply_entry(&mut self, entry: &StoreEntry) -> eyre::Result<()> {
        if entry.key.starts_with(ENDPOINTS_PREFIX) {
            let info: EndpointInfo = serde_json::from_str(&entry.value)?;
            self.view.members.insert(info.node.clone(), info);
        } else if entry.key.starts_with(apricotfold_model::keys::HEADS) {
            let head: HeadEntry = serde_json::from_str(&entry.value)?;
            let known = self
                .heads
                .get(&head.profile)
                .map_or(0, |(known, _)| known.version);
            if head.version < known {
                log_event!(
                    warn,
                    OlderVersionIgnored,
                    "{} version {}",
                    head.profile,
                    head.version
                );
                return Ok(());
            }
            self.heads
                .insert(head.profile.clone(), (head, entry.mod_revision));
        } else if entry.key.starts_with(apricotfold_model::keys::CANDIDATES) {
            let candidate: CandidateEntry = serde_json::from_str(&entry.value)?;
            self.decide_candidate(candidate, entry.mod_revision).await?;
        }
        Ok(())
    }

    /// Accepts a candidate without votes. Only the node with the lowest id does so, and the
    /// comparison of revisions prevents a second decision.
    async fn decide_candidate(&self, candidate: CandidateEntry, revision: i64) -> eyre::Result<()> {
        if self.view.members.keys().next() != Some(&self.state.config.node) {
            return Ok(());
        }
        let (profile, version) = (&candidate.profile, candidate.version);
        let head = HeadEntry {
            profile: profile.clone(),
            version,
            digest: candidate.digest.clone(),
            state: candidate.state,
            publish_id: candidate.publish_id.clone(),
            operator: candidate.operator.clone(),
        };
        let outcome = OutcomeEntry {
            publish_id: candidate.publish_id.clone(),
            version,
            accepted: true,
            prepared: 0,
            refusals: Vec::new(),
        };
        let candidate_key = apricotfold_model::keys::candidate(profile);
        let head_key = apricotfold_model::keys::head(profile);
        let txn = StoreTxn::default()
            .when(Compare::ModRevision {
                key: candidate_key.clone(),
                revision,
            })
            .when(Compare::ModRevision {
                key: head_key.clone(),
                revision: candidate.base_revision,
            })
            .put(head_key, serde_json::to_string(&head)?)
            .put(
                apricotfold_model::keys::outcome(profile),
                serde_json::to_string(&outcome)?,
            )
            .delete(candidate_key);
        let answer = self.store.commit(&txn).await?;
        node_metrics::record_store_call("commit");
        log_event!(
            info,
            PublishDecided,
            "{profile} {version} accepted {}",
            answer.succeeded
        );
        Ok(())
    }

    /// Updates the shared view, balancers, snapshot and status from the entries received from the
    /// store.
    async fn refresh(&mut self) -> eyre::Result<()> {
        self.enforcer.set_services(self.view.services());
        self.state.balancers.update(&self.view, Instant::now());
        self.state.view.store(Arc::new(self.view.clone()));
        let selected = self
            .state
            .target()
            .map(|target| target.profile)
            .unwrap_or_default();
        let Some((head, _)) = self.heads.get(&selected).cloned() else {
            return Ok(());
        };
        let mut status = ControlStatus {
            head_version: head.version,
            ready: true,
            acting_relay: Some(self.own_relay()),
            ..ControlStatus::default()
        };
        let in_force = self.state.snapshot.load().version;
        if head.version > in_force
            && let Err(reason) = self.apply_head(&head).await?
        {
            log_event!(
                error,
                VersionNotApplicable,
                "{selected} {}: {reason}",
                head.version
            );
            status.lag_reason = reason.into();
        }
        self.state.control.store(Arc::new(status));
        Ok(())
    }

    async fn apply_head(&mut self, head: &HeadEntry) -> eyre::Result<Result<(), String>> {
        if head.state == HeadState::Withdrawn {
            let applied = self.enforcer.apply(MeshProfile::default(), head.version);
            return Ok(applied.map_err(|missing| format!("no {missing}")));
        }
        let key = apricotfold_model::keys::bundle(&head.digest);
        let answer = self.store.get(&key).await?;
        node_metrics::record_store_call("get");
        let Some(entry) = answer.entries.first() else {
            return Ok(Err(format!("bundle {} is not in the store", head.digest)));
        };
        let bundle = match ProfileBundle::verify(&entry.value, &head.digest) {
            Ok(bundle) => bundle,
            Err(error) => return Ok(Err(error.to_string())),
        };
        let applied = self.enforcer.apply(bundle.profile, head.version);
        Ok(applied.map_err(|missing| format!("no {missing}")))
    }
}
