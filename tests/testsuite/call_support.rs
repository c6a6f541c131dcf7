//! What the tests of the call path share: a mesh with two targets of one service, calls with unique
//! request ids, and the check of their answers against the targets' journals.

use std::collections::HashMap;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use apricotfold_model::headers;
use apricotfold_testkit::{CallReply, Mesh, MeshBuilder, NodePlan};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinHandle;

use crate::support::{CONVERGENCE_LIMIT, FORMATION_LIMIT};

/// Meshes that run at the same time. Each has about a dozen processes, and a machine that is shared
/// by others should not run more than 40.
static MESH_PERMITS: Semaphore = Semaphore::const_new(3);

/// Timeout of the routes that tests of failures use.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the route for downloads.
pub const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a caller must have an answer or a broken connection. Beyond the route's
/// timeout it covers only the way through the processes of a busy machine.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(4);
/// Time after which a target that is leaving receives no new work, from invariant I7.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time that a process gets to start, stop or be noticed where no bound of the design applies.
pub const PROCESS_LIMIT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two calls of a constant load.
const LOAD_INTERVAL: Duration = Duration::from_millis(10);

/// A mesh that counts against the limit of meshes.
pub struct CallMesh {
    mesh: Mesh,
    /// Number of targets of press-room.
    press_targets: usize,
    _permit: SemaphorePermit<'static>,
}

impl Deref for CallMesh {
    type Target = Mesh;

    fn deref(&self) -> &Mesh {
        &self.mesh
    }
}

impl DerefMut for CallMesh {
    fn deref_mut(&mut self) -> &mut Mesh {
        &mut self.mesh
    }
}

/// Profile of all nodes. Targets see the caller's path, so that a path selects the kind of work.
pub fn call_profile() -> Value {
    let timeout = ROUTE_TIMEOUT.as_millis();
    let download = DOWNLOAD_TIMEOUT.as_millis();
    json!({
        "name": "almanac",
        "listeners": ["callers"],
        "secrets": ["mesh-token"],
        "clusters": [
            {"name": "desk", "service": "parish-desk"},
            {"name": "press", "service": "press-room"}
        ],
        "routes": [
            {"name": "orders", "listener": "callers", "path_prefix": "/orders",
             "methods": ["POST"], "cluster": "press", "timeout_ms": timeout, "require_key": true},
            {"name": "downloads", "listener": "callers", "path_prefix": "/download",
             "cluster": "press", "class": "long", "timeout_ms": download, "idempotent": true},
            {"name": "pages", "listener": "callers", "path_prefix": "/pages",
             "cluster": "press", "timeout_ms": timeout, "idempotent": true},
            {"name": "desk", "listener": "callers", "path_prefix": "/desk",
             "cluster": "desk", "timeout_ms": timeout, "idempotent": true},
            {"name": "work", "listener": "callers", "path_prefix": "/",
             "cluster": "press", "timeout_ms": timeout}
        ],
        "retries": {"max_attempts": 3, "budget_percent": 100},
        "limits": {"long_percent": 50, "short_queue": 64, "long_queue": 200, "queue_wait_ms": 1500},
        "drain": {"notice_ms": 500, "grace_ms": 60_000}
    })
}

/// Starts a mesh and publishes the profile.
pub async fn start_calls(builder: MeshBuilder) -> eyre::Result<CallMesh> {
    start_profile(builder, &call_profile()).await
}

/// Waits until another mesh may be started.
pub async fn mesh_permit() -> eyre::Result<SemaphorePermit<'static>> {
    Ok(MESH_PERMITS.acquire().await?)
}

/// Starts a mesh and publishes a profile.
pub async fn start_profile(builder: MeshBuilder, profile: &Value) -> eyre::Result<CallMesh> {
    let permit = mesh_permit().await?;
    let mesh = builder.distribution("peers").start().await?;
    let count = mesh.nodes.len();
    mesh.wait_members(count, FORMATION_LIMIT).await?;
    let output = mesh.publish(profile, &[]).await?;
    eyre::ensure!(output.code == 0, "{output:?}");
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    let status = mesh.status(0).await;
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let press_targets = members
        .iter()
        .filter(|member| member["service"] == "press-room");
    Ok(CallMesh {
        press_targets: press_targets.count(),
        mesh,
        _permit: permit,
    })
}

/// Puts links in front of a node.
pub fn linked(plan: &mut NodePlan) {
    plan.linked = true;
}

impl CallMesh {
    /// Waits until a node of this mesh knows the live targets of a service that take new work.
    pub async fn wait_targets(
        &self,
        node: usize,
        service: &str,
        count: usize,
    ) -> eyre::Result<Duration> {
        let live = |status: &Value| {
            let members = status["members"].as_array().map_or(&[][..], Vec::as_slice);
            let live = members.iter().filter(|member| {
                member["service"] == service && member["live"] == true && member["draining"] != true
            });
            live.count() == count
        };
        self.wait_status(node, PROCESS_LIMIT, live).await
    }

    /// Starts a target again and waits until its node and `observer` know it.
    pub async fn restart_target(&mut self, node: usize, observer: usize) -> eyre::Result<()> {
        let target = self.nodes[node].target.as_mut();
        target
            .ok_or_else(|| eyre::eyre!("node {node} has no target"))?
            .restart()?;
        let announced = |status: &Value| !status["service"].is_null();
        self.wait_target_open(node).await?;
        self.wait_status(node, PROCESS_LIMIT, announced).await?;
        self.wait_targets(observer, "press-room", self.press_targets)
            .await?;
        Ok(())
    }

    /// Waits until a target answers.
    pub async fn wait_target_open(&self, node: usize) -> eyre::Result<()> {
        let url = format!("{}/admin/status", self.nodes[node].target_url);
        wait_until(PROCESS_LIMIT, "the target answers", async || {
            self.get_json(&url).await.is_object()
        })
        .await
    }

    /// Ids of requests that started at any target, each as often as it started.
    pub fn started(&self) -> HashMap<String, usize> {
        let mut started = HashMap::new();
        for line in self.starts() {
            if let Some(id) = line["request_id"].as_str() {
                *started.entry(id.to_owned()).or_default() += 1;
            }
        }
        started
    }

    /// Runs of each idempotency key at all targets.
    pub fn runs_by_key(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for line in self.starts() {
            if let Some(key) = line["idempotency_key"].as_str() {
                *runs.entry(key.to_owned()).or_default() += 1;
            }
        }
        runs
    }

    /// Journal lines of all targets that tell of a start.
    pub fn starts(&self) -> Vec<Value> {
        let lines = (0..self.nodes.len()).flat_map(|node| self.journal_lines(node));
        lines.filter(|line| line["event"] == "started").collect()
    }

    /// Waits until a request has started at a target and returns the target's node.
    pub async fn wait_started(&self, id: &str) -> eyre::Result<usize> {
        let end = Instant::now() + ANSWER_LIMIT;
        loop {
            for node in 0..self.nodes.len() {
                let lines = self.journal_lines(node);
                if lines.iter().any(|line| line["request_id"] == id) {
                    return Ok(node);
                }
            }
            eyre::ensure!(Instant::now() < end, "{id} does not start");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Prepares a request with an id through a node.
    pub fn request(
        &self,
        method: reqwest::Method,
        node: usize,
        path: &str,
        id: &str,
    ) -> reqwest::RequestBuilder {
        let request = self.client.request(method, self.url(node, path));
        request.header("x-request-id", id)
    }

    /// Prepares a keyed order; its id in the journal is its key.
    pub fn keyed(&self, node: usize, key: &str) -> reqwest::RequestBuilder {
        let request = self.request(reqwest::Method::POST, node, "/orders/print", key);
        request.header(headers::IDEMPOTENCY_KEY, key)
    }
}

/// What a caller learned about its request.
#[derive(Debug)]
pub struct CallRecord {
    /// The request's id.
    pub id: String,
    /// Its answer, or why there is none.
    pub reply: Result<CallReply, String>,
    /// Time from sending the request to the end of the answer.
    pub elapsed: Duration,
}

impl CallRecord {
    /// Outcome that the answer names; empty without an answer.
    pub fn outcome(&self) -> &str {
        self.reply
            .as_ref()
            .map_or("", |reply| reply.outcome.as_str())
    }
}

/// Sends a request that carries an id and notes what its caller learns.
pub async fn record_call(id: String, request: reqwest::RequestBuilder) -> CallRecord {
    let started = Instant::now();
    let reply = match request.send().await {
        Ok(response) => CallReply::read(response).await,
        Err(error) => Err(error),
    };
    CallRecord {
        id,
        reply: reply.map_err(|error| format!("{error:?}")),
        elapsed: started.elapsed(),
    }
}

/// Checks each record against the journals of all targets: the answer came in time, names an
/// outcome, and the outcome is true. No request of a non-idempotent route started twice.
pub fn check_records(mesh: &CallMesh, records: &[CallRecord], idempotent: bool) {
    let started = mesh.started();
    for record in records {
        let starts = started.get(&record.id).copied().unwrap_or_default();
        assert!(record.elapsed < ANSWER_LIMIT, "late: {record:?}");
        assert!(idempotent || starts <= 1, "ran {starts} times: {record:?}");
        let Ok(reply) = &record.reply else {
            continue;
        };
        match reply.outcome.as_str() {
            "ran" => assert!(starts >= 1, "never started: {record:?}"),
            "not-run" => assert_eq!(starts, 0, "started: {record:?}"),
            "may-have-run" => {}
            other => panic!("outcome {other:?}: {record:?}"),
        }
    }
}

/// Counts the records with an outcome; the empty one stands for a broken connection.
pub fn count_outcome(records: &[CallRecord], outcome: &str) -> usize {
    let matching = records.iter().filter(|record| record.outcome() == outcome);
    matching.count()
}

/// Calls at a constant rate, each with an id of its own.
pub struct ConstantLoad {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<TimedRecord>>,
}

/// A call of a constant load.
#[derive(Debug)]
pub struct TimedRecord {
    /// When it was sent.
    pub sent: Instant,
    /// What its caller learned.
    pub record: CallRecord,
}

impl ConstantLoad {
    /// Starts calls of a path, in turn through each of the nodes.
    pub fn start(mesh: &CallMesh, nodes: &[usize], path: &str) -> Self {
        let client = mesh.client.clone();
        let urls: Vec<_> = nodes.iter().map(|node| mesh.url(*node, path)).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let mut calls = Vec::new();
            for url in urls.iter().cycle() {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("load-{}", calls.len());
                let request = client.get(url).header("x-request-id", &id);
                let sent = Instant::now();
                calls.push((sent, tokio::spawn(record_call(id, request))));
                tokio::time::sleep(LOAD_INTERVAL).await;
            }
            let mut records = Vec::new();
            for (sent, call) in calls {
                let record = call.await.expect("a call does not panic");
                records.push(TimedRecord { sent, record });
            }
            records
        });
        Self { stop, task }
    }

    /// Stops the load and waits for all answers.
    pub async fn stop(self) -> eyre::Result<Vec<TimedRecord>> {
        self.stop.store(true, Ordering::Relaxed);
        Ok(self.task.await?)
    }
}

/// Time in milliseconds since 1970, as the journals give it.
pub fn wall_clock_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

/// Waits until a condition holds.
pub async fn wait_until(
    limit: Duration,
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) -> eyre::Result<()> {
    let end = Instant::now() + limit;
    while !condition().await {
        eyre::ensure!(Instant::now() < end, "not within {limit:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
