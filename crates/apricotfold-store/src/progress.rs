//! Arrival of long answers of the store. See `docs/platform.md`, section 4.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time without a part of an answer after which its transfer counts as stalled. On a busy link, the parts
/// of several transfers arrive in turns.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Arrival of an answer, shared by the client that receives it and the task that waits for it.
///
/// An answer whose parts keep arriving is not lost, however long it takes. Whoever doubts that an answer
/// will come asks [`stalls`](Self::stalls) before giving it up: it would have to arrive from its first
/// byte again, over the same link.
#[derive(Clone, Debug, Default)]
pub struct TransferProgress {
    last_part: Arc<Mutex<Option<Instant>>>,
}

/// An answer that is arriving; it no longer is when this value is dropped.
#[derive(Debug)]
pub struct ArrivingAnswer {
    progress: TransferProgress,
}

impl TransferProgress {
    fn set(&self, part: Option<Instant>) {
        let mut last = self
            .last_part
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last = part;
    }

    fn last_part(&self) -> Option<Instant> {
        let last = self.last_part.lock();
        *last.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the beginning of an answer.
    #[must_use]
    pub fn begin(&self) -> ArrivingAnswer {
        self.set(Some(Instant::now()));
        ArrivingAnswer {
            progress: self.clone(),
        }
    }

    /// Waits until the answer that is arriving is complete or stalls, and returns whether it may be given
    /// up. Returns true at once if none is arriving.
    pub async fn stalls(&self) -> bool {
        let Some(mut last) = self.last_part() else {
            return true;
        };
        loop {
            tokio::time::sleep_until((last + STALL_TIMEOUT).into()).await;
            match self.last_part() {
                None => return false,
                Some(part) if part == last => return true,
                Some(part) => last = part,
            }
        }
    }
}

impl ArrivingAnswer {
    /// Records that a part of the answer has arrived.
    pub fn record_part(&self) {
        self.progress.set(Some(Instant::now()));
    }
}

impl Drop for ArrivingAnswer {
    fn drop(&mut self) {
        self.progress.set(None);
    }
}
