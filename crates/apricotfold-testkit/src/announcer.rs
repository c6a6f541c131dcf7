//! Announces targets on behalf of nodes without a target process, so that a large mesh needs only
//! one process per node.

use std::time::Duration;

use apricotfold_schema::settings::TargetAnnouncement;
use tokio::task::JoinHandle;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(800);

/// Announces a set of targets periodically until dropped.
#[derive(Debug)]
pub struct TargetAnnouncer(JoinHandle<()>);

impl TargetAnnouncer {
    /// Starts announcing each target to the node with the given admin URL.
    #[must_use]
    pub fn start(targets: Vec<(String, TargetAnnouncement)>) -> Self {
        let client = reqwest::Client::new();
        Self(tokio::spawn(async move {
            loop {
                for (url, target) in &targets {
                    let request = client.post(format!("{url}/v1/announce")).json(target);
                    // Errors are ignored: a node that is down receives a later announcement after
                    // its restart.
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
