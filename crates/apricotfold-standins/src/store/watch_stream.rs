//! Response body of a watch: one JSON object per line.

use std::io;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream::{self, Stream};

use super::key_range::KeyRange;
use super::message::{
    ResponseHeader, Revision, StreamResult, WatchCreateRequest, WatchEvent, WatchResponse,
};
use super::service::{WatchGuard, WatchStep, encode};
use crate::timer::wait_until;

enum Phase {
    Created,
    Streaming,
    Ended,
}

struct WatchState {
    guard: WatchGuard,
    range: KeyRange,
    opened: Revision,
    next: Revision,
    phase: Phase,
}

/// Streams the lines of a watch. An error closes the connection before the end of the body, as the
/// failure of a store does.
pub fn watch_lines(
    guard: WatchGuard,
    request: &WatchCreateRequest,
) -> impl Stream<Item = io::Result<Bytes>> + Send + use<> {
    let opened = guard.revision();
    let next = match request.start_revision {
        0 => opened + 1,
        start => start,
    };
    let state = WatchState {
        guard,
        range: KeyRange::new(&request.key, &request.range_end),
        opened,
        next,
        phase: Phase::Created,
    };
    stream::unfold(state, |mut state| async move {
        let line = state.next_line().await?;
        Some((line, state))
    })
}

impl WatchState {
    async fn next_line(&mut self) -> Option<io::Result<Bytes>> {
        match self.phase {
            Phase::Ended => None,
            Phase::Created => {
                self.phase = Phase::Streaming;
                let header = self.guard.header_at(self.opened);
                Some(line(header, |response| response.created = true))
            }
            Phase::Streaming => Some(self.next_event().await),
        }
    }

    async fn next_event(&mut self) -> io::Result<Bytes> {
        loop {
            match self.guard.step(&self.range, self.next) {
                WatchStep::Wait(next, until) => {
                    self.next = next;
                    self.guard.wait(until).await;
                }
                WatchStep::Report(events, next) => {
                    self.next = next;
                    wait_until(Instant::now() + self.guard.delay(&self.range)).await;
                    return self.report(events);
                }
                WatchStep::Compacted(oldest) => {
                    self.phase = Phase::Ended;
                    let header = self.guard.header_at(self.guard.revision());
                    return line(header, |response| {
                        response.canceled = true;
                        response.compact_revision = oldest;
                    });
                }
                WatchStep::Lost => {
                    self.phase = Phase::Ended;
                    return Err(io::Error::other("watch lost"));
                }
            }
        }
    }

    /// Sets the header to the last revision reported, even if the store is already at a newer one, so
    /// that a client can resume from the header or from the last event.
    fn report(&self, events: Vec<WatchEvent>) -> io::Result<Bytes> {
        let header = self.guard.header_at(self.next - 1);
        line(header, |response| response.events = events)
    }
}

fn line(header: ResponseHeader, fill: impl FnOnce(&mut WatchResponse)) -> io::Result<Bytes> {
    let mut result = WatchResponse {
        header,
        created: false,
        canceled: false,
        compact_revision: 0,
        events: Vec::new(),
    };
    fill(&mut result);
    let mut text = encode(&StreamResult { result }).map_err(io::Error::other)?;
    text.push(b'\n');
    Ok(Bytes::from(text))
}
