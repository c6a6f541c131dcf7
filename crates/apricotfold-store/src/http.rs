//! [`HttpStore`], a client of etcd v3's JSON gateway.

use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use apricotfold_model::{StepError, StoreConfig};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures_util::stream::{BoxStream, StreamExt, TryStreamExt};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use smallvec::SmallVec;
use tokio::sync::watch;

use crate::wire::{
    self, WireAnyHeader, WireKeepAlive, WireLease, WireRange, WireTxn, WireWatch, get_request,
    list_request, txn_request, watch_request,
};
use crate::{
    ConfigStore, EpochTracker, LeaseId, RangeResponse, Revision, StoreEntry, StoreError,
    StoreFuture, StoreTxn, TxnResponse, WatchBatch, WatchStream, WriteEffect,
};

/// Idle time after which a pooled connection is closed. It is below the idle timeout of common
/// servers, since a request fails if the server closes the connection at the same moment.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// HTTP client of the store. It uses one endpoint until a call fails, and then the next.
pub struct HttpStore {
    client: reqwest::Client,
    endpoints: SmallVec<[CompactString; 2]>,
    timeout: Duration,
    current: AtomicUsize,
    epochs: EpochTracker,
}

impl HttpStore {
    /// Creates a client without opening a connection. Connections use `local_address` as their
    /// source address; `None` leaves the choice to the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(config: &StoreConfig, local_address: Option<IpAddr>) -> eyre::Result<Self> {
        let client = reqwest::Client::builder()
            .connect_timeout(config.timeout)
            .local_address(local_address)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self {
            client,
            endpoints: config.endpoints.clone(),
            timeout: config.timeout,
            current: AtomicUsize::new(0),
            epochs: EpochTracker::default(),
        })
    }

    fn endpoint(&self) -> &CompactString {
        let index = self.current.load(Ordering::Relaxed) % self.endpoints.len();
        &self.endpoints[index]
    }

    fn fail(&self, step: &'static str, cause: eyre::Report, effect: WriteEffect) -> StoreError {
        let peer = self.endpoint().clone();
        self.current.fetch_add(1, Ordering::Relaxed);
        StoreError {
            error: StepError::new(step, peer, cause),
            effect,
        }
    }

    /// Sends a request and waits for the head of the response.
    async fn send(
        &self,
        step: &'static str,
        path: &str,
        body: &Value,
        timeout: Option<Duration>,
    ) -> Result<reqwest::Response, StoreError> {
        let url = format!("{}{path}", self.endpoint());
        let mut request = self.client.post(url).json(body);
        if let Some(limit) = timeout {
            request = request.timeout(limit);
        }
        let response = request.send().await.map_err(|error| {
            let effect = if error.is_connect() {
                WriteEffect::None
            } else {
                WriteEffect::Unknown
            };
            self.fail(step, error.into(), effect)
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        // A server error may follow a completed write; a client error means that nothing was
        // written.
        let effect = if status.is_server_error() {
            WriteEffect::Unknown
        } else {
            WriteEffect::None
        };
        let text = response.text().await.unwrap_or_default();
        Err(self.fail(step, eyre::eyre!("{status}: {text}"), effect))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        body: &Value,
    ) -> Result<T, StoreError> {
        let response = self.send(step, path, body, Some(self.timeout)).await?;
        let bytes = response
            .bytes()
            .await
            .map_err(|error| self.fail(step, error.into(), WriteEffect::Unknown))?;
        // A header that cannot be read fails the call below, too, if the call needs it.
        let header: WireAnyHeader = serde_json::from_slice(&bytes).unwrap_or_default();
        if let Some(cluster) = header.cluster_id() {
            self.epochs.observe_identity(cluster);
        }
        serde_json::from_slice(&bytes)
            .map_err(|error| self.fail(step, error.into(), WriteEffect::Unknown))
    }

    async fn read(&self, step: &'static str, body: Value) -> Result<RangeResponse, StoreError> {
        let range: WireRange = self.call(step, "/v3/kv/range", &body).await?;
        Ok(RangeResponse {
            revision: range.header.revision,
            entries: range.kvs.into_iter().map(StoreEntry::from).collect(),
        })
    }

    async fn open_watch(&self, body: Value) -> Result<WatchStream, StoreError> {
        let send = self.send("watch", "/v3/watch", &body, None);
        let response = tokio::time::timeout(self.timeout, send)
            .await
            .map_err(|error| self.fail("watch", error.into(), WriteEffect::None))??;
        let peer = self.endpoint().clone();
        let bytes = response.bytes_stream().map_err(eyre::Report::from).boxed();
        Ok(read_lines(bytes)
            .map(move |line| line.and_then(|text| read_batch(&text)))
            .map(move |batch| batch.map_err(|cause| watch_error(&peer, cause)))
            .boxed())
    }
}

impl ConfigStore for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, RangeResponse> {
        Box::pin(self.read("get", get_request(key)))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, RangeResponse> {
        Box::pin(self.read("list", list_request(prefix)))
    }

    fn commit<'a>(&'a self, txn: &'a StoreTxn) -> StoreFuture<'a, TxnResponse> {
        Box::pin(async move {
            let answer: WireTxn = self.call("commit", "/v3/kv/txn", &txn_request(txn)).await?;
            let ranges = answer
                .responses
                .into_iter()
                .filter_map(|item| item.response_range);
            let found = ranges.flat_map(|range| range.kvs).map(StoreEntry::from);
            Ok(TxnResponse {
                succeeded: answer.succeeded,
                revision: answer.header.revision,
                found: found.collect(),
            })
        })
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<'_, LeaseId> {
        Box::pin(async move {
            let body = json!({"TTL": ttl.as_secs().max(1).to_string(), "ID": "0"});
            let lease: WireLease = self.call("grant", "/v3/lease/grant", &body).await?;
            Ok(lease.id)
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, Duration> {
        Box::pin(async move {
            let body = json!({"ID": lease.to_string()});
            let answer: WireKeepAlive = self
                .call("keep-alive", "/v3/lease/keepalive", &body)
                .await?;
            Ok(Duration::from_secs(answer.result.ttl.max(0).unsigned_abs()))
        })
    }

    fn revoke(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        Box::pin(async move {
            let body = json!({"ID": lease.to_string()});
            let _: Value = self.call("revoke", "/v3/lease/revoke", &body).await?;
            Ok(())
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, revision: Revision) -> StoreFuture<'a, WatchStream> {
        Box::pin(self.open_watch(watch_request(prefix, revision)))
    }

    fn watch_returns(&self) -> watch::Receiver<u64> {
        self.epochs.watch_returns()
    }
}

fn watch_error(peer: &CompactString, cause: eyre::Report) -> StoreError {
    StoreError {
        error: StepError::new("watch", peer.clone(), cause),
        effect: WriteEffect::None,
    }
}

/// Splits a stream of bytes into lines. A line may span several chunks.
fn read_lines(
    bytes: BoxStream<'static, eyre::Result<Bytes>>,
) -> BoxStream<'static, eyre::Result<Bytes>> {
    futures_util::stream::try_unfold((bytes, BytesMut::new()), |(mut bytes, mut buffer)| async {
        loop {
            if let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1).freeze();
                return Ok(Some((line, (bytes, buffer))));
            }
            match bytes.try_next().await? {
                Some(chunk) => buffer.extend_from_slice(&chunk),
                None => return Ok(None),
            }
        }
    })
    .boxed()
}

fn read_batch(line: &[u8]) -> eyre::Result<WatchBatch> {
    let element: WireWatch = serde_json::from_slice(line)?;
    if let Some(error) = element.error {
        eyre::bail!("watch ended: {error}");
    }
    let result: wire::WireWatchResult = element.result.unwrap_or_default();
    if result.canceled {
        eyre::bail!("watch canceled by the store");
    }
    Ok(result.into())
}
