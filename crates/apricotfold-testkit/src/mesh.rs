//! A running mesh: calls, operator commands, status queries and fault injection.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use apricotfold_model::headers;
use apricotfold_schema::settings::{LinkFault, StoreFault};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::announcer::TargetAnnouncer;
use crate::builder::MeshLink;
use crate::network::MeshNetwork;
use crate::process::{MeshProcess, find_binary};

const POLL_INTERVAL: Duration = Duration::from_millis(25);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Output of the `apricotfold` command.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code; -1 when a signal ended the command.
    pub code: i32,
    /// Standard output, with invalid UTF-8 replaced.
    pub stdout: String,
    /// Standard error, with invalid UTF-8 replaced.
    pub stderr: String,
}

impl CommandOutput {
    /// Parses standard output as JSON. Returns null when it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_default()
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// Value of the outcome header, such as `ran` or `not-run`; empty when the header is absent.
    pub outcome: String,
    /// Value of the reason header, which a node sets on a refusal; empty when the header is absent.
    pub reason: String,
    /// Response body.
    pub body: Vec<u8>,
}

impl CallReply {
    /// Reads the complete body of a response.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is truncated.
    pub async fn read(response: reqwest::Response) -> reqwest::Result<Self> {
        let text = |name: &str| {
            let value = response.headers().get(name);
            let value = value.and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        Ok(Self {
            status: response.status().as_u16(),
            outcome: text(headers::OUTCOME),
            reason: text(headers::REASON),
            body: response.bytes().await?.to_vec(),
        })
    }
}

/// A node with its target and fault-injecting links.
#[derive(Debug)]
pub struct MeshNode {
    /// Node id.
    pub name: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Region of the node.
    pub region: String,
    /// Base URL of the listener for callers.
    pub caller_url: String,
    /// Base URL of the admin endpoints.
    pub admin_url: String,
    /// Base URL of the target.
    pub target_url: String,
    /// Process of the node.
    pub process: MeshProcess,
    /// Process of the target; `None` when the target is only announced or there is none.
    pub target: Option<MeshProcess>,
    /// File in which the target records the requests that it starts and finishes.
    pub journal: PathBuf,
    /// Links in front of the control address and the mesh address, in this order; empty when the
    /// node is not linked.
    pub links: Vec<MeshLink>,
}

/// A running mesh. Dropping it kills all processes.
#[derive(Debug)]
pub struct Mesh {
    /// Process of the store.
    pub store: MeshProcess,
    /// Base URL of the store itself, bypassing the link.
    pub store_url: String,
    /// Nodes in the order in which they were added to the builder.
    pub nodes: Vec<MeshNode>,
    /// The link between the nodes and the store; empty when the store is not linked.
    pub links: Vec<MeshLink>,
    /// HTTP client for calls and admin requests, with a timeout for each request.
    pub client: reqwest::Client,
    pub(crate) announcer: Option<TargetAnnouncer>,
    network: MeshNetwork,
    folder: TempDir,
}

impl Mesh {
    pub(crate) fn new(
        folder: TempDir,
        network: MeshNetwork,
        store: MeshProcess,
        store_url: String,
    ) -> Self {
        let client = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .expect("the HTTP client has no settings that can fail");
        Self {
            store,
            store_url,
            nodes: Vec::new(),
            links: Vec::new(),
            client,
            announcer: None,
            network,
            folder,
        }
    }

    /// Returns the address range of the mesh.
    #[must_use]
    pub fn network(&self) -> MeshNetwork {
        self.network
    }

    /// Keeps the folder with settings, logs and journals when the mesh is dropped. Returns its
    /// path.
    #[must_use]
    pub fn keep_files(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    pub(crate) async fn wait_for_listener(&self, address: SocketAddr) -> eyre::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        while tokio::net::TcpStream::connect(address).await.is_err() {
            eyre::ensure!(Instant::now() < end, "nothing listens on {address}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    pub(crate) async fn wait_for_nodes(&self) -> eyre::Result<()> {
        for node in &self.nodes {
            let address = node.admin_url.trim_start_matches("http://").parse()?;
            self.wait_for_listener(address).await?;
        }
        Ok(())
    }

    /// Runs the `apricotfold` command against the store of this mesh.
    ///
    /// # Errors
    ///
    /// Returns an error when the command cannot be started.
    pub async fn command(&self, args: &[&str]) -> eyre::Result<CommandOutput> {
        let output = tokio::process::Command::new(find_binary("apricotfold")?)
            .args(args)
            .args(["--store", &self.store_url, "--operator", "testsuite"])
            .kill_on_drop(true)
            .output()
            .await?;
        Ok(CommandOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Writes a profile to a file and publishes it with `--json` and the `extra` arguments.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written or the command cannot be started.
    pub async fn publish(&self, profile: &Value, extra: &[&str]) -> eyre::Result<CommandOutput> {
        let path = self.write_profile(profile)?;
        let path = path.to_string_lossy().into_owned();
        let mut args = vec!["publish", path.as_str(), "--json"];
        args.extend_from_slice(extra);
        self.command(&args).await
    }

    /// Writes a profile to a new file in the folder of the mesh.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn write_profile(&self, profile: &Value) -> eyre::Result<PathBuf> {
        let file = tempfile::Builder::new()
            .suffix(".profile")
            .tempfile_in(self.folder.path())?;
        let (_, path) = file.keep()?;
        std::fs::write(&path, profile.to_string())?;
        Ok(path)
    }

    /// Returns the status of a node as JSON; null when the node does not respond.
    pub async fn status(&self, node: usize) -> Value {
        let url = format!("{}/v1/status", self.nodes[node].admin_url);
        self.get_json(&url).await
    }

    /// Reads JSON from an admin URL. Returns null when there is no response within 2 s or it is not
    /// valid JSON.
    pub async fn get_json(&self, url: &str) -> Value {
        let request = self.client.get(url).timeout(Duration::from_secs(2));
        match request.send().await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// Returns the requests that a node's target has started and finished; empty when the target
    /// does not respond.
    pub async fn journal(&self, node: usize) -> Vec<Value> {
        let url = format!("{}/admin/journal", self.nodes[node].target_url);
        match self.get_json(&url).await["records"].take() {
            Value::Array(entries) => entries,
            _ => Vec::new(),
        }
    }

    /// Returns the entries of the journal file of a node's target. The file survives a killed
    /// target and covers all restarts.
    #[must_use]
    pub fn journal_lines(&self, node: usize) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.nodes[node].journal).unwrap_or_default();
        let read = |line: &str| serde_json::from_str(line).ok();
        text.lines().filter_map(read).collect()
    }

    /// Waits until a node's status meets a condition. Returns the elapsed time.
    ///
    /// # Errors
    ///
    /// Returns an error with the last status when the condition is not met within `limit`.
    pub async fn wait_status(
        &self,
        node: usize,
        limit: Duration,
        wanted: impl Fn(&Value) -> bool,
    ) -> eyre::Result<Duration> {
        let started = Instant::now();
        loop {
            let status = self.status(node).await;
            if wanted(&status) {
                return Ok(started.elapsed());
            }
            let name = &self.nodes[node].name;
            eyre::ensure!(
                started.elapsed() < limit,
                "{name}: condition not met after {limit:?}: {status}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every node has applied a version or a newer one. Returns the elapsed time.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first node that has not applied it within `limit`.
    pub async fn wait_version(&self, version: u64, limit: Duration) -> eyre::Result<Duration> {
        let started = Instant::now();
        for node in 0..self.nodes.len() {
            let left = limit.saturating_sub(started.elapsed());
            let applied = |status: &Value| status["applied_version"].as_u64() >= Some(version);
            self.wait_status(node, left, applied).await?;
        }
        Ok(started.elapsed())
    }

    /// Waits until every node is ready and knows at least `count` live members with a service.
    /// Returns the elapsed time.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first node for which this does not hold within `limit`.
    pub async fn wait_members(&self, count: usize, limit: Duration) -> eyre::Result<Duration> {
        let started = Instant::now();
        let known = |status: &Value| {
            let members = status["members"].as_array();
            let live = |member: &&Value| {
                member["live"] == true
                    && member["service"]
                        .as_str()
                        .is_some_and(|name| !name.is_empty())
            };
            status["ready"] == true
                && members.is_some_and(|all| all.iter().filter(live).count() >= count)
        };
        for node in 0..self.nodes.len() {
            let left = limit.saturating_sub(started.elapsed());
            self.wait_status(node, left, known).await?;
        }
        Ok(started.elapsed())
    }

    /// Sends a GET request through a node.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the response is truncated.
    pub async fn call(&self, node: usize, path: &str) -> reqwest::Result<CallReply> {
        self.send(self.client.get(self.url(node, path))).await
    }

    /// Sends a POST request with an idempotency key through a node.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the response is truncated.
    pub async fn order(&self, node: usize, path: &str, key: &str) -> reqwest::Result<CallReply> {
        let request = self.client.post(self.url(node, path));
        self.send(request.header(headers::IDEMPOTENCY_KEY, key))
            .await
    }

    /// Returns the URL of a path on a node's listener for callers.
    #[must_use]
    pub fn url(&self, node: usize, path: &str) -> String {
        format!("{}{path}", self.nodes[node].caller_url)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the response is truncated.
    pub async fn send(&self, request: reqwest::RequestBuilder) -> reqwest::Result<CallReply> {
        CallReply::read(request.send().await?).await
    }

    /// Injects faults into the store. Their times are relative to now.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not respond or rejects the faults.
    pub async fn store_faults(&self, faults: &[StoreFault]) -> eyre::Result<()> {
        let url = format!("{}/admin/faults", self.store_url);
        let request = self.client.post(url).json(faults);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    /// Removes all faults of the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not respond or rejects the request.
    pub async fn clear_store_faults(&self) -> eyre::Result<()> {
        let url = format!("{}/admin/faults", self.store_url);
        self.client.delete(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns the call counters of the store; null when the store does not respond.
    pub async fn store_counts(&self) -> Value {
        self.get_json(&format!("{}/admin/counts", self.store_url))
            .await
    }

    /// Partitions a group of nodes from all other nodes, and from the store when it is linked. With
    /// `cut` false, ends the partition. The nodes must be linked. Connections within the group stay
    /// open.
    ///
    /// # Errors
    ///
    /// Returns an error when a link does not respond or rejects the faults.
    pub async fn partition_nodes(&self, group: &[usize], cut: bool) -> eyre::Result<()> {
        let fault = LinkFault {
            cut,
            ..LinkFault::default()
        };
        let members = |inside: bool| {
            let is_member = move |node: &usize| group.contains(node) == inside;
            (0..self.nodes.len()).filter(is_member)
        };
        let addresses = |inside| -> Vec<String> {
            members(inside)
                .map(|node| self.network.host(node + 1).to_string())
                .collect()
        };
        for inside in [true, false] {
            for node in members(inside) {
                for link in &self.nodes[node].links {
                    self.set_link_faults_for_sources(link, &fault, &addresses(!inside))
                        .await?;
                }
            }
        }
        for link in &self.links {
            self.set_link_faults_for_sources(link, &fault, &addresses(true))
                .await?;
        }
        Ok(())
    }

    /// Sets the faults of a link in both directions, for connections from the `sources` addresses
    /// only.
    ///
    /// # Errors
    ///
    /// Returns an error when the link does not respond or rejects the faults.
    pub async fn set_link_faults_for_sources(
        &self,
        link: &MeshLink,
        fault: &LinkFault,
        sources: &[String],
    ) -> eyre::Result<()> {
        let url = format!("{}/admin/faults", link.admin_url);
        let body = json!({"to_upstream": fault, "to_client": fault, "sources": sources});
        self.client
            .put(url)
            .json(&body)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Sets the faults of a link for each direction, for all connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the link does not respond or rejects the faults.
    pub async fn link_faults(
        &self,
        link: &MeshLink,
        to_upstream: &LinkFault,
        to_client: &LinkFault,
    ) -> eyre::Result<()> {
        let url = format!("{}/admin/faults", link.admin_url);
        let body = json!({"to_upstream": to_upstream, "to_client": to_client});
        self.client
            .put(url)
            .json(&body)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }
}
