//! Open-loop client that sends planned calls and records their results.

use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, LoadConfig, WorkClass, headers};
use compact_str::CompactString;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::arrival::{LoadPhase, PlannedCall, plan_calls};
use crate::result::{CallRecord, LoadResult};

/// Number of concurrent calls per URL that open connections before the start, so that measured
/// calls do not include the time to connect.
const WARM_CONNECTIONS: usize = 32;
/// Delay between starting the sending thread and the start of the load, so that the thread runs by
/// then.
const START_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a call when the settings do not set one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Open-loop client that sends calls to a set of URLs in turn.
#[derive(Clone, Debug)]
pub struct LoadClient {
    client: reqwest::Client,
    short_urls: Arc<[String]>,
    long_urls: Arc<[String]>,
    timeout: Duration,
}

impl LoadClient {
    /// Creates a client for the URLs, paths and timeout of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(config: &LoadConfig) -> eyre::Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(usize::MAX)
            .build()?;
        let join = |path: &str| {
            config
                .urls
                .iter()
                .map(|url| format!("{url}{path}"))
                .collect()
        };
        Ok(Self {
            client,
            short_urls: join(&config.short_path),
            long_urls: join(&config.long_path),
            timeout: if config.timeout.is_zero() {
                DEFAULT_TIMEOUT
            } else {
                config.timeout
            },
        })
    }

    /// Opens connections to all URLs by sending short calls that are not recorded.
    pub async fn warm_up(&self) {
        let calls = self.short_urls.iter().flat_map(|url| {
            (0..WARM_CONNECTIONS).map(|_| {
                let client = self.clone();
                let url = url.clone();
                tokio::spawn(async move { client.call(&url).await })
            })
        });
        for call in calls.collect::<Vec<_>>() {
            let _ = call.await;
        }
    }

    /// Sends each call at its planned time and waits until all calls have ended. Returns the
    /// records in the order in which the calls ended.
    pub async fn run(&self, calls: Vec<PlannedCall>) -> Vec<CallRecord> {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let load = self.clone();
        let runtime = Handle::current();
        // A dedicated thread sleeps more precisely than the runtime's timer, which has a resolution
        // of 1 ms, and is not delayed by a busy runtime.
        std::thread::spawn(move || load.send_all(&calls, &runtime, &sender));
        let mut records = Vec::new();
        while let Some(record) = receiver.recv().await {
            records.push(record);
        }
        records
    }

    fn send_all(
        &self,
        calls: &[PlannedCall],
        runtime: &Handle,
        records: &mpsc::UnboundedSender<CallRecord>,
    ) {
        let start = Instant::now() + START_DELAY;
        for (index, call) in calls.iter().copied().enumerate() {
            let due = start + call.at;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let client = self.clone();
            let records = records.clone();
            runtime.spawn(async move {
                // Sending fails only when `run` has been cancelled and the receiver is dropped.
                let _ = records.send(client.record(index, call, due).await);
            });
        }
    }

    async fn record(&self, index: usize, call: PlannedCall, due: Instant) -> CallRecord {
        let urls = match call.class {
            WorkClass::Short => &self.short_urls,
            WorkClass::Long => &self.long_urls,
        };
        let send_lag = due.elapsed();
        let (outcome, reason) = self.call(&urls[index % urls.len()]).await;
        CallRecord {
            planned: call.at,
            class: call.class,
            send_lag,
            latency: due.elapsed(),
            outcome,
            reason,
        }
    }

    /// Sends a call and reads the complete response. Returns its outcome and reason headers, or no
    /// outcome and the kind of failure.
    async fn call(&self, url: &str) -> (Option<CallOutcome>, CompactString) {
        let exchange = async {
            let response = self.client.get(url).send().await?;
            let outcome = read_outcome(&response);
            let reason = read_text(&response, headers::REASON);
            response.bytes().await?;
            reqwest::Result::Ok((outcome, reason))
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(Ok(end)) => end,
            Ok(Err(error)) if error.is_connect() => (None, "connect-failed".into()),
            Ok(Err(_)) => (None, "answer-lost".into()),
            Err(_) => (None, "timed-out".into()),
        }
    }
}

/// Reads the outcome header. A target that is called directly does not set it; a successful status
/// then counts as `ran`.
fn read_outcome(response: &reqwest::Response) -> Option<CallOutcome> {
    let text = read_text(response, headers::OUTCOME);
    let direct = text.is_empty() && response.status().is_success();
    CallOutcome::from_str(&text)
        .ok()
        .or(direct.then_some(CallOutcome::Ran))
}

fn read_text(response: &reqwest::Response, name: &str) -> CompactString {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().into()
}

/// Opens connections and runs a load with the given settings.
///
/// # Errors
///
/// Returns an error if the HTTP client cannot be created.
pub async fn run_load(config: &LoadConfig) -> eyre::Result<LoadResult> {
    let client = LoadClient::new(config)?;
    let phase = LoadPhase {
        calls_per_second: config.calls_per_second,
        duration: config.duration,
    };
    let calls = plan_calls(&[phase], config.long_percent, config.seed);
    client.warm_up().await;
    let records = client.run(calls).await;
    Ok(LoadResult::new(&records, config.duration))
}
