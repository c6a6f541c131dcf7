//! Another writer's heartbeats, for a service that the configuration does not name, arrive at each node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::mesh::{GUIDES, Mesh, PAGES, ask, guide_plan, page_plan};
use crate::node::Site;
use crate::record::Record;
use crate::upstream::beat;

const LENGTH: Duration = Duration::from_secs(40);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let (pages, guides) = (page_plan(), guide_plan(90_000));
    let plans = vec![pages.clone(), pages, guides.clone(), guides];
    let mesh = Mesh::start(plans, &Site::default(), record)?;
    let over = Arc::new(AtomicBool::new(false));
    let mut writers = Vec::new();
    if trouble {
        for (index, node) in mesh.nodes.iter().enumerate() {
            let (node, over, record) = (node.clone(), over.clone(), record.clone());
            writers.push(std::thread::spawn(move || {
                let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let born = born.map_or(0, |time| time.as_millis());
                let mut number = 0;
                while !over.load(Ordering::Relaxed) {
                    number += 1;
                    let body = format!(
                        "{{\"address\":\"{}:9\",\"born\":{born},\"info\":{{\"service\":\"agenda\",\"version\":\"v1\",\"zone\":\"stgo-norte\",\"slots\":4}},\"status\":{{\"state\":\"ready\",\"seq\":{number},\"cold_remaining_ms\":0}}}}",
                        node.ip
                    );
                    let status = beat(node.control, &format!("x-{index}"), &body);
                    record.note(&format!("foreign heartbeat {number} at {}: {status}", node.name));
                    std::thread::sleep(Duration::from_millis(1_500));
                }
            }));
        }
        // The first foreign heartbeats have arrived before the traffic starts.
        std::thread::sleep(Duration::from_secs(2));
    }
    let started = Instant::now();
    let (mut sent, mut served) = (0, 0);
    let mut statuses = std::collections::BTreeMap::new();
    while started.elapsed() < LENGTH {
        for node in &mesh.nodes {
            for route in [PAGES, GUIDES] {
                sent += 1;
                let id = format!("request-{sent}");
                let status = ask(node, route, &id).map_or(0, |answer| answer.status());
                let seconds = started.elapsed().as_secs();
                record.note(&format!(
                    "{id} {route} at {} in second {seconds}: {status}",
                    node.name
                ));
                *statuses.entry(status).or_insert(0) += 1;
                served += u32::from(status == 200);
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    over.store(true, Ordering::Relaxed);
    for writer in writers {
        let _ = writer.join();
    }
    record.tell(&format!(
        "{sent} requests sent, {served} served, by status {statuses:?}"
    ));
    Ok(served == 0)
}
