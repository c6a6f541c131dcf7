//! Paces bulk responses to the rate of the instance's link. The decisions are made by
//! [`LinkPacer`].

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use apricotfold_policy::{BULK_MIN_BYTES, LinkPacer};
use bytes::Bytes;
use tokio::time::Sleep;

/// Number of bytes that are sent at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Largest total of bulk responses that one node buffers. Beyond it, responses are streamed as they
/// arrive.
const MAX_BUFFERED_BYTES: usize = 12 * 1024 * 1024;

/// Shares the pacer of the instance's link among tasks.
#[derive(Clone)]
pub struct LinkMeter(Arc<Mutex<MeterState>>);

struct MeterState {
    pacer: LinkPacer,
    buffered: usize,
}

/// Reserved link capacity for an expected bulk response, released on drop.
pub struct BulkReservation {
    meter: LinkMeter,
    bytes: usize,
}

impl LinkMeter {
    /// Creates the meter of a link with a rate in bytes per second; `None` means unlimited.
    pub fn new(rate: Option<f64>) -> Self {
        Self(Arc::new(Mutex::new(MeterState {
            pacer: LinkPacer::new(rate),
            buffered: 0,
        })))
    }

    /// Creates the meter of bulk request bodies that arrive over a link.
    pub fn inbound(rate: Option<f64>) -> Self {
        Self(Arc::new(Mutex::new(MeterState {
            pacer: LinkPacer::inbound(rate),
            buffered: 0,
        })))
    }

    /// Returns a copy of the pacer's current state.
    pub fn pacer(&self) -> LinkPacer {
        self.lock().pacer
    }

    /// Reserves link capacity for a response of about this size. Small responses reserve nothing.
    pub fn reserve(&self, bytes: usize) -> BulkReservation {
        let bytes = if bytes < BULK_MIN_BYTES { 0 } else { bytes };
        self.lock().pacer.reserve(bytes);
        BulkReservation {
            meter: self.clone(),
            bytes,
        }
    }

    /// Returns whether a response of this size may be buffered until it is sent.
    pub fn may_buffer(&self, bytes: usize) -> bool {
        self.lock().buffered + bytes <= MAX_BUFFERED_BYTES
    }

    /// Counts a response, or part of one, that is sent without waiting for the link.
    pub fn occupy(&self, bytes: usize) {
        self.lock().pacer.occupy(bytes, Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.0.lock().expect("no panic while locked")
    }
}

impl BulkReservation {
    /// Waits until the link is free for the reserved bytes.
    pub async fn wait_granted(mut self) {
        loop {
            let now = Instant::now();
            let granted = self.meter.lock().pacer.grant(self.bytes, now);
            let Err(free) = granted else {
                // The grant has released the reservation.
                self.bytes = 0;
                return;
            };
            // Timers have a resolution of one millisecond.
            let until = free.max(now + Duration::from_millis(1));
            tokio::time::sleep_until(until.into()).await;
        }
    }
}

impl Drop for BulkReservation {
    fn drop(&mut self) {
        self.meter.lock().pacer.release(self.bytes);
    }
}

/// A complete bulk response that is sent no faster than the link's rate.
pub struct PacedBytes {
    rest: Bytes,
    meter: LinkMeter,
    wait: Option<Pin<Box<Sleep>>>,
}

impl PacedBytes {
    /// Buffers a complete response and reserves link capacity for it.
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

    /// Returns the number of bytes still to be sent.
    pub fn len(&self) -> usize {
        self.rest.len()
    }

    /// Returns the next chunk when the link is free for it.
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
                    // Timers have a resolution of one millisecond.
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
