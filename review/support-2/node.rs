//! The project's own program, run with the command and the template of the deploy file.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::quote;
use crate::record::Record;
use crate::upstream::Upstream;

/// The command of `deploy/system.toml`.
const COMMAND: &str = "target/release/apricotfold-proxy";
const TEMPLATE: &str = "platform/settings.json.template";

/// Values of the settings that differ between deployments; the defaults are those of
/// `sites/lvsur-mesh.toml`.
#[derive(Clone)]
pub struct Site {
    pub memory_mb: u64,
    pub grace_s: String,
    pub retry_slack: String,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            memory_mb: 110,
            grace_s: "6".to_owned(),
            retry_slack: "60".to_owned(),
        }
    }
}

pub struct Node {
    pub name: String,
    pub ip: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: Mutex<Vec<(&'static str, String)>>,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    record: Arc<Record>,
}

impl Node {
    /// Prepares a machine with its own loopback address.
    pub fn new(
        ip: &str,
        zone: &str,
        upstream: &Upstream,
        store: SocketAddr,
        site: &Site,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let name = format!("sidecar-{zone}-{}", ip.rsplit('.').next().unwrap_or("0"));
        let ports: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
            .collect();
        let ports: Vec<SocketAddr> = ports
            .iter()
            .map(|port| port.local_addr().expect("an address"))
            .collect();
        let text = |value: &str| quote(value);
        let settings = vec![
            ("{{node_name|json}}", text(&name)),
            ("{{region|json}}", text("santiago")),
            ("{{zone|json}}", text(zone)),
            (
                "{{zones|json}}",
                r#"{"stgo-norte":"santiago","stgo-sur":"santiago"}"#.to_owned(),
            ),
            (
                "{{listen_addresses.outbound|json}}",
                text(&ports[0].to_string()),
            ),
            (
                "{{listen_addresses.inbound|json}}",
                text(&ports[1].to_string()),
            ),
            (
                "{{listen_addresses.control|json}}",
                text(&ports[2].to_string()),
            ),
            (
                "{{listen_addresses.ready|json}}",
                text(&ports[3].to_string()),
            ),
            ("{{ip}}", ip.to_owned()),
            ("{{app_address|json}}", text(&upstream.address.to_string())),
            ("{{service|json}}", text(&upstream.plan.service)),
            ("{{platform.address|json}}", text(&store.to_string())),
            ("{{platform.min_ttl_ms}}", "1000".to_owned()),
            ("{{heartbeat_interval_ms}}", "1500".to_owned()),
            ("{{bounds.grace_s}}", site.grace_s.clone()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.retry_budget_slack}}", site.retry_slack.clone()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
            ("{{limits.link_mbps}}", "1000.0".to_owned()),
            ("{{limits.memory_mb}}", site.memory_mb.to_string()),
            ("{{limits.fd_limit}}", "4100".to_owned()),
        ];
        Arc::new(Self {
            ip: ip.to_owned(),
            outbound: ports[0],
            control: ports[2],
            ready: ports[3],
            settings: Mutex::new(settings),
            folder: folder.to_owned(),
            child: Mutex::default(),
            record: record.clone(),
            name,
        })
    }

    /// Changes a value of the settings from the next time on that they are written.
    pub fn change(&self, placeholder: &str, value: &str) {
        for (known, text) in self.settings.lock().unwrap().iter_mut() {
            if *known == placeholder {
                value.clone_into(text);
            }
        }
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            let mut command = Command::new("kill");
            let _ = command
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Fills in the template, as the platform does at every start.
    pub fn write_settings(&self) -> PathBuf {
        let mut text = std::fs::read_to_string(TEMPLATE).expect("the template");
        for (placeholder, value) in self.settings.lock().unwrap().iter() {
            text = text.replace(placeholder, value.as_str());
        }
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        let path = self.folder.join(format!("{}.json", self.name));
        std::fs::write(&path, text).expect("a settings file");
        path
    }

    pub fn start(&self) {
        let path = self.write_settings();
        let log = self.folder.join(format!("{}.log", self.name));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log);
        let mut command = Command::new(COMMAND);
        command.env_clear().env("APRICOTFOLD_CONFIG", path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null());
        command.stdout(log.expect("a log file"));
        let child = command.spawn().expect("the program starts");
        // `run.sh` ends what is left if the case is cut short.
        self.record
            .note(&format!("{} started, pid {}", self.name, child.id()));
        self.record.flush();
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        call(self.ready, &request, Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Resident memory in MiB, 0 if the process is not there.
    pub fn resident_mb(&self) -> u64 {
        let child = self.child.lock().unwrap();
        let Some(child) = child.as_ref() else {
            return 0;
        };
        let path = format!("/proc/{}/status", child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().nth(1));
        size.and_then(|size| size.parse::<u64>().ok()).unwrap_or(0) / 1024
    }

    /// Kills the process, as the platform does above `memory_mb`.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
