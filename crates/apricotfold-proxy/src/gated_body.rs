//! Request bodies that are sent only after the other proxy has asked for them with `100 Continue`. See
//! `docs/design/bulk-uploads.md`.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use futures_util::task::AtomicWaker;
use http_body::{Body, Frame, SizeHint};

/// The other proxy has not asked for the body yet.
const WAITING: u8 = 0;
/// The body may be sent.
const OPEN: u8 = 1;
/// The body will not be sent.
const CLOSED: u8 = 2;

/// Whether the other proxy has asked for the body of a request.
#[derive(Debug, Default)]
pub struct BodyGate {
    state: AtomicU8,
    waker: AtomicWaker,
}

impl BodyGate {
    /// Lets the body be sent unless the gate is closed.
    pub fn open(&self) {
        if self.leave_waiting(OPEN) {
            self.waker.wake();
        }
    }

    /// Closes the gate unless it is open. Returns whether it is open; if not, none of the body has been
    /// or will be sent.
    pub fn close(&self) -> bool {
        !self.leave_waiting(CLOSED) && self.state.load(Ordering::Acquire) == OPEN
    }

    fn leave_waiting(&self, state: u8) -> bool {
        let (set, failed) = (Ordering::AcqRel, Ordering::Acquire);
        let left = self.state.compare_exchange(WAITING, state, set, failed);
        left.is_ok()
    }

    fn is_open(&self) -> bool {
        self.state.load(Ordering::Acquire) == OPEN
    }
}

/// A body that waits for its gate; one without a gate is sent at once.
#[derive(Debug)]
pub struct GatedBody<B> {
    body: B,
    gate: Option<Arc<BodyGate>>,
}

impl<B> GatedBody<B> {
    /// Creates a body that is sent at once.
    pub fn ungated(body: B) -> Self {
        Self { body, gate: None }
    }

    /// Has the body wait for a gate.
    pub fn set_gate(&mut self, gate: Arc<BodyGate>) {
        self.gate = Some(gate);
    }
}

impl<B: Body + Unpin> Body for GatedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if let Some(gate) = &self.gate {
            gate.waker.register(context.waker());
            if !gate.is_open() {
                return Poll::Pending;
            }
        }
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
