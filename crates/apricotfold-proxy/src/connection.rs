//! HTTP/1.1 server for peers, targets and the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::log_event;
use futures_util::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::call_body::ResponseBody;
use crate::callers::connection_slots::{BusySlot, ConnectionSlot, ConnectionSlots};
use crate::connection_pool::set_socket_options;
use crate::lifecycle::{Lifecycle, ProcessPhase};
use crate::request_codec::MAX_HEADERS;

/// Time after which a peer that acknowledges no data counts as disconnected.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time to read the head of the next request. It is above the idle timeout with which the
/// other side keeps connections.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the read buffer. It must hold the largest head, which has the caller's headers and those
/// of the mesh; callers' heads have up to 16 KiB in the deployments. A connection keeps a
/// buffer of this size while a body arrives.
const BUFFER_BYTES: usize = 64 * 1024;

/// Largest number of headers in a request. It must hold a caller's and those of the mesh.
const MAX_MESSAGE_HEADERS: usize = MAX_HEADERS + 32;

/// Pause after a failed accept, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The other side disconnected, so no response is written.
#[derive(Debug)]
pub struct CallerDisconnected;

impl std::fmt::Display for CallerDisconnected {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the caller left")
    }
}

impl std::error::Error for CallerDisconnected {}

/// Handles the requests of one server.
pub trait RequestHandler: Send + Sync {
    /// Handles a request. An error closes the connection without a response.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, CallerDisconnected>>;
}

/// Opens a listener and logs a failure.
///
/// # Errors
///
/// Returns the system's error, for example if the address is in use.
pub async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Ok(listener),
        Err(error) => {
            log_event!(error, ListenFailed, "{address}: {error}");
            Err(error.into())
        }
    }
}

/// Accepts the next connection, and retries after errors.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log_event!(warn, ConnectionFailed, "accept: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts and serves connections until the process ends.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn RequestHandler>,
    lifecycle: Lifecycle,
    slots: Arc<ConnectionSlots>,
) {
    loop {
        let stream = accept(&listener).await;
        if let Some(slot) = slots.accept() {
            let served = serve_connection(stream, handler.clone(), lifecycle.clone(), slot);
            tokio::spawn(served);
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn RequestHandler>,
    lifecycle: Lifecycle,
    slot: ConnectionSlot,
) {
    let slot = Arc::new(slot);
    set_socket_options(&stream, TCP_USER_TIMEOUT);
    let requests = lifecycle.clone();
    let busy_slot = slot.clone();
    let service = service_fn(move |request| {
        let in_flight = requests.begin_request();
        let busy = BusySlot::begin(&busy_slot);
        let handler = handler.clone();
        async move {
            let Some(busy) = busy else {
                return Err(CallerDisconnected);
            };
            let answer = handler.handle(request).await?;
            Ok::<_, CallerDisconnected>(answer.map(|body| body.tracked((in_flight, busy))))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .max_headers(MAX_MESSAGE_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut phases = lifecycle.watch();
    let mut closing = false;
    loop {
        if !closing && *phases.borrow_and_update() == ProcessPhase::Closing {
            closing = true;
            connection.as_mut().graceful_shutdown();
        }
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log_event!(debug, ConnectionFailed, "{error}");
                }
                return;
            }
            () = slot.replaced() => return,
            Ok(()) = phases.changed() => {}
        }
    }
}
