//! The store gives no response to anybody for a second while the configuration changes; later, in calm, a
//! version adds an unsafe route.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Wire;
use crate::mesh::{Mesh, document, guide_plan, order, page_plan};
use crate::node::{Node, Site};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::Plan;

const SILENCE: Duration = Duration::from_millis(1_000);
/// Interval at which the nodes renew their leases.
const RENEWAL: Duration = Duration::from_millis(1_800);
/// Time that must be left between the renewals before and after the silence.
const MARGIN: Duration = Duration::from_millis(120);
/// `stable_window_ms` and `config_apply_ms`, with a little more.
const STABLE: Duration = Duration::from_millis(4_200);
const APPLY: Duration = Duration::from_millis(2_600);
/// Time for which orders are sent, and the interval of orders at one machine.
const ORDERING: Duration = Duration::from_secs(14);
const INTERVAL: Duration = Duration::from_millis(70);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    // The work of `reserva-pallet`, of which 3 % take seven times as long.
    let pages = Plan {
        work: Duration::from_millis(100),
        tail: 0.03,
        ..page_plan()
    };
    let guides = guide_plan(90_000);
    let plans = vec![pages.clone(), pages.clone(), pages, guides];
    let mesh = Mesh::start(plans, &Site::default(), record)?;
    std::thread::sleep(Duration::from_secs(6));
    // Each version ends the open watches of the table, so that new ones begin.
    mesh.store.write("op/config", &document(9, false, true));
    std::thread::sleep(Duration::from_millis(1_500));
    let start = find_gap(&mesh.store)?;
    std::thread::sleep(start.saturating_duration_since(Instant::now()));
    if trouble {
        mesh.store.fall_silent(start, SILENCE);
        record.tell("the store falls silent to everybody for 1 s");
    }
    std::thread::sleep(SILENCE / 2);
    mesh.store.write("op/config", &document(11, false, false));
    record.tell("version 11 is written; the operator has no response during a silence");
    std::thread::sleep(SILENCE / 2);
    record.tell("the store answers everybody again; the operator finds version 11");
    std::thread::sleep(STABLE);
    mesh.store.write("op/config", &document(13, true, false));
    record.tell("version 13 adds the unsafe route and is acknowledged");
    std::thread::sleep(APPLY);
    let sent = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = mesh
        .nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let (node, record, sent) = (node.clone(), record.clone(), sent.clone());
            std::thread::spawn(move || send_orders(&node, &record, &sent, number))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let repeated: Vec<String> = record
        .repeated()
        .into_iter()
        .filter(|id| id.starts_with("order-"))
        .collect();
    for id in &repeated {
        let runs = record.runs(id);
        let places: Vec<&str> = runs.iter().map(|run| run.instance.as_str()).collect();
        record.tell(&format!("{id} was run {} times: {places:?}", runs.len()));
    }
    let sent = sent.load(Ordering::Relaxed);
    record.tell(&format!(
        "{sent} orders sent, {} were run more than once",
        repeated.len()
    ));
    Ok(!repeated.is_empty())
}

/// Finds the start of a time without renewals that is as long as the silence.
fn find_gap(store: &Store) -> Result<Instant, String> {
    for _ in 0..400 {
        std::thread::sleep(Duration::from_millis(10));
        let now = Instant::now();
        let renewals = store.renewals();
        let last = renewals.iter().max().copied();
        let next = renewals.iter().min().map(|first| *first + RENEWAL);
        let (Some(last), Some(next)) = (last, next) else {
            continue;
        };
        let start = last + MARGIN;
        if start > now && start + SILENCE + MARGIN < next {
            return Ok(start);
        }
    }
    Err("the renewals leave no gap of a second".to_owned())
}

fn send_orders(node: &Node, record: &Record, sent: &AtomicU64, number: usize) {
    let end = Instant::now() + ORDERING;
    let mut count = 0;
    std::thread::scope(|scope| {
        while Instant::now() < end {
            count += 1;
            let id = format!("order-{number}-{count}");
            sent.fetch_add(1, Ordering::Relaxed);
            scope.spawn(move || {
                let answer =
                    Wire::connect(node.outbound, Duration::from_secs(1)).and_then(|mut wire| {
                        wire.send(order(&id).as_bytes())?;
                        wire.wait_at_most(Duration::from_secs(2));
                        wire.read()
                    });
                let status = answer.map_or(0, |answer| answer.status());
                record.note(&format!("{id} at {}: {status}", node.name));
            });
            std::thread::sleep(INTERVAL);
        }
    });
}
