//! Forwarding of requests and responses, as used at the entry node and at the target's node.

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

/// Largest request body. The body is buffered in memory until a target has answered, so that an
/// attempt that did not run can be repeated.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time subtracted from the deadline at each hop, for the way back of the response.
const HOP_MARGIN: Duration = Duration::from_millis(1);

/// A request with its complete body in memory, so that it can be sent more than once.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Reads a request and its complete body.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large, ends early or is not complete at the deadline; nothing has
    /// been forwarded at that point.
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

    pub fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Builds the request to the next hop at `address`.
    pub fn build(&self, client: &reqwest::Client, address: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{address}{}", self.path);
        client
            .request(self.method.clone(), url)
            .headers(self.headers.clone())
            .body(self.body.clone())
    }
}

/// Headers that apply to one connection only and are not forwarded.
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

/// Copies all headers except the hop-by-hop ones.
pub fn copy_end_to_end_headers(source: &HeaderMap) -> HeaderMap {
    let mut copied = source.clone();
    for name in HOP_BY_HOP_HEADERS {
        copied.remove(name);
    }
    copied.remove("keep-alive");
    copied
}

/// Sets a header to the text form of `value`; does nothing if a header cannot hold the text.
pub fn set_header(target: &mut HeaderMap, name: &'static str, value: impl std::fmt::Display) {
    if let Ok(value) = HeaderValue::from_str(&format!("{value}")) {
        target.insert(name, value);
    }
}

/// Sets the deadline header to the remaining milliseconds, less `HOP_MARGIN`.
pub fn set_deadline(target: &mut HeaderMap, deadline: Instant, now: Instant) {
    let remaining = deadline
        .saturating_duration_since(now)
        .saturating_sub(HOP_MARGIN);
    set_header(target, headers::DEADLINE_MS, remaining.as_millis());
}

/// Copies the status and headers of the next hop's response. The body follows with
/// [`stream_body`](crate::response_stream::stream_body).
pub fn copy_response(upstream: &reqwest::Response, response: &mut Response) {
    response.status_code(upstream.status());
    let mut headers = copy_end_to_end_headers(upstream.headers());
    if let Some(length) = upstream.headers().get(CONTENT_LENGTH) {
        // Kept so that the receiver notices a truncated body.
        headers.insert(CONTENT_LENGTH, length.clone());
    }
    response.set_headers(headers);
}

/// Number of requests in progress on this node.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter(Arc<AtomicUsize>);

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightCounter {
    /// Counts a request until the returned guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.0.clone())
    }

    /// Returns the current number of requests.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
