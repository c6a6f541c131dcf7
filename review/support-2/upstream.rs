//! Stand-in for an application upstream, after PROTOCOL.md.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire, call};
use crate::record::{Random, Record};

/// What an upstream does and how fast.
#[derive(Clone)]
pub struct Plan {
    pub service: String,
    pub slots: u32,
    pub queue: u32,
    /// Time that the work on a request takes, and the share of the requests that take seven times as long.
    pub work: Duration,
    pub tail: f64,
    pub answer_bytes: usize,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub plan: Plan,
    load: Mutex<Load>,
    free: Condvar,
    random: Mutex<Random>,
    record: Arc<Record>,
    born: u128,
}

impl Upstream {
    pub fn start(ip: &str, id: &str, plan: Plan, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            plan,
            load: Mutex::default(),
            free: Condvar::new(),
            random: Mutex::new(Random::new(
                id.len() as u64 + u64::from(id.as_bytes()[id.len() - 1]),
            )),
            record: record.clone(),
            born: born.map_or(0, |time| time.as_millis()),
        });
        let serving = upstream.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = serving.clone();
                std::thread::spawn(move || upstream.serve(Wire::new(stream)));
            }
        });
        upstream
    }

    /// Sends heartbeats to the node beside the upstream until the case ends.
    pub fn announce(self: &Arc<Self>, control: SocketAddr) {
        let upstream = self.clone();
        std::thread::spawn(move || {
            for number in 1.. {
                let body = format!(
                    "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"stgo-norte\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"seq\":{number},\"cold_remaining_ms\":0}}}}",
                    upstream.address, upstream.born, upstream.plan.service, upstream.plan.slots
                );
                let answer = beat(control, &upstream.id, &body);
                upstream.record.note(&format!(
                    "heartbeat {} number {number}: {answer}",
                    upstream.id
                ));
                std::thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    fn head(&self, status: &str, id: Option<&str>, length: usize) -> String {
        let load = self.load.lock().unwrap();
        let mut head = format!(
            "HTTP/1.1 {status}\r\nX-Instance-Id: {}\r\nX-Server-Load: {},{},{},100\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n",
            self.id, load.running, load.waiting, self.plan.slots
        );
        if let Some(id) = id {
            head += &format!("X-Request-Id: {id}\r\n");
        }
        head
    }

    fn serve(&self, mut wire: Wire) {
        wire.wait_at_most(Duration::from_secs(10));
        while let Ok(request) = wire.read() {
            if self.answer(&mut wire, &request).is_none() {
                return;
            }
        }
    }

    /// Answers a request. Returns `None` if the connection must end.
    fn answer(&self, wire: &mut Wire, request: &Message) -> Option<()> {
        let id = request.header("x-request-id");
        let (_, path) = request.target();
        if path == "/health" {
            return wire
                .send((self.head("200 OK", None, 0) + "\r\n").as_bytes())
                .ok();
        }
        let Some(id) = id else {
            let head = self.head("400 Bad Request", None, 0) + "X-Not-Executed: 1\r\n\r\n";
            return wire.send(head.as_bytes()).ok();
        };
        if request
            .header("x-expected-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let head = self.head("421 Misdirected Request", Some(id), 0) + "\r\n";
            return wire.send(head.as_bytes()).ok();
        }
        let left = request
            .header("x-deadline-ms")
            .and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(left.unwrap_or(10_000));
        if !self.take_slot(wire, deadline)? {
            let head =
                self.head("503 Service Unavailable", Some(id), 0) + "X-Not-Executed: 1\r\n\r\n";
            return wire.send(head.as_bytes()).ok();
        }
        self.record.begin_run(id, &self.id);
        let long = self.random.lock().unwrap().share() < self.plan.tail;
        let work = self.plan.work * if long { 7 } else { 1 };
        let done = run(wire, work, deadline);
        let sent = done.and_then(|in_time| self.send_answer(wire, id, in_time));
        let mut load = self.load.lock().unwrap();
        load.running -= 1;
        drop(load);
        self.free.notify_one();
        let how = match (done, sent) {
            (None, _) => "dropped, its connection closed",
            (_, None) => "the answer was not taken",
            (Some(true), _) => "answered",
            (Some(false), _) => "504 at its deadline",
        };
        self.record.end_run(id, &self.id, sent.is_some(), how);
        sent
    }

    /// Waits for a slot. Returns false if there is none, `None` if the caller left.
    fn take_slot(&self, wire: &Wire, deadline: Instant) -> Option<bool> {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.plan.slots && load.waiting >= self.plan.queue {
            return Some(false);
        }
        load.waiting += 1;
        while load.running >= self.plan.slots {
            load = self
                .free
                .wait_timeout(load, Duration::from_millis(20))
                .unwrap()
                .0;
            if wire.is_closed() {
                load.waiting -= 1;
                return None;
            }
            if Instant::now() >= deadline {
                load.waiting -= 1;
                return Some(false);
            }
        }
        load.waiting -= 1;
        load.running += 1;
        Some(true)
    }

    fn send_answer(&self, wire: &mut Wire, id: &str, in_time: bool) -> Option<()> {
        if !in_time {
            let head =
                self.head("504 Gateway Timeout", Some(id), 0) + "X-Server-Signature: s\r\n\r\n";
            return wire.send(head.as_bytes()).ok();
        }
        let size = self.plan.answer_bytes;
        let head = self.head("200 OK", Some(id), size)
            + &format!("X-Server-Signature: {}.{id}\r\n\r\n", self.id);
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + size, b'x');
        wire.send(&bytes).ok()
    }
}

/// Works on a request. Returns whether it was done in time, `None` if its connection closed.
fn run(wire: &Wire, work: Duration, deadline: Instant) -> Option<bool> {
    let end = Instant::now() + work;
    loop {
        let now = Instant::now();
        if now >= end.min(deadline) {
            return Some(end <= deadline);
        }
        if wire.is_closed() {
            return None;
        }
        std::thread::sleep((end.min(deadline) - now).min(Duration::from_millis(10)));
    }
}

/// Sends a heartbeat and returns the status of its answer, 0 for none within a second.
pub fn beat(control: SocketAddr, id: &str, body: &str) -> u16 {
    let request = format!(
        "POST /rpc?call=instances.heartbeat&of={id} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    call(control, &request, Duration::from_secs(1)).map_or(0, |answer| answer.status())
}
