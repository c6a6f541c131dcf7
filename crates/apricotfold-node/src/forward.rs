//! Parts of forwarding that the entry side and the target side share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use apricotfold_model::{RefusalReason, headers};
use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::{BodyExt, Limited};
use salvo::{Request, Response};

use crate::refusal::CallRefusal;

/// Largest request body. The body is held in memory until a target has answered, so that an
/// attempt that was not run can be sent again.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time that passing a deadline on takes off, for the way back.
const HOP_MARGIN: Duration = Duration::from_millis(1);

/// A request that is held whole, ready to be sent.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// Method of the request.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Reads a request to its end.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large, ends early or is not complete at the deadline; nothing has
    /// been sent on at that point.
    pub async fn read(request: &mut Request, deadline: Instant) -> Result<Self, CallRefusal> {
        let body = Limited::new(request.take_body(), MAX_BODY_BYTES);
        let read = tokio::time::timeout_at(deadline.into(), body.collect());
        let body = read.await.map_err(|_| {
            let detail = "request body: not complete at the deadline";
            CallRefusal::not_run(RefusalReason::DeadlinePassed, detail)
        })?;
        let body = body.map_err(|error| {
            CallRefusal::not_run(RefusalReason::BadRequest, format!("request body: {error}"))
        })?;
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        Ok(Self {
            method: request.method().clone(),
            path: path.to_owned(),
            headers: copy_end_to_end_headers(request.headers()),
            body: body.to_bytes(),
        })
    }

    /// Path without query.
    pub fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Prepares the request for the next hop.
    pub fn build(&self, client: &reqwest::Client, address: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{address}{}", self.path);
        client
            .request(self.method.clone(), url)
            .headers(self.headers.clone())
            .body(self.body.clone())
    }
}

/// Headers that concern one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Copies the headers that concern both ends.
pub fn copy_end_to_end_headers(source: &HeaderMap) -> HeaderMap {
    let mut copied = source.clone();
    for name in HOP_BY_HOP_HEADERS {
        copied.remove(name);
    }
    copied.remove("keep-alive");
    copied
}

/// Sets a header from a number or a checked text.
pub fn set_header(target: &mut HeaderMap, name: &'static str, value: impl std::fmt::Display) {
    if let Ok(value) = HeaderValue::from_str(&format!("{value}")) {
        target.insert(name, value);
    }
}

/// Passes the remaining time on.
pub fn set_deadline(target: &mut HeaderMap, deadline: Instant, now: Instant) {
    let left = deadline
        .saturating_duration_since(now)
        .saturating_sub(HOP_MARGIN);
    set_header(target, headers::DEADLINE_MS, left.as_millis());
}

/// Starts an answer from that of the next hop; the body follows with [`stream_body`](crate::answer_stream::stream_body).
pub fn copy_response(upstream: &reqwest::Response, response: &mut Response) {
    response.status_code(upstream.status());
    let mut headers = copy_end_to_end_headers(upstream.headers());
    if let Some(length) = upstream.headers().get(CONTENT_LENGTH) {
        // Kept, so that the receiver notices an answer that breaks off.
        headers.insert(CONTENT_LENGTH, length.clone());
    }
    response.set_headers(headers);
}

/// Number of requests that a node is working on.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter(Arc<AtomicUsize>);

/// Counts one request as long as it lives.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightCounter {
    /// Counts a request.
    pub fn enter(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.0.clone())
    }

    /// Requests at this moment.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
