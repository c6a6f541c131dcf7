//! A small mesh: a store, upstreams and a node beside each, with the figures of
//! `sites/lvsur-mesh.toml`.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::http::{Message, Wire};
use crate::node::{Node, Site};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Plan, Upstream};

pub const HOST: &str = "lvsur.example";
/// Route to pages: short safe requests to `precios`.
pub const PAGES: &str = "/lotes/";
/// Route to downloads: large answers of `despacho`.
pub const GUIDES: &str = "/guias/";

pub struct Mesh {
    pub store: Store,
    pub nodes: Vec<Arc<Node>>,
    folder: PathBuf,
}

/// Route of orders, whose prefix lies below that of the pages.
pub const ORDERS: &str = "/lotes/reserva/";

/// Text of a configuration, with or without the route of the orders and a third route.
pub fn document(version: u32, orders_wanted: bool, third: bool) -> String {
    let further = |present: bool, row: String| if present { row } else { String::new() };
    let orders = format!(r#",["r-orders","{HOST}","{ORDERS}","unsafe",1200,500,1,2,"precios"]"#);
    let orders = further(orders_wanted, orders);
    let third = further(
        third,
        format!(r#",["r-third","{HOST}","/ferias/","safe",1000,400,2,2,"precios"]"#),
    );
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","prefix","kind","timeout_ms","target_latency_ms","priority","max_attempts","service"],"rows":[["r-pages","{HOST}","{PAGES}","safe",1000,400,2,2,"precios"],["r-guides","{HOST}","{GUIDES}","download",1000,400,2,2,"despacho"]{orders}{third}]}},"services":{{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["precios","/health",120,"h1",false],["despacho","/health",120,"h1",false]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// An upstream of `precios`, with the work of `consulta-precio`.
pub fn page_plan() -> Plan {
    Plan {
        service: "precios".to_owned(),
        slots: 9,
        queue: 48,
        work: Duration::from_millis(76),
        tail: 0.0,
        answer_bytes: 400,
    }
}

/// An upstream of `despacho`, with the work of `guia-despacho`.
pub fn guide_plan(answer_bytes: usize) -> Plan {
    Plan {
        service: "despacho".to_owned(),
        work: Duration::from_millis(61),
        answer_bytes,
        ..page_plan()
    }
}

impl Mesh {
    /// Starts upstreams, the store and a node beside each upstream, and waits until all serve.
    pub fn start(plans: Vec<Plan>, site: &Site, record: &Arc<Record>) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("apricotfold-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        // A network of its own for each run, so that the fixed metrics port is free.
        let net = std::process::id() % 60_000;
        let net = format!("127.{}.{}", 16 + net / 250 % 200, net % 250);
        let store = Store::start(&format!("{net}.1"));
        store.write("op/config", &document(7, false, false));
        let mut upstreams = Vec::new();
        let mut nodes = Vec::new();
        for (index, plan) in plans.into_iter().enumerate() {
            let ip = format!("{net}.{}", index + 11);
            let zone = if index % 2 == 0 {
                "stgo-norte"
            } else {
                "stgo-sur"
            };
            let id = format!("i-{}-{}", plan.service, index + 1);
            let upstream = Upstream::start(&ip, &id, plan, record);
            let node = Node::new(&ip, zone, &upstream, store.address, site, &folder, record);
            node.start();
            upstreams.push(upstream);
            nodes.push(node);
        }
        for (node, upstream) in nodes.iter().zip(&upstreams) {
            if !node.wait_ready(Duration::from_secs(10)) {
                return Err(format!("{} is not ready", node.name));
            }
            upstream.announce(node.control);
        }
        let mesh = Self {
            store,
            nodes,
            folder,
        };
        for node in &mesh.nodes {
            for route in [PAGES, GUIDES] {
                mesh.wait_served(node, route)?;
            }
        }
        record.tell("all nodes serve both routes");
        Ok(mesh)
    }

    fn wait_served(&self, node: &Node, route: &str) -> Result<(), String> {
        for attempt in 0..100 {
            let id = format!("warm-{}-{attempt}", node.name);
            let answer = ask(node, route, &id);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{} does not serve {route}", node.name))
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Text of a client's request with a deadline of one second.
pub fn request(route: &str, id: &str) -> String {
    format!(
        "GET {route}{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\r\n"
    )
}

/// Text of an order, with a body of its own.
pub fn order(id: &str) -> String {
    format!(
        "POST {ORDERS}{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1200\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    )
}

/// Sends one request on a connection of its own and waits up to two seconds for the answer.
pub fn ask(node: &Node, route: &str, id: &str) -> std::io::Result<Message> {
    let mut wire = Wire::connect(node.outbound, Duration::from_secs(1))?;
    wire.send(request(route, id).as_bytes())?;
    wire.wait_at_most(Duration::from_secs(2));
    wire.read()
}
