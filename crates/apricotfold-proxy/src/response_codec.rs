//! Encodes HTTP/1.1 responses to callers.

use bytes::{BufMut, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// No body, whatever the declared length.
    NoBody,
    /// The `content-length` header states the length.
    Length,
    /// Chunked transfer coding.
    Chunked,
}

impl ResponseFraming {
    /// Chooses the framing. `length` is the exact length, if it is known.
    pub fn choose(method: &Method, status: StatusCode, length: Option<u64>) -> Self {
        let bodiless = *method == Method::HEAD
            || status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        match length {
            _ if bodiless => Self::NoBody,
            Some(_) => Self::Length,
            None => Self::Chunked,
        }
    }
}

/// Writes the head of a response. `close` announces that the connection is closed after it.
pub fn put_head(
    buffer: &mut BytesMut,
    status: StatusCode,
    headers: &HeaderMap,
    framing: ResponseFraming,
    length: Option<u64>,
    close: bool,
) {
    buffer.put_slice(b"HTTP/1.1 ");
    buffer.put_slice(status.as_str().as_bytes());
    buffer.put_u8(b' ');
    buffer.put_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    buffer.put_slice(b"\r\n");
    for (name, value) in headers {
        let framed = name == CONTENT_LENGTH && framing != ResponseFraming::NoBody;
        if framed || name == TRANSFER_ENCODING || name == CONNECTION {
            continue;
        }
        put_header(buffer, name.as_str(), value.as_bytes());
    }
    match (framing, length) {
        (ResponseFraming::Length, Some(length)) => {
            put_header(buffer, "content-length", length.to_string().as_bytes());
        }
        (ResponseFraming::Chunked, _) => put_header(buffer, "transfer-encoding", b"chunked"),
        _ => {}
    }
    if close {
        put_header(buffer, "connection", b"close");
    }
    buffer.put_slice(b"\r\n");
}

fn put_header(buffer: &mut BytesMut, name: &str, value: &[u8]) {
    buffer.put_slice(name.as_bytes());
    buffer.put_slice(b": ");
    buffer.put_slice(value);
    buffer.put_slice(b"\r\n");
}

/// Writes a piece of a body. An empty piece is skipped, because it would end a chunked body.
pub fn put_piece(buffer: &mut BytesMut, framing: ResponseFraming, piece: &[u8]) {
    match framing {
        ResponseFraming::NoBody => {}
        ResponseFraming::Length => buffer.put_slice(piece),
        ResponseFraming::Chunked if piece.is_empty() => {}
        ResponseFraming::Chunked => {
            buffer.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            buffer.put_slice(piece);
            buffer.put_slice(b"\r\n");
        }
    }
}

/// Writes the end of a complete body.
pub fn put_end(buffer: &mut BytesMut, framing: ResponseFraming) {
    if framing == ResponseFraming::Chunked {
        buffer.put_slice(b"0\r\n\r\n");
    }
}
