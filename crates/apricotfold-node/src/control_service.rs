//! gRPC service for peers: message streams, claims and outcomes of orders.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use apricotfold_control::StreamDirection;
use apricotfold_model::log_event;
use apricotfold_schema::peer::peer_control_server::{PeerControl, PeerControlServer};
use apricotfold_schema::peer::{
    ClaimReply, ClaimRequest, OutcomeReply, OutcomeRequest, PeerMessage, peer_message,
};
use tokio_stream::Stream;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use crate::control_loop::{LoopInput, LoopSender};
use crate::orders::OrderCoordinator;
use crate::peer_streams::{link_kind, next_stream_id, read_messages, send_queue};
use crate::server;
use crate::state::NodeState;

const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves peer streams, claims and queries for the outcome of orders.
pub struct ControlService {
    state: Arc<NodeState>,
    inputs: LoopSender,
    orders: Arc<OrderCoordinator>,
}

/// Binds the control address and serves it in the background.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn start(
    state: &Arc<NodeState>,
    inputs: LoopSender,
    orders: Arc<OrderCoordinator>,
) -> eyre::Result<()> {
    let listener = server::bind_listener(state.config.control_address).inspect_err(|error| {
        log_event!(error, ListenFailed, "{error}");
    })?;
    let service = ControlService {
        state: state.clone(),
        inputs,
        orders,
    };
    let server = Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(10)))
        .http2_keepalive_timeout(Some(Duration::from_secs(3)))
        .add_service(PeerControlServer::new(service))
        .serve_with_incoming(TcpListenerStream::new(listener));
    tokio::spawn(server);
    Ok(())
}

type PeerMessageStream = Pin<Box<dyn Stream<Item = Result<PeerMessage, Status>> + Send>>;

#[tonic::async_trait]
impl PeerControl for ControlService {
    type ExchangeStream = PeerMessageStream;

    async fn exchange(
        &self,
        request: Request<Streaming<PeerMessage>>,
    ) -> Result<Response<Self::ExchangeStream>, Status> {
        let mut messages = request.into_inner();
        let first = tokio::time::timeout(HELLO_TIMEOUT, messages.message()).await;
        let first = first.map_err(|_| Status::deadline_exceeded("no greeting"))??;
        let Some(peer_message::Body::Hello(hello)) = first.and_then(|message| message.body) else {
            return Err(Status::invalid_argument(
                "the first message is not a greeting",
            ));
        };
        let stream = next_stream_id();
        let link = link_kind(&self.state, &hello);
        let (sender, receiver) = send_queue();
        log_event!(
            info,
            PeerConnected,
            "{} from {}",
            hello.node,
            hello.control_address
        );
        let input = LoopInput::Opened {
            stream,
            hello,
            direction: StreamDirection::Inbound,
            sender,
        };
        let stopping = |_| Status::unavailable("the node is stopping");
        self.inputs.send(input).await.map_err(stopping)?;
        let inputs = self.inputs.clone();
        tokio::spawn(async move { read_messages(stream, messages, link, &inputs).await });
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        self.orders
            .claim_for_peer(request.into_inner())
            .await
            .map(Response::new)
    }

    async fn outcome(
        &self,
        request: Request<OutcomeRequest>,
    ) -> Result<Response<OutcomeReply>, Status> {
        Ok(Response::new(
            self.orders.local_outcome(&request.into_inner()),
        ))
    }
}
