//! Passes the body of an answer on.

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
/// Pieces of a larger body that wait for the receiver.
const BODY_CHANNEL_CAPACITY: usize = 1;

/// Streams the body of an answer and holds `guard` until the body has ended, the receiver is gone
/// or the deadline has passed. An error of the next hop or a passed deadline ends the receiver's
/// connection abnormally, so that a part is never taken for the whole.
pub fn stream_body<G: Send + Unpin + 'static>(
    upstream: reqwest::Response,
    response: &mut Response,
    deadline: Instant,
    tier: Option<LocalityTier>,
    guard: G,
) {
    let length = upstream.content_length();
    if length == Some(0) {
        response.replace_body(ResBody::Once(Bytes::new()));
        return;
    }
    let stream = ResponseStream {
        source: Box::pin(upstream.bytes_stream()),
        deadline: Box::pin(tokio::time::sleep_until(deadline.into())),
        tier: tier.map(Into::into),
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

/// A piece of an answer, or `None` after the last one.
type BodyChunk = Option<Result<Bytes, ResponseError>>;

/// Yields the pieces of an answer. A channel that closes before the end was announced, as when the
/// process stops, is an error, so that the part is not taken for the whole.
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

/// Passes the pieces of an answer to its receiver. A receiver that takes nothing is not asked for
/// the next piece, so only a task of its own notices the deadline and frees the target's slot.
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
        "deadline passed while the receiver took nothing"
    );
    // The receiver may be gone by then.
    let _ = sender
        .send(Some(Err(ResponseError("deadline passed".to_owned()))))
        .await;
}

/// Why an answer broke off.
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
    /// Distance of the target, at the entry node only.
    tier: Option<&'static str>,
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
            log_event!(warn, AnswerCut, "deadline passed while the answer was sent");
            return Poll::Ready(Some(Err(ResponseError("deadline passed".to_owned()))));
        }
        let item = std::task::ready!(this.source.as_mut().poll_next(context));
        if let (Some(tier), Some(Ok(chunk))) = (this.tier, &item) {
            node_metrics::record_response_bytes(tier, chunk.len());
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
