//! Clients that send requests ahead on one connection and do not read the answers.

#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;

use lib::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Connections of the crowd, and requests that each sends ahead.
const CROWD: usize = 60;
const AHEAD: usize = 24;
/// Time within which the crowd comes, and for which it stays.
const COMES: Duration = Duration::from_secs(3);
const STAYS: Duration = Duration::from_secs(6);
/// Ordinary clients, each with a connection that it keeps and one request at a time.
const ORDINARY: usize = 10;
/// Size of an answer; the site file's `guia-despacho` has 280,000 bytes on the mean.
const ANSWER: usize = 250_000;

fn work(request: &Message) -> (Duration, usize) {
    if request.target().starts_with("/guia/") {
        (Duration::from_millis(61), ANSWER)
    } else {
        (Duration::from_millis(76), 1_500)
    }
}

fn main() {
    open_record(Path::new(&std::env::args().nth(1).unwrap_or_else(|| ".".to_owned())));
    let store = Store::start();
    let route = |prefix, kind, service| Route {
        host: "hulo84.example", prefix, kind, timeout_ms: 1_000, target_latency_ms: 400, priority: 2, service, max_attempts: 2,
    };
    let routes = [route("/guia/", "download", "despacho"), route("/consulta/", "safe", "precios")];
    store.write("op/config", &config(1, &routes, &["despacho", "precios"], ""));
    let mut nodes = Vec::new();
    for (index, zone) in ["stgo-norte", "stgo-sur", "valpo-puerto", "vina-centro"].into_iter().enumerate() {
        let target = Target::start(&format!("i-d{index}"), "despacho", 9, work, false);
        let node = Node::start(&format!("despacho-{index}"), zone, &target, store.address, &LVSUR);
        keep_beating(&target, &node);
        nodes.push(node);
    }
    let target = Target::start("i-p0", "precios", 9, work, false);
    let entry = Node::start("precios-0", "stgo-norte", &target, store.address, &LVSUR);
    keep_beating(&target, &entry);
    for node in nodes.iter().chain([&entry]) {
        node.wait_ready();
    }
    wait_served(&entry, "hulo84.example", "/guia/warm");
    wait_served(&entry, "hulo84.example", "/consulta/warm");
    thread::sleep(Duration::from_secs(3));
    let limit = u64::from(LVSUR.memory_mb);
    say(&format!("before the crowd: {:?} MiB resident of {limit}", entry.memory_mb()));

    // Ids of ordinary requests whose connection ended without an answer.
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let answers = Arc::new(AtomicUsize::new(0));
    for client in 0..ORDINARY {
        let (cut, answers, address) = (cut.clone(), answers.clone(), entry.outbound);
        thread::spawn(move || {
            let Ok(mut output) = TcpStream::connect(address) else { return };
            let _ = output.set_nodelay(true);
            let Ok(input) = output.try_clone() else { return };
            let mut input = BufReader::new(input);
            for number in 0.. {
                let id = format!("o{client}-{number}");
                let text = format!("GET /consulta/{id} HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\r\n");
                let got = output.write_all(text.as_bytes()).ok().and_then(|()| read_message(&mut input));
                let Some(got) = got else {
                    note(&format!("ordinary request {id} has no answer, its connection has ended"));
                    cut.lock().unwrap().push(id);
                    return;
                };
                note(&format!("ordinary request {id} gets {}", got.status()));
                answers.fetch_add(1, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(5));
            }
        });
    }
    thread::sleep(Duration::from_secs(1));
    let reads = !trouble();
    let sent = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    let over = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    for client in 0..CROWD {
        let (sent, answered, over) = (sent.clone(), answered.clone(), over.clone());
        let address = entry.outbound;
        thread::spawn(move || {
            thread::sleep(COMES * client as u32 / CROWD as u32);
            let Some(mut stream) = connect_small(address, 16 * 1024) else { return };
            let mut text = String::new();
            for number in 0..AHEAD {
                let id = format!("c{client}-{number}");
                text.push_str(&format!(
                    "GET /guia/{id} HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\r\n"
                ));
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            note(&format!("client {client} sends {AHEAD} requests ahead"));
            sent.fetch_add(AHEAD, Ordering::Relaxed);
            if reads {
                let mut input = BufReader::new(stream);
                while let Some(got) = read_message(&mut input) {
                    note(&format!("client {client} gets {} with {} bytes", got.status(), got.body.len()));
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            } else {
                while !over.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
    }
    let (mut peak, mut killed) = (0, None);
    while started.elapsed() < STAYS {
        let (now, most) = entry.memory_mb();
        if now.max(most) > peak {
            peak = now.max(most);
            note(&format!("{peak} MiB resident of {limit}"));
        }
        if peak > limit && killed.is_none() {
            // What the platform does with a process that exceeds its memory.
            killed = Some(started.elapsed());
            entry.signal("KILL");
            say(&format!("{peak} MiB resident of {limit}: the platform kills the process"));
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(200));
    over.store(true, Ordering::Relaxed);
    let ran = target.runs.lock().unwrap();
    let lost = cut.lock().unwrap().iter().filter(|id| ran.contains(id)).count();
    say(&format!(
        "crowd: {} requests sent ahead, {} answers read; ordinary clients: {} answers, {lost} requests that an upstream ran and whose connection ended without an answer",
        sent.load(Ordering::Relaxed), answered.load(Ordering::Relaxed), answers.load(Ordering::Relaxed)
    ));
    verdict(
        killed.is_some() && lost > 3,
        &format!("the process had {peak} MiB resident at most, of {limit}; {lost} requests of ordinary clients are lost, three are allowed"),
    );
}
