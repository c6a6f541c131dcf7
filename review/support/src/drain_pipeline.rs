//! LOST: a node that is stopped never closes the connection of a client that keeps several requests
//! waiting, and cuts their answers when it exits.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Outcome, Pipeline, Sent};
use crate::node::{Deployment, Machine, Route, SIGTERM, config};
use crate::record::Record;
use crate::upstream::{Progress, Runs, Work};

/// `grace_s` of the deployment.
const GRACE: Duration = Duration::from_secs(6);

/// Interval at which the client sends, and the time that the upstreams take for a request.
const INTERVAL: Duration = Duration::from_millis(25);
const WORK_MS: u64 = 110;

const DEADLINE_MS: u32 = 1_000;

pub fn run(trouble: bool, record: &Record) -> bool {
    let plan = Arc::new(|_: &str| Work::small(WORK_MS));
    let machine = |name, zone| Machine {
        name,
        zone,
        service: "precios",
        plan: plan.clone(),
        link_mbps: 1_000,
    };
    let route = Route {
        name: "r-precio",
        prefix: "/precio/",
        kind: "safe",
        timeout_ms: 1_000,
        service: "precios",
        max_attempts: 2,
    };
    let text = config(1, &[route], &["precios"]);
    let machines = vec![
        machine("norte-1", "stgo-norte"),
        machine("sur-1", "stgo-sur"),
        machine("sur-2", "stgo-sur"),
    ];
    let mut deployment = Deployment::start(machines, &text, record);
    let outbound = deployment.nodes[0].outbound;
    let Ok(mut client) = Pipeline::open("batch", outbound, DEADLINE_MS, record) else {
        deployment.give_up("no connection to the node");
    };
    let started = Instant::now();
    let stop_after = Duration::from_secs(2);
    let mut stopped = None;
    let mut turn = 0;
    while started.elapsed() < stop_after + GRACE + Duration::from_millis(500) {
        if stopped.is_none() && started.elapsed() >= stop_after {
            stopped = Some(record.now());
            if trouble {
                deployment.signal(0, SIGTERM);
            }
        }
        turn += 1;
        if !client.send(&format!("/precio/lot-{turn}")) {
            break;
        }
        thread::sleep(INTERVAL);
    }
    if trouble {
        deployment.wait_end(0, GRACE);
        deployment.restart(0);
    }
    let sent = client.finish(Duration::from_secs(2));
    deployment.end();
    let stopped = stopped.unwrap_or(0);
    let lost: Vec<&Sent> = sent
        .iter()
        .filter(|request| is_lost(request, &deployment.runs, stopped))
        .collect();
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
        "{} requests sent, {} answered with success, {} of those that an upstream ran have no answer",
        sent.len(),
        answered.count(),
        lost.len()
    ));
    for request in &lost {
        record.say(&format!(
            "lost: {} sent {} ms after the SIGTERM, run by {}, cut {} ms after it was sent",
            request.id,
            request.at.saturating_sub(stopped),
            deployment.runs.of(&request.id)[0].upstream,
            request.ended - request.at
        ));
    }
    !lost.is_empty()
}

/// LOST around a SIGTERM: passed on to an upstream, and the connection ends without a complete answer.
fn is_lost(request: &Sent, runs: &Runs, stopped: u64) -> bool {
    let runs = runs.of(&request.id);
    let broke_off = runs.iter().any(|run| run.progress == Progress::Cut);
    let late = request.ended - request.at >= u64::from(DEADLINE_MS);
    let in_time = request.ended >= stopped && request.ended <= stopped + 7_000;
    // Work in the last sixth of the grace period excuses only what was sent in the first 3 s.
    let excused = request.at <= stopped + 3_000 && request.ended >= stopped + 5_000;
    request.outcome == Outcome::NoAnswer
        && !runs.is_empty()
        && !broke_off
        && !late
        && in_time
        && !excused
}
