//! HTTP servers of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::{StepError, log_event};
use futures_util::future::join_all;
use metrics_exporter_prometheus::PrometheusHandle;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Handler, Router, Server};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;

use crate::admin;
use crate::entry::EntryHandler;
use crate::mesh::MeshHandler;
use crate::orders::OrderCoordinator;
use crate::state::NodeState;

/// Connections that wait to be accepted. After a network failure, many callers reconnect at once.
const BACKLOG: u32 = 1024;

/// Servers for callers and other nodes, stopped after the work in flight has ended.
pub struct ServerSet {
    calls: Vec<ServerTask>,
}

struct ServerTask {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl ServerSet {
    /// Closes idle connections and waits up to `limit` until the others have sent their complete
    /// responses. A response is handed over to the connection before the caller has read it, so its
    /// request no longer counts as in flight.
    pub async fn stop(self, limit: Duration) {
        for server in &self.calls {
            server.handle.stop_graceful(limit);
        }
        let tasks = self.calls.into_iter().map(|server| server.task);
        let stopped = tokio::time::timeout(limit, join_all(tasks)).await;
        if stopped.is_err() {
            log_event!(
                warn,
                DrainGraceExpired,
                "connections still open after {limit:?}"
            );
        }
    }
}

/// Binds all addresses, so that an unusable one is reported before the node announces itself.
pub fn start_all(
    state: &Arc<NodeState>,
    metrics: PrometheusHandle,
    orders: &Arc<OrderCoordinator>,
) -> eyre::Result<ServerSet> {
    let config = &state.config;
    let mut calls = Vec::new();
    for listener in &config.listeners {
        let handler = EntryHandler::new(state.clone(), listener.name.clone());
        calls.push(serve(listener.address, catch_all(handler))?);
    }
    let mesh = MeshHandler::new(state.clone(), orders.clone());
    calls.push(serve(config.mesh_address, catch_all(mesh))?);
    serve(config.admin_address, admin::router(state, metrics))?;
    Ok(ServerSet { calls })
}

/// Routes every path and method to one handler.
fn catch_all(handler: impl Handler) -> Router {
    Router::with_path("{**rest}").goal(handler)
}

fn serve(address: SocketAddr, router: Router) -> eyre::Result<ServerTask> {
    let listener = bind_listener(address).inspect_err(|error| {
        log_event!(error, ListenFailed, "{error}");
    })?;
    let server = Server::new(TcpAcceptor::try_from(listener)?);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(ServerTask { handle, task })
}

/// Binds a listening socket. Accepted sockets inherit `TCP_NODELAY`; without it, the second small
/// write of a response can wait 40 ms for a delayed acknowledgement.
pub fn bind_listener(address: SocketAddr) -> Result<TcpListener, StepError> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_nodelay(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|error| StepError::new("listen", address.to_string(), error))
}
