//! The answer of a watch: one JSON object per line.

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
    Following,
    Ended,
}

struct WatchState {
    guard: WatchGuard,
    range: KeyRange,
    next: Revision,
    phase: Phase,
}

/// Lines of a watch. An error ends the connection without the end of the body, as a lost store
/// does.
pub fn watch_lines(
    guard: WatchGuard,
    request: &WatchCreateRequest,
) -> impl Stream<Item = io::Result<Bytes>> + Send + use<> {
    let next = match request.start_revision {
        0 => guard.revision() + 1,
        start => start,
    };
    let state = WatchState {
        guard,
        range: KeyRange::new(&request.key, &request.range_end),
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
                self.phase = Phase::Following;
                Some(self.line(|response| response.created = true))
            }
            Phase::Following => Some(self.next_event().await),
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
                    return self.line(|response| {
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

    fn report(&self, events: Vec<WatchEvent>) -> io::Result<Bytes> {
        self.line(|response| response.events = events)
    }

    fn line(&self, fill: impl FnOnce(&mut WatchResponse)) -> io::Result<Bytes> {
        let mut result = WatchResponse {
            header: ResponseHeader::at(self.guard.revision()),
            created: false,
            canceled: false,
            compact_revision: 0,
            events: Vec::new(),
        };
        fill(&mut result);
        let mut line = encode(&StreamResult { result }).map_err(io::Error::other)?;
        line.push(b'\n');
        Ok(Bytes::from(line))
    }
}
