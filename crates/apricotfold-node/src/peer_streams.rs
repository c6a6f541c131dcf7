//! gRPC streams between nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use apricotfold_control::{ControlEvent, StreamDirection, StreamId};
use apricotfold_model::{NodeConfig, StepError, log_event};
use apricotfold_schema::peer::peer_control_client::PeerControlClient;
use apricotfold_schema::peer::{Hello, PeerMessage, peer_message};
use compact_str::CompactString;
use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};

use crate::control_loop::{LoopInput, LoopSender};
use crate::node_metrics;
use crate::state::NodeState;

/// Queue of messages to one peer; an error ends the stream.
pub type StreamSender = mpsc::Sender<Result<PeerMessage, Status>>;

/// Messages that are queued for a slow peer.
const SEND_QUEUE_CAPACITY: usize = 512;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that HTTP/2 and gRPC framing add to each message.
const FRAMING_OVERHEAD_BYTES: usize = 14;
const RETRY_AFTER_HEADER: &str = "retry-after-ms";

static NEXT_STREAM: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no stream of this process has had.
pub fn next_stream_id() -> StreamId {
    StreamId(NEXT_STREAM.fetch_add(1, Ordering::Relaxed))
}

/// Creates the queue of messages to one peer.
pub fn send_queue() -> (StreamSender, mpsc::Receiver<Result<PeerMessage, Status>>) {
    mpsc::channel(SEND_QUEUE_CAPACITY)
}

/// Returns the status that rejects a stream for now, with the time after which to retry.
pub fn refusal_status(retry_after: Duration) -> Status {
    let mut status = Status::resource_exhausted("too many new streams");
    if let Ok(value) = retry_after.as_millis().to_string().parse() {
        status.metadata_mut().insert(RETRY_AFTER_HEADER, value);
    }
    status
}

fn read_retry_after(status: &Status) -> Option<Duration> {
    let value = status.metadata().get(RETRY_AFTER_HEADER)?;
    value.to_str().ok()?.parse().ok().map(Duration::from_millis)
}

/// Configures the connection to the control service of the node at `address`.
pub fn endpoint(config: &NodeConfig, address: &str) -> Result<Endpoint, tonic::transport::Error> {
    Ok(Endpoint::from_shared(format!("http://{address}"))?
        .local_address(config.local_address())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(Duration::from_secs(10))
        .keep_alive_timeout(Duration::from_secs(3)))
}

/// Opens a stream in the background and reports the result to the control loop.
pub fn open_stream(
    state: &Arc<NodeState>,
    address: CompactString,
    hello: Hello,
    inputs: LoopSender,
) {
    let state = state.clone();
    tokio::spawn(async move {
        let failed = match connect(&state.config, &address, hello).await {
            Ok(opened) => {
                run_outbound(&state, address, opened, &inputs).await;
                return;
            }
            Err(failed) => failed,
        };
        log::debug!("{}", failed.error);
        let event = ControlEvent::StreamFailed {
            address,
            refused: failed.refused,
            retry_after: failed.retry_after,
        };
        let _ = inputs.send(LoopInput::Event(event)).await;
    });
}

struct OpenedStream {
    sender: StreamSender,
    messages: Streaming<PeerMessage>,
    hello: Hello,
}

struct StreamFailure {
    error: StepError,
    refused: bool,
    retry_after: Option<Duration>,
}

impl StreamFailure {
    fn new(address: &str, error: impl Into<eyre::Report>) -> Self {
        Self {
            error: StepError::new("open stream", address, error),
            refused: false,
            retry_after: None,
        }
    }

    fn from_status(address: &str, status: Status) -> Self {
        Self {
            retry_after: read_retry_after(&status),
            ..Self::new(address, status)
        }
    }
}

async fn connect(
    config: &NodeConfig,
    address: &str,
    hello: Hello,
) -> Result<OpenedStream, StreamFailure> {
    let endpoint = endpoint(config, address).map_err(|error| StreamFailure::new(address, error))?;
    let channel: Channel = endpoint.connect().await.map_err(|error| StreamFailure {
        refused: is_refused(&error),
        ..StreamFailure::new(address, error)
    })?;
    let (sender, receiver) = send_queue();
    let hello_message = PeerMessage {
        body: Some(peer_message::Body::Hello(hello)),
    };
    let _ = sender.try_send(Ok(hello_message));
    // A client's stream carries only messages, so an error in the queue ends it.
    let outgoing = ReceiverStream::new(receiver).map_while(Result::ok);
    let mut client = PeerControlClient::new(channel);
    let handshake = async {
        let mut messages = client.exchange(Request::new(outgoing)).await?.into_inner();
        let first = messages.message().await?;
        Ok::<_, Status>((messages, first))
    };
    let handshake = tokio::time::timeout(HELLO_TIMEOUT, handshake)
        .await
        .map_err(|error| StreamFailure::new(address, error))?;
    let (messages, first) =
        handshake.map_err(|status| StreamFailure::from_status(address, status))?;
    match first.and_then(|message| message.body) {
        Some(peer_message::Body::Hello(hello)) => Ok(OpenedStream {
            sender,
            messages,
            hello,
        }),
        _ => Err(StreamFailure::new(
            address,
            eyre::eyre!("the peer did not send a hello message first"),
        )),
    }
}

/// Tells whether the operating system of the other side refused the connection, which means that no
/// process listens at the address.
fn is_refused(error: &tonic::transport::Error) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(current) = cause {
        if let Some(error) = current.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = current.source();
    }
    false
}

async fn run_outbound(
    state: &NodeState,
    address: CompactString,
    opened: OpenedStream,
    inputs: &LoopSender,
) {
    let stream = next_stream_id();
    let link = link_kind(state, &opened.hello);
    log_event!(info, PeerConnected, "{} at {address}", opened.hello.node);
    let input = LoopInput::Opened {
        stream,
        hello: opened.hello,
        direction: StreamDirection::Outbound { address },
        sender: opened.sender,
    };
    if inputs.send(input).await.is_ok() {
        read_messages(stream, opened.messages, link, inputs).await;
    }
}

/// Forwards a peer's messages to the control loop until the stream ends.
pub async fn read_messages(
    stream: StreamId,
    mut messages: Streaming<PeerMessage>,
    link: &'static str,
    inputs: &LoopSender,
) {
    let cause = loop {
        match messages.message().await {
            Ok(Some(message)) => {
                let bytes = message.encoded_len() + FRAMING_OVERHEAD_BYTES;
                node_metrics::record_control_bytes(message_kind(&message), link, "received", bytes);
                let event = ControlEvent::Message { stream, message };
                if inputs.send(LoopInput::Event(event)).await.is_err() {
                    return;
                }
            }
            Ok(None) => break "closed by the peer".to_owned(),
            Err(status) => break status.message().to_owned(),
        }
    };
    log_event!(info, PeerLost, "stream {}: {cause}", stream.0);
    let _ = inputs
        .send(LoopInput::Event(ControlEvent::StreamClosed { stream }))
        .await;
}

/// Returns the locality of a peer, the `link` label of the metric for control bytes.
pub fn link_kind(state: &NodeState, hello: &Hello) -> &'static str {
    if hello.data_centre == state.config.data_centre {
        return "data-centre";
    }
    if hello.region == state.config.region {
        return "region";
    }
    "remote"
}

fn message_kind(message: &PeerMessage) -> &'static str {
    match &message.body {
        Some(peer_message::Body::Hello(_)) => "hello",
        Some(peer_message::Body::Push(_)) => "push",
        Some(peer_message::Body::Advertise(_)) => "advertise",
        Some(peer_message::Body::Pull(_)) => "pull",
        Some(peer_message::Body::Prune(_)) => "prune",
        Some(peer_message::Body::Digest(_)) => "digest",
        Some(peer_message::Body::BucketIds(_)) => "bucket-ids",
        Some(peer_message::Body::Ping(_) | peer_message::Body::Pong(_)) => "ping",
        None => "empty",
    }
}
