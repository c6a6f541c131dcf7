//! Bodies as lists of pieces.
//!
//! A body in one growing buffer is copied each time the buffer doubles, and then occupies up to
//! three times its size. See `docs/design/caller-limits.md`.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use smallvec::SmallVec;

use super::held_memory::RunningMemory;

/// Sizes of the first and of the largest piece; each piece is twice as large as the one before. A
/// typical body fits into the first one.
const FIRST_PIECE_BYTES: usize = 4 * 1024;
const LARGEST_PIECE_BYTES: usize = 64 * 1024;

/// Collects a body. Bytes are copied into pieces of the collector's own, so that small reads do not
/// each occupy a read buffer.
#[derive(Debug, Default)]
pub struct PieceCollector {
    whole: SmallVec<[Bytes; 1]>,
    last: BytesMut,
    /// Bytes of the body.
    length: usize,
    /// Memory of the pieces in `whole`.
    occupied: usize,
}

impl PieceCollector {
    /// Moves `size` bytes from the front of `source`. `expected` is the number of bytes of the body
    /// that are still to come, those of `source` included, if it is known.
    pub fn take(&mut self, source: &mut BytesMut, size: usize, expected: Option<usize>) {
        self.push(&source[..size], expected);
        source.advance(size);
    }

    /// Copies bytes to the end of the body.
    pub fn push(&mut self, mut bytes: &[u8], expected: Option<usize>) {
        let mut expected = expected.unwrap_or(usize::MAX);
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.begin_piece(expected);
            }
            let room = self.last.capacity() - self.last.len();
            let (now, rest) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(now);
            self.length += now.len();
            expected = expected.saturating_sub(now.len());
            bytes = rest;
        }
    }

    fn begin_piece(&mut self, expected: usize) {
        let full = std::mem::take(&mut self.last);
        let next = (full.capacity() * 2).clamp(FIRST_PIECE_BYTES, LARGEST_PIECE_BYTES);
        self.last = BytesMut::with_capacity(next.min(expected).max(1));
        if !full.is_empty() {
            self.occupied += full.len();
            self.whole.push(full.freeze());
        }
    }

    /// Returns the number of bytes of the body so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no byte has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory that the pieces occupy.
    #[must_use]
    pub fn occupied(&self) -> usize {
        self.occupied + self.last.capacity()
    }

    /// Returns the body.
    #[must_use]
    pub fn finish(mut self) -> BodyPieces {
        let occupied = self.occupied();
        if !self.last.is_empty() {
            self.whole.push(self.last.freeze());
        }
        BodyPieces {
            length: self.length,
            occupied,
            pieces: self.whole.into_vec().into(),
            memory: None,
        }
    }
}

/// A complete body. Clones share its bytes.
#[derive(Clone, Debug, Default)]
pub struct BodyPieces {
    pieces: Arc<[Bytes]>,
    length: usize,
    /// Memory of the pieces, whose last one may be larger than its bytes.
    occupied: usize,
    /// Counts the memory until the last clone is dropped.
    memory: Option<Arc<RunningMemory>>,
}

impl BodyPieces {
    /// Counts the body's memory until its last clone is dropped.
    #[must_use]
    pub fn counted(mut self, memory: RunningMemory) -> Self {
        self.memory = Some(Arc::new(memory));
        self
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns the memory that the pieces occupy.
    #[must_use]
    pub fn occupied(&self) -> usize {
        self.occupied
    }

    /// Returns whether the body is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Iterates over the pieces.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.pieces.iter()
    }

    /// Returns the body in one piece, which copies it if it has several. Only for messages.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &*self.pieces {
            [] => Bytes::new(),
            [whole] => whole.clone(),
            several => several.concat().into(),
        }
    }

    /// Returns the body in the form in which it is sent.
    #[must_use]
    pub fn to_sent(&self) -> SentBody {
        SentBody {
            left: self.length as u64,
            pieces: self.pieces.iter().cloned().collect(),
            _memory: self.memory.clone(),
        }
    }
}

impl From<Bytes> for BodyPieces {
    fn from(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            occupied: bytes.len(),
            pieces: if bytes.is_empty() {
                Arc::default()
            } else {
                [bytes].into()
            },
            memory: None,
        }
    }
}

/// Body of a request that the node sends.
#[derive(Debug)]
pub struct SentBody {
    pieces: VecDeque<Bytes>,
    left: u64,
    _memory: Option<Arc<RunningMemory>>,
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pop_front();
        self.left -= piece.as_ref().map_or(0, Bytes::len) as u64;
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
