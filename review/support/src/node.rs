//! The proxies of a small deployment, started with the command of the deploy file.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Plan, Runs, Upstream};

/// The `run` of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/apricotfold-proxy";

/// Ports of each machine, on a loopback address of its own, counted from the first free one.
const READY: u16 = 0;
const OUTBOUND: u16 = 1;
const STORE: u16 = 2;
const INBOUND: u16 = 3;
const CONTROL: u16 = 4;
const APP: u16 = 5;
const METRICS: u16 = 6;
const PORTS: u16 = 7;

/// A signal, by its name.
pub const SIGTERM: &str = "TERM";
pub const SIGKILL: &str = "KILL";

/// Where a machine stands and what runs on it.
pub struct Machine {
    pub name: &'static str,
    pub zone: &'static str,
    pub service: &'static str,
    pub plan: Plan,
    pub link_mbps: u32,
}

/// A machine with its proxy and its upstream.
pub struct Node {
    pub name: &'static str,
    pub outbound: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Child,
    pub upstream: Upstream,
}

/// A deployment: the store, and the machines. Ending it ends the proxies.
pub struct Deployment {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub runs: Runs,
    pub record: Record,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the machines and waits until all nodes are ready and know all upstreams.
    pub fn start(machines: Vec<Machine>, config: &str, record: &Record) -> Self {
        let folder =
            std::env::temp_dir().join(format!("apricotfold-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::new(record);
        let runs = Runs::default();
        store.write("op/config", config);
        let mut zones: Vec<&str> = machines.iter().map(|machine| machine.zone).collect();
        zones.dedup();
        let zones: Vec<String> = zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"santiago\""))
            .collect();
        let zones = zones.join(",");
        let mut deployment = Self {
            store,
            nodes: Vec::new(),
            runs,
            record: record.clone(),
            folder,
        };
        let mut network = Network::choose();
        for machine in machines {
            let node = deployment.start_node(machine, &zones, &mut network);
            deployment.nodes.push(node);
        }
        if !deployment.wait_ready() {
            deployment.give_up("the nodes don't become ready");
        }
        deployment
    }

    /// Ends all processes, and the run with them because it cannot go on.
    pub fn give_up(&mut self, cause: &str) -> ! {
        self.end();
        cannot_run(cause);
    }

    fn start_node(&self, machine: Machine, zones: &str, network: &mut Network) -> Node {
        let ip = network.next();
        let first_port = network.first_port;
        let address = |port: u16| -> SocketAddr {
            let port = first_port + port;
            format!("{ip}:{port}").parse().expect("an address")
        };
        let app = TcpListener::bind(address(APP)).expect("a free port");
        let store = TcpListener::bind(address(STORE)).expect("a free port");
        let store = self.store.serve(store, machine.name);
        // The layout is that of platform/settings.json.template.
        let text = format!(
            "{{\"node\":\"{}\",\"region\":\"santiago\",\"data_centre\":\"{}\",\"data_centres\":{{{zones}}},\"caller_address\":\"{}\",\"peer_address\":\"{}\",\"announce_address\":\"{}\",\"ready_address\":\"{}\",\"metrics_address\":\"{}\",\"target_address\":\"{}\",\"service\":\"{}\",\"store_address\":\"{store}\",\"lease_min_ms\":1000,\"announce_interval_ms\":1500,\"grace_ms\":6000,\"retry_share\":0.2,\"retry_slack\":60,\"retry_window_ms\":10000,\"link_mbps\":{}}}",
            machine.name,
            machine.zone,
            address(OUTBOUND),
            address(INBOUND),
            address(CONTROL),
            address(READY),
            address(METRICS),
            address(APP),
            machine.service,
            machine.link_mbps
        );
        let settings = self.folder.join(format!("{}.json", machine.name));
        std::fs::write(&settings, text).expect("a settings file");
        let child = self.spawn(machine.name, &settings);
        let id = format!("i-{}", machine.name);
        let upstream = Upstream::start(
            &id,
            machine.service,
            machine.zone,
            app,
            address(CONTROL),
            machine.plan,
            &self.runs,
            &self.record,
        );
        Node {
            name: machine.name,
            outbound: address(OUTBOUND),
            ready: address(READY),
            settings,
            child,
            upstream,
        }
    }

    fn spawn(&self, name: &str, settings: &PathBuf) -> Child {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("APRICOTFOLD_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{PROGRAM}: {error}")));
        self.record
            .line(&format!("platform: {name} started, process {}", child.id()));
        child
    }

    fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        let ready = || {
            let known = self
                .nodes
                .iter()
                .all(|node| node.upstream.is_known() && node.is_ready());
            known && self.nodes.iter().all(|node| self.lists(node))
        };
        while !ready() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Nodes learn of the others' upstreams within seconds; machines are in touch after 4 s.
        thread::sleep(Duration::from_secs(6));
        self.record.line("platform: all nodes are ready");
        true
    }

    fn lists(&self, node: &Node) -> bool {
        let log = std::fs::read_to_string(self.folder.join(format!("{}.log", node.name)));
        log.is_ok_and(|log| log.contains("i-"))
    }

    /// Sends a signal to a node's process.
    pub fn signal(&self, index: usize, signal: &str) {
        let node = &self.nodes[index];
        self.record
            .line(&format!("platform: SIG{signal} to {}", node.name));
        send_signal(signal, node.child.id());
    }

    /// Kills a node's process at once.
    pub fn kill(&mut self, index: usize) {
        let _ = self.nodes[index].child.kill();
        let _ = self.nodes[index].child.wait();
        self.record
            .line(&format!("platform: SIGKILL to {}", self.nodes[index].name));
    }

    /// Waits until a node's process has ended, or kills it after `grace`.
    pub fn wait_end(&mut self, index: usize, grace: Duration) {
        let end = Instant::now() + grace;
        loop {
            if let Ok(Some(status)) = self.nodes[index].child.try_wait() {
                self.record.line(&format!(
                    "platform: {} ended, {status}",
                    self.nodes[index].name
                ));
                return;
            }
            if Instant::now() > end {
                self.signal(index, SIGKILL);
                let _ = self.nodes[index].child.wait();
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Starts a node's process again with the same settings.
    pub fn restart(&mut self, index: usize) {
        let child = self.spawn(self.nodes[index].name, &self.nodes[index].settings);
        self.nodes[index].child = child;
    }

    /// Ends all processes.
    pub fn end(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        self.record.line("platform: all processes have ended");
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Node {
    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n",
            self.ready
        );
        let answer = http::call(self.ready, &request, b"", Duration::from_millis(500));
        answer.is_ok_and(|(status, _, _)| status == 200)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
    }
}

fn send_signal(signal: &str, process: u32) {
    let _ = Command::new("sh")
        .args(["-c", &format!("kill -{signal} {process}")])
        .status();
}

/// Ends the run because it could not begin.
pub fn cannot_run(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    std::process::exit(2);
}

/// Loopback addresses on which the ports are free.
struct Network {
    prefix: String,
    last: u8,
    first_port: u16,
}

impl Network {
    fn choose() -> Self {
        let seed = std::process::id();
        for turn in 0..200 {
            let (second, third) = (20 + (seed + turn) % 200, 1 + (seed / 200 + turn) % 250);
            let prefix = format!("127.{second}.{third}");
            let first_port = 20_000 + u16::try_from(turn).unwrap_or(0) * PORTS;
            let is_free = |last: u8| {
                (first_port..first_port + PORTS)
                    .all(|port| TcpListener::bind(format!("{prefix}.{last}:{port}")).is_ok())
            };
            if (1..9).all(is_free) {
                return Self {
                    prefix,
                    last: 0,
                    first_port,
                };
            }
        }
        cannot_run("no free loopback addresses")
    }

    fn next(&mut self) -> String {
        self.last += 1;
        format!("{}.{}", self.prefix, self.last)
    }
}

/// A route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub service: &'static str,
    pub max_attempts: u32,
}

/// Writes a configuration as the operator does.
pub fn config(version: u32, routes: &[Route], services: &[&str]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "[\"{}\",\"shop.example\",\"{}\",\"{}\",{},400,2,null,{},\"{}\"]",
                route.name,
                route.prefix,
                route.kind,
                route.timeout_ms,
                route.max_attempts,
                route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("[\"{name}\",\"/health\",120,\"h1\",false]"))
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"weighted_services\",\"max_attempts\",\"service\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        rows.join(","),
        services.join(",")
    )
}
