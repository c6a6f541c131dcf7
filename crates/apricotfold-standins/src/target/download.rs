//! Long responses, streamed at a constant rate and terminated by a checksum.

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use sha2::{Digest as _, Sha256};

use super::runtime::RunningRequest;
use crate::timer::wait_until;

/// Maximum size of a chunk of the response.
const MAX_CHUNK_BYTES: u64 = 64 * 1024;
/// Target time between two chunks.
const CHUNK_INTERVAL: Duration = Duration::from_millis(10);
/// Length in bytes after which the content repeats. It has no common divisor with buffer sizes, so
/// that a lost or repeated buffer changes the content.
const CONTENT_PERIOD: u64 = 251;

/// Times and sizes of the chunks of a download. Performs no I/O and reads no clock.
#[derive(Clone, Copy, Debug)]
pub struct DownloadPlan {
    bytes: u64,
    duration: Duration,
}

impl DownloadPlan {
    /// Spreads `bytes` evenly over `duration`.
    #[must_use]
    pub fn new(bytes: u64, duration: Duration) -> Self {
        Self { bytes, duration }
    }

    /// Time over which the body is sent.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.duration
    }

    /// Size of the chunk that starts at `offset`; 0 at the end.
    #[must_use]
    pub fn chunk_bytes(&self, offset: u64) -> u64 {
        let chunks = self.duration.as_millis() / CHUNK_INTERVAL.as_millis();
        let chunks = u64::try_from(chunks).unwrap_or(u64::MAX).max(1);
        let even = self.bytes.div_ceil(chunks);
        even.clamp(1, MAX_CHUNK_BYTES).min(self.bytes - offset)
    }

    /// Time after the start at which all bytes before `offset` have been sent.
    #[must_use]
    pub fn due(&self, offset: u64) -> Duration {
        if self.bytes == 0 {
            return self.duration;
        }
        #[expect(clippy::cast_precision_loss, reason = "a share of a duration")]
        let share = offset as f64 / self.bytes as f64;
        self.duration.mul_f64(share)
    }
}

struct DownloadState {
    plan: DownloadPlan,
    started: Instant,
    offset: u64,
    checksum: Sha256,
    deadline: Option<Instant>,
    running: RunningRequest,
}

/// Streams the chunks of a download, then the line `sha256:` with the checksum of the bytes before
/// it. The request is complete when the whole stream has been consumed, and cancelled if the stream is
/// dropped earlier. At the deadline, the stream ends with an error, which closes the connection.
pub fn download_chunks(
    plan: DownloadPlan,
    deadline: Option<Instant>,
    running: RunningRequest,
) -> impl Stream<Item = io::Result<Bytes>> + Send + use<> {
    let state = DownloadState {
        plan,
        started: Instant::now(),
        offset: 0,
        checksum: Sha256::new(),
        deadline,
        running,
    };
    stream::unfold(
        Some(state),
        |state| async move { state?.next_chunk().await },
    )
}

impl DownloadState {
    /// Next chunk, and the state unless it was the last chunk.
    async fn next_chunk(mut self) -> Option<(io::Result<Bytes>, Option<Self>)> {
        let chunk_bytes = self.plan.chunk_bytes(self.offset);
        let due = self.started + self.plan.due(self.offset + chunk_bytes);
        if let Some(deadline) = self.deadline.filter(|deadline| *deadline < due) {
            wait_until(deadline).await;
            return Some((Err(io::ErrorKind::TimedOut.into()), None));
        }
        wait_until(due).await;
        if chunk_bytes == 0 {
            return Some((Ok(self.finish()), None));
        }
        let chunk = content(self.offset, chunk_bytes);
        self.offset += chunk_bytes;
        self.checksum.update(&chunk);
        Some((Ok(chunk), Some(self)))
    }

    fn finish(self) -> Bytes {
        self.running.finish();
        let digest = hex::encode(self.checksum.finalize());
        Bytes::from(format!("\nsha256:{digest}\n"))
    }
}

fn content(offset: u64, bytes: u64) -> Bytes {
    (offset..offset + bytes)
        .map(|position| u8::try_from(position % CONTENT_PERIOD).unwrap_or_default())
        .collect()
}
