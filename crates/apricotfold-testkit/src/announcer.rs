//! Announces targets for nodes that have no target process, so that a mesh of many nodes needs one
//! process per node.

use std::time::Duration;

use apricotfold_schema::settings::TargetAnnouncement;
use tokio::task::JoinHandle;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(800);

/// Announces a set of targets until dropped.
#[derive(Debug)]
pub struct TargetAnnouncer(JoinHandle<()>);

impl TargetAnnouncer {
    /// Starts to announce each target to the admin URL of its node.
    #[must_use]
    pub fn start(targets: Vec<(String, TargetAnnouncement)>) -> Self {
        let client = reqwest::Client::new();
        Self(tokio::spawn(async move {
            loop {
                for (url, target) in &targets {
                    let request = client.post(format!("{url}/v1/announce")).json(target);
                    // A node that is down hears the next announcement after its restart.
                    tokio::spawn(request.timeout(ANNOUNCE_INTERVAL).send());
                }
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        }))
    }
}

impl Drop for TargetAnnouncer {
    fn drop(&mut self) {
        self.0.abort();
    }
}
