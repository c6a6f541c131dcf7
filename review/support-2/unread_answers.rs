//! Clients send safe requests ahead on their connections and read no answers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Wire;
use crate::mesh::{GUIDES, Mesh, PAGES, ask, guide_plan, page_plan, request};
use crate::node::{Node, Site};
use crate::record::Record;

/// Requests that a client sends ahead on its connection.
const AHEAD: usize = 32;
/// Time between two clients at one machine.
const INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a client keeps its connection.
const STAY: Duration = Duration::from_secs(10);
/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(75);
/// Ends of a process at one machine that break the rule, and the machines that must have so many.
const ENDS: u64 = 3;
const MACHINES: usize = 2;
/// Delay before an ended process is started again.
const RESTART: Duration = Duration::from_millis(500);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let site = Site::default();
    let (pages, guides) = (page_plan(), guide_plan(250_000));
    let plans = vec![pages.clone(), pages, guides.clone(), guides];
    let mesh = Mesh::start(plans, &site, record)?;
    let over = Arc::new(AtomicBool::new(false));
    let ends: Vec<Arc<AtomicU64>> = mesh.nodes.iter().map(|_| Arc::default()).collect();
    let mut platform = Vec::new();
    for (node, ends) in mesh.nodes.iter().zip(&ends) {
        let watched = (node.clone(), ends.clone(), over.clone(), record.clone());
        platform.push(std::thread::spawn(move || {
            watch_memory(watched, site.memory_mb)
        }));
    }
    let counts: Arc<Mutex<(u64, u64)>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0;
    while started.elapsed() < LENGTH {
        for node in &mesh.nodes[..MACHINES] {
            number += 1;
            let client = (node.clone(), record.clone(), over.clone(), counts.clone());
            clients.push(std::thread::spawn(move || {
                send_ahead(client, number, trouble)
            }));
        }
        let id = format!("ordinary-{number}");
        let status = ask(&mesh.nodes[0], PAGES, &id).map_or(0, |answer| answer.status());
        record.note(&format!("{id} at {}: {status}", mesh.nodes[0].name));
        let pause = INTERVAL * (number as u32 / MACHINES as u32);
        std::thread::sleep(pause.saturating_sub(started.elapsed()));
        let worst = ends
            .iter()
            .filter(|ends| ends.load(Ordering::Relaxed) >= ENDS)
            .count();
        if worst >= MACHINES {
            break;
        }
    }
    over.store(true, Ordering::Relaxed);
    for thread in clients.into_iter().chain(platform) {
        let _ = thread.join();
    }
    let (sent, answered) = *counts.lock().unwrap();
    record.tell(&format!(
        "{sent} requests sent ahead, {answered} answers read by their clients"
    ));
    let mut worst = 0;
    for (node, ends) in mesh.nodes.iter().zip(&ends) {
        let ends = ends.load(Ordering::Relaxed);
        record.tell(&format!(
            "{}: {ends} ends for memory above {} MiB",
            node.name, site.memory_mb
        ));
        worst += usize::from(ends >= ENDS);
    }
    Ok(worst >= MACHINES)
}

/// A client that sends requests ahead. Without the disruption it reads the answers as they come.
fn send_ahead(
    (node, record, over, counts): (
        Arc<Node>,
        Arc<Record>,
        Arc<AtomicBool>,
        Arc<Mutex<(u64, u64)>>,
    ),
    number: u64,
    trouble: bool,
) {
    let Ok(mut wire) = Wire::connect(node.outbound, Duration::from_secs(1)) else {
        return;
    };
    let ids = (0..AHEAD).map(|index| format!("ahead-{number}-{index}"));
    let text: String = ids.map(|id| request(GUIDES, &id)).collect();
    if wire.send(text.as_bytes()).is_err() {
        return;
    }
    record.note(&format!(
        "client {number} sends {AHEAD} requests ahead to {}",
        node.name
    ));
    counts.lock().unwrap().0 += AHEAD as u64;
    let end = Instant::now() + STAY;
    while trouble && Instant::now() < end && !over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
    }
    if trouble {
        return;
    }
    wire.wait_at_most(Duration::from_secs(3));
    for _ in 0..AHEAD {
        let Ok(answer) = wire.read() else {
            return;
        };
        record.note(&format!("client {number} reads {}", answer.status()));
        counts.lock().unwrap().1 += 1;
    }
}

/// The platform: kills a process above its memory and starts it again after a short delay.
fn watch_memory(
    (node, ends, over, record): (Arc<Node>, Arc<AtomicU64>, Arc<AtomicBool>, Arc<Record>),
    memory_mb: u64,
) {
    let mut peak = 0;
    while !over.load(Ordering::Relaxed) {
        let resident = node.resident_mb();
        if resident > peak {
            peak = resident;
            record.note(&format!("{} holds {resident} MiB", node.name));
        }
        if resident > memory_mb {
            record.tell(&format!("{} holds {resident} MiB and is killed", node.name));
            node.kill();
            ends.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(RESTART);
            node.start();
            peak = 0;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.tell(&format!(
        "{}: at most {peak} MiB since its last start",
        node.name
    ));
}
