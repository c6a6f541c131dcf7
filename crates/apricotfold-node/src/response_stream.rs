//! Streams response bodies from the next hop to the receiver.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use apricotfold_model::log_event;
use apricotfold_policy::LocalityTier;
use bytes::Bytes;
use futures_util::stream::{self, Stream, StreamExt};
use salvo::Response;
use salvo::http::ResBody;
use tokio::sync::mpsc;

use crate::node_metrics;

/// Largest body that is read only as fast as the receiver takes it. The server's write buffer holds
/// more than this, so such a body never waits for its receiver.
const MAX_DIRECT_BYTES: u64 = 64 * 1024;
/// Chunks of a larger body that are buffered for the receiver.
const BODY_CHANNEL_CAPACITY: usize = 1;

/// How the body of a response ended at its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// All of it has arrived.
    Complete,
    /// The next hop failed.
    BrokenOff,
}

/// Called when the body of a response ends at its source, but not if its receiver disconnects or the
/// deadline passes before.
pub type BodyObserver = Box<dyn FnOnce(BodyEnd) + Send>;

/// Streams the body of a response and holds `guard` until the body has ended, the receiver has
/// disconnected or the deadline has passed. If the next hop fails or the deadline passes, the
/// receiver's connection is aborted, so that a truncated body is not taken for a complete one.
pub fn stream_body<G: Send + Unpin + 'static>(
    upstream: reqwest::Response,
    response: &mut Response,
    deadline: Instant,
    tier: Option<LocalityTier>,
    guard: G,
    observer: BodyObserver,
) {
    let length = upstream.content_length();
    if length == Some(0) {
        observer(BodyEnd::Complete);
        response.replace_body(ResBody::Once(Bytes::new()));
        return;
    }
    let stream = ResponseStream {
        source: Box::pin(upstream.bytes_stream()),
        deadline: Box::pin(tokio::time::sleep_until(deadline.into())),
        tier: tier.map(Into::into),
        left: length,
        observer: Some(observer),
        _guard: guard,
    };
    if length.is_some_and(|length| length <= MAX_DIRECT_BYTES) {
        response.stream(stream);
        return;
    }
    let (sender, receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    tokio::spawn(forward_chunks(stream, sender, deadline));
    response.stream(receive_chunks(receiver));
}

/// A chunk of a body, or `None` after the last one.
type BodyChunk = Option<Result<Bytes, ResponseError>>;

/// Yields the chunks of a body. If the channel closes before the end of the body, for example
/// because the process stops, an error follows, so that the truncated body is not taken for a
/// complete one.
fn receive_chunks(
    receiver: mpsc::Receiver<BodyChunk>,
) -> impl Stream<Item = Result<Bytes, ResponseError>> + Send {
    stream::unfold(Some(receiver), async |receiver| {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(chunk) => Some((chunk?, Some(receiver))),
            None => Some((Err(ResponseError("stopped".to_owned())), None)),
        }
    })
}

/// Forwards the chunks of a body to its receiver. While the receiver reads nothing, the server does
/// not ask for the next chunk, so only a separate task notices the deadline and frees the target's
/// slot.
async fn forward_chunks<S, G>(
    mut stream: ResponseStream<S, G>,
    sender: mpsc::Sender<BodyChunk>,
    deadline: Instant,
) where
    S: Stream<Item = reqwest::Result<Bytes>>,
    G: Unpin,
{
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk,
            () = sender.closed() => return,
        };
        let more = matches!(chunk, Some(Ok(_)));
        let sent = tokio::time::timeout_at(deadline.into(), sender.send(chunk)).await;
        match sent {
            Ok(Ok(())) if more => {}
            Ok(_) => return,
            Err(_) => break,
        }
    }
    drop(stream);
    log_event!(
        warn,
        AnswerCut,
        "deadline passed while the receiver read nothing"
    );
    // The receiver may have disconnected by then.
    let _ = sender
        .send(Some(Err(ResponseError("deadline passed".to_owned()))))
        .await;
}

/// Why a response was cut off.
#[derive(Debug)]
pub struct ResponseError(String);

impl std::fmt::Display for ResponseError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for ResponseError {}

struct ResponseStream<S, G> {
    source: Pin<Box<S>>,
    deadline: Pin<Box<tokio::time::Sleep>>,
    /// Locality of the target; `None` except at the entry node.
    tier: Option<&'static str>,
    /// Bytes that are still to come, if the length is known. After the last of them, the server does
    /// not ask for the end of the body.
    left: Option<u64>,
    observer: Option<BodyObserver>,
    _guard: G,
}

impl<S, G> Stream for ResponseStream<S, G>
where
    S: Stream<Item = reqwest::Result<Bytes>>,
    G: Unpin,
{
    type Item = Result<Bytes, ResponseError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.deadline.as_mut().poll(context).is_ready() {
            log_event!(
                warn,
                AnswerCut,
                "deadline passed while the response was sent"
            );
            return Poll::Ready(Some(Err(ResponseError("deadline passed".to_owned()))));
        }
        let item = std::task::ready!(this.source.as_mut().poll_next(context));
        if let (Some(tier), Some(Ok(chunk))) = (this.tier, &item) {
            node_metrics::record_response_bytes(tier, chunk.len());
        }
        if let (Some(left), Some(Ok(chunk))) = (&mut this.left, &item) {
            *left = left.saturating_sub(chunk.len() as u64);
        }
        let end = match &item {
            None => Some(BodyEnd::Complete),
            Some(Err(_)) => Some(BodyEnd::BrokenOff),
            Some(Ok(_)) => (this.left == Some(0)).then_some(BodyEnd::Complete),
        };
        if let Some(end) = end
            && let Some(observer) = this.observer.take()
        {
            observer(end);
        }
        let checked = item.map(|chunk| {
            chunk.map_err(|error| {
                log_event!(warn, AnswerCut, "next hop: {error}");
                ResponseError(error.to_string())
            })
        });
        Poll::Ready(checked)
    }
}
