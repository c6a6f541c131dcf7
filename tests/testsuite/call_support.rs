//! Shared parts of the tests of calls: a mesh with targets of one service, calls with unique
//! request ids, and the check of their outcomes against the targets' journals.

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

/// Limits the number of meshes that run concurrently. Each has about a dozen processes, and tests
/// on a shared machine should not run more than 40.
static MESH_PERMITS: Semaphore = Semaphore::const_new(3);

/// Timeout of the routes for short calls.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the download route.
pub const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a caller must get a response or a closed connection. The margin over the
/// route's timeout covers scheduling delays on a busy machine.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(4);
/// Time after which a draining target must receive no new work, from invariant I7.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time limit for a process to start, stop or be detected where the design sets no bound.
pub const PROCESS_LIMIT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between the calls of a [`ConstantLoad`].
const LOAD_INTERVAL: Duration = Duration::from_millis(10);

/// A mesh that holds one of the permits for concurrent meshes.
pub struct CallMesh {
    mesh: Mesh,
    /// Number of nodes with a target of press-room.
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

/// Returns the profile of all nodes. Targets receive the caller's path, so the path selects the
/// kind of work.
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

/// Starts a mesh and publishes [`call_profile`].
pub async fn start_calls(builder: MeshBuilder) -> eyre::Result<CallMesh> {
    start_profile(builder, &call_profile()).await
}

/// Waits until another mesh may be started.
pub async fn mesh_permit() -> eyre::Result<SemaphorePermit<'static>> {
    Ok(MESH_PERMITS.acquire().await?)
}

/// Starts a mesh once a permit is free, and publishes a profile.
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

/// Puts fault-injection links in front of a node.
pub fn linked(plan: &mut NodePlan) {
    plan.linked = true;
}

impl CallMesh {
    /// Waits until a node knows exactly `count` live targets of a service that take new work.
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

    /// Restarts a target and waits until its node and `observer` know it.
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

    /// Waits until the target of a node responds.
    pub async fn wait_target_open(&self, node: usize) -> eyre::Result<()> {
        let url = format!("{}/admin/status", self.nodes[node].target_url);
        wait_until(PROCESS_LIMIT, "the target responds", async || {
            self.get_json(&url).await.is_object()
        })
        .await
    }

    /// Returns how often each request, by id, was started by any target.
    pub fn started(&self) -> HashMap<String, usize> {
        let mut started = HashMap::new();
        for line in self.starts() {
            if let Some(id) = line["request_id"].as_str() {
                *started.entry(id.to_owned()).or_default() += 1;
            }
        }
        started
    }

    /// Returns how often a request with each idempotency key was started by any target.
    pub fn runs_by_key(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for line in self.starts() {
            if let Some(key) = line["idempotency_key"].as_str() {
                *runs.entry(key.to_owned()).or_default() += 1;
            }
        }
        runs
    }

    /// Returns the `started` events in the journals of all targets.
    pub fn starts(&self) -> Vec<Value> {
        let lines = (0..self.nodes.len()).flat_map(|node| self.journal_lines(node));
        lines.filter(|line| line["event"] == "started").collect()
    }

    /// Waits until a target has started a request and returns the target's node.
    pub async fn wait_started(&self, id: &str) -> eyre::Result<usize> {
        let end = Instant::now() + ANSWER_LIMIT;
        loop {
            for node in 0..self.nodes.len() {
                let lines = self.journal_lines(node);
                if lines.iter().any(|line| line["request_id"] == id) {
                    return Ok(node);
                }
            }
            eyre::ensure!(
                Instant::now() < end,
                "{id} was not started within {ANSWER_LIMIT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Builds a request with an id to a node's listener.
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

    /// Builds an order whose idempotency key is also its request id.
    pub fn keyed(&self, node: usize, key: &str) -> reqwest::RequestBuilder {
        let request = self.request(reqwest::Method::POST, node, "/orders/print", key);
        request.header(headers::IDEMPOTENCY_KEY, key)
    }
}

/// Result of a request as its caller sees it.
#[derive(Debug)]
pub struct CallRecord {
    /// Request id.
    pub id: String,
    /// Response, or the error of the HTTP client.
    pub reply: Result<CallReply, String>,
    /// Time from sending the request to the end of the response or the error.
    pub elapsed: Duration,
}

impl CallRecord {
    /// Returns the outcome that the response reports; empty without a response.
    pub fn outcome(&self) -> &str {
        self.reply
            .as_ref()
            .map_or("", |reply| reply.outcome.as_str())
    }
}

/// Sends a request and records its result; `id` is the request id that it carries.
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

/// Checks each record against the journals of all targets: the result came in time, a response
/// reports an outcome, and the outcome matches the journals. Unless `idempotent`, no request may
/// have been started twice.
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

/// Counts the records with an outcome. The empty outcome stands for a request without a response.
pub fn count_outcome(records: &[CallRecord], outcome: &str) -> usize {
    let matching = records.iter().filter(|record| record.outcome() == outcome);
    matching.count()
}

/// Load of calls at a constant rate, each with a unique id.
pub struct ConstantLoad {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<TimedRecord>>,
}

/// A call of a [`ConstantLoad`].
#[derive(Debug)]
pub struct TimedRecord {
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Result of the call.
    pub record: CallRecord,
}

impl ConstantLoad {
    /// Starts the load of GET requests to a path, through the nodes in turn.
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

    /// Stops the load and waits for the results of all calls.
    pub async fn stop(self) -> eyre::Result<Vec<TimedRecord>> {
        self.stop.store(true, Ordering::Relaxed);
        Ok(self.task.await?)
    }
}

/// Returns the milliseconds since the Unix epoch, the unit of the times in the journals.
pub fn wall_clock_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

/// Polls a condition until it holds; after `limit`, returns an error that names `what`.
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
