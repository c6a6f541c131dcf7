//! HTTP server that sends scripted responses.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Returns the response to a request path; `None` closes the connection without a response.
pub type ResponseScript = fn(&str) -> Option<&'static str>;

/// Response of a request that a target has run.
pub const RAN: &str = "HTTP/1.1 200 OK\r\napricotfold-outcome: ran\r\ncontent-length: 0\r\n\r\n";

/// Starts a server on a free loopback port that runs until the runtime ends. Returns its address.
/// `script` is called with the path of each request.
pub async fn serve(script: ResponseScript) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, script));
        }
    });
    Ok(address)
}

async fn serve_connection(mut stream: TcpStream, script: ResponseScript) -> std::io::Result<()> {
    let mut received = Vec::new();
    loop {
        while !received.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut received).await? == 0 {
                return Ok(());
            }
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        received.clear();
        let path = text.split(' ').nth(1).unwrap_or_default();
        let Some(response) = script(path) else {
            return Ok(());
        };
        stream.write_all(response.as_bytes()).await?;
    }
}
