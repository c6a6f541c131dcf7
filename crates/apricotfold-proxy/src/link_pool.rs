//! Connections to targets and to other proxies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::measure;

/// Time after which a kept connection that has not become free again is given up. The last bytes
/// of an answer and the free state of its connection are at most one turn of its task apart.
const FREE_WAIT: Duration = Duration::from_millis(20);

/// Kept connections that may turn out to be closed before a new one is opened for a request.
const STALE_TRIES: usize = 2;

/// Silence after which the system probes a connection, and the time between probes. A path that
/// went silent without a reset is noticed after three of them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is closed.
const PROBE_COUNT: u32 = 2;

/// How connections of one kind are opened and kept.
#[derive(Clone, Copy, Debug)]
pub struct LinkRules {
    /// Label for the metrics.
    pub kind: &'static str,
    /// Longest time to open a connection.
    pub connect_limit: Duration,
    /// Longest time that a connection is kept idle.
    pub idle_timeout: Duration,
    /// Longest time for which sent bytes may stay unacknowledged.
    pub unacknowledged_limit: Duration,
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte of it can have reached the other end.
    NotSent(String),
    /// It may have reached the other end.
    Lost(String),
    /// It may have reached the other end, and time ran out.
    TimedOut,
}

/// Ends a connection's task when the connection is dropped, which closes its socket.
struct LinkTask(JoinHandle<()>);

impl Drop for LinkTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries one request at a time.
pub struct OpenLink {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Longest idle time that the other end announced.
    pub announced_idle: Option<Duration>,
    _task: LinkTask,
}

struct IdleLink {
    link: OpenLink,
    since: Instant,
}

type IdleLinks = HashMap<SocketAddr, Vec<IdleLink>>;

/// Keeps idle connections for further requests.
#[derive(Clone)]
pub struct LinkPool {
    rules: LinkRules,
    idle: Arc<Mutex<IdleLinks>>,
}

impl LinkPool {
    /// Creates an empty pool.
    pub fn new(rules: LinkRules) -> Self {
        Self {
            rules,
            idle: Arc::default(),
        }
    }

    /// Sends a request and waits for the head of its answer until `deadline`.
    ///
    /// `freshest` bounds the idle time of a kept connection: a request that must not run twice
    /// cannot be repeated when the other end closes an idle connection at the same moment.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        freshest: Duration,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, OpenLink), SendFailure> {
        let mut request = request;
        for turn in 0..=STALE_TRIES {
            let kept = (turn < STALE_TRIES)
                .then(|| self.take(address, freshest))
                .flatten();
            let (mut link, fresh) = match kept {
                Some(link) => (link, false),
                None => (self.connect(address, deadline).await?, true),
            };
            if timeout(FREE_WAIT, link.sender.ready())
                .await
                .is_ok_and(|ready| ready.is_ok())
            {
                let sent = link.sender.try_send_request(request);
                match tokio::time::timeout_at(deadline.into(), sent).await {
                    Err(_) => return Err(SendFailure::TimedOut),
                    Ok(Ok(answer)) => return Ok((answer, link)),
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
        Err(SendFailure::NotSent("no connection stayed open".to_owned()))
    }

    /// Keeps a connection whose last answer has ended.
    pub fn give_back(&self, link: OpenLink) {
        if link.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.lock();
        idle.entry(link.address)
            .or_default()
            .push(IdleLink { link, since });
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        let rules = self.rules;
        self.lock().retain(|_, links| {
            links.retain(|idle| is_usable(idle, rules.idle_timeout));
            !links.is_empty()
        });
    }

    /// Opens a connection and closes it again, to learn whether the other end listens.
    pub async fn probe(&self, address: SocketAddr) -> Result<(), SendFailure> {
        let deadline = Instant::now() + self.rules.connect_limit;
        self.connect(address, deadline).await.map(drop)
    }

    fn take(&self, address: SocketAddr, freshest: Duration) -> Option<OpenLink> {
        let limit = self.rules.idle_timeout.min(freshest);
        let mut idle = self.lock();
        let links = idle.get_mut(&address)?;
        while let Some(last) = links.pop() {
            if is_usable(&last, limit) {
                return Some(last.link);
            }
            let stale = last.since.elapsed() >= limit && !last.link.sender.is_closed();
            if stale {
                // Older ones are stale, too, for this request; others may still use them.
                links.push(last);
                return None;
            }
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<OpenLink, SendFailure> {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = self.rules.connect_limit.min(left);
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| SendFailure::NotSent(format!("no connection within {limit:?}")))?
            .map_err(|error| SendFailure::NotSent(error.to_string()))?;
        measure::count_connection(self.rules.kind);
        set_socket_options(&stream, self.rules.unacknowledged_limit);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendFailure::NotSent(error.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(OpenLink {
            address,
            sender,
            announced_idle: None,
            _task: LinkTask(task),
        })
    }

    fn lock(&self) -> MutexGuard<'_, IdleLinks> {
        self.idle.lock().expect("no panic while locked")
    }
}

fn is_usable(idle: &IdleLink, limit: Duration) -> bool {
    let announced = idle.link.announced_idle.unwrap_or(limit);
    idle.since.elapsed() < limit.min(announced) && !idle.link.sender.is_closed()
}

/// Sets the options that bound the time for which a silent connection is kept. Failures only
/// lengthen that time.
pub fn set_socket_options(stream: &TcpStream, unacknowledged_limit: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(unacknowledged_limit)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("socket option not set: {error}");
    }
}
