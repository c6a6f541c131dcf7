//! Pace in which a node polls those that take the place of its relays. See `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

/// Shortest interval of these polls. Successors need some time to reach the store, and must be found soon
/// after.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time after an answer of a node of the own data centre within which others of it can take over.
const ANSWER_LIFETIME: Duration = Duration::from_secs(1);

/// When the nodes of the own data centre were polled and have answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Succession {
    polled: Option<Instant>,
    answered: Option<Instant>,
}

impl Succession {
    /// Returns whether it is not too early for the next poll.
    pub fn is_due(&self, now: Instant) -> bool {
        !is_recent(self.polled, POLL_INTERVAL, now)
    }

    /// Records a poll.
    pub fn begin_poll(&mut self, now: Instant) {
        self.polled = Some(now);
    }

    /// Records that a node of the own data centre has answered, whether it follows the store or not.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered = Some(now);
    }

    /// Returns whether one has answered lately.
    pub fn has_answered(&self, now: Instant) -> bool {
        is_recent(self.answered, ANSWER_LIFETIME, now)
    }
}

fn is_recent(time: Option<Instant>, lifetime: Duration, now: Instant) -> bool {
    time.is_some_and(|time| now.saturating_duration_since(time) < lifetime)
}
