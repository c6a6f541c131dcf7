//! Decision which requests of a connection are started, and with which response it closes. See
//! `docs/platform.md`, section 7.

use std::time::Instant;

/// Phase of the process as far as it concerns a caller's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum IntakePhase {
    /// Requests are taken.
    #[default]
    Open,
    /// The connection closes as soon as a response leaves no request unanswered.
    Draining,
    /// The connection closes after the requests that have been read.
    Closing,
}

/// State of one connection, which its reading and its writing side share.
///
/// The reading side asks before it starts a request, and the writing side before it writes a response
/// whether that one announces the close. Both decide on the same state, so that no request is started
/// behind the response that closes the connection, and the connection does not close in front of a
/// request that was started.
#[derive(Clone, Debug, Default)]
pub struct RequestIntake {
    /// Requests that were started and whose responses are not written yet.
    unanswered: usize,
    /// Whether no further request is started.
    ending: bool,
    /// When the latest response was written.
    idle_since: Option<Instant>,
}

impl RequestIntake {
    /// Starts a request whose head was read; `last` tells that no other one may follow it. Returns
    /// false if no further request is started.
    pub fn begin(&mut self, phase: IntakePhase, last: bool) -> bool {
        if self.ending {
            return false;
        }
        self.unanswered += 1;
        self.ending = last || phase == IntakePhase::Closing;
        true
    }

    /// Adds an interim response, which belongs to a request that was started.
    pub fn begin_interim(&mut self) {
        self.unanswered += 1;
    }

    /// Has no further request started.
    pub fn end(&mut self) {
        self.ending = true;
    }

    /// Returns whether the response that is about to be written announces the close.
    pub fn announces_close(&mut self, phase: IntakePhase) -> bool {
        let is_last = self.unanswered == 1;
        self.ending |= is_last && phase != IntakePhase::Open;
        self.ending && is_last
    }

    /// Records that a response was written.
    pub fn finish(&mut self, now: Instant) {
        self.unanswered -= 1;
        self.idle_since = Some(now);
    }

    /// Records that a request that was started has no response, because the connection is lost.
    pub fn abandon(&mut self) {
        self.unanswered -= 1;
    }

    /// Number of requests that were started and whose responses are not written yet.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Returns whether no further request is started.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.ending
    }

    /// Returns whether every request that was started has its response.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.unanswered == 0
    }

    /// Returns when the last response was written; `None` before the first one and while a request is
    /// unanswered.
    #[must_use]
    pub fn idle_since(&self) -> Option<Instant> {
        self.idle_since.filter(|_| self.is_idle())
    }
}
