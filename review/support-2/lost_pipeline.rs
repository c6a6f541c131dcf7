//! Clients send short safe requests behind a download on one kept connection, while some downloads
//! break off.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Wire;
use crate::mesh::{GUIDES, PAGES, Mesh, guide_plan, page_plan, request};
use crate::node::{Node, Site};
use crate::record::Record;
use crate::upstream::Plan;

/// Short requests that are sent behind each download.
const BEHIND: usize = 6;
const CLIENTS: usize = 6;
const LENGTH: Duration = Duration::from_secs(60);
/// Requests without an answer that break the rule: more than these.
const ALLOWED: u64 = 3;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    answered: AtomicU64,
    /// Run and answered by a sound upstream, and closed without an answer.
    lost: AtomicU64,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let pages = Plan { work: Duration::from_millis(20), ..page_plan() };
    let guides = Plan { break_off: (0.03, 400_000), ..guide_plan(500_000) };
    let plans = vec![pages.clone(), pages, guides.clone(), guides];
    let mesh = Mesh::start(plans, &Site::default(), record)?;
    // Half of the download upstreams break off some answers.
    mesh.upstreams[2].spoils.store(trouble, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(5));
    let counts: Arc<Counts> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            // Clients beside the upstreams of the downloads: answers of the own instance are streamed.
            let node = mesh.nodes[2 + number % 2].clone();
            let (record, counts) = (record.clone(), counts.clone());
            std::thread::spawn(move || run_client(&node, &record, &counts, number))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let lost = counts.lost.load(Ordering::Relaxed);
    record.tell(&format!(
        "{} requests sent, {} answered, {} downloads broke off at their upstream, {lost} short requests were run and answered by sound upstreams and have no answer",
        counts.sent.load(Ordering::Relaxed),
        counts.answered.load(Ordering::Relaxed),
        mesh.upstreams[2].spoilt.load(Ordering::Relaxed),
    ));
    Ok(lost > ALLOWED)
}

fn run_client(node: &Node, record: &Record, counts: &Counts, number: usize) {
    let end = Instant::now() + LENGTH;
    let mut kept: Option<Wire> = None;
    let mut batch = 0;
    while Instant::now() < end {
        batch += 1;
        std::thread::sleep(Duration::from_millis(100));
        let fresh = kept.is_none();
        let wire = kept.take().or_else(|| Wire::connect(node.outbound, Duration::from_secs(1)).ok());
        let Some(mut wire) = wire else {
            continue;
        };
        let ids: Vec<String> =
            (0..=BEHIND).map(|index| format!("c{number}-{batch}-{index}")).collect();
        let mut text = request(GUIDES, &ids[0]);
        for id in &ids[1..] {
            text += &request(PAGES, id);
        }
        if wire.send(text.as_bytes()).is_err() {
            continue;
        }
        counts.sent.fetch_add(ids.len() as u64, Ordering::Relaxed);
        wire.wait_at_most(Duration::from_secs(3));
        let mut closed = false;
        let mut open = ids.iter();
        let mut left: Vec<&String> = Vec::new();
        for id in open.by_ref() {
            match wire.read() {
                Ok(answer) => {
                    record.note(&format!("{id} answered {} {}", answer.status(), answer.body.len()));
                    counts.answered.fetch_add(1, Ordering::Relaxed);
                    if answer.header("x-request-id").is_some_and(|known| known != id) {
                        record.tell(&format!("{id} got a foreign answer"));
                    }
                    closed |= answer.closes();
                    if closed {
                        break;
                    }
                }
                Err(error) => {
                    record.note(&format!("{id}: the connection ended without a whole answer: {error}"));
                    left.push(id);
                    closed = true;
                    break;
                }
            }
        }
        // Requests behind an announced close count as not read.
        if !left.is_empty() {
            left.extend(open);
            std::thread::sleep(Duration::from_millis(200));
            for id in &left[1..] {
                let ran = record.runs(id).iter().any(|run| run.answered);
                if ran && !fresh {
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                    record.tell(&format!("{id} was run and answered by its upstream, and has no answer"));
                }
            }
        }
        if !closed {
            kept = Some(wire);
        }
    }
}
