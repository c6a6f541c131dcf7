//! HTTP server of the target and its lifecycle, from the first announcement to the exit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::TargetStandinConfig;
use salvo::Router;

use super::admin::admin_router;
use super::announcer::NodeAnnouncer;
use super::runtime::TargetRuntime;
use super::work::WorkHandler;
use crate::http::BoundServer;

/// Longest wait, after the last request has ended, for connections to deliver their responses and
/// close. A connection with a partially received request never closes by itself.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Target stand-in that is bound to its address.
pub struct TargetServer {
    server: BoundServer,
    runtime: Arc<TargetRuntime>,
    announcer: NodeAnnouncer,
}

impl TargetServer {
    /// Binds the configured address and opens the journal.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the journal cannot be opened.
    pub async fn bind(config: &TargetStandinConfig) -> eyre::Result<Self> {
        let server = BoundServer::bind("address", config.address)
            .await?
            .with_max_connections(config.connections as usize);
        let runtime = TargetRuntime::new(config, server.address())?;
        let announcer = NodeAnnouncer::new(&config.node_url, &runtime)?;
        Ok(Self {
            server,
            runtime,
            announcer,
        })
    }

    /// Bound address, with the actual port if the settings have port 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Serves until `stop` completes, then drains: announces the drain, finishes the requests in
    /// flight, deregisters from the node and closes the connections.
    ///
    /// # Errors
    ///
    /// Returns the server's error.
    pub async fn run(self, stop: impl Future<Output = ()> + Send) -> eyre::Result<()> {
        let router = Router::new().push(admin_router(&self.runtime)).push(
            Router::with_path("{**path}").goal(WorkHandler {
                runtime: Arc::clone(&self.runtime),
            }),
        );
        let (handle, serving) = self.server.serve_with_handle(router);
        let lifecycle = async {
            tokio::select! {
                () = self.announcer.run() => {}
                () = stop => {}
            }
            drain(&self.runtime, &self.announcer).await;
            handle.stop_graceful(None);
            self.runtime.wait_for_idle().await;
            tokio::time::sleep(CLOSE_TIMEOUT).await;
        };
        tokio::select! {
            served = serving => served,
            () = lifecycle => Ok(()),
        }
    }
}

async fn drain(runtime: &TargetRuntime, announcer: &NodeAnnouncer) {
    runtime.drain();
    log::info!("draining");
    if let Err(error) = announcer.announce().await {
        log::warn!("{error}");
    }
    tokio::select! {
        // The node removes targets that stop announcing themselves.
        () = announcer.run() => {}
        () = runtime.wait_for_idle() => {}
    }
    match announcer.leave().await {
        Ok(()) => log::info!("deregistered from the node"),
        Err(error) => log::warn!("{error}"),
    }
}
