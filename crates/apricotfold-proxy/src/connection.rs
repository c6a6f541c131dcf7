//! Serves HTTP/1.1 connections and notices callers that leave.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use apricotfold_model::{CallerLimits, log_event};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderValue, Request, Response, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::call_body::{AnswerBody, BodyError};
use crate::lifecycle::{InFlightGuard, Lifecycle, ProcessPhase};
use crate::link_pool::set_socket_options;

/// Time after which a caller that acknowledges nothing counts as gone.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER: usize = 8 * 1024;

/// Interval at which a connection with unread pipelined requests is checked for its caller's
/// presence: its readable state no longer says anything about the caller.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(50);

/// Pause after a failed accept, such as one for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The caller left, so no answer is written.
#[derive(Debug)]
pub struct CallerGone;

impl std::fmt::Display for CallerGone {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the caller left")
    }
}

impl std::error::Error for CallerGone {}

/// Answers one kind of request.
pub trait RequestHandler: Send + Sync {
    /// Answers a request; an error closes the connection without an answer.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<AnswerBody>, CallerGone>>;

    /// Limits on those who send requests.
    fn limits(&self) -> CallerLimits;
}

/// Opens a listener.
///
/// # Errors
///
/// Returns the error of the system, after logging the address.
pub async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Ok(listener),
        Err(error) => {
            log_event!(error, ListenFailed, "{address}: {error}");
            Err(error.into())
        }
    }
}

/// Accepts and serves connections until the process ends.
pub async fn serve(listener: TcpListener, handler: Arc<dyn RequestHandler>, lifecycle: Lifecycle) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, handler.clone(), lifecycle.clone()));
            }
            Err(error) => {
                log_event!(warn, ConnectionFailed, "accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn RequestHandler>,
    lifecycle: Lifecycle,
) {
    set_socket_options(&stream, UNACKNOWLEDGED_LIMIT);
    let stream = Arc::new(stream);
    let clock = ConnectionClock::default();
    let limits = handler.limits();
    let io = TokioIo::new(SharedStream {
        stream: stream.clone(),
        clock: clock.clone(),
    });
    let service_clock = clock.clone();
    let service_lifecycle = lifecycle.clone();
    let service = service_fn(move |request| {
        let busy = service_clock.begin();
        let in_flight = service_lifecycle.begin_request();
        let leaving = service_lifecycle.phase() != ProcessPhase::Serving;
        let answer = handler.clone().handle(request);
        let presence = wait_for_departure(stream.clone());
        async move {
            tokio::select! {
                biased;
                answer = answer => {
                    let mut answer = answer?;
                    if leaving {
                        let close = HeaderValue::from_static("close");
                        answer.headers_mut().insert(header::CONNECTION, close);
                    }
                    Ok::<_, CallerGone>(answer.map(|body| TrackedBody { body, _busy: busy, _in_flight: in_flight }))
                }
                () = presence => Err(CallerGone),
            }
        }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER))
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut phases = lifecycle.watch();
    if lifecycle.phase() == ProcessPhase::Closing {
        connection.as_mut().graceful_shutdown();
    }
    let mut closing = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log_event!(debug, ConnectionFailed, "{error}");
                }
                return;
            }
            Ok(()) = phases.changed() => {
                if *phases.borrow_and_update() == ProcessPhase::Closing {
                    connection.as_mut().graceful_shutdown();
                }
            }
            overdue = clock.wait_overdue(&limits), if !closing => match overdue {
                OverduePart::Head => {
                    log_event!(info, ConnectionFailed, "no whole head within {:?}", limits.header_time);
                    return;
                }
                OverduePart::NextRequest => {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            },
        }
    }
}

/// Waits until the caller has closed its side of the connection.
async fn wait_for_departure(stream: Arc<TcpStream>) {
    let mut byte = [0_u8; 1];
    while let Ok(1..) = stream.peek(&mut byte).await {
        tokio::time::sleep(PRESENCE_INTERVAL).await;
    }
}

/// Part of a connection that took too long.
enum OverduePart {
    /// The head of a request.
    Head,
    /// The next request on an idle connection.
    NextRequest,
}

#[derive(Debug)]
struct ClockState {
    busy: u32,
    head_since: Option<Instant>,
    idle_since: Instant,
}

/// Knows whether a connection is idle, receives a head, or carries a request.
#[derive(Clone, Debug)]
struct ConnectionClock(Arc<Mutex<ClockState>>);

impl Default for ConnectionClock {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(ClockState {
            busy: 0,
            head_since: None,
            idle_since: Instant::now(),
        })))
    }
}

/// Marks a connection as carrying a request until it is dropped.
struct BusyGuard(ConnectionClock);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.busy -= 1;
        state.idle_since = Instant::now();
    }
}

impl ConnectionClock {
    fn lock(&self) -> MutexGuard<'_, ClockState> {
        self.0.lock().expect("no panic while locked")
    }

    fn begin(&self) -> BusyGuard {
        let mut state = self.lock();
        state.busy += 1;
        state.head_since = None;
        BusyGuard(self.clone())
    }

    fn note_bytes(&self) {
        let mut state = self.lock();
        if state.busy == 0 {
            state.head_since.get_or_insert_with(Instant::now);
        }
    }

    async fn wait_overdue(&self, limits: &CallerLimits) -> OverduePart {
        loop {
            let wait = {
                let state = self.lock();
                let (since, limit) = match state.head_since {
                    Some(since) => (since, limits.header_time),
                    None => (state.idle_since, limits.idle_time),
                };
                let left = limit.saturating_sub(since.elapsed());
                if state.busy > 0 {
                    limits.header_time
                } else if left.is_zero() {
                    return match state.head_since {
                        Some(_) => OverduePart::Head,
                        None => OverduePart::NextRequest,
                    };
                } else {
                    left.min(limits.header_time)
                }
            };
            tokio::time::sleep(wait).await;
        }
    }
}

/// A stream that the connection's presence check can look at beside hyper.
struct SharedStream {
    stream: Arc<TcpStream>,
    clock: ConnectionClock,
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            std::task::ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    if count > 0 {
                        self.clock.note_bytes();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            std::task::ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            std::task::ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write_vectored(parts) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write);
        Poll::Ready(match result {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        })
    }
}

/// A body that marks its request as in progress until its end.
struct TrackedBody {
    body: AnswerBody,
    _busy: BusyGuard,
    _in_flight: InFlightGuard,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
