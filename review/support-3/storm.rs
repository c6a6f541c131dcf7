//! Versions of the configuration in quick succession, at machines with narrow links beside machines with wide ones.

#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;

use lib::*;
use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `idle_routes`, and the largest `big_config` of the site.
const IDLE: usize = 1_120;
const MORE: usize = 1_600;
/// `config_storm`
const STORM: Duration = Duration::from_secs(5);
const GAP: Duration = Duration::from_millis(180);
/// `config_apply_ms`
const APPLY: Duration = Duration::from_millis(3_000);
/// Orders: how long they are sent, at which pace at each machine, and the work that they take.
const ORDERS: Duration = Duration::from_secs(14);
const PACE: Duration = Duration::from_millis(80);
const WORK: Duration = Duration::from_millis(200);
/// One in 33 takes seven times as long.
const TAIL: u64 = 33;
const TAIL_TIMES: u32 = 7;

static SULINO: Site = Site {
    zones: [("poa-a", "rs-gaucho"), ("fln-a", "sc-litoral"), ("poa-b", "rs-gaucho"), ("fln-b", "sc-litoral")],
    retry_budget_slack: 212,
};
static WIDE: Machine = Machine { site: &SULINO, memory_mb: 512, fd_limit: 8_192, link_mbps: 140.0 };
static NARROW: Machine = Machine { site: &SULINO, memory_mb: 160, fd_limit: 4_100, link_mbps: 7.0 };

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |sum: u64, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn work(request: &Message) -> (Duration, usize) {
    let id = request.header("x-request-id").unwrap_or("");
    let time = if hash(id) % TAIL == 0 { WORK * TAIL_TIMES } else { WORK };
    (time, 1_500)
}

/// Returns a configuration with `routes` routes that get no requests. Each version has another time-out on one of
/// them; the last one has a route for orders below the safe route, and one
/// that is not below any other.
fn document(version: u32, routes: usize, orders: bool) -> String {
    let mut rows = vec!["[\"r-lotes00\",\"hulo84.example\",\"/lotes/\",\"safe\",2500,1000,1,\"precios\",2]".to_owned()];
    if orders {
        rows.push("[\"r-reserva\",\"hulo84.example\",\"/lotes/reserva/\",\"unsafe\",2500,1000,1,\"precios\",2]".to_owned());
        rows.push("[\"r-nuevo\",\"hulo84.example\",\"/nuevo/\",\"unsafe\",2500,1000,1,\"precios\",2]".to_owned());
    }
    for index in 0..routes {
        let name = hash(&index.to_string()) % 10_000_000;
        let timeout = 1_000 + if index == 0 { version } else { 0 };
        rows.push(format!("[\"r-{index:07}\",\"hulo84.example\",\"/l{index}x{name:07}/\",\"safe\",{timeout},400,2,\"precios\",2]"));
    }
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\"max_attempts\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\"],\"rows\":[[\"precios\",\"/health\"]]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        rows.join(",")
    )
}

fn main() {
    open_record(Path::new(&std::env::args().nth(1).unwrap_or_else(|| ".".to_owned())));
    let store = Store::start();
    store.write("op/config", &document(1, IDLE, false));
    let (mut nodes, mut targets, mut doors) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..20 {
        let machine = if index < 4 { &WIDE } else { &NARROW };
        let target = Target::start(&format!("i-{index}"), "precios", 9, work, false);
        let door = store.door();
        door.rate.store((machine.link_mbps * 125_000.0) as u64, Ordering::Relaxed);
        let node = Node::start(&format!("side-{index}"), SULINO.zones[index % 4].0, &target, door.address, machine);
        keep_beating(&target, &node);
        nodes.push(node);
        targets.push(target);
        doors.push(door);
    }
    for node in &nodes {
        node.wait_ready();
    }
    let narrow = &nodes[4..];
    // Every machine learns how long the safe requests take.
    for node in narrow {
        wait_served(node, "hulo84.example", "/lotes/warm");
    }
    let over = Arc::new(AtomicBool::new(false));
    let orders = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<String>>> = Arc::default();
    let statuses: Arc<Mutex<HashMap<u16, usize>>> = Arc::default();
    let refused = Arc::new(AtomicUsize::new(0));
    let number = Arc::new(AtomicUsize::new(0));
    for node in narrow {
        // Each request has a thread of its own, so that slow ones do not hold up the others.
        let (node, over, orders) = (node.clone(), over.clone(), orders.clone());
        let (sent, statuses, number) = (sent.clone(), statuses.clone(), number.clone());
        let refused = refused.clone();
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let is_order = orders.load(Ordering::Relaxed);
                let id = format!("{}{}", if is_order { "o" } else { "s" }, number.fetch_add(1, Ordering::Relaxed));
                let (node, sent, statuses, refused) = (node.clone(), sent.clone(), statuses.clone(), refused.clone());
                thread::spawn(move || {
                    let path = if is_order { "/lotes/reserva/" } else { "/lotes/" };
                    let headers = [("Host", "hulo84.example"), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "2500")];
                    if is_order {
                        note(&format!("{} is sent the order {id}", node.name));
                        sent.lock().unwrap().push(id.clone());
                    }
                    let got = call(node.outbound, "POST", &format!("{path}{id}"), &headers, b"lot=7", Duration::from_secs(4));
                    let status = got.map_or(0, |got| got.status());
                    if is_order {
                        note(&format!("{id} gets {status}"));
                        *statuses.lock().unwrap().entry(status).or_default() += 1;
                        if hash(&id) % 4 != 0 {
                            return;
                        }
                        let headers = [("Host", "hulo84.example"), ("X-Request-Id", &format!("n{id}")), ("X-Deadline-Ms", "2500")];
                        let got = call(node.outbound, "POST", &format!("/nuevo/{id}"), &headers, b"lot=7", Duration::from_secs(4));
                        if got.is_some_and(|got| got.status() == 404) {
                            note(&format!("{} answers 404 on /nuevo/", node.name));
                            refused.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                });
                thread::sleep(PACE * if is_order { 1 } else { 3 });
            }
        });
    }
    thread::sleep(Duration::from_secs(10));
    let mut version = 2;
    store.write("op/config", &document(version, IDLE + MORE, false));
    say(&format!("the configuration has grown to {} bytes", document(version, IDLE + MORE, false).len()));
    if trouble() {
        let begun = Instant::now();
        while begun.elapsed() + GAP < STORM {
            thread::sleep(GAP);
            version += 1;
            store.write("op/config", &document(version, IDLE + MORE, false));
        }
        thread::sleep(GAP);
    } else {
        thread::sleep(STORM);
    }
    version += 1;
    store.write("op/config", &document(version, IDLE + MORE, true));
    let acknowledged = Instant::now();
    say(&format!("version {version}, the last one, adds the unsafe route /lotes/reserva/"));
    thread::sleep(APPLY + Duration::from_millis(100));
    orders.store(true, Ordering::Relaxed);
    note("orders are sent");
    thread::sleep(ORDERS);
    over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(4_500));
    for node in &nodes {
        let last = node.log_lines("AF2008").pop().unwrap_or_default();
        note(&format!("{}, {:.1?} after the acknowledgement: {last}", node.name, acknowledged.elapsed()));
        for line in node.log_lines("AF5011") {
            note(&line);
        }
    }
    let sent = sent.lock().unwrap();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for target in &targets {
        for id in target.runs.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
        }
    }
    let twice: Vec<&String> = sent.iter().filter(|id| runs.get(*id).is_some_and(|count| *count > 1)).collect();
    note(&format!("run twice: {twice:?}"));
    say(&format!("answers to orders by status: {:?}", statuses.lock().unwrap()));
    say(&format!("requests on the other new route answered 404: {}", refused.load(Ordering::Relaxed)));
    verdict(!twice.is_empty(), &format!("{} of {} orders ran more than once", twice.len(), sent.len()));
}
