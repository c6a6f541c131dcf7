//! Bodies of answers: whole ones in memory, and those that are passed on as they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};

use apricotfold_policy::BULK_MIN_BYTES;
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::admission::SlotGuard;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::lifecycle::InFlightGuard;
use crate::link_meter::{LinkMeter, PacedBytes};

/// Bytes that the head of an answer has about.
const HEAD_BYTES: usize = 400;

/// Why a body ended early.
#[derive(Debug)]
pub struct BodyError(pub String);

impl std::fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for BodyError {}

/// What an answer that is passed on holds until its last byte.
pub struct ConnectionLease {
    /// Pool to which the connection returns.
    pool: ConnectionPool,
    link: Option<PooledConnection>,
    /// Slot of the local target.
    slot: Option<SlotGuard>,
}

impl ConnectionLease {
    /// Holds a connection of a pool.
    pub fn new(pool: &ConnectionPool, link: PooledConnection) -> Self {
        Self {
            pool: pool.clone(),
            link: Some(link),
            slot: None,
        }
    }

    /// Holds a slot of the local target, too.
    pub fn with_slot(mut self, slot: SlotGuard) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Returns connection and slot after the last byte. When the lease is dropped instead, the
    /// connection is closed, which cancels the work at the other end.
    fn finish(&mut self) {
        if let Some(link) = self.link.take() {
            self.pool.put_idle(link);
        }
        if let Some(slot) = self.slot.take() {
            slot.release();
        }
    }
}

/// An answer's body that marks its request as in progress until its end.
pub struct TrackedBody {
    body: AnswerBody,
    _in_flight: InFlightGuard,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body of an answer.
pub enum AnswerBody {
    /// In memory.
    Whole(Option<Bytes>),
    /// In memory, sent at the pace of the link.
    Paced(PacedBytes),
    /// Passed on as it arrives.
    Streaming {
        /// Bytes that were held back before.
        buffered: Option<Bytes>,
        /// The rest of the body.
        incoming: Incoming,
        /// What is held meanwhile.
        lease: Box<ConnectionLease>,
        /// The link that the body takes, if it is this instance's own.
        meter: Option<LinkMeter>,
    },
}

impl AnswerBody {
    /// A body in memory.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }

    /// No body.
    pub fn empty() -> Self {
        Self::Whole(None)
    }

    /// Marks the body's request as in progress until the body's end.
    pub fn tracked(self, in_flight: InFlightGuard) -> TrackedBody {
        TrackedBody {
            body: self,
            _in_flight: in_flight,
        }
    }

    /// Passes a body on; one that has already ended gives back what it holds at once.
    pub fn streaming(incoming: Incoming, mut lease: ConnectionLease) -> Self {
        if incoming.is_end_stream() {
            lease.finish();
            return Self::empty();
        }
        Self::Streaming {
            buffered: None,
            incoming,
            lease: Box::new(lease),
            meter: None,
        }
    }

    /// Holds the body back until it is whole, or until it is longer than `most`; then it is passed
    /// on from its beginning.
    ///
    /// # Errors
    ///
    /// Returns why the body ended early.
    pub async fn buffer(mut self, most: usize) -> Result<Self, BodyError> {
        let mut bytes = BytesMut::new();
        while bytes.len() <= most {
            let Some(frame) = self.frame().await else {
                return Ok(Self::whole(bytes.freeze()));
            };
            if let Ok(data) = frame?.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        if let Self::Streaming { buffered, .. } = &mut self {
            *buffered = Some(bytes.freeze());
        } else {
            self = Self::whole(bytes.freeze());
        }
        Ok(self)
    }

    /// Counts the body's use of this instance's link. A whole bulk answer is sent at the pace of
    /// the link.
    pub fn metered(self, meter: &LinkMeter) -> Self {
        match self {
            Self::Whole(Some(bytes)) if bytes.len() >= BULK_MIN_BYTES => {
                Self::Paced(PacedBytes::new(bytes, meter))
            }
            Self::Streaming {
                buffered,
                incoming,
                lease,
                ..
            } => Self::Streaming {
                buffered,
                incoming,
                lease,
                meter: Some(meter.clone()),
            },
            other => {
                let size = other.size_hint().lower();
                meter.occupy(usize::try_from(size).unwrap_or(usize::MAX) + HEAD_BYTES);
                other
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Paced(paced) => {
                let chunk = std::task::ready!(paced.poll_chunk(context));
                Poll::Ready(chunk.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Streaming {
                buffered,
                incoming,
                lease,
                meter,
            } => {
                if let Some(bytes) = buffered.take() {
                    if let Some(meter) = meter {
                        meter.occupy(bytes.len());
                    }
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                let frame = std::task::ready!(Pin::new(&mut *incoming).poll_frame(context));
                if frame.is_none() || (matches!(frame, Some(Ok(_))) && incoming.is_end_stream()) {
                    lease.finish();
                }
                if let (Some(meter), Some(Ok(data))) = (meter, &frame) {
                    meter.occupy(data.data_ref().map_or(0, Bytes::len));
                }
                Poll::Ready(frame.map(|frame| frame.map_err(|error| BodyError(error.to_string()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Paced(paced) => paced.len() == 0,
            Self::Streaming {
                buffered, incoming, ..
            } => buffered.is_none() && incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Paced(paced) => SizeHint::with_exact(paced.len() as u64),
            Self::Streaming {
                buffered, incoming, ..
            } => add_buffered(incoming.size_hint(), buffered.as_ref()),
        }
    }
}

/// Size of a body of which some bytes were held back.
fn add_buffered(rest: SizeHint, buffered: Option<&Bytes>) -> SizeHint {
    let buffered = buffered.map_or(0, Bytes::len) as u64;
    let mut hint = SizeHint::new();
    if let Some(upper) = rest.upper() {
        hint.set_upper(upper + buffered);
    }
    hint.set_lower(rest.lower() + buffered);
    hint
}
