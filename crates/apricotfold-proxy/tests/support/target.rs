//! Target whose behaviour is selected by the request path.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Work of a `crash-later` request before the crash.
const LATE_CRASH: Duration = Duration::from_millis(300);

/// A request as received by the target.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub path: String,
    pub id: String,
    pub head: String,
    pub body: Vec<u8>,
    pub at: Instant,
    /// When the caller closed the connection, if it did so before the response.
    pub cancelled: Option<Instant>,
}

/// The target. Words in the path select its response:
///
/// `slow`: after 600 ms; `hold`: never; `cut`: half of the body, then close; `reset`: a body
/// without a length, then a TCP reset; `drop`: close without a response; `foreign`: with another
/// request's id; `shed`: a rejection that says the request was not run; `busy`: 503 without saying
/// so; `fail`: 500; `endless-head`, `endless-noise`, `endless-body`, `endless-chunks`,
/// `endless-length`: bytes until the connection is closed, within a head, instead of a head, or in a
/// body without a length, with chunks, or with a length that is never reached; with `-slowly`, a few
/// at a time. With `-first`, this applies only to the first request with that path at any
/// target of the process; later ones get a normal response.
///
/// `status-TEXT/` answers with the status line `HTTP/1.1 TEXT`, where `+` stands for a space; `two-lines`
/// with a second status line after the first; `endless-interim` with informational responses until
/// the connection is closed.
///
/// `crash` ends the target until [`revive`](Self::revive): its connections and its listener are
/// closed. `crash-after-head`: after half of a response. `crash-later`: after 300 ms, even if the
/// caller has disconnected. `crash-silently`: its connections stay open without any response.
/// `crash-replaced`: the next incarnation listens at once.
#[derive(Clone)]
pub struct ScriptedTarget {
    pub address: SocketAddr,
    pub instance: String,
    calls: Arc<Mutex<Vec<ReceivedCall>>>,
    healthy: Arc<std::sync::atomic::AtomicBool>,
    mode: Arc<Mutex<TargetMode>>,
    health_checks: Arc<std::sync::atomic::AtomicUsize>,
    statements: Arc<Mutex<String>>,
    /// Id of the incarnation that answers; the first one's unless set.
    answering: Arc<Mutex<String>>,
    life: watch::Sender<TargetLife>,
}

/// How a target answers requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    /// As the words in the path say.
    #[default]
    Scripted,
    /// All are rejected as not run.
    Full,
    /// All fail with 500 at once.
    Failing,
    /// All succeed, whatever the path says.
    Sound,
}

/// The target's current incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct TargetLife {
    /// Number of crashes before it.
    crashes: usize,
    down: bool,
    /// Whether the connections of the last incarnation stay open.
    silent: bool,
}

impl ScriptedTarget {
    pub async fn start(instance: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let target = Self {
            address: listener.local_addr().expect("an address"),
            instance: instance.to_owned(),
            calls: Arc::default(),
            healthy: Arc::new(true.into()),
            mode: Arc::default(),
            health_checks: Arc::default(),
            statements: Arc::default(),
            answering: Arc::new(Mutex::new(instance.to_owned())),
            life: watch::Sender::default(),
        };
        tokio::spawn(target.clone().listen(listener));
        target
    }

    /// Accepts connections, except between a crash and the next incarnation.
    async fn listen(self, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut life = self.life.subscribe();
        loop {
            let Some(open) = &listener else {
                let _ = life.wait_for(|life| !life.down).await;
                listener = Some(TcpListener::bind(self.address).await.expect("the port"));
                continue;
            };
            tokio::select! {
                Ok((stream, _)) = open.accept() => {
                    let target = self.clone();
                    tokio::spawn(async move { target.serve_life(stream).await });
                }
                _ = life.wait_for(|life| life.down) => listener = None,
            }
        }
    }

    /// Serves a connection until it or the incarnation ends.
    async fn serve_life(&self, stream: TcpStream) {
        let mut life = self.life.subscribe();
        let crashes = life.borrow_and_update().crashes;
        let ended = life.wait_for(|life| life.crashes > crashes && !life.silent);
        tokio::select! {
            () = self.serve(stream) => {}
            _ = ended => {}
        }
    }

    /// Ends the incarnation as the path of a request says.
    fn crash(&self, path: &str) {
        self.life.send_modify(|life| {
            life.crashes += 1;
            life.down = !path.contains("replaced");
            life.silent = path.contains("silently");
        });
    }

    /// Ends the incarnation, as a loss of power does.
    pub fn kill(&self) {
        self.crash("");
    }

    /// Starts the next incarnation at the same address.
    pub fn revive(&self) {
        self.life.send_modify(|life| life.down = false);
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> usize {
        self.life.borrow().crashes
    }

    /// Sets how requests are answered from now on.
    pub fn set_mode(&self, mode: TargetMode) {
        *self.mode.lock().expect("no panic while locked") = mode;
    }

    /// Returns the received calls whose path contains a word.
    pub fn calls(&self, word: &str) -> Vec<ReceivedCall> {
        let calls = self.calls.lock().expect("no panic while locked");
        calls
            .iter()
            .filter(|call| call.path.contains(word))
            .cloned()
            .collect()
    }

    /// Returns the number of health checks that were answered.
    pub fn health_checks(&self) -> usize {
        self.health_checks
            .load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Answers health checks with 503 from now on.
    pub fn set_leaving(&self) {
        self.healthy
            .store(false, std::sync::atomic::Ordering::Relaxed);
    }

    /// Sets the id of the incarnation that answers from now on.
    pub fn set_answering(&self, instance: &str) {
        instance.clone_into(&mut self.answering.lock().expect("no panic while locked"));
    }

    fn answering(&self) -> String {
        self.answering
            .lock()
            .expect("no panic while locked")
            .clone()
    }

    /// Adds header lines to all answers from now on, each with its line end.
    pub fn set_statements(&self, lines: &str) {
        lines.clone_into(&mut self.statements.lock().expect("no panic while locked"));
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(call) = read_call(&mut stream, &mut buffer).await {
            if call.path == "/health" {
                self.health_checks
                    .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let healthy = self.healthy.load(std::sync::atomic::Ordering::Relaxed);
                let status = if healthy { "200 OK" } else { "503 Leaving" };
                let head = format!(
                    "HTTP/1.1 {status}\r\ninstance: {}\r\ncontent-length: 0\r\n\r\n",
                    self.answering()
                );
                if stream.write_all(head.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let index = {
                let mut calls = self.calls.lock().expect("no panic while locked");
                calls.push(call.clone());
                calls.len() - 1
            };
            let scripted = !call.path.contains("-first") || is_first(&call.path);
            if !self.answer(&mut stream, &call, index, scripted).await {
                return;
            }
        }
    }

    /// Answers a call. Returns false if the connection is to be closed.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        call: &ReceivedCall,
        index: usize,
        scripted: bool,
    ) -> bool {
        let mode = *self.mode.lock().expect("no panic while locked");
        let scripted = scripted && mode == TargetMode::Scripted;
        let has = |word: &str| scripted && call.path.contains(word);
        let body = format!("answer to {} by {}", call.path, self.instance);
        let id = if has("foreign") { "r-other" } else { &call.id };
        let length = body.len();
        let head = |status: &str| {
            let instance = self.answering();
            let lines = self.statements.lock().expect("no panic while locked");
            format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\ninstance: {instance}\r\n{lines}")
        };
        if has("slow") || has("hold") {
            let time = if has("hold") { 30_000 } else { 600 };
            if self.wait(stream, index, Duration::from_millis(time)).await {
                return false;
            }
        }
        if has("endless-interim") {
            while stream
                .write_all(b"HTTP/1.1 103 Early\r\n\r\n")
                .await
                .is_ok()
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            return false;
        }
        if has("crash") {
            self.run_crash(stream, &call.path, &head("200 OK")).await;
            return false;
        }
        if has("endless") {
            self.send_endless(stream, call, index, &head("200 OK"))
                .await;
            return false;
        }
        let status = call.path.split_once("status-").filter(|_| scripted);
        let status = status.and_then(|(_, rest)| rest.split_once('/'));
        let text = if has("drop") {
            return false;
        } else if let Some((status, _)) = status {
            let status = status.replace('+', " ");
            format!("{}content-length: {length}\r\n\r\n{body}", head(&status))
        } else if has("two-lines") {
            let line = "HTTP/1.1 200 OK\r\n";
            format!(
                "{line}{}content-length: {length}\r\n\r\n{body}",
                head("200 OK")
            )
        } else if has("cut") {
            let half = &body[..length / 2];
            let text = format!("{}content-length: {length}\r\n\r\n{half}", head("200 OK"));
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        } else if has("reset") {
            let text = format!("{}connection: close\r\n\r\n{body}", head("200 OK"));
            let _ = stream.write_all(text.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            let socket = socket2::SockRef::from(&*stream);
            let _ = socket.set_linger(Some(Duration::ZERO));
            return false;
        } else if mode == TargetMode::Full || has("shed") {
            format!(
                "{}not-run: 1\r\ncontent-length: 0\r\n\r\n",
                head("503 Busy")
            )
        } else if has("busy") {
            format!("{}content-length: 0\r\n\r\n", head("503 Busy"))
        } else if mode == TargetMode::Failing || has("fail") {
            format!("{}content-length: 0\r\n\r\n", head("500 Failed"))
        } else {
            format!("{}content-length: {length}\r\n\r\n{body}", head("200 OK"))
        };
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Runs a request under which the target crashes.
    async fn run_crash(&self, stream: &mut TcpStream, path: &str, head: &str) {
        if path.contains("after-head") {
            let text = format!("{head}content-length: 100\r\n\r\nhalf");
            let _ = stream.write_all(text.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        if path.contains("later") {
            let target = self.clone();
            let path = path.to_owned();
            // The work goes on if the caller disconnects.
            let work = tokio::spawn(async move {
                tokio::time::sleep(LATE_CRASH).await;
                target.crash(&path);
            });
            let _ = work.await;
        } else {
            self.crash(path);
        }
        if path.contains("silently") {
            std::future::pending::<()>().await;
        }
    }

    /// Sends bytes until the connection is closed, and records when that was.
    async fn send_endless(
        &self,
        stream: &mut TcpStream,
        call: &ReceivedCall,
        index: usize,
        head: &str,
    ) {
        let has = |word: &str| call.path.contains(word);
        let (start, piece) = if has("noise") {
            (String::new(), "\u{1}noise\u{2}".repeat(512))
        } else if has("head") {
            (head.to_owned(), "more: and more\r\n".repeat(256))
        } else if has("chunks") {
            let start = format!("{head}transfer-encoding: chunked\r\n\r\n");
            (start, "10\r\n0123456789abcdef\r\n".repeat(256))
        } else if has("length") {
            let start = format!("{head}content-length: 999999999999\r\n\r\n");
            (start, "0123456789abcdef".repeat(256))
        } else {
            let start = format!("{head}connection: close\r\n\r\n");
            (start, "0123456789abcdef".repeat(256))
        };
        let mut sent = stream.write_all(start.as_bytes()).await.is_ok();
        let mut bytes = piece.as_bytes();
        while sent {
            if has("slowly") {
                let (few, rest) = bytes.split_at(bytes.len().min(8));
                sent = stream.write_all(few).await.is_ok();
                bytes = if rest.is_empty() {
                    piece.as_bytes()
                } else {
                    rest
                };
                tokio::time::sleep(Duration::from_millis(20)).await;
            } else {
                sent = stream.write_all(piece.as_bytes()).await.is_ok();
            }
        }
        let mut calls = self.calls.lock().expect("no panic while locked");
        calls[index].cancelled = Some(Instant::now());
    }

    /// Simulates work for `time`. Returns true if the caller disconnects meanwhile.
    async fn wait(&self, stream: &mut TcpStream, index: usize, time: Duration) -> bool {
        let mut byte = [0_u8; 1];
        let left = tokio::time::timeout(time, stream.peek(&mut byte)).await;
        let left = matches!(left, Ok(Ok(0) | Err(_)));
        if left {
            let mut calls = self.calls.lock().expect("no panic while locked");
            calls[index].cancelled = Some(Instant::now());
        }
        left
    }
}

/// Returns whether this is the first request with a path at any target of this process.
fn is_first(path: &str) -> bool {
    static SEEN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());
    let mut seen = SEEN.lock().expect("no panic while locked");
    seen.insert(path.to_owned())
}

/// Reads a request from a connection. Returns `None` if the connection ends first.
pub async fn read_call(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedCall> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = header(&head, "content-length")
                .map_or(0, |text| text.parse::<usize>().expect("a length"));
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
                return Some(ReceivedCall {
                    path,
                    id: header(&head, "request-id").unwrap_or_default(),
                    head,
                    body,
                    at: Instant::now(),
                    cancelled: None,
                });
            }
        }
        if !matches!(stream.read_buf(buffer).await, Ok(1..)) {
            return None;
        }
    }
}

/// Returns the value of a header in the text of a message head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
}
