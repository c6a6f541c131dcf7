//! Paces bulk answers to the rate of the instance's link. The decisions are those of [`LinkPacer`].

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use apricotfold_policy::{BULK_MIN_BYTES, LinkPacer};
use bytes::Bytes;
use tokio::time::Sleep;

/// Bytes that are sent at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Bulk that one node holds at most. Beyond it, answers are passed on as they arrive.
const MAX_BUFFERED_BYTES: usize = 12 * 1024 * 1024;

/// Shares the gauge of the link among tasks.
#[derive(Clone)]
pub struct LinkMeter(Arc<Mutex<MeterState>>);

struct MeterState {
    pacer: LinkPacer,
    buffered: usize,
}

/// Bulk that is expected or held; given back when dropped.
pub struct BulkReservation {
    meter: LinkMeter,
    bytes: usize,
}

impl LinkMeter {
    /// Measures a link with a rate in bytes per second.
    pub fn new(rate: Option<f64>) -> Self {
        Self(Arc::new(Mutex::new(MeterState {
            pacer: LinkPacer::new(rate),
            buffered: 0,
        })))
    }

    /// The gauge as it is now.
    pub fn pacer(&self) -> LinkPacer {
        self.lock().pacer
    }

    /// Notes that an answer of about this size is on its way; nothing for small ones.
    pub fn reserve(&self, bytes: usize) -> BulkReservation {
        let bytes = if bytes < BULK_MIN_BYTES { 0 } else { bytes };
        self.lock().pacer.reserve(bytes);
        BulkReservation {
            meter: self.clone(),
            bytes,
        }
    }

    /// Tells whether an answer of this size may be held until it is sent.
    pub fn may_buffer(&self, bytes: usize) -> bool {
        self.lock().buffered + bytes <= MAX_BUFFERED_BYTES
    }

    /// Notes an answer, or a part of one, that is sent without waiting for the link.
    pub fn occupy(&self, bytes: usize) {
        self.lock().pacer.occupy(bytes, Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.0.lock().expect("no panic while locked")
    }
}

impl Drop for BulkReservation {
    fn drop(&mut self) {
        self.meter.lock().pacer.release(self.bytes);
    }
}

/// A whole bulk answer that is sent at the link's pace.
pub struct PacedBytes {
    rest: Bytes,
    meter: LinkMeter,
    wait: Option<Pin<Box<Sleep>>>,
}

impl PacedBytes {
    /// Takes over a held answer.
    pub fn new(bytes: Bytes, meter: &LinkMeter) -> Self {
        let mut state = meter.lock();
        state.pacer.reserve(bytes.len());
        state.buffered += bytes.len();
        drop(state);
        Self {
            rest: bytes,
            meter: meter.clone(),
            wait: None,
        }
    }

    /// Bytes that are still to be sent.
    pub fn len(&self) -> usize {
        self.rest.len()
    }

    /// Returns the next piece when the link has room for it.
    pub fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let size = self.rest.len().min(CHUNK_BYTES);
        loop {
            if let Some(wait) = &mut self.wait {
                std::task::ready!(wait.as_mut().poll(context));
                self.wait = None;
            }
            let granted = {
                let mut state = self.meter.lock();
                let granted = state.pacer.grant(size, Instant::now());
                if granted.is_ok() {
                    state.buffered -= size;
                }
                granted
            };
            match granted {
                Ok(()) => return Poll::Ready(Some(self.rest.split_to(size))),
                Err(free) => {
                    // A timer ends no earlier than the next whole millisecond.
                    let until = free.max(Instant::now() + Duration::from_millis(1));
                    self.wait = Some(Box::pin(tokio::time::sleep_until(until.into())));
                }
            }
        }
    }
}

impl Drop for PacedBytes {
    fn drop(&mut self) {
        let mut state = self.meter.lock();
        state.pacer.release(self.rest.len());
        state.buffered -= self.rest.len();
    }
}
