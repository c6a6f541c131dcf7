//! Starts stand-ins in the test's own process, or as processes of their own.

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

/// Longest wait for something that must happen.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn config<R: DeserializeOwned, C: TryFrom<R, Error = FieldErrors>>(settings: &Value) -> C {
    let raw: R = parse_json(&settings.to_string()).expect("settings are well-formed");
    C::try_from(raw).expect("settings are valid")
}

/// Settings with `more` laid over the defaults.
fn merge(mut settings: Value, more: &Value) -> Value {
    for (field, value) in more.as_object().expect("an object") {
        settings[field] = value.clone();
    }
    settings
}

/// Text as base64.
pub fn b64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}

/// An HTTP server at an address.
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

    /// Posts JSON; returns the status and the JSON answer.
    pub async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        let answer = self.client.post(self.url(path)).json(&body).send().await;
        let answer = answer.expect("an answer");
        let status = answer.status().as_u16();
        (status, answer.json().await.expect("JSON"))
    }

    /// Posts JSON and expects success.
    pub async fn post_ok(&self, path: &str, body: Value) -> Value {
        let (status, answer) = self.post(path, body).await;
        assert_eq!(status, 200, "{path} answered {answer}");
        answer
    }

    /// Gets text and expects an answer.
    pub async fn get(&self, path: &str) -> String {
        let answer = self.client.get(self.url(path)).send().await;
        answer.expect("an answer").text().await.expect("text")
    }

    /// Gets JSON.
    pub async fn json(&self, path: &str) -> Value {
        serde_json::from_str(&self.get(path).await).expect("JSON")
    }
}

/// Starts a store on a free port.
pub async fn start_store(settings: Value) -> HttpEndpoint {
    let settings = merge(json!({"address": "127.0.0.1:0"}), &settings);
    let config: StoreStandinConfig = config::<StoreStandinSettings, _>(&settings);
    let server = StoreServer::bind(&config).await.expect("a free port");
    let peer = HttpEndpoint::new(server.address());
    tokio::spawn(server.run(std::future::pending()));
    peer
}

/// Writes a key of a store.
pub async fn put(store: &HttpEndpoint, key: &str, value: &str) -> Value {
    let body = json!({"key": b64(key), "value": b64(value)});
    store.post_ok("/v3/kv/put", body).await
}

/// Value of a key of a store.
pub async fn value(store: &HttpEndpoint, key: &str) -> Option<String> {
    let answer = store
        .post_ok("/v3/kv/range", json!({"key": b64(key)}))
        .await;
    let value = answer["kvs"][0]["value"].as_str()?;
    let bytes = BASE64_STANDARD.decode(value).expect("base64");
    Some(String::from_utf8(bytes).expect("UTF-8"))
}

/// Settings of a target with more fields laid over them.
pub fn target_settings(more: &Value) -> Value {
    let settings = json!({
        "address": "127.0.0.1:0", "node_url": "http://127.0.0.1:9", "service": "precios",
        "slots": 2, "connections": 50,
    });
    merge(settings, more)
}

/// Starts a target on a free port. No node listens unless the settings name one.
pub async fn start_target(settings: Value) -> HttpEndpoint {
    let settings = target_settings(&settings);
    let config: TargetStandinConfig = config::<TargetStandinSettings, _>(&settings);
    let server = TargetServer::bind(&config).await.expect("a free port");
    let peer = HttpEndpoint::new(server.address());
    tokio::spawn(server.run(std::future::pending()));
    peer
}

/// Starts a link on free ports; returns its address and its admin server.
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

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A stand-in in a process of its own. It is killed when this is dropped.
pub struct Program {
    child: Child,
    _settings: tempfile::NamedTempFile,
}

impl Program {
    /// Starts a binary with settings.
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

    /// Reads the log up to the line that tells the address.
    pub fn address(&mut self) -> SocketAddr {
        let log = self.child.stderr.take().expect("a log");
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let address = lines.find_map(|line| {
            let (_, rest) = line.split_once("] address is ")?;
            rest.split([',', ' ']).next()?.parse().ok()
        });
        // Keeps reading, so that the process is not blocked by a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        address.expect("the log tells the address")
    }

    pub fn terminate(&self) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, Signal::SIGTERM).expect("a running process");
    }

    /// Waits for the exit of the process.
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

    /// Waits for the exit and returns what was written to standard error.
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
