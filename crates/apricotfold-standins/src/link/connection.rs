//! Connection of the link: forwards both directions until both have ended, one fails or the link is
//! cut.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use tokio::net::TcpStream;

use super::forwarder::Forwarder;
use super::state::{Direction, LinkState};

/// Connects to the upstream and forwards an accepted connection from the client `address` to it.
pub async fn forward(
    state: Arc<LinkState>,
    mut client: TcpStream,
    address: IpAddr,
    upstream: SocketAddr,
) {
    let _guard = state.open_connection();
    let mut server = match connect(&state, address, upstream).await {
        Ok(server) => server,
        Err(error) => {
            log::info!("connection to upstream {upstream}: {error}");
            state.count_unreachable();
            reset_on_close(&client);
            return;
        }
    };
    if let Err(error) = forward_both_ways(&state, &mut client, address, &mut server).await {
        log::debug!("connection to upstream {upstream}: {error}");
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

async fn connect(state: &LinkState, client: IpAddr, upstream: SocketAddr) -> io::Result<TcpStream> {
    let mut rules = state.rules();
    tokio::select! {
        connected = TcpStream::connect(upstream) => connected,
        _ = rules.wait_for(|rules| rules.is_cut(client)) => Err(cut_error()),
    }
}

async fn forward_both_ways(
    state: &Arc<LinkState>,
    client: &mut TcpStream,
    address: IpAddr,
    server: &mut TcpStream,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let mut rules = state.rules();
    let (client_source, client_sink) = client.split();
    let (server_source, server_sink) = server.split();
    let to_upstream = Forwarder::new(state, Direction::ToUpstream, address);
    let to_client = Forwarder::new(state, Direction::ToClient, address);
    let transfers = async {
        tokio::try_join!(
            to_upstream.run(client_source, server_sink),
            to_client.run(server_source, client_sink),
        )
    };
    tokio::select! {
        ended = transfers => ended.map(|_| ()),
        _ = rules.wait_for(|rules| rules.is_cut(address)) => Err(cut_error()),
    }
}

fn cut_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "link cut")
}

/// Makes the connection close with a TCP reset, so that its peer sees a failure instead of an orderly
/// end of the stream.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("setting a connection to reset on close: {error}");
    }
}
