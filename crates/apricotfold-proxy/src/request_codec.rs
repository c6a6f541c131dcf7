//! Parses callers' HTTP/1.1 requests.
//!
//! hyper's server handles pipelined requests one after the other, so that each waits for those
//! before it. Callers' connections are therefore parsed here, with `httparse`, and their requests
//! run concurrently. See `docs/platform.md`, section 5.

use bytes::{Buf, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, Version};

use crate::callers::body_pieces::{BodyPieces, PieceCollector};

/// Largest number of headers in a request.
pub const MAX_HEADERS: usize = 128;

/// Memory of a header in a [`HeaderMap`] besides its name and value, by the size of its entries.
const HEADER_BYTES: usize = 128;

/// Longest chunk-size line in bytes, including extensions.
const MAX_CHUNK_LINE: usize = 256;

/// Largest size of all trailers of a body, as large as a head. Trailers are skipped, so they would
/// otherwise cost time without end.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Why a request cannot be parsed. Its connection is closed after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// The request is malformed, or its length is ambiguous.
    Malformed,
    /// The head is larger than the limit or has too many headers.
    HeadTooLarge,
    /// The body is larger than the limit.
    BodyTooLarge,
}

impl RequestFault {
    /// Returns the status code of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has this many bytes.
    Known(u64),
    /// The body ends after the last chunk.
    Chunked,
}

/// Head of a parsed request.
#[derive(Debug)]
pub struct RequestHead {
    /// Method, request target and headers.
    pub parts: Parts,
    /// Framing of the body.
    pub body: BodyLength,
    /// Whether the caller sends no further request on the connection.
    pub last: bool,
    /// Memory that the head occupies until its request has an answer.
    pub occupied: usize,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Parses a head at the front of `buffer` and removes it. Returns `None` while it is incomplete.
///
/// # Errors
///
/// Returns why the head cannot be parsed.
pub fn take_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, RequestFault> {
    skip_empty_lines(buffer);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestFault::HeadTooLarge);
        }
        Err(_) => return Err(RequestFault::Malformed),
    };
    if length > max_bytes {
        return Err(RequestFault::HeadTooLarge);
    }
    let mut head = read_head(&request)?;
    head.occupied = length + head.parts.headers.len() * HEADER_BYTES;
    buffer.advance(length);
    Ok(Some(head))
}

/// Skips empty lines before a request, as RFC 9112, section 2.2, recommends.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

fn read_head(request: &httparse::Request<'_, '_>) -> Result<RequestHead, RequestFault> {
    let malformed = RequestFault::Malformed;
    let method = request.method.ok_or(malformed)?;
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| malformed)?;
    let uri: Uri = request
        .path
        .ok_or(malformed)?
        .parse()
        .map_err(|_| malformed)?;
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| malformed)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| malformed)?;
        headers.append(name, value);
    }
    if headers.get_all(HOST).iter().count() > 1 {
        return Err(malformed);
    }
    let body = read_length(&headers)?;
    let modern = request.version == Some(1);
    let last = !modern || names_token(&headers, "close");
    let expects = headers.get(EXPECT);
    let expects_continue =
        expects.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let mut parts = Request::new(()).into_parts().0;
    parts.method = method;
    parts.uri = uri;
    parts.headers = headers;
    parts.version = Version::HTTP_11;
    Ok(RequestHead {
        parts,
        body,
        last,
        occupied: 0,
        expects_continue,
    })
}

/// Finds the body's length. A request with two lengths is refused, because another parser could
/// split it into two requests (request smuggling).
fn read_length(headers: &HeaderMap) -> Result<BodyLength, RequestFault> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let encodings = headers.get_all(TRANSFER_ENCODING);
    let length = lengths.next();
    if let Some(encoding) = encodings.iter().next() {
        let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if !chunked || encodings.iter().count() > 1 || length.is_some() {
            return Err(RequestFault::Malformed);
        }
        return Ok(BodyLength::Chunked);
    }
    let Some(length) = length else {
        return Ok(BodyLength::Known(0));
    };
    if lengths.next().is_some() || !length.as_bytes().iter().all(u8::is_ascii_digit) {
        return Err(RequestFault::Malformed);
    }
    let length = length.to_str().ok().and_then(|text| text.parse().ok());
    length.map(BodyLength::Known).ok_or(RequestFault::Malformed)
}

fn names_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(CONNECTION);
    let mut names = values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case(token))
}

/// Collects a body as its bytes arrive.
#[derive(Debug)]
pub struct BodyReader {
    length: BodyLength,
    max_bytes: u64,
    body: PieceCollector,
    /// Bytes of the current chunk that are still missing, including its line end.
    chunk_left: usize,
    last_chunk: bool,
    /// Bytes of trailers that were skipped.
    trailer_bytes: usize,
}

impl BodyReader {
    /// Creates a reader of a body with the given framing.
    ///
    /// # Errors
    ///
    /// Returns a fault if the announced length is above `max_bytes`.
    pub fn new(length: BodyLength, max_bytes: u64) -> Result<Self, RequestFault> {
        if matches!(length, BodyLength::Known(bytes) if bytes > max_bytes) {
            return Err(RequestFault::BodyTooLarge);
        }
        Ok(Self {
            length,
            max_bytes,
            body: PieceCollector::default(),
            chunk_left: 0,
            last_chunk: false,
            trailer_bytes: 0,
        })
    }

    /// Removes the body's bytes from the front of `buffer`. Returns the body when it is complete.
    ///
    /// # Errors
    ///
    /// Returns why the body cannot be parsed.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<BodyPieces>, RequestFault> {
        match self.length {
            BodyLength::Known(length) => {
                let length = usize::try_from(length).map_err(|_| RequestFault::BodyTooLarge)?;
                let wanted = (length - self.body.len()).min(buffer.len());
                let expected = Some(length - self.body.len());
                self.body.take(buffer, wanted, expected);
                Ok((self.body.len() == length).then(|| self.finish()))
            }
            BodyLength::Chunked => self.take_chunks(buffer),
        }
    }

    /// Returns the memory that the body occupies so far.
    #[must_use]
    pub fn occupied(&self) -> usize {
        self.body.occupied()
    }

    fn finish(&mut self) -> BodyPieces {
        std::mem::take(&mut self.body).finish()
    }

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<Option<BodyPieces>, RequestFault> {
        loop {
            if self.last_chunk {
                return self.take_trailers(buffer);
            }
            if self.chunk_left > 0 {
                if !self.take_chunk_bytes(buffer)? {
                    return Ok(None);
                }
                continue;
            }
            let parsed = httparse::parse_chunk_size(buffer);
            match parsed.map_err(|_| RequestFault::Malformed)? {
                httparse::Status::Partial if buffer.len() > MAX_CHUNK_LINE => {
                    return Err(RequestFault::Malformed);
                }
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete((line, size)) => {
                    buffer.advance(line);
                    self.start_chunk(size)?;
                }
            }
        }
    }

    fn start_chunk(&mut self, size: u64) -> Result<(), RequestFault> {
        let total = (self.body.len() as u64).saturating_add(size);
        if total > self.max_bytes {
            return Err(RequestFault::BodyTooLarge);
        }
        if size == 0 {
            self.last_chunk = true;
            return Ok(());
        }
        let size = usize::try_from(size).map_err(|_| RequestFault::BodyTooLarge)?;
        self.chunk_left = size + 2;
        Ok(())
    }

    /// Removes bytes of the current chunk. Returns whether the chunk is complete.
    fn take_chunk_bytes(&mut self, buffer: &mut BytesMut) -> Result<bool, RequestFault> {
        let data = self.chunk_left.saturating_sub(2).min(buffer.len());
        self.body.take(buffer, data, None);
        self.chunk_left -= data;
        if self.chunk_left > 2 || buffer.len() < 2 {
            return Ok(false);
        }
        if !buffer.starts_with(b"\r\n") {
            return Err(RequestFault::Malformed);
        }
        buffer.advance(2);
        self.chunk_left = 0;
        Ok(true)
    }

    /// Skips the trailers, which concern one connection, up to the empty line after them.
    fn take_trailers(&mut self, buffer: &mut BytesMut) -> Result<Option<BodyPieces>, RequestFault> {
        loop {
            let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                if buffer.len() > MAX_CHUNK_LINE {
                    return Err(RequestFault::Malformed);
                }
                return Ok(None);
            };
            buffer.advance(end + 2);
            self.trailer_bytes += end + 2;
            if self.trailer_bytes > MAX_TRAILER_BYTES {
                return Err(RequestFault::HeadTooLarge);
            }
            if end == 0 {
                return Ok(Some(self.finish()));
            }
        }
    }
}
