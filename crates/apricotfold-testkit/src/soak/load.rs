//! Callers of the soak. They reuse their connections until the peer process ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use apricotfold_model::headers;
use reqwest::{Client, Method, RequestBuilder};
use strum::Display;
use tokio::task::JoinHandle;

use super::ENTRY_NODES;
use crate::{CallReply, Mesh};

/// Timeout of the download route.
pub(crate) const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a download's body, requested from the target.
pub(crate) const DOWNLOAD_BYTES: usize = 60_000;

/// Pause of a caller between two requests of its loop.
const THINK_TIME: Duration = Duration::from_millis(25);

/// Timeout of the HTTP client. It is far above the route timeouts, so that late responses are
/// recorded.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of times that an order is sent with the same key.
const MAX_ORDER_ATTEMPTS: usize = 3;

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadKind {
    /// Idempotent request, which may run any number of times.
    Page,
    /// Request without a key that must run at most once.
    Work,
    /// Request with an idempotency key that must run at most once, however often it is sent.
    Order,
    /// Idempotent request with a large response.
    Download,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Request id; for an order also the idempotency key.
    pub id: String,
    /// Kind of the request.
    pub kind: LoadKind,
    /// Index of the node that the request was sent to.
    pub entry: usize,
    /// Time at which the request was sent, relative to the start of the load.
    pub sent: Duration,
    /// Time until the response was complete or the request failed.
    pub elapsed: Duration,
    /// Outcome header of the response; empty without the header or without a complete response.
    pub outcome: String,
    /// Size of the response body; 0 without a complete response.
    pub bytes: usize,
}

/// Closed-loop callers that send requests until they are stopped.
pub struct SoakLoad {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<LoadRecord>>>,
}

struct SoakCaller {
    client: Client,
    urls: Vec<String>,
    entry: usize,
    kind: LoadKind,
    name: String,
    started: Instant,
    records: Vec<LoadRecord>,
}

impl SoakLoad {
    /// Starts callers of each kind at each entry node.
    #[must_use]
    pub fn start(mesh: &Mesh, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let started = Instant::now();
        let mut tasks = Vec::new();
        let kinds = [
            LoadKind::Page,
            LoadKind::Page,
            LoadKind::Work,
            LoadKind::Work,
            LoadKind::Order,
            LoadKind::Download,
        ];
        for entry in ENTRY_NODES {
            for (number, kind) in kinds.into_iter().enumerate() {
                let caller = SoakCaller {
                    client: Client::builder()
                        .no_proxy()
                        .timeout(CLIENT_TIMEOUT)
                        .build()
                        .expect("the HTTP client has no settings that can fail"),
                    urls: mesh
                        .nodes
                        .iter()
                        .map(|node| node.caller_url.clone())
                        .collect(),
                    entry,
                    kind,
                    name: format!("{seed}-{entry}-{number}-{kind}"),
                    started,
                    records: Vec::new(),
                };
                tasks.push(tokio::spawn(caller.run(stop.clone())));
            }
        }
        Self { stop, tasks }
    }

    /// Stops the callers and returns the records of all requests.
    ///
    /// # Errors
    ///
    /// Returns an error when a caller has panicked.
    pub async fn stop(self) -> eyre::Result<Vec<LoadRecord>> {
        self.stop.store(true, Ordering::Relaxed);
        let mut records = Vec::new();
        for task in self.tasks {
            records.extend(task.await?);
        }
        Ok(records)
    }
}

impl SoakCaller {
    async fn run(mut self, stop: Arc<AtomicBool>) -> Vec<LoadRecord> {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let id = format!("{}-{number}", self.name);
            number += 1;
            if self.kind == LoadKind::Order {
                self.send_order(&id).await;
            } else {
                self.send(&id, self.entry).await;
            }
            tokio::time::sleep(THINK_TIME).await;
        }
        self.records
    }

    /// Sends an order and repeats it through the other entry nodes until its outcome is `ran`.
    async fn send_order(&mut self, key: &str) {
        for attempt in 0..MAX_ORDER_ATTEMPTS {
            let entry = ENTRY_NODES[(self.entry + attempt) % ENTRY_NODES.len()];
            if self.send(key, entry).await == "ran" {
                return;
            }
        }
    }

    async fn send(&mut self, id: &str, entry: usize) -> String {
        let sent = self.started.elapsed();
        let reply = self.reply(id, entry).await.ok();
        let outcome = reply.as_ref().map(|reply| reply.outcome.clone());
        let outcome = outcome.unwrap_or_default();
        self.records.push(LoadRecord {
            id: id.to_owned(),
            kind: self.kind,
            entry,
            sent,
            elapsed: self.started.elapsed().saturating_sub(sent),
            outcome: outcome.clone(),
            bytes: reply.map_or(0, |reply| reply.body.len()),
        });
        outcome
    }

    async fn reply(&self, id: &str, entry: usize) -> reqwest::Result<CallReply> {
        CallReply::read(self.request(id, entry).send().await?).await
    }

    fn request(&self, id: &str, entry: usize) -> RequestBuilder {
        let (method, path) = match self.kind {
            // Each path is unique, because nodes refuse a request that was in flight at two
            // crashes.
            LoadKind::Page => (Method::GET, format!("/pages/{id}")),
            LoadKind::Work => (Method::POST, format!("/work?ms=30&call={id}")),
            LoadKind::Order => (Method::POST, "/orders/print".to_owned()),
            LoadKind::Download => {
                let path = format!("/download?bytes={DOWNLOAD_BYTES}&ms=200&call={id}");
                (Method::GET, path)
            }
        };
        let url = format!("{}{path}", self.urls[entry]);
        let request = self.client.request(method, url).header("x-request-id", id);
        if self.kind == LoadKind::Order {
            return request.header(headers::IDEMPOTENCY_KEY, id);
        }
        request
    }
}
