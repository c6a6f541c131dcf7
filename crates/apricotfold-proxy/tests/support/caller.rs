//! Caller that reads and writes the raw bytes of its connections.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::HOST;
use super::target::header;

/// A response as received by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerResponse {
    /// Status code; 0 if the connection ended without a complete response.
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl CallerResponse {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// A persistent connection to a proxy.
pub struct CallerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Formats a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let lines: String = headers
        .iter()
        .flat_map(|(name, value)| [name, ": ", value, "\r\n"])
        .collect();
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{lines}{length}\r\n{body}")
}

/// Sends one request on a new connection and reads the response.
pub async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> CallerResponse {
    let mut connection = CallerConnection::open(address).await;
    connection.send(&request(method, path, headers, body)).await;
    connection.read().await
}

impl CallerConnection {
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a listener");
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("an open connection");
    }

    /// Reads one response, framed by its length or in chunks.
    pub async fn read(&mut self) -> CallerResponse {
        loop {
            if let Some(answer) = self.take_response() {
                return answer;
            }
            if !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..)) {
                return CallerResponse::default();
            }
        }
    }

    /// Waits until the other side closes the connection. Returns the bytes received before.
    pub async fn read_to_end(&mut self) -> Vec<u8> {
        while matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..)) {}
        std::mem::take(&mut self.buffer)
    }

    fn take_response(&mut self) -> Option<CallerResponse> {
        let end = self
            .buffer
            .windows(4)
            .position(|bytes| bytes == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let status = head.get(9..12)?.parse().ok()?;
        let rest = &self.buffer[end + 4..];
        let (body, used) = match header(&head, "content-length") {
            Some(length) => {
                let length: usize = length.parse().ok()?;
                (rest.get(..length)?.to_vec(), length)
            }
            None if header(&head, "transfer-encoding").is_some() => take_chunks(rest)?,
            None => (Vec::new(), 0),
        };
        self.buffer.drain(..end + 4 + used);
        Some(CallerResponse {
            status,
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

fn take_chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let line = bytes.get(at..)?.windows(2).position(|end| end == b"\r\n")?;
        let size = std::str::from_utf8(&bytes[at..at + line]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        at += line + 2;
        body.extend_from_slice(bytes.get(at..at + size)?);
        bytes.get(at + size..at + size + 2)?;
        at += size + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}
