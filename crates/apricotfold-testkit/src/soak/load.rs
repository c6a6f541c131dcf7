//! Callers of the soak. They keep their connections until the process at the other end is gone.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use apricotfold_model::headers;
use reqwest::{Client, Method, RequestBuilder};
use strum::Display;
use tokio::task::JoinHandle;

use super::ENTRY_NODES;
use crate::{CallReply, Mesh};

/// Timeout of the route for downloads.
pub(crate) const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a download.
pub(crate) const DOWNLOAD_BYTES: usize = 60_000;

/// Pause of a caller between two requests.
const THINK_TIME: Duration = Duration::from_millis(25);

/// Longest time that a caller waits; answers must come long before.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Times that a keyed order is sent.
const MAX_ORDER_ATTEMPTS: usize = 3;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadKind {
    /// May run any number of times.
    Page,
    /// Must run once at most.
    Work,
    /// Must run once at most, however often it is sent with its key.
    Order,
    /// A long answer, which may be fetched again.
    Download,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Its id; the key of an order.
    pub id: String,
    /// Its kind.
    pub kind: LoadKind,
    /// Node that it was sent to.
    pub entry: usize,
    /// Time from the start of the load to its sending.
    pub sent: Duration,
    /// Time until its answer had ended.
    pub elapsed: Duration,
    /// Outcome that the answer named; empty without a whole answer.
    pub outcome: String,
    /// Bytes of the answer.
    pub bytes: usize,
}

/// Callers that send until they are stopped.
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
    /// Starts callers of each kind at each entry.
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

    /// Stops the callers and returns what became of their requests.
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

    /// Sends an order, and again through another entry while its outcome is not known.
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
            // Paths differ, because a request that is in flight at two crashes is refused.
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
