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

use crate::measure;

/// Largest body that is read only as fast as the receiver takes it. The server's write buffer holds
/// more than this, so such a body never waits for its receiver.
const DIRECT_BYTES: u64 = 64 * 1024;
/// Pieces of a larger body that wait for the receiver.
const WAITING_PIECES: usize = 1;

/// Streams the body of an answer and holds `guard` until the body has ended, the receiver is gone
/// or the deadline has passed. An error of the next hop or a passed deadline ends the receiver's
/// connection abnormally, so that a part is never taken for the whole.
pub fn stream_body<G: Send + Unpin + 'static>(
    answer: reqwest::Response,
    response: &mut Response,
    deadline: Instant,
    tier: Option<LocalityTier>,
    guard: G,
) {
    let length = answer.content_length();
    if length == Some(0) {
        response.replace_body(ResBody::Once(Bytes::new()));
        return;
    }
    let stream = AnswerStream {
        source: Box::pin(answer.bytes_stream()),
        deadline: Box::pin(tokio::time::sleep_until(deadline.into())),
        tier: tier.map(Into::into),
        _guard: guard,
    };
    if length.is_some_and(|length| length <= DIRECT_BYTES) {
        response.stream(stream);
        return;
    }
    let (sender, receiver) = mpsc::channel(WAITING_PIECES);
    tokio::spawn(pass_pieces(stream, sender, deadline));
    response.stream(receive_pieces(receiver));
}

/// A piece of an answer, or `None` after the last one.
type AnswerPiece = Option<Result<Bytes, AnswerError>>;

/// Yields the pieces of an answer. A channel that closes before the end was announced, as when the
/// process stops, is an error, so that the part is not taken for the whole.
fn receive_pieces(
    receiver: mpsc::Receiver<AnswerPiece>,
) -> impl Stream<Item = Result<Bytes, AnswerError>> + Send {
    stream::unfold(Some(receiver), async |receiver| {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(piece) => Some((piece?, Some(receiver))),
            None => Some((Err(AnswerError("stopped".to_owned())), None)),
        }
    })
}

/// Passes the pieces of an answer to its receiver. A receiver that takes nothing is not asked for
/// the next piece, so only a task of its own notices the deadline and frees the target's slot.
async fn pass_pieces<S, G>(
    mut stream: AnswerStream<S, G>,
    sender: mpsc::Sender<AnswerPiece>,
    deadline: Instant,
) where
    S: Stream<Item = reqwest::Result<Bytes>>,
    G: Unpin,
{
    loop {
        let piece = tokio::select! {
            piece = stream.next() => piece,
            () = sender.closed() => return,
        };
        let more = matches!(piece, Some(Ok(_)));
        let sent = tokio::time::timeout_at(deadline.into(), sender.send(piece)).await;
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
        .send(Some(Err(AnswerError("deadline passed".to_owned()))))
        .await;
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
