//! Response bodies: complete ones in memory, and those that are streamed as they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use apricotfold_policy::BULK_MIN_BYTES;
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Sleep;

use crate::admission::SlotGuard;
use crate::callers::connection_slots::BusySlot;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::crash_tracker::SentRun;
use crate::lifecycle::InFlightGuard;
use crate::link_meter::{LinkMeter, PacedBytes};

/// Approximate size of a response head.
const HEAD_BYTES: usize = 400;

/// Reason why a body ended early.
#[derive(Debug)]
pub struct BodyError(pub String);

impl std::fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for BodyError {}

/// Connection and slot that a streamed response holds until its last byte.
pub struct ConnectionLease {
    /// Pool that the connection returns to.
    pool: ConnectionPool,
    connection: Option<PooledConnection>,
    /// Slot of the local target, if the response comes from it.
    slot: Option<SlotGuard>,
    /// The request at the local target, and whether a complete answer shows that the target ran it.
    run: Option<(SentRun, bool)>,
}

impl ConnectionLease {
    /// Holds a connection until it is returned to `pool`.
    pub fn new(pool: &ConnectionPool, connection: PooledConnection) -> Self {
        Self {
            pool: pool.clone(),
            connection: Some(connection),
            slot: None,
            run: None,
        }
    }

    /// Also records the end of the answer. `ran` is whether a complete answer shows that the target
    /// ran the request.
    pub fn with_run(mut self, run: SentRun, ran: bool) -> Self {
        self.run = Some((run, ran));
        self
    }

    /// Also holds a slot of the local target.
    pub fn with_slot(mut self, slot: SlotGuard) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Returns the connection and the slot after the last byte. If the lease is dropped instead,
    /// the connection is closed, which cancels the work at the other end.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_idle(connection);
        }
        if let Some(slot) = self.slot.take() {
            slot.release();
        }
        if let Some((run, ran)) = self.run.take() {
            run.answered(ran);
        }
    }
}

/// Response body whose request counts as in progress until its end.
pub struct TrackedBody {
    body: ResponseBody,
    _in_flight: (InFlightGuard, BusySlot),
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

/// Body of a response.
pub enum ResponseBody {
    /// Complete body in memory; `None` once it is sent or if there is none.
    Whole(Option<Bytes>),
    /// Complete body in memory, sent no faster than the link's rate.
    Paced(PacedBytes),
    /// Streamed as it arrives.
    Streaming {
        /// Leading bytes that were buffered before streaming began.
        buffered: Option<Bytes>,
        /// The rest of the body.
        incoming: Incoming,
        /// Connection and slot held until the end.
        lease: Box<ConnectionLease>,
        /// Meter of this instance's link, if the body uses it.
        meter: Option<LinkMeter>,
        /// Time at which the body is cut, if it has one.
        end: Option<Pin<Box<Sleep>>>,
    },
}

impl ResponseBody {
    /// Creates a complete body in memory.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }

    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Whole(None)
    }

    /// Counts the body's request as in progress until the end of the body.
    pub fn tracked(self, in_flight: (InFlightGuard, BusySlot)) -> TrackedBody {
        TrackedBody {
            body: self,
            _in_flight: in_flight,
        }
    }

    /// Streams a body. If it has already ended, the lease is returned at once.
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
            end: None,
        }
    }

    /// Buffers the body until it is complete or longer than `most` bytes. A longer body is then
    /// streamed from its beginning.
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

    /// Cuts a body that is still arriving at this time, with an error. A target may send bytes without
    /// end; a body that is already complete is not affected.
    pub fn cut_at(mut self, time: Instant) -> Self {
        if let Self::Streaming { end, .. } = &mut self {
            *end = Some(Box::pin(tokio::time::sleep_until(time.into())));
        }
        self
    }

    /// Counts the body's use of this instance's link. A complete bulk response is sent no faster
    /// than the link's rate.
    pub fn metered(self, meter: &LinkMeter) -> Self {
        match self {
            Self::Whole(Some(bytes)) if bytes.len() >= BULK_MIN_BYTES => {
                Self::Paced(PacedBytes::new(bytes, meter))
            }
            Self::Streaming {
                buffered,
                incoming,
                lease,
                end,
                ..
            } => Self::Streaming {
                buffered,
                incoming,
                lease,
                meter: Some(meter.clone()),
                end,
            },
            other => {
                let size = other.size_hint().lower();
                meter.occupy(usize::try_from(size).unwrap_or(usize::MAX) + HEAD_BYTES);
                other
            }
        }
    }
}

impl Body for ResponseBody {
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
                end,
            } => {
                if let Some(end) = end
                    && end.as_mut().poll(context).is_ready()
                {
                    let cause = "the deadline passed while the body was arriving";
                    return Poll::Ready(Some(Err(BodyError(cause.to_owned()))));
                }
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

/// Adds the buffered bytes to the size hint of the rest.
fn add_buffered(rest: SizeHint, buffered: Option<&Bytes>) -> SizeHint {
    let buffered = buffered.map_or(0, Bytes::len) as u64;
    let mut hint = SizeHint::new();
    if let Some(upper) = rest.upper() {
        hint.set_upper(upper + buffered);
    }
    hint.set_lower(rest.lower() + buffered);
    hint
}
