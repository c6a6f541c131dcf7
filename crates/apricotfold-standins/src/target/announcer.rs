//! Client of the node's API for announcing targets.

use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::StepError;
use apricotfold_schema::settings::TargetAnnouncement;
use eyre::WrapErr as _;

use super::runtime::TargetRuntime;

/// Time between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request to the node.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces a target to its node.
#[derive(Clone)]
pub struct NodeAnnouncer {
    client: reqwest::Client,
    node_url: String,
    runtime: Arc<TargetRuntime>,
}

impl NodeAnnouncer {
    /// Creates a client for the admin URL of a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(node_url: &str, runtime: &Arc<TargetRuntime>) -> eyre::Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(NODE_TIMEOUT)
            .build()
            .wrap_err("creating the HTTP client")?;
        Ok(Self {
            client,
            node_url: node_url.trim_end_matches('/').to_owned(),
            runtime: Arc::clone(runtime),
        })
    }

    /// Announces the target once a second, unless announcements are paused, until the future is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
        let mut reachable = true;
        loop {
            ticks.tick().await;
            if self.runtime.reports_paused() {
                continue;
            }
            let result = self.announce().await;
            match &result {
                Err(error) if reachable => log::warn!("{error}"),
                Ok(()) if !reachable => log::info!("node {} is reachable again", self.node_url),
                _ => {}
            }
            reachable = result.is_ok();
        }
    }

    /// Announces the current state once.
    ///
    /// # Errors
    ///
    /// Returns an error if the node is unreachable or rejects the request.
    pub async fn announce(&self) -> Result<(), StepError> {
        self.post("announce", &self.runtime.announcement()).await
    }

    /// Deregisters the target from the node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node is unreachable or rejects the request.
    pub async fn leave(&self) -> Result<(), StepError> {
        self.post("leave", &self.runtime.announcement()).await
    }

    async fn post(
        &self,
        step: &'static str,
        announcement: &TargetAnnouncement,
    ) -> Result<(), StepError> {
        let url = format!("{}/v1/{step}", self.node_url);
        let sent = self.client.post(&url).json(announcement).send().await;
        sent.and_then(reqwest::Response::error_for_status)
            .map(|_| ())
            .map_err(|error| StepError::new(step, url, error))
    }
}
