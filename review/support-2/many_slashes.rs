//! Clients send requests whose paths have very many short segments.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let (pages, guides) = (page_plan(), guide_plan(90_000));
    let plans = vec![pages.clone(), pages, guides.clone(), guides];
    let mesh = Mesh::start(plans, &Site::default(), record)?;
    std::thread::sleep(Duration::from_secs(5));
    let over = Arc::new(AtomicBool::new(false));
    let crowd: Vec<_> = (0..CROWD)
        .map(|number| {
            let (node, over, record) = (mesh.nodes[0].clone(), over.clone(), record.clone());
            std::thread::spawn(move || send_slashes(&node, &record, &over, number, trouble))
        })
        .collect();
    let started = Instant::now();
    let (mut sent, mut timely, mut overdue, mut unanswered, mut misses) = (0, 0, 0, 0, 0);
    while started.elapsed() < LENGTH {
        std::thread::sleep(Duration::from_millis(250));
        sent += 1;
        let id = format!("ordinary-{sent}");
        let begun = Instant::now();
        let answer =
            Wire::connect(mesh.nodes[0].outbound, Duration::from_secs(1)).and_then(|mut wire| {
                wire.send(request(PAGES, &id).as_bytes())?;
                wire.wait_at_most(TIMEOUT + GRACE);
                wire.read()
            });
        let took = begun.elapsed();
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!("{id}: {status} after {took:?}"));
        if took <= TIMEOUT {
            timely += 1;
        } else {
            overdue += 1;
            unanswered += u32::from(took >= TIMEOUT + GRACE || status == 0);
        }
        if sent % 4 == 0 {
            misses += u32::from(!mesh.nodes[0].is_ready());
        }
    }
    over.store(true, Ordering::Relaxed);
    for client in crowd {
        let _ = client.join();
    }
    record.tell(&format!(
        "{sent} ordinary requests: {timely} answered within the time-out of {TIMEOUT:?}; of the {overdue} others, {unanswered} have no answer {GRACE:?} later; {misses} readiness checks missed"
    ));
    Ok(unanswered * 2 > overdue && overdue > 3)
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
