//! Limit on log lines about what strangers can cause thousands of times a second.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Shortest interval between log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Admits at most one log line of each kind per [`LOG_INTERVAL`].
#[derive(Default)]
pub struct ThrottledLog(Mutex<HashMap<&'static str, LoggedKind>>);

#[derive(Default)]
struct LoggedKind {
    last: Option<Instant>,
    unlogged: u64,
}

impl ThrottledLog {
    /// Returns how many lines of a kind were left out since the last one, or `None` if this one is left
    /// out as well.
    pub fn admit(&self, kind: &'static str) -> Option<u64> {
        let now = Instant::now();
        let mut kinds = self.0.lock().expect("no panic while locked");
        let logged = kinds.entry(kind).or_default();
        let is_recent = |last: Instant| now.duration_since(last) < LOG_INTERVAL;
        if logged.last.is_some_and(is_recent) {
            logged.unlogged += 1;
            return None;
        }
        logged.last = Some(now);
        Some(std::mem::take(&mut logged.unlogged))
    }
}
