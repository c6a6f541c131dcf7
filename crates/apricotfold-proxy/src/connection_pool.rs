//! Pools of connections to targets and to other proxies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::callers::body_pieces::SentBody;
use crate::gated_body::GatedBody;
use crate::telemetry;

/// Body of a request to another process.
pub type OutgoingBody = GatedBody<SentBody>;

/// Longest wait for a pooled connection to become ready. The last bytes of a response and the ready
/// state of its connection are at most one poll of the connection's task apart.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Number of pooled connections that may turn out to be closed before a new one is opened for a
/// request.
const MAX_IDLE_TRIES: usize = 2;

/// Idle time before the first TCP keepalive probe, and the interval between probes. A path that
/// fails without a reset is noticed after three intervals.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the system closes a connection.
const PROBE_COUNT: u32 = 2;

/// Settings of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Value of the `kind` label in the metrics.
    pub kind: &'static str,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// Longest time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout: Duration,
    /// Largest number of headers in a response; `None` for hyper's default of 100, which it parses
    /// without an allocation.
    pub max_headers: Option<usize>,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte of the request can have reached the other end.
    NotSent(String),
    /// The request may have reached the other end.
    Lost(String),
    /// The request may have reached the other end before the deadline passed.
    TimedOut,
}

/// Aborts a connection's task on drop, which closes its socket.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries one request at a time.
pub struct PooledConnection {
    address: SocketAddr,
    sender: SendRequest<OutgoingBody>,
    /// Longest idle time that the other end announced, if it did.
    pub announced_idle: Option<Duration>,
    _task: ConnectionTask,
}

struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

type IdleConnections = HashMap<SocketAddr, Vec<IdleConnection>>;

/// Keeps idle connections for reuse, by address.
#[derive(Clone)]
pub struct ConnectionPool {
    rules: PoolConfig,
    idle: Arc<Mutex<IdleConnections>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(rules: PoolConfig) -> Self {
        Self {
            rules,
            idle: Arc::default(),
        }
    }

    /// Sends a request and waits for the head of its response until `deadline`.
    ///
    /// `max_idle` limits the idle time of a reused connection: a request that must not run twice
    /// cannot be retried if the other end closes the idle connection at the same moment.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<OutgoingBody>,
        max_idle: Duration,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, PooledConnection), SendFailure> {
        let mut request = request;
        for turn in 0..=MAX_IDLE_TRIES {
            let kept = (turn < MAX_IDLE_TRIES)
                .then(|| self.take(address, max_idle))
                .flatten();
            let (mut connection, fresh) = match kept {
                Some(connection) => (connection, false),
                None => (self.connect(address, deadline).await?, true),
            };
            if timeout(READY_TIMEOUT, connection.sender.ready())
                .await
                .is_ok_and(|ready| ready.is_ok())
            {
                let sent = connection.sender.try_send_request(request);
                match tokio::time::timeout_at(deadline.into(), sent).await {
                    Err(_) => return Err(SendFailure::TimedOut),
                    Ok(Ok(answer)) => return Ok((answer, connection)),
                    Ok(Err(mut error)) => match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(SendFailure::Lost(error.into_error().to_string())),
                    },
                }
            }
            if fresh {
                break;
            }
        }
        Err(SendFailure::NotSent(
            "every connection was closed before the request was sent".to_owned(),
        ))
    }

    /// Returns a connection to the pool after the end of its last response.
    pub fn put_idle(&self, connection: PooledConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.lock();
        idle.entry(connection.address)
            .or_default()
            .push(IdleConnection { connection, since });
    }

    /// Closes connections that have been idle for longer than the pool's `idle_timeout`.
    pub fn prune(&self) {
        let rules = self.rules;
        self.lock().retain(|_, connections| {
            connections.retain(|idle| is_usable(idle, rules.idle_timeout));
            !connections.is_empty()
        });
    }

    /// Opens and closes a connection to find out whether the other end is listening.
    pub async fn probe(&self, address: SocketAddr) -> Result<(), SendFailure> {
        let deadline = Instant::now() + self.rules.connect_timeout;
        self.connect(address, deadline).await.map(drop)
    }

    fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<PooledConnection> {
        let limit = self.rules.idle_timeout.min(max_idle);
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(last) = connections.pop() {
            if is_usable(&last, limit) {
                return Some(last.connection);
            }
            let stale = last.since.elapsed() >= limit && !last.connection.sender.is_closed();
            if stale {
                // Older connections are also idle for too long for this request, but other requests
                // may use them.
                connections.push(last);
                return None;
            }
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, SendFailure> {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = self.rules.connect_timeout.min(left);
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| SendFailure::NotSent(format!("no connection within {limit:?}")))?
            .map_err(|error| SendFailure::NotSent(error.to_string()))?;
        telemetry::count_connection(self.rules.kind);
        set_socket_options(&stream, self.rules.tcp_user_timeout);
        let mut builder = http1::Builder::new();
        if let Some(most) = self.rules.max_headers {
            builder.max_headers(most);
        }
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendFailure::NotSent(error.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(PooledConnection {
            address,
            sender,
            announced_idle: None,
            _task: ConnectionTask(task),
        })
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().expect("no panic while locked")
    }
}

fn is_usable(idle: &IdleConnection, limit: Duration) -> bool {
    let announced = idle.connection.announced_idle.unwrap_or(limit);
    idle.since.elapsed() < limit.min(announced) && !idle.connection.sender.is_closed()
}

/// Sets the options that limit how long an unresponsive connection is kept. Failures are only
/// logged, because they merely lengthen that time.
pub fn set_socket_options(stream: &TcpStream, tcp_user_timeout: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(tcp_user_timeout)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("socket option not set: {error}");
    }
}
