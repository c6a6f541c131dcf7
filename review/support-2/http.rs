//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with its read buffer.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn more(&mut self) -> io::Result<()> {
        if self.start > 0 && self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
        let mut piece = [0; 64 * 1024];
        let size = self.stream.read(&mut piece)?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&piece[..size]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        let mut from = self.start;
        loop {
            let rest = &self.buffer[from..];
            if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = &self.buffer[self.start..from + end];
                let line = String::from_utf8_lossy(line).trim_end().to_owned();
                self.start = from + end + 1;
                return Ok(line);
            }
            let seen = self.buffer.len() - self.start;
            self.more()?;
            from = self.start + seen;
        }
    }

    fn exactly(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() - self.start < size {
            self.more()?;
        }
        let bytes = self.buffer[self.start..self.start + size].to_vec();
        self.start += size;
        Ok(bytes)
    }

    /// Reads a whole message. An error means that the connection ended first, or that the read timed out.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message {
            line: self.line()?,
            ..Message::default()
        };
        if message.line.is_empty() {
            message.line = self.line()?;
        }
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        if chunked {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let piece = self.exactly(size)?;
                message.body.extend(piece);
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    break;
                }
                self.line()?;
            }
        } else if let Some(length) = length {
            message.body = self.exactly(length)?;
        }
        Ok(message)
    }

    /// Limits how long a read waits.
    pub fn wait_at_most(&self, time: Duration) {
        let time = time.max(Duration::from_millis(1));
        let _ = self.stream.set_read_timeout(Some(time));
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let end = Instant::now() + timeout;
    let mut wire = Wire::connect(address, timeout)?;
    wire.send(request.as_bytes())?;
    wire.wait_at_most(end.saturating_duration_since(Instant::now()));
    wire.read()
}
