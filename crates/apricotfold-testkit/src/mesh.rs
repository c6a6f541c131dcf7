//! A running mesh and what tests ask of it.

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

/// What the operators' command did.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// Standard output as JSON; null when it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_default()
    }
}

/// The answer to a call, read to its end.
#[derive(Debug)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// What the answer says about the request; empty without the header.
    pub outcome: String,
    /// Why a node refused; empty without the header.
    pub reason: String,
    /// The whole body.
    pub body: Vec<u8>,
}

impl CallReply {
    /// Reads an answer to its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer breaks off.
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

/// One node with what belongs to it.
#[derive(Debug)]
pub struct MeshNode {
    /// Id of the node.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Base URL for callers.
    pub caller_url: String,
    /// Base URL of the admin endpoints.
    pub admin_url: String,
    /// Base URL of the target.
    pub target_url: String,
    /// The node's process.
    pub process: MeshProcess,
    /// The target's process, if it has one.
    pub target: Option<MeshProcess>,
    /// File in which the target records what it runs.
    pub journal: PathBuf,
    /// Links in front of the control and mesh addresses, in this order.
    pub links: Vec<MeshLink>,
}

/// A running mesh. All processes end when it is dropped.
#[derive(Debug)]
pub struct Mesh {
    /// The store's process.
    pub store: MeshProcess,
    /// Base URL of the store, without a link.
    pub store_url: String,
    /// The nodes in the order in which they were added.
    pub nodes: Vec<MeshNode>,
    /// The link in front of the store, if any.
    pub links: Vec<MeshLink>,
    /// Client for calls and admin requests.
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

    /// Addresses of the mesh.
    #[must_use]
    pub fn network(&self) -> MeshNetwork {
        self.network
    }

    /// Keeps the settings and logs when the mesh is dropped and returns their folder.
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

    /// Runs the operators' command.
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

    /// Writes a profile to a file and publishes it.
    ///
    /// # Errors
    ///
    /// Returns an error when the command cannot be started.
    pub async fn publish(&self, profile: &Value, extra: &[&str]) -> eyre::Result<CommandOutput> {
        let path = self.write_profile(profile)?;
        let path = path.to_string_lossy().into_owned();
        let mut args = vec!["publish", path.as_str(), "--json"];
        args.extend_from_slice(extra);
        self.command(&args).await
    }

    /// Writes a profile to a file of its own.
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

    /// Status page of a node; null when the node does not answer.
    pub async fn status(&self, node: usize) -> Value {
        let url = format!("{}/v1/status", self.nodes[node].admin_url);
        self.get_json(&url).await
    }

    /// Reads JSON from an admin URL; null when nothing answers.
    pub async fn get_json(&self, url: &str) -> Value {
        let request = self.client.get(url).timeout(Duration::from_secs(2));
        match request.send().await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// Requests that a node's target has started and finished.
    pub async fn journal(&self, node: usize) -> Vec<Value> {
        let url = format!("{}/admin/journal", self.nodes[node].target_url);
        match self.get_json(&url).await["records"].take() {
            Value::Array(entries) => entries,
            _ => Vec::new(),
        }
    }

    /// Lines of the journal file of a node's target, over all lives of its process. A killed target
    /// leaves its file behind.
    #[must_use]
    pub fn journal_lines(&self, node: usize) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.nodes[node].journal).unwrap_or_default();
        let read = |line: &str| serde_json::from_str(line).ok();
        text.lines().filter_map(read).collect()
    }

    /// Waits until a condition on a node's status holds.
    ///
    /// # Errors
    ///
    /// Returns the last status when the condition does not hold within `limit`.
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
                "{name} after {limit:?}: {status}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every running node has a version in force.
    ///
    /// # Errors
    ///
    /// Returns the first node that has not within `limit`.
    pub async fn wait_version(&self, version: u64, limit: Duration) -> eyre::Result<Duration> {
        let started = Instant::now();
        for node in 0..self.nodes.len() {
            let left = limit.saturating_sub(started.elapsed());
            let applied = |status: &Value| status["applied_version"].as_u64() >= Some(version);
            self.wait_status(node, left, applied).await?;
        }
        Ok(started.elapsed())
    }

    /// Waits until every node knows `count` live members and is ready.
    ///
    /// # Errors
    ///
    /// Returns the first node that does not within `limit`.
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

    /// Makes a call through a node.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the answer breaks off.
    pub async fn call(&self, node: usize, path: &str) -> reqwest::Result<CallReply> {
        self.send(self.client.get(self.url(node, path))).await
    }

    /// Makes a call with an idempotency key through a node.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the answer breaks off.
    pub async fn order(&self, node: usize, path: &str, key: &str) -> reqwest::Result<CallReply> {
        let request = self.client.post(self.url(node, path));
        self.send(request.header(headers::IDEMPOTENCY_KEY, key))
            .await
    }

    /// URL of a path on a node's listener for callers.
    #[must_use]
    pub fn url(&self, node: usize, path: &str) -> String {
        format!("{}{path}", self.nodes[node].caller_url)
    }

    /// Sends a request and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the answer breaks off.
    pub async fn send(&self, request: reqwest::RequestBuilder) -> reqwest::Result<CallReply> {
        CallReply::read(request.send().await?).await
    }

    /// Starts faults of the store; times count from now.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not take them.
    pub async fn store_faults(&self, faults: &[StoreFault]) -> eyre::Result<()> {
        let url = format!("{}/admin/faults", self.store_url);
        let request = self.client.post(url).json(faults);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    /// Ends all faults of the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    pub async fn clear_store_faults(&self) -> eyre::Result<()> {
        let url = format!("{}/admin/faults", self.store_url);
        self.client.delete(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Calls that the store has counted.
    pub async fn store_counts(&self) -> Value {
        self.get_json(&format!("{}/admin/counts", self.store_url))
            .await
    }

    /// Cuts a group of nodes off from all others, and from the store when it is linked, or ends
    /// the cut. The nodes must be linked; within the group connections go on.
    ///
    /// # Errors
    ///
    /// Returns an error when a link does not take the faults.
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

    /// Sets the faults of a link for connections that come from some addresses only.
    ///
    /// # Errors
    ///
    /// Returns an error when the link does not take them.
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

    /// Sets the faults of a link in both directions.
    ///
    /// # Errors
    ///
    /// Returns an error when the link does not take them.
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
