//! A target that has left while the store turns its machine away, and whose node is then killed and started again.

#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;

use lib::*;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long the store turns the machine away (`platform_down` with `nodes`).
const AWAY: Duration = Duration::from_secs(9);
/// Times from its beginning.
const LEAVES: Duration = Duration::from_millis(1_000);
const RESTARTED: Duration = Duration::from_millis(1_600);
const LATE_BEAT: Duration = Duration::from_millis(2_600);
/// Time after the acknowledgement for which the target goes on serving.
const SERVES_ON: Duration = Duration::from_secs(11);
/// `drain_ms` and `stable_window_ms`
const DRAIN: f64 = 2.5;
const STABLE: f64 = 4.0;

fn work(_: &Message) -> (Duration, usize) {
    (Duration::from_millis(61), 1_500)
}

fn main() {
    open_record(Path::new(&std::env::args().nth(1).unwrap_or_else(|| ".".to_owned())));
    let trouble = trouble();
    let store = Store::start();
    let route = |prefix, kind, service| Route {
        host: "hulo84.example", prefix, kind, timeout_ms: 1_000, target_latency_ms: 400, priority: 2, service, max_attempts: 2,
    };
    let routes = [route("/guia/", "safe", "despacho"), route("/consulta/", "safe", "precios")];
    store.write("op/config", &config(1, &routes, &["despacho", "precios"], ""));
    // The machines of the site. The target beside the first one leaves.
    let places = [
        ("despacho", "stgo-norte"), ("despacho", "stgo-sur"), ("despacho", "valpo-puerto"), ("despacho", "vina-centro"),
        ("precios", "stgo-norte"), ("precios", "stgo-norte"), ("precios", "stgo-sur"), ("precios", "stgo-sur"),
        ("precios", "valpo-puerto"), ("precios", "valpo-puerto"), ("precios", "valpo-puerto"), ("precios", "vina-centro"),
    ];
    let (mut nodes, mut targets, mut doors) = (Vec::new(), Vec::new(), Vec::new());
    for (index, (service, zone)) in places.into_iter().enumerate() {
        let target = Target::start(&format!("i-{index}"), service, 9, work, true);
        let door = store.door();
        let node = Node::start(&format!("side-{index}"), zone, &target, door.address, &LVSUR_MACHINE);
        nodes.push(node);
        targets.push(target);
        doors.push(door);
    }
    for node in &nodes {
        node.wait_ready();
    }
    let (node, target, door) = (nodes[0].clone(), targets[0].clone(), &doors[0]);
    // The target that will leave announces itself until it does.
    let announces = Arc::new(AtomicBool::new(true));
    {
        let (node, target, announces) = (node.clone(), target.clone(), announces.clone());
        thread::spawn(move || {
            while announces.load(Ordering::Relaxed) {
                target.beat(&node, "ready");
                thread::sleep(Duration::from_millis(1_500));
            }
        });
    }
    for index in 1..nodes.len() {
        keep_beating(&targets[index], &nodes[index]);
    }
    for entry in &nodes[4..] {
        wait_served(entry, "hulo84.example", "/guia/warm");
    }
    thread::sleep(Duration::from_secs(8));

    // Clients of the machines of the other service send it about three requests a second each.
    let over = Arc::new(AtomicBool::new(false));
    for (client, entry) in nodes[4..].iter().enumerate() {
        let (entry, over) = (entry.clone(), over.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                let id = format!("c{client}-{number}");
                number += 1;
                let headers = [("Host", "hulo84.example"), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1000")];
                note(&format!("{} is sent {id}", entry.name));
                let got = call(entry.outbound, "GET", &format!("/guia/{id}"), &headers, b"", Duration::from_secs(2));
                note(&format!("{id} gets {}", got.map_or("no answer".to_owned(), |a| a.status().to_string())));
                thread::sleep(Duration::from_millis(240));
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
    // It begins after a renewal of the machine's lease, which then lasts for 6 s.
    let seen = Instant::now();
    while !door.renewed.lock().unwrap().is_some_and(|at| at > seen) {
        thread::sleep(Duration::from_millis(5));
    }
    let begun = Instant::now();
    let until = |time: Duration| thread::sleep(time.saturating_sub(begun.elapsed()));
    if trouble {
        say(&format!("the store turns {} away with 503", node.name));
        door.mode.store(REFUSES, Ordering::Relaxed);
    }
    // A last announcement as ready that will arrive late.
    announces.store(false, Ordering::Relaxed);
    let late = target.late_beat(&node);
    until(LEAVES);
    target.leaving.store(true, Ordering::Relaxed);
    let path = format!("/rpc?call=instances.deregister&of={}", target.id);
    let body = format!("{{\"born\":{}}}", target.born);
    let status = call(node.control, "POST", &path, &[("Content-Type", "application/json")], body.as_bytes(), Duration::from_secs(1)).map_or(0, |a| a.status());
    let acknowledged = Instant::now();
    say(&format!("{} leaves, its node answers {status}", target.id));
    if status != 200 {
        cannot_run("the departure was not acknowledged");
    }
    if trouble {
        node.signal("KILL");
        node.wait_ended(Duration::from_secs(1));
        until(RESTARTED);
        node.run();
    }
    let restarted = Instant::now();
    until(LATE_BEAT);
    say(&format!("the late announcement gets {}", late.send(&node)));
    until(AWAY);
    door.mode.store(SERVES, Ordering::Relaxed);
    note("the store serves every machine");
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1_200));

    let runs = target.run_times.lock().unwrap();
    let after = |limit: f64| runs.iter().filter(move |(_, at)| {
        at.checked_duration_since(acknowledged).is_some_and(|age| age.as_secs_f64() > limit)
    });
    let late_runs = after(DRAIN).count();
    let bound = restarted.duration_since(acknowledged).as_secs_f64() + STABLE;
    let in_touch = after(bound.max(DRAIN)).count();
    let last = runs.last().map(|(_, at)| at.duration_since(acknowledged).as_secs_f64());
    say(&format!("{late_runs} requests ran at {} later than {DRAIN} s after the acknowledgement, the last one after {last:.1?} s", target.id));
    for line in node.log_lines("AF1005").into_iter().chain(node.log_lines("AF1006")) {
        note(&line);
    }
    verdict(
        in_touch > 0,
        &format!("{in_touch} requests ran there after its node had also been running for {STABLE} s again"),
    );
}
