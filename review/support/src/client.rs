//! Clients: one that sends further requests before the first has been answered, and single calls.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::{self, Input};
use crate::record::Record;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with this status; whether it bears a signature and the request's id.
    Answered { status: u16, own: bool },
    /// The connection ended without a complete answer.
    NoAnswer,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub path: String,
    pub at: u64,
    pub ended: u64,
    pub outcome: Outcome,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<(String, String, u64)>,
    done: Vec<Sent>,
}

/// A connection on which requests are sent without waiting for the answers before.
pub struct Pipeline {
    name: String,
    output: TcpStream,
    state: Arc<Mutex<State>>,
    /// The node has announced that it closes the connection, or has closed it.
    closed: Arc<AtomicBool>,
    reader: Option<JoinHandle<()>>,
    next: u32,
    record: Record,
    deadline_ms: u32,
}

impl Pipeline {
    pub fn open(
        name: &str,
        address: SocketAddr,
        deadline_ms: u32,
        record: &Record,
    ) -> std::io::Result<Self> {
        let output = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        output.set_nodelay(true)?;
        let input = output.try_clone()?;
        let state: Arc<Mutex<State>> = Arc::default();
        let closed: Arc<AtomicBool> = Arc::default();
        let (reading, ended, log) = (state.clone(), closed.clone(), record.clone());
        let reader = thread::spawn(move || read_answers(input, &reading, &ended, &log));
        Ok(Self {
            name: name.to_owned(),
            output,
            state,
            closed,
            reader: Some(reader),
            next: 0,
            record: record.clone(),
            deadline_ms,
        })
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Number of requests without an answer.
    pub fn waiting(&self) -> usize {
        self.state.lock().unwrap().waiting.len()
    }

    /// Sends a request unless the node has announced a close. Returns whether it was sent.
    pub fn send(&mut self, path: &str) -> bool {
        if self.is_closed() {
            return false;
        }
        self.next += 1;
        let id = format!("{}-{:04}", self.name, self.next);
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
            self.deadline_ms
        );
        let at = self.record.now();
        self.record.line(&format!("client: {id} sent: GET {path}"));
        self.state
            .lock()
            .unwrap()
            .waiting
            .push_back((id, path.to_owned(), at));
        self.output.write_all(text.as_bytes()).is_ok()
    }

    /// Waits until all requests have ended, and returns them.
    pub fn finish(mut self, limit: Duration) -> Vec<Sent> {
        let end = std::time::Instant::now() + limit;
        while self.waiting() > 0 && std::time::Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = self.output.shutdown(std::net::Shutdown::Both);
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
        std::mem::take(&mut self.state.lock().unwrap().done)
    }
}

fn read_answers(input: TcpStream, state: &Mutex<State>, closed: &AtomicBool, record: &Record) {
    let mut input = Input::new(input);
    let mut last = false;
    while !last {
        let Ok(Some(head)) = http::read_head(&mut input) else {
            break;
        };
        last = head.closes();
        if last {
            closed.store(true, Ordering::Relaxed);
        }
        let Ok(_) = http::read_body(&mut input, &head) else {
            break;
        };
        let mut state = state.lock().unwrap();
        let Some((id, path, at)) = state.waiting.pop_front() else {
            record.line("client: an answer with no request waiting");
            break;
        };
        let status = head.word(1).parse().unwrap_or(0);
        let own =
            head.header("x-request-id") == Some(&id) && head.header("x-server-signature").is_some();
        let close = if last { ", the connection closes" } else { "" };
        record.line(&format!("client: {id} answered {status}{close}"));
        state.done.push(Sent {
            id,
            path,
            at,
            ended: record.now(),
            outcome: Outcome::Answered { status, own },
        });
    }
    closed.store(true, Ordering::Relaxed);
    // The end of the connection is read, so that its time is known.
    let _ = input.read(&mut [0]);
    let mut state = state.lock().unwrap();
    while let Some((id, path, at)) = state.waiting.pop_front() {
        record.line(&format!(
            "client: {id} has no answer, the connection has ended"
        ));
        state.done.push(Sent {
            id,
            path,
            at,
            ended: record.now(),
            outcome: Outcome::NoAnswer,
        });
    }
}

/// Sends one request on a connection of its own. Returns the status and the instance that answered.
pub fn call(address: SocketAddr, id: &str, request: &str, record: &Record) -> (u16, String) {
    let line = format!("{request} HTTP/1.1");
    let head = format!(
        "{line}\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n"
    );
    record.line(&format!("client: {id} sent: {request}"));
    match http::call(address, &head, b"", Duration::from_millis(1_500)) {
        Ok((status, head, _)) => {
            let instance = head.header("x-instance-id").unwrap_or("-").to_owned();
            record.line(&format!("client: {id} answered {status} by {instance}"));
            (status, instance)
        }
        Err(error) => {
            record.line(&format!("client: {id} has no answer: {error}"));
            (0, String::new())
        }
    }
}
