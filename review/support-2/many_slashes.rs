//! Clients at both machines of a zone send requests whose paths have very many short segments.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Wire;
use crate::mesh::{HOST, Mesh, PAGES, guide_plan, page_plan, request};
use crate::node::{Node, Site};
use crate::record::Record;

/// Connections of the crowd at one machine, and the requests that each sends ahead.
const CROWD: usize = 40;
const AHEAD: usize = 8;
/// Length of a path. `max_header_bytes` is 16,384.
const PATH_BYTES: usize = 16_000;
const LENGTH: Duration = Duration::from_secs(60);
/// Time-out of the ordinary route, and what the rule adds to it.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const GRACE: Duration = Duration::from_millis(500);
/// Nodes of the zone whose machines the crowd is on: all of it.
const ZONE: [usize; 2] = [0, 2];
/// Readiness checks in a row without a 200 that take a machine out.
const MISSES: u32 = 2;

/// The platform's view of a node.
#[derive(Default)]
struct Readiness {
    /// Readiness checks in a row that were missed.
    missed: AtomicU32,
    asked: AtomicU32,
    all_missed: AtomicU32,
}

impl Readiness {
    fn is_in(&self) -> bool {
        self.missed.load(Ordering::Relaxed) < MISSES
    }
}

/// Ordinary requests at one machine.
#[derive(Default)]
struct Counts {
    sent: u32,
    timely: u32,
    overdue: u32,
    /// Overdue requests without an answer at the end of the grace.
    unanswered: u32,
    /// Times at which the platform gave the client no work.
    withheld: u32,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let (pages, guides) = (page_plan(), guide_plan(90_000));
    let plans = vec![pages.clone(), pages, guides.clone(), guides];
    let mesh = Mesh::start(plans, &Site::default(), record)?;
    std::thread::sleep(Duration::from_secs(5));
    let over = AtomicBool::new(false);
    let zone: Vec<(&Node, Readiness)> = ZONE
        .iter()
        .map(|index| (mesh.nodes[*index].as_ref(), Readiness::default()))
        .collect();
    let all: Vec<Counts> = std::thread::scope(|scope| {
        for (place, (node, readiness)) in zone.iter().enumerate() {
            for number in 0..CROWD {
                let (over, number) = (&over, place * CROWD + number);
                scope.spawn(move || send_slashes(node, record, over, number, trouble));
            }
            scope.spawn(|| ask_ready(node, readiness, record, &over));
        }
        let ordinary: Vec<_> = (0..zone.len())
            .map(|place| {
                let zone = &zone;
                scope.spawn(move || send_ordinary(zone, place, record))
            })
            .collect();
        let all = ordinary
            .into_iter()
            .map(|client| client.join().expect("the client's counts"))
            .collect();
        over.store(true, Ordering::Relaxed);
        all
    });
    let (mut overdue, mut unanswered) = (0, 0);
    for ((node, readiness), counts) in zone.iter().zip(&all) {
        record.tell(&format!(
            "{}: {} ordinary requests, {} answered or closed within the time-out of {TIMEOUT:?}; of the {} others, {} have no answer {GRACE:?} later; {} times no work; {} of {} readiness checks missed",
            node.name,
            counts.sent,
            counts.timely,
            counts.overdue,
            counts.unanswered,
            counts.withheld,
            readiness.all_missed.load(Ordering::Relaxed),
            readiness.asked.load(Ordering::Relaxed),
        ));
        overdue += counts.overdue;
        unanswered += counts.unanswered;
    }
    Ok(unanswered * 2 > overdue && overdue > 3)
}

/// The platform: asks a node each second whether it is ready.
fn ask_ready(node: &Node, readiness: &Readiness, record: &Record, over: &AtomicBool) {
    while !over.load(Ordering::Relaxed) {
        let next = Instant::now() + Duration::from_secs(1);
        readiness.asked.fetch_add(1, Ordering::Relaxed);
        if node.is_ready() {
            readiness.missed.store(0, Ordering::Relaxed);
        } else {
            readiness.all_missed.fetch_add(1, Ordering::Relaxed);
            let missed = readiness.missed.fetch_add(1, Ordering::Relaxed) + 1;
            record.note(&format!("{} misses {missed} in a row", node.name));
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// The ordinary client of a machine. After two misses it gets no new work until the node is ready again; this
/// does not apply if fewer than half of the zone's nodes are in.
fn send_ordinary(zone: &[(&Node, Readiness)], place: usize, record: &Record) -> Counts {
    let (node, readiness) = &zone[place];
    let started = Instant::now();
    let mut counts = Counts::default();
    while started.elapsed() < LENGTH {
        std::thread::sleep(Duration::from_millis(250));
        let nodes_in = zone.iter().filter(|(_, other)| other.is_in()).count();
        if !readiness.is_in() && nodes_in * 2 >= zone.len() {
            counts.withheld += 1;
            record.note(&format!("{}: no work for its client", node.name));
            continue;
        }
        counts.sent += 1;
        let id = format!("ordinary-{place}-{}", counts.sent);
        let begun = Instant::now();
        let answer = Wire::connect(node.outbound, TIMEOUT + GRACE).and_then(|mut wire| {
            wire.send(request(PAGES, &id).as_bytes())?;
            wire.wait_at_most((TIMEOUT + GRACE).saturating_sub(begun.elapsed()));
            wire.read()
        });
        let took = begun.elapsed();
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!(
            "{id} at {}: {status} after {took:?}; {nodes_in} of the zone's {} nodes are in",
            node.name,
            zone.len()
        ));
        if took <= TIMEOUT {
            counts.timely += 1;
        } else {
            counts.overdue += 1;
            counts.unanswered += u32::from(took >= TIMEOUT + GRACE);
        }
    }
    counts
}

/// A client of the crowd. Without the disruption its paths have as many bytes and two segments.
fn send_slashes(node: &Node, record: &Record, over: &AtomicBool, number: usize, trouble: bool) {
    let mut round = 0;
    while !over.load(Ordering::Relaxed) {
        round += 1;
        let path = if trouble {
            "/".repeat(PATH_BYTES)
        } else {
            format!("/none/{}", "x".repeat(PATH_BYTES - 6))
        };
        let text: String = (0..AHEAD)
            .map(|index| {
                format!(
                    "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: s{number}-{round}-{index}\r\nX-Deadline-Ms: 1000\r\n\r\n"
                )
            })
            .collect();
        let Ok(mut wire) = Wire::connect(node.outbound, Duration::from_secs(1)) else {
            continue;
        };
        if wire.send(text.as_bytes()).is_err() {
            continue;
        }
        wire.wait_at_most(Duration::from_secs(10));
        let begun = Instant::now();
        let answers = (0..AHEAD).take_while(|_| wire.read().is_ok()).count();
        record.note(&format!(
            "client {number}-{round}: {answers} answers after {:?}",
            begun.elapsed()
        ));
        std::thread::sleep(Duration::from_millis(200));
    }
}
