//! LOST: requests that wait on a connection behind a long answer that is streamed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{Outcome, Pipeline, Sent};
use crate::link;
use crate::node::{Deployment, Machine, Route, SIGTERM, config};
use crate::record::Record;
use crate::upstream::{Progress, Runs, Work};

const DEADLINE_MS: u32 = 1_000;

/// One way between clients and nodes at the smaller deployment of the pages.
const CLIENT_DELAY: Duration = Duration::from_millis(8);

/// Bandwidth of each machine; the pages' machines have 32.2 to 140 Mbit/s at the grown deployment.
const LINK_MBPS: u32 = 40;

/// Size of a download; those of the pages have 280 KB in the mean and 1.7 MB at most.
const GUIDE_BYTES: usize = 600_000;

fn guide(cut: Option<usize>) -> Work {
    Work {
        head: Duration::from_millis(40),
        bytes: GUIDE_BYTES,
        first: GUIDE_BYTES,
        body: Duration::ZERO,
        cut,
    }
}

fn routes() -> [Route; 2] {
    let route = |name, prefix, kind, service| Route {
        name,
        prefix,
        kind,
        timeout_ms: 1_000,
        service,
        max_attempts: 2,
    };
    [
        route("r-guia", "/guia/", "download", "despacho"),
        route("r-precio", "/precio/", "safe", "precios"),
    ]
}

fn deploy(
    guides: impl Fn(&str) -> Work + Send + Sync + 'static,
    link_mbps: u32,
    record: &Record,
) -> Deployment {
    let plan: crate::upstream::Plan = Arc::new(guides);
    let machine = |name, zone, service, plan: &crate::upstream::Plan| Machine {
        name,
        zone,
        service,
        plan: plan.clone(),
        link_mbps,
    };
    let small: crate::upstream::Plan = Arc::new(|_: &str| Work::small(25));
    let sound: crate::upstream::Plan = Arc::new(|_: &str| guide(None));
    // The zone stgo-norte has one node, so that its clients go on while that node is not ready.
    let machines = vec![
        machine("norte-1", "stgo-norte", "precios", &small),
        machine("sur-1", "stgo-sur", "precios", &small),
        machine("sur-2", "stgo-sur", "despacho", &plan),
        machine("sur-3", "stgo-sur", "despacho", &sound),
    ];
    Deployment::start(
        machines,
        &config(1, &routes(), &["precios", "despacho"]),
        record,
    )
}

/// LOST around a planned stop: a request that arrives behind an answer that closes the connection is
/// run, and its answer is dropped.
pub fn run_close(trouble: bool, record: &Record) -> bool {
    let mut deployment = deploy(|_| guide(None), LINK_MBPS, record);
    let address = link::open(deployment.nodes[0].outbound, CLIENT_DELAY);
    let stop_at = record.now() + 400;
    let clients: Vec<_> = (0..24)
        .map(|number: u64| {
            let record = record.clone();
            thread::spawn(move || {
                let Ok(mut client) =
                    Pipeline::open(&format!("c{number:02}"), address, DEADLINE_MS, &record)
                else {
                    return Vec::new();
                };
                thread::sleep(Duration::from_millis(500 + 90 * number));
                client.send(&format!("/guia/camion-{number}"));
                // The lookup follows before the download has been answered.
                thread::sleep(Duration::from_millis(62 + number % 8 * 7));
                client.send(&format!("/precio/lote-{number}"));
                client.finish(Duration::from_secs(2))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(stop_at - record.now()));
    let stopped = record.now();
    if trouble {
        deployment.signal(0, SIGTERM);
        deployment.wait_end(0, Duration::from_secs(6));
        deployment.restart(0);
    }
    let sent: Vec<Sent> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    deployment.end();
    let lost = report(&sent, &deployment.runs, record);
    let planned = lost
        .iter()
        .filter(|request| request.at <= stopped + 7_000 && request.ended >= stopped);
    planned.count() > 0
}

/// LOST at any time: one download that an upstream truncates takes with it the answers of all requests
/// behind it, which sound upstreams have run.
pub fn run_cut(trouble: bool, record: &Record) -> bool {
    let count = AtomicU32::new(0);
    // One answer of a hundred of one upstream of four is truncated.
    let guides = move |_: &str| {
        let number = count.fetch_add(1, Ordering::Relaxed) + 1;
        guide((trouble && number % 100 == 50).then_some(400_000))
    };
    let mut deployment = deploy(guides, 1_000, record);
    let mut sent = Vec::new();
    let mut number = 0;
    let mut client: Option<Pipeline> = None;
    for group in 0..100 {
        let open = client.take().filter(|client| !client.is_closed());
        let mut current = match open {
            Some(open) => open,
            None => {
                number += 1;
                let Ok(open) = Pipeline::open(
                    &format!("c{number}"),
                    deployment.nodes[2].outbound,
                    DEADLINE_MS,
                    record,
                ) else {
                    deployment.give_up("no connection to the node");
                };
                open
            }
        };
        current.send(&format!("/guia/camion-{group}"));
        for lot in 0..6 {
            current.send(&format!("/precio/lote-{group}-{lot}"));
        }
        while current.waiting() > 0 && !current.is_closed() {
            thread::sleep(Duration::from_millis(2));
        }
        if current.is_closed() {
            sent.extend(current.finish(Duration::from_secs(1)));
        } else {
            client = Some(current);
        }
        thread::sleep(Duration::from_millis(30));
    }
    if let Some(client) = client {
        sent.extend(client.finish(Duration::from_secs(1)));
    }
    deployment.end();
    let lost = report(&sent, &deployment.runs, record);
    lost.len() > 3
}

/// Returns the requests that an upstream ran, without breaking off, and that have no answer.
fn report<'a>(sent: &'a [Sent], runs: &Runs, record: &Record) -> Vec<&'a Sent> {
    let is_lost = |request: &&Sent| {
        let runs = runs.of(&request.id);
        let broke_off = runs.iter().any(|run| run.progress == Progress::Cut);
        let late = request.ended - request.at >= u64::from(DEADLINE_MS);
        request.outcome == Outcome::NoAnswer && !runs.is_empty() && !broke_off && !late
    };
    let lost: Vec<&Sent> = sent.iter().filter(is_lost).collect();
    let answered = sent.iter().filter(|request| {
        matches!(
            request.outcome,
            Outcome::Answered {
                status: 200,
                own: true
            }
        )
    });
    record.say(&format!(
        "{} requests sent, {} answered with success, {} of those that a sound upstream ran have no answer",
        sent.len(),
        answered.count(),
        lost.len()
    ));
    for request in &lost {
        let run = &runs.of(&request.id)[0];
        record.say(&format!(
            "lost: {} {} sent at {}, run by {} ({:?}), connection ended {} ms after it was sent",
            request.id,
            request.path,
            request.at,
            run.upstream,
            run.progress,
            request.ended - request.at
        ));
    }
    lost
}
