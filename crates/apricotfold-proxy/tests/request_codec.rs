//! Parsing of requests that arrive in arbitrary pieces or are damaged.

use apricotfold_proxy::request_codec::{BodyLength, BodyReader, RequestFault, take_head};
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;

const MAX_HEAD: usize = 16 * 1024;
const MAX_BODY: u64 = 1024;

/// Method, path and body of a parsed request.
type ReadRequest = (String, String, Bytes);

/// Parses requests from pieces, as a connection does.
fn read_all<'a>(
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Vec<ReadRequest>, RequestFault> {
    let mut buffer = BytesMut::new();
    let mut requests = Vec::new();
    let mut open: Option<(String, String, BodyReader)> = None;
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            if let Some((method, path, mut body)) = open.take() {
                let Some(whole) = body.take(&mut buffer)? else {
                    open = Some((method, path, body));
                    break;
                };
                requests.push((method, path, whole.to_bytes()));
            }
            let Some(head) = take_head(&mut buffer, MAX_HEAD)? else {
                break;
            };
            let body = BodyReader::new(head.body, MAX_BODY)?;
            let method = head.parts.method.to_string();
            open = Some((method, head.parts.uri.to_string(), body));
        }
    }
    Ok(requests)
}

const PIPELINE: &[u8] = b"GET /a/1?x=2 HTTP/1.1\r\nHost: a.example\r\n\r\n\
    POST /b/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nhello\
    \r\nPOST /c/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n\
    3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n\
    GET /d/ HTTP/1.1\r\nHost: a.example\r\n\r\n";

fn expected() -> Vec<ReadRequest> {
    let request = |method: &str, path: &str, body: &'static [u8]| {
        (method.to_owned(), path.to_owned(), Bytes::from_static(body))
    };
    vec![
        request("GET", "/a/1?x=2", b""),
        request("POST", "/b/", b"hello"),
        request("POST", "/c/", b"abc0123456789"),
        request("GET", "/d/", b""),
    ]
}

/// Guards against requests that are parsed differently if a piece ends inside a head, a chunk or a
/// line end.
#[test]
fn any_split() {
    for split in 0..=PIPELINE.len() {
        let (first, second) = PIPELINE.split_at(split);
        assert_eq!(read_all([first, second]), Ok(expected()), "at {split}");
    }
    assert_eq!(read_all(PIPELINE.chunks(1)), Ok(expected()));
}

/// Guards against request smuggling: another parser could read an ambiguous length differently and
/// find another request in the body.
#[test]
fn ambiguous_length() {
    let heads = [
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: +5",
        "Content-Length: 5, 5",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: xchunked",
        "Host: b.example",
        "Content-Length : 5",
    ];
    for head in heads {
        let text = format!("POST / HTTP/1.1\r\nHost: a.example\r\n{head}\r\n\r\nhello");
        let read = read_all([text.as_bytes()]);
        assert_eq!(read, Err(RequestFault::Malformed), "{head}");
    }
}

/// Guards against heads and bodies that exhaust memory.
#[test]
fn limits() {
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(MAX_HEAD));
    assert_eq!(read_all([long.as_bytes()]), Err(RequestFault::HeadTooLarge));
    let many = "a: b\r\n".repeat(200);
    let many = format!("GET / HTTP/1.1\r\n{many}\r\n");
    assert_eq!(read_all([many.as_bytes()]), Err(RequestFault::HeadTooLarge));
    let announced = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1025\r\n\r\n";
    assert_eq!(
        read_all([announced.as_bytes()]),
        Err(RequestFault::BodyTooLarge)
    );
    let chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n";
    assert_eq!(
        read_all([chunked.as_bytes()]),
        Err(RequestFault::BodyTooLarge)
    );
}

/// Guards against keeping a connection that the caller closes after the response.
#[test]
fn last_request() {
    let last = |text: &str| {
        let mut buffer = BytesMut::from(text);
        let head = take_head(&mut buffer, MAX_HEAD).expect("valid");
        head.expect("whole").last
    };
    assert!(!last("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    assert!(last("GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n"));
    assert!(last("GET / HTTP/1.0\r\nHost: a\r\n\r\n"));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against damaged bytes that make the parser panic or yield more requests than the
    /// input can hold.
    #[test]
    fn damaged_bytes(at in 0..PIPELINE.len(), byte in any::<u8>(), length in 0..PIPELINE.len()) {
        let mut bytes = PIPELINE.to_vec();
        bytes[at] = byte;
        bytes.truncate(length.max(at + 1));
        if let Ok(requests) = read_all([bytes.as_slice()]) {
            prop_assert!(requests.len() <= expected().len() + 1);
        }
    }

    /// Guards against reading past the end of a body with a known length.
    #[test]
    fn known_length(body in prop::collection::vec(any::<u8>(), 0..64), extra in prop::collection::vec(any::<u8>(), 0..16)) {
        let mut reader = BodyReader::new(BodyLength::Known(body.len() as u64), MAX_BODY).expect("small");
        let mut buffer = BytesMut::from(body.as_slice());
        buffer.extend_from_slice(&extra);
        let whole = reader.take(&mut buffer).expect("valid").expect("whole");
        let whole = whole.to_bytes();
        prop_assert_eq!(whole.as_ref(), body.as_slice());
        prop_assert_eq!(buffer.as_ref(), extra.as_slice());
    }

    /// Guards against a chunked body that depends on how it arrives, and against pieces that occupy
    /// much more memory than their bytes.
    #[test]
    fn chunks_in_pieces(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..400), 0..40),
        extension in "(;[a-z]{1,8}(=[a-z0-9]{1,16})?)?",
        trailers in prop::collection::vec("[a-z]{1,8}: [a-z0-9]{0,16}", 0..8),
        piece in 1_usize..3_000,
    ) {
        let mut bytes = Vec::new();
        for chunk in &chunks {
            bytes.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n");
        for trailer in &trailers {
            bytes.extend_from_slice(format!("{trailer}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        let sent = chunks.concat();
        let mut reader = BodyReader::new(BodyLength::Chunked, 1 << 20).expect("small");
        let mut buffer = BytesMut::new();
        let mut whole = None;
        for part in bytes.chunks(piece) {
            prop_assert!(whole.is_none());
            buffer.extend_from_slice(part);
            whole = reader.take(&mut buffer).expect("valid");
            prop_assert!(reader.occupied() <= sent.len() * 3 + 4_096);
        }
        let whole = whole.expect("whole").to_bytes();
        prop_assert_eq!(whole.as_ref(), sent.as_slice());
    }

    /// Guards against heads with many short fields that are parsed beyond the limit on fields, or
    /// not at all within it.
    #[test]
    fn many_fields(count in 0_usize..400, piece in 1_usize..600) {
        let text = format!("GET / HTTP/1.1\r\n{}\r\n", "a:b\r\n".repeat(count));
        let read = read_all(text.as_bytes().chunks(piece));
        if count <= 128 {
            prop_assert_eq!(read.map(|requests| requests.len()), Ok(1));
        } else {
            prop_assert_eq!(read, Err(RequestFault::HeadTooLarge));
        }
    }
}

/// Guards against trailers without end, which are skipped and so take time but no memory.
#[test]
fn endless_trailers() {
    let mut reader = BodyReader::new(BodyLength::Chunked, MAX_BODY).expect("small");
    let mut buffer = BytesMut::from("0\r\n");
    let taken = (0..10_000).find_map(|_| {
        buffer.extend_from_slice(b"a: b\r\n");
        reader.take(&mut buffer).err()
    });
    assert_eq!(taken, Some(RequestFault::HeadTooLarge));
}
