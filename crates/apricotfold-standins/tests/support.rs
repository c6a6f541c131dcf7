//! Starts stand-ins in the test process or as child processes, and clients for them.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use apricotfold_model::{
    FieldErrors, LinkConfig, StoreStandinConfig, TargetStandinConfig, parse_json,
};
use apricotfold_schema::settings::{LinkSettings, StoreStandinSettings, TargetStandinSettings};
use apricotfold_standins::{LinkServer, StoreServer, TargetServer};
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Timeout of waits for expected events.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn config<R: DeserializeOwned, C: TryFrom<R, Error = FieldErrors>>(settings: &Value) -> C {
    let raw: R = parse_json(&settings.to_string()).expect("settings are well-formed");
    C::try_from(raw).expect("settings are valid")
}

/// Overrides fields of `settings` with those of `more`.
fn merge(mut settings: Value, more: &Value) -> Value {
    for (field, value) in more.as_object().expect("an object") {
        settings[field] = value.clone();
    }
    settings
}

/// Encodes text as base64.
pub fn b64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}

/// HTTP client for a server at a fixed address.
#[derive(Clone)]
pub struct HttpEndpoint {
    pub address: SocketAddr,
    pub client: reqwest::Client,
}

impl HttpEndpoint {
    pub fn new(address: SocketAddr) -> Self {
        let builder = reqwest::Client::builder().no_proxy();
        let client = builder.build().expect("a client");
        Self { address, client }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Posts JSON; returns the status and the JSON response.
    pub async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        let response = self.client.post(self.url(path)).json(&body).send().await;
        let response = response.expect("a response");
        let status = response.status().as_u16();
        (status, response.json().await.expect("JSON"))
    }

    /// Posts JSON and asserts that the status is 200.
    pub async fn post_ok(&self, path: &str, body: Value) -> Value {
        let (status, response) = self.post(path, body).await;
        assert_eq!(status, 200, "{path}: {response}");
        response
    }

    /// Gets a response body as text, regardless of the status.
    pub async fn get(&self, path: &str) -> String {
        let response = self.client.get(self.url(path)).send().await;
        response.expect("a response").text().await.expect("text")
    }

    /// Gets a response body as JSON, regardless of the status.
    pub async fn json(&self, path: &str) -> Value {
        serde_json::from_str(&self.get(path).await).expect("JSON")
    }
}

/// Starts a store on a free port, in the test process.
pub async fn start_store(settings: Value) -> HttpEndpoint {
    let settings = merge(json!({"address": "127.0.0.1:0"}), &settings);
    let config: StoreStandinConfig = config::<StoreStandinSettings, _>(&settings);
    let server = StoreServer::bind(&config).await.expect("a free port");
    let peer = HttpEndpoint::new(server.address());
    tokio::spawn(server.run(std::future::pending()));
    peer
}

/// Writes a key of a store and returns the response.
pub async fn put(store: &HttpEndpoint, key: &str, value: &str) -> Value {
    let body = json!({"key": b64(key), "value": b64(value)});
    store.post_ok("/v3/kv/put", body).await
}

/// Reads the value of a key of a store; `None` if the key is missing or its value is empty.
pub async fn value(store: &HttpEndpoint, key: &str) -> Option<String> {
    let response = store
        .post_ok("/v3/kv/range", json!({"key": b64(key)}))
        .await;
    let value = response["kvs"][0]["value"].as_str()?;
    let bytes = BASE64_STANDARD.decode(value).expect("base64");
    Some(String::from_utf8(bytes).expect("UTF-8"))
}

/// Settings of a target, overridden by `more`.
pub fn target_settings(more: &Value) -> Value {
    let settings = json!({
        "address": "127.0.0.1:0", "node_url": "http://127.0.0.1:9", "service": "precios",
        "slots": 2, "connections": 50,
    });
    merge(settings, more)
}

/// Starts a target on a free port, in the test process. Announcements fail unless the settings have a
/// `node_url`.
pub async fn start_target(settings: Value) -> HttpEndpoint {
    let settings = target_settings(&settings);
    let config: TargetStandinConfig = config::<TargetStandinSettings, _>(&settings);
    let server = TargetServer::bind(&config).await.expect("a free port");
    let peer = HttpEndpoint::new(server.address());
    tokio::spawn(server.run(std::future::pending()));
    peer
}

/// Starts a link on free ports, in the test process; returns its address and a client for its admin
/// endpoints.
pub async fn start_link(upstream: SocketAddr, faults: Value) -> (SocketAddr, HttpEndpoint) {
    let free = "127.0.0.1:0";
    let settings =
        json!({"address": free, "admin_address": free, "upstream": upstream.to_string()});
    let config: LinkConfig = config::<LinkSettings, _>(&merge(settings, &faults));
    let server = LinkServer::bind(&config).await.expect("free ports");
    let address = server.address();
    let admin = HttpEndpoint::new(server.admin_address());
    tokio::spawn(server.run(std::future::pending()));
    (address, admin)
}

/// Polls until a condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A stand-in as a child process, which is killed on drop.
pub struct Program {
    child: Child,
    _settings: tempfile::NamedTempFile,
}

impl Program {
    /// Starts a binary with the settings in a temporary file.
    pub fn start(binary: &str, settings: &Value) -> Self {
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), settings.to_string()).expect("written settings");
        let child = Command::new(binary)
            .arg("--settings")
            .arg(file.path())
            .env("RUST_LOG", "info")
            .env("RUST_BACKTRACE", "0")
            .stderr(Stdio::piped())
            .spawn()
            .expect("a process");
        Self {
            child,
            _settings: file,
        }
    }

    /// Reads the log up to the line with the bound address.
    pub fn address(&mut self) -> SocketAddr {
        let log = self.child.stderr.take().expect("a log");
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let address = lines.find_map(|line| {
            let (_, rest) = line.split_once("] address is ")?;
            rest.split([',', ' ']).next()?.parse().ok()
        });
        // Drains the pipe, so that the process does not block on a full one.
        std::thread::spawn(move || lines.for_each(drop));
        address.expect("the address in the log")
    }

    pub fn terminate(&self) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, Signal::SIGTERM).expect("a running process");
    }

    /// Waits for the process to exit; panics after [`WAIT_TIMEOUT`].
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not exit");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits for the process to exit; returns its status and standard error.
    pub async fn wait_for_failure(mut self) -> (ExitStatus, String) {
        let status = self.wait_for_exit().await;
        let log = self.child.stderr.take().expect("a log");
        (status, std::io::read_to_string(log).expect("text"))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
