//! Clients whose answers are still on their way when a stopping process closes the connection.

#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;

use lib::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Size of a download; `guia-despacho` has 280,000 bytes on the mean.
const DOWNLOAD: usize = 250_000;
/// Rate of the way to a client: 1.6 Mbit/s.
const BYTES_PER_S: usize = 200_000;
const PIECE: usize = 8 * 1024;
/// Time after the first requests at which a client sends one more.
const FURTHER: Duration = Duration::from_millis(300);
const FURTHER_COUNT: u32 = 8;
const FURTHER_PAUSE: Duration = Duration::from_millis(150);
const CLIENTS: usize = 8;

fn work(request: &Message) -> (Duration, usize) {
    if request.target().starts_with("/guia/") {
        (Duration::from_millis(61), DOWNLOAD)
    } else {
        (Duration::from_millis(22), 1_500)
    }
}

/// Passes the bytes of an answer on no faster than the way to the client allows.
struct SlowWay {
    stream: TcpStream,
    started: Instant,
    read: usize,
    error: Arc<Mutex<Option<String>>>,
}

impl Read for SlowWay {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        let due = Duration::from_secs_f64(self.read as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(self.started.elapsed()));
        let size = bytes.len().min(PIECE);
        let got = self.stream.read(&mut bytes[..size]);
        match &got {
            Ok(size) => self.read += size,
            Err(error) => *self.error.lock().unwrap() = Some(error.to_string()),
        }
        got
    }
}

fn request(path: &str, id: &str) -> String {
    format!("GET {path}{id} HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\r\n")
}

/// Sends a download and a safe request behind it, and further safe ones as long as no answer says that the
/// connection closes. Returns how many of the first two got a whole answer, and the error that ended the rest.
fn client(number: usize, entry: &Node) -> (usize, Option<String>, f64) {
    let Some(mut output) = connect_small(entry.outbound, 16 * 1024) else { return (0, Some("no connection".to_owned()), 0.0) };
    let _ = output.set_nodelay(true);
    let started = Instant::now();
    let ids = [format!("c{number}-a"), format!("c{number}-b")];
    let text = request("/guia/", &ids[0]) + &request("/consulta/", &ids[1]);
    if output.write_all(text.as_bytes()).is_err() {
        return (0, Some("not sent".to_owned()), 0.0);
    }
    let closes = Arc::new(Mutex::new(false));
    let error = Arc::new(Mutex::new(None));
    let way = SlowWay { stream: output.try_clone().unwrap(), started, read: 0, error: error.clone() };
    let sender = {
        let closes = closes.clone();
        thread::spawn(move || {
            thread::sleep(FURTHER);
            for further in 0..FURTHER_COUNT {
                if *closes.lock().unwrap() {
                    return;
                }
                let id = format!("c{number}-further-{further}");
                note(&format!("client {number} sends {id}"));
                if output.write_all(request("/consulta/", &id).as_bytes()).is_err() {
                    return;
                }
                thread::sleep(FURTHER_PAUSE);
            }
        })
    };
    let mut input = BufReader::with_capacity(PIECE, way);
    let mut whole = 0;
    while whole < 2 {
        let Some(got) = read_message(&mut input) else { break };
        let id = got.header("x-request-id").unwrap_or("-").to_owned();
        note(&format!("client {number} gets {} for {id}, {} bytes, connection {:?}", got.status(), got.body.len(), got.header("connection")));
        if got.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
            *closes.lock().unwrap() = true;
        }
        if ids.contains(&id) {
            whole += 1;
        }
    }
    *closes.lock().unwrap() = true;
    let took = started.elapsed().as_secs_f64();
    let _ = sender.join();
    let error = error.lock().unwrap().clone();
    note(&format!("client {number}: {whole} of 2 whole answers after {took:.2} s, {} bytes, error {error:?}", input.get_ref().read));
    (whole, error, took)
}

fn main() {
    open_record(Path::new(&std::env::args().nth(1).unwrap_or_else(|| ".".to_owned())));
    let store = Store::start();
    let route = |prefix, kind, service| Route {
        host: "hulo84.example", prefix, kind, timeout_ms: 2_000, target_latency_ms: 400, priority: 2, service, max_attempts: 2,
    };
    let routes = [route("/guia/", "download", "despacho"), route("/consulta/", "safe", "precios")];
    store.write("op/config", &config(1, &routes, &["despacho", "precios"], ""));
    let mut nodes = Vec::new();
    let mut targets = Vec::new();
    for (index, (zone, service)) in [("stgo-norte", "precios"), ("stgo-sur", "despacho"), ("stgo-norte", "despacho"), ("stgo-sur", "precios")].into_iter().enumerate() {
        let target = Target::start(&format!("i-{index}"), service, 9, work, true);
        let node = Node::start(&format!("side-{index}"), zone, &target, store.address, &LVSUR_MACHINE);
        keep_beating(&target, &node);
        nodes.push(node);
        targets.push(target);
    }
    for node in &nodes {
        node.wait_ready();
    }
    let entry = nodes[0].clone();
    wait_served(&entry, "hulo84.example", "/guia/warm");
    wait_served(&entry, "hulo84.example", "/consulta/warm");
    thread::sleep(Duration::from_secs(5));
    if trouble() {
        entry.signal("TERM");
    }
    thread::sleep(Duration::from_millis(100));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let entry = entry.clone();
            thread::spawn(move || client(number, &entry))
        })
        .collect();
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let ran: Vec<String> = targets.iter().flat_map(|target| target.runs.lock().unwrap().clone()).collect();
    let mut lost = 0;
    for (number, (whole, ..)) in results.iter().enumerate() {
        let passed_on = ["a", "b"].iter().filter(|part| ran.contains(&format!("c{number}-{part}"))).count();
        lost += passed_on.saturating_sub(*whole);
    }
    note(&format!("{results:?}"));
    verdict(lost > 0, &format!("{lost} requests of {} that upstreams ran have no whole answer", CLIENTS * 2));
}
