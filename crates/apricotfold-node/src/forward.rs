//! Parts of forwarding that the entry side and the target side share.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use apricotfold_model::{RefusalReason, headers, log_event};
use apricotfold_policy::LocalityTier;
use bytes::Bytes;
use futures_util::Stream;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::{BodyExt, Limited};
use salvo::http::ResBody;
use salvo::{Request, Response};

use crate::answer::CallRefusal;
use crate::measure;

/// Largest request body. The body is held in memory until a target has answered, so that an
/// attempt that was not run can be sent again.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time that passing a deadline on takes off, for the way back.
const HOP_MARGIN: Duration = Duration::from_millis(1);

/// A request that is held whole, ready to be sent.
#[derive(Clone, Debug)]
pub struct HeldRequest {
    /// Method of the request.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HeldRequest {
    /// Reads a request to its end.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large or ends early; nothing has been sent on at that point.
    pub async fn read(request: &mut Request) -> Result<Self, CallRefusal> {
        let body = Limited::new(request.take_body(), MAX_BODY_BYTES);
        let body = body.collect().await.map_err(|error| {
            CallRefusal::not_run(RefusalReason::BadRequest, format!("request body: {error}"))
        })?;
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        Ok(Self {
            method: request.method().clone(),
            path: path.to_owned(),
            headers: copy_headers(request.headers()),
            body: body.to_bytes(),
        })
    }

    /// Path without query.
    pub fn plain_path(&self) -> &str {
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
const HOP_HEADERS: [HeaderName; 9] = [
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
pub fn copy_headers(source: &HeaderMap) -> HeaderMap {
    let mut copied = source.clone();
    for name in HOP_HEADERS {
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

/// Starts an answer from that of the next hop; the body follows with [`stream_body`].
pub fn copy_answer(answer: &reqwest::Response, response: &mut Response) {
    response.status_code(answer.status());
    let mut headers = copy_headers(answer.headers());
    if let Some(length) = answer.headers().get(CONTENT_LENGTH) {
        // Kept, so that the receiver notices an answer that breaks off.
        headers.insert(CONTENT_LENGTH, length.clone());
    }
    response.set_headers(headers);
}

/// Streams the body of an answer and holds `guard` until the body has ended or the receiver is
/// gone. An error of the next hop or a passed deadline ends the receiver's connection abnormally,
/// so that a part is never taken for the whole.
pub fn stream_body<G: Send + Unpin + 'static>(
    answer: reqwest::Response,
    response: &mut Response,
    deadline: Instant,
    tier: Option<LocalityTier>,
    guard: G,
) {
    if answer.content_length() == Some(0) {
        response.replace_body(ResBody::Once(Bytes::new()));
        return;
    }
    response.stream(AnswerStream {
        source: Box::pin(answer.bytes_stream()),
        deadline: Box::pin(tokio::time::sleep_until(deadline.into())),
        tier: tier.map(Into::into),
        _guard: guard,
    });
}

/// Why an answer broke off.
#[derive(Debug)]
pub struct AnswerError(String);

impl std::fmt::Display for AnswerError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for AnswerError {}

struct AnswerStream<S, G> {
    source: Pin<Box<S>>,
    deadline: Pin<Box<tokio::time::Sleep>>,
    /// Distance of the target, at the entry node only.
    tier: Option<&'static str>,
    _guard: G,
}

impl<S, G> Stream for AnswerStream<S, G>
where
    S: Stream<Item = reqwest::Result<Bytes>>,
    G: Unpin,
{
    type Item = Result<Bytes, AnswerError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.deadline.as_mut().poll(context).is_ready() {
            log_event!(warn, AnswerCut, "deadline passed while the answer was sent");
            return Poll::Ready(Some(Err(AnswerError("deadline passed".to_owned()))));
        }
        let item = std::task::ready!(this.source.as_mut().poll_next(context));
        if let (Some(tier), Some(Ok(piece))) = (this.tier, &item) {
            measure::record_answer_bytes(tier, piece.len());
        }
        let checked = item.map(|piece| {
            piece.map_err(|error| {
                log_event!(warn, AnswerCut, "next hop: {error}");
                AnswerError(error.to_string())
            })
        });
        Poll::Ready(checked)
    }
}

/// Number of requests that a node is working on.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicUsize>);

/// Counts one request as long as it lives.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl InFlight {
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
