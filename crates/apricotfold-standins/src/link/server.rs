//! Listener and admin server of the link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::LinkConfig;
use eyre::WrapErr as _;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch::Receiver;
use tokio::task::JoinSet;

use super::admin::admin_router;
use super::connection::forward;
use super::state::{LinkRules, LinkState};
use crate::http::BoundServer;

/// Length of the kernel's queue of connections that have not been accepted yet.
const LISTEN_BACKLOG: u32 = 1024;
/// Delay before accepting or listening is retried after an error.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Fault-injecting link that is bound to its addresses.
pub struct LinkServer {
    listener: TcpListener,
    address: SocketAddr,
    admin: BoundServer,
    upstream: SocketAddr,
    state: Arc<LinkState>,
}

impl LinkServer {
    /// Binds the configured address for clients and the admin address.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn bind(config: &LinkConfig) -> eyre::Result<Self> {
        let listener = bind_socket(config.address)
            .and_then(|socket| socket.listen(LISTEN_BACKLOG))
            .wrap_err_with(|| format!("listening on address {}", config.address))?;
        let address = listener.local_addr()?;
        log::info!("address is {address}, upstream is {}", config.upstream);
        let admin = BoundServer::bind("admin_address", config.admin_address).await?;
        Ok(Self {
            listener,
            address,
            admin,
            upstream: config.upstream,
            state: Arc::new(LinkState::new(config)),
        })
    }

    /// Bound address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bound address of the admin endpoints.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Forwards connections until `stop` completes, then closes open connections.
    ///
    /// # Errors
    ///
    /// Returns the admin server's error.
    pub async fn run(self, stop: impl Future<Output = ()> + Send) -> eyre::Result<()> {
        let router = admin_router(&self.state);
        let listening = listen(self.listener, self.address, self.upstream, &self.state);
        tokio::select! {
            served = self.admin.serve(router) => served,
            () = listening => Ok(()),
            () = stop => Ok(()),
        }
    }
}

/// Binds a socket without listening on it.
fn bind_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn listen(
    mut listener: TcpListener,
    address: SocketAddr,
    upstream: SocketAddr,
    state: &Arc<LinkState>,
) {
    let mut rules = state.rules();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((client, address)) => {
                    let state = Arc::clone(state);
                    connections.spawn(forward(state, client, address.ip(), upstream));
                }
                Err(error) => {
                    log::warn!("accepting on {address}: {error}");
                    tokio::time::sleep(LISTEN_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = wait_until_closed(&mut rules) => {
                drop(listener);
                listener = reopen(address, &mut rules).await;
            }
        }
    }
}

async fn wait_until_closed(rules: &mut Receiver<LinkRules>) {
    // The listener holds the shared state, which owns the sender, so this cannot fail.
    let _ = rules.wait_for(LinkRules::is_closed).await;
}

/// Keeps the port bound without listening until the end of the cut, so that connections are refused
/// and no other process can bind the port; then listens again.
async fn reopen(address: SocketAddr, rules: &mut Receiver<LinkRules>) -> TcpListener {
    log::info!("cut: {address} refuses connections");
    loop {
        let reserved = bind_socket(address);
        let _ = rules.wait_for(|rules| !rules.is_closed()).await;
        match reserved.and_then(|socket| socket.listen(LISTEN_BACKLOG)) {
            Ok(listener) => {
                log::info!("cut ended: {address} accepts connections");
                return listener;
            }
            Err(error) => log::warn!("listening on {address} again: {error}"),
        }
        tokio::time::sleep(LISTEN_RETRY_DELAY).await;
    }
}
