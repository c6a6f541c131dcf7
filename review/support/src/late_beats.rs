//! DRAIN: a node that is killed right after it has acknowledged that its upstream leaves takes late
//! heartbeats for proof that the upstream is there, and hands it work again.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::node::{Deployment, Machine, Route, config};
use crate::record::Record;
use crate::upstream::Work;

/// Bounds of the deployment.
const DRAIN_MS: u64 = 2_500;
const STABLE_WINDOW_MS: u64 = 4_000;

/// Time for which the upstream serves after it has deregistered.
const SERVES_MS: u64 = 9_500;

pub fn run(trouble: bool, record: &Record) -> bool {
    let plan = Arc::new(|_: &str| Work::small(40));
    let machine = |name, zone, service| Machine {
        name,
        zone,
        service,
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
    let text = config(1, &[route], &["precios", "despacho"]);
    let machines = vec![
        machine("norte-1", "stgo-norte", "precios"),
        machine("norte-2", "stgo-norte", "despacho"),
        machine("sur-1", "stgo-sur", "precios"),
    ];
    let mut deployment = Deployment::start(machines, &text, record);
    let leaving = deployment.nodes[0].upstream.clone();
    let outbound = deployment.nodes[1].outbound;
    leaving.stop_beats();
    // Two heartbeats are on their way when the upstream deregisters, and arrive seconds late.
    thread::sleep(Duration::from_millis(1_500));
    let first = leaving.next_beat();
    record.line(&format!(
        "{}: heartbeat {first} sent, state ready, held up on its way",
        leaving.id
    ));
    thread::sleep(Duration::from_millis(1_500));
    let second = leaving.next_beat();
    record.line(&format!(
        "{}: heartbeat {second} sent, state ready, held up on its way",
        leaving.id
    ));
    thread::sleep(Duration::from_millis(100));
    if !leaving.leave() {
        deployment.give_up("the node did not acknowledge the departure");
    }
    let acknowledged = record.now();
    if trouble {
        // The store takes 4 ms for an answer; the process is killed within that time.
        thread::sleep(Duration::from_millis(2));
        deployment.kill(0);
        thread::sleep(Duration::from_millis(300));
        deployment.restart(0);
    }
    record.line(&format!(
        "{}: its departure was acknowledged at {acknowledged}",
        leaving.id
    ));
    let restarted = record.now();
    thread::sleep(Duration::from_millis(700));
    for seq in [first, second] {
        let known = leaving.beat(seq);
        record.line(&format!(
            "{}: heartbeat {seq} arrives, acknowledged {known}",
            leaving.id
        ));
        thread::sleep(Duration::from_millis(200));
    }
    let calm = restarted + STABLE_WINDOW_MS;
    let mut asked = 0;
    let mut reached = Vec::new();
    while record.now() < acknowledged + SERVES_MS {
        asked += 1;
        let id = format!("r-{asked}");
        client::call(outbound, &id, "GET /precio/lote", record);
        let runs = deployment.runs.of(&id);
        let late = |at: u64| at > acknowledged + DRAIN_MS && at > calm + 100;
        reached.extend(
            runs.iter()
                .filter(|run| run.upstream == leaving.id && late(run.at))
                .map(|run| run.at),
        );
        thread::sleep(Duration::from_millis(30));
    }
    deployment.end();
    record.say(&format!(
        "{asked} requests, {} reached {} later than {DRAIN_MS} ms after its departure was acknowledged, at machines in touch; the last {} ms after it",
        reached.len(),
        leaving.id,
        reached.last().map_or(0, |at| at - acknowledged)
    ));
    !reached.is_empty()
}
