//! The settings change, and then the machines are stopped and started in turn.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::mesh::{GUIDES, Mesh, PAGES, ask, guide_plan, page_plan};
use crate::node::Site;
use crate::record::Record;

/// Starts after which a program that ends at once counts as one that does not start.
const STARTS: usize = 3;
/// Processes of four that get SIGHUP: lvsur-mesh.toml has a share of 0.6 at most.
const SIGNALLED: usize = 2;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let (pages, guides) = (page_plan(), guide_plan(90_000));
    let plans = vec![pages.clone(), pages, guides.clone(), guides];
    let mesh = Mesh::start(plans, &Site::default(), record)?;
    let grace = if trouble { "5.5" } else { "5" };
    record.tell(&format!(
        "the settings change: grace_s={grace}; two of four processes get SIGHUP"
    ));
    for (index, node) in mesh.nodes.iter().enumerate() {
        node.change("{{bounds.grace_s}}", grace);
        node.write_settings();
        // The settings may also change without a signal.
        if index < SIGNALLED {
            node.signal("HUP");
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut not_started = 0;
    for node in &mesh.nodes {
        record.tell(&format!("{} gets SIGTERM", node.name));
        node.signal("TERM");
        for _ in 0..60 {
            std::thread::sleep(Duration::from_millis(100));
            if node.ended().is_some() {
                break;
            }
        }
        node.kill();
        let mut started = false;
        for attempt in 1..=STARTS {
            node.start();
            std::thread::sleep(Duration::from_millis(1_500));
            match node.ended() {
                None => {
                    started = node.wait_ready(Duration::from_secs(5));
                    break;
                }
                Some(status) => {
                    record.tell(&format!(
                        "{} start {attempt} ended at once: {status}",
                        node.name
                    ));
                    node.kill();
                }
            }
        }
        not_started += usize::from(!started);
        for route in [PAGES, GUIDES] {
            let id = format!("after-{}-{}", node.name, &route[1..route.len() - 1]);
            let status = ask(&mesh.nodes[3], route, &id).map_or(0, |answer| answer.status());
            record.tell(&format!("{id} at {}: {status}", mesh.nodes[3].name));
        }
    }
    record.tell(&format!(
        "{not_started} of {} programs do not start",
        mesh.nodes.len()
    ));
    Ok(not_started > 0)
}
