//! HTTP/1.1 on blocking sockets: requests at a server, and answers at a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Head of a message: its first line, and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

pub type Input = BufReader<TcpStream>;

/// Reads a head. Returns `None` if the connection ends before it begins.
pub fn read_head(input: &mut Input) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            if head.first.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(input: &mut Input, head: &Head) -> io::Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(body)
}

/// Writes an answer with a body.
pub fn write_answer(
    output: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

/// Sends one request on a connection of its own. Returns the status and the body.
pub fn call(
    address: SocketAddr,
    request: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<(u16, Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(format!("{request}Content-Length: {}\r\n\r\n", body.len()).as_bytes())?;
    stream.write_all(body)?;
    let mut input = BufReader::new(stream);
    let head = read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut input, &head)?;
    Ok((head.word(1).parse().unwrap_or(0), head, body))
}
