//! TWICE: after the store gave a node no response for a short time, the node still waits for the answer
//! to its watch. It does not learn that a route was added whose requests must run once, and goes on
//! treating them as those of a safe route.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::node::{Deployment, Machine, Route, config};
use crate::record::Record;
use crate::upstream::Work;

/// `stable_window_ms` and `config_apply_ms` of the deployment.
const STABLE_WINDOW_MS: u64 = 4_000;
const CONFIG_APPLY_MS: u64 = 2_500;

/// Time for which the store gives the node no response.
const SILENT_FOR: Duration = Duration::from_millis(1_000);

/// Time for which requests are sent after the last change.
const ASKED_FOR_MS: u64 = 14_000;

/// Work of a request in milliseconds; one in fifty takes seven times as long.
const WORK_MS: u64 = 40;
const SLOW_FACTOR: u64 = 7;

pub fn run(trouble: bool, record: &Record) -> bool {
    let plan = Arc::new(|path: &str| {
        let slow = path.ends_with("-slow");
        Work::small(if slow { WORK_MS * SLOW_FACTOR } else { WORK_MS })
    });
    let machine = |name, zone, service| Machine {
        name,
        zone,
        service,
        plan: plan.clone(),
        link_mbps: 1_000,
    };
    let machines = vec![
        machine("norte-1", "stgo-norte", "despacho"),
        machine("norte-2", "stgo-norte", "precios"),
        machine("sur-1", "stgo-sur", "precios"),
        machine("sur-2", "stgo-sur", "despacho"),
    ];
    let mut deployment = Deployment::start(machines, &table(1), record);
    let now = || record.now();
    // A change that all nodes learn, so that each of them has just begun a watch.
    publish(&deployment, 2);
    thread::sleep(Duration::from_millis(1_000));
    if std::env::var_os("UNTIMED").is_some() {
        // Begins at any time between two renewals, to show how often the silence is met.
        let wait = u64::from(std::process::id()) * 631 % 1_800;
        thread::sleep(Duration::from_millis(wait));
    } else {
        while deployment.store.since_renewal("norte-1") > Duration::from_millis(50) {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(150));
    }
    if trouble {
        deployment.store.silence("norte-1");
    }
    thread::sleep(SILENT_FOR / 2);
    publish(&deployment, 3);
    thread::sleep(SILENT_FOR / 2);
    deployment.store.end_silence();
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 200));
    record.line("platform: the store has been without disruption for stable_window_ms");
    let acknowledged = publish(&deployment, 4);
    thread::sleep(Duration::from_millis(CONFIG_APPLY_MS + 100));
    record.line("platform: config_apply_ms after version 4 was acknowledged");
    let mut twice = 0;
    let mut last = 0;
    let mut number = 0;
    let nodes: Vec<_> = deployment
        .nodes
        .iter()
        .map(|node| (node.name, node.outbound))
        .collect();
    // Most requests go to the node that got no response; the others show what the rest does.
    let order = [0, 0, 0, 1, 0, 0, 2, 0, 3];
    let mut sent_to = [0; 4];
    while now() < acknowledged + ASKED_FOR_MS {
        for index in order {
            let (node, address) = &nodes[index];
            number += 1;
            sent_to[index] += 1;
            let slow = if sent_to[index] % 50 == 15 {
                "-slow"
            } else {
                ""
            };
            let (sent, id) = (now(), format!("order-{number}"));
            client::call(
                *address,
                &id,
                &format!("POST /precio/reserva/lote-{number}{slow}"),
                record,
            );
            let runs = deployment.runs.of(&id);
            if runs.len() > 1 {
                twice += 1;
                last = sent - acknowledged;
                let at: Vec<String> = runs
                    .iter()
                    .map(|run| format!("{} at {}", run.upstream, run.at))
                    .collect();
                record.say(&format!("twice: {id}, sent to {node} {last} ms after version 4 was acknowledged, run by {}", at.join(" and ")));
            }
        }
    }
    deployment.end();
    record.say(&format!(
        "{number} requests of the unsafe route, later than {CONFIG_APPLY_MS} ms after the version with it was acknowledged, {twice} ran twice, the last {last} ms after it"
    ));
    twice > 0
}

fn publish(deployment: &Deployment, version: u32) -> u64 {
    let revision = deployment.store.write("op/config", &table(version));
    let at = deployment.record.now();
    deployment.record.line(&format!(
        "operator: version {version} acknowledged at revision {revision}"
    ));
    at
}

/// The configuration: a safe route, a further one from version 3 on, and from version 4 on an unsafe one
/// with a longer prefix.
fn table(version: u32) -> String {
    let route = |name, prefix, kind, service, max_attempts| Route {
        name,
        prefix,
        kind,
        timeout_ms: 1_000,
        service,
        max_attempts,
    };
    let mut routes = vec![
        route("r-precio", "/precio/", "safe", "precios", 2),
        route("r-stock", "/stock/", "safe", "despacho", 2),
    ];
    if version >= 3 {
        routes.push(route("r-lote", "/lote/", "safe", "despacho", 2));
    }
    if version >= 4 {
        routes.push(route(
            "r-reserva",
            "/precio/reserva/",
            "unsafe",
            "precios",
            2,
        ));
    }
    // Versions increase in uneven steps.
    let written = [1, 2, 5, 11][version as usize - 1];
    config(written, &routes, &["precios", "despacho"])
}
