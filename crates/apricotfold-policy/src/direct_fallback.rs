//! Decision of a node to follow the store itself instead of relays. See `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

/// Consecutive unusable answers of relays after which a node follows the store itself.
const MAX_FAILURES: u32 = 2;

/// Minimum time for which a node then follows the store itself.
const MIN_DIRECT_TIME: Duration = Duration::from_secs(8);

/// Time for which a node that has just started follows the store itself. By then it has learned the
/// relays.
const INITIAL_DIRECT_TIME: Duration = Duration::from_secs(2);

/// Time without a sign that the relays are in contact with the store after which a node follows the
/// store itself. Together with the time to read the table from the store, it is well below the 2.5 s
/// within which operators expect a new table to be active.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);

/// Part of [`MAX_SILENCE`] after which the node polls relays of other data centres, and calls the store
/// to learn whether it answers.
const DOUBT_TIME: Duration = Duration::from_secs(1);

/// Interval of checks while a node doubts its relays.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time after the store's return within which relays may not have noticed it yet.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Time since another node last polled a node that follows the store, within which it continues to.
/// Nodes learn of new relays at different times and poll the former ones until then.
const SERVICE_TIME: Duration = Duration::from_secs(2);

/// Time without an answer after which the store counts as unreachable. Leases are renewed every
/// 1.8 s, so one renewal has failed by then.
pub const STORE_SILENCE: Duration = Duration::from_millis(2_600);

/// How the store has answered a node's own calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreContact {
    /// Time of the last answer; `None` if there has been none.
    pub answered: Option<Instant>,
    /// Time since which calls have been answered without a failure or a long pause; `None` if the
    /// store is unavailable.
    pub steady_since: Option<Instant>,
    /// Time that the store took for its last answer to a short call.
    pub answer_time: Duration,
}

/// Decides whether a node that could follow relays follows the store itself instead.
///
/// A node does so if its relays have lost the store, or are silent, although the store answers this
/// node. What counts is when the store last answered a relay, not when the relay answered: changes
/// made since then may be missing. Relays of other data centres serve as well as the own ones. While
/// the store answers no node, following it would only add calls, and on its return every node would
/// read the whole table at once.
#[derive(Clone, Copy, Debug)]
pub struct DirectFallback {
    failures: u32,
    direct_until: Instant,
    /// Whether the node follows the store because of its relays.
    fell_back: bool,
    /// Time up to which the relays are known to have been in contact with the store.
    confirmed: Instant,
    /// The same for relays of other data centres alone.
    remote_confirmed: Option<Instant>,
}

impl DirectFallback {
    /// Creates the state of a node that has just started and follows the store.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            direct_until: now + INITIAL_DIRECT_TIME,
            fell_back: false,
            confirmed: now + INITIAL_DIRECT_TIME,
            remote_confirmed: None,
        }
    }

    /// Returns whether a node that follows the store continues to do so without polling relays.
    /// `polled` is when another node last polled it.
    #[must_use]
    pub fn stays_direct(&self, polled: Option<Instant>, now: Instant) -> bool {
        now < self.direct_until || polled.is_some_and(|polled| now < polled + SERVICE_TIME)
    }

    /// Processes the result of polling a relay of the own data centre. `confirmed` is when the store last answered the
    /// relay, or `None` if the answer is not usable; `contact` is how the store has answered this node
    /// itself. For `delay`, it is left to other nodes to take the relays' place. Returns whether the node
    /// follows the store from now on, or `None` to leave the role unchanged.
    pub fn after_answer(
        &mut self,
        confirmed: Option<Instant>,
        contact: StoreContact,
        delay: Duration,
        now: Instant,
    ) -> Option<bool> {
        if let Some(confirmed) = confirmed {
            self.failures = 0;
            self.confirmed = self.confirmed.max(confirmed);
            if self.fell_back && now < self.direct_until {
                return None;
            }
            self.fell_back = false;
            return Some(false);
        }
        self.failures += 1;
        let answered = contact.answered;
        let reached = answered.is_some_and(|answered| now < answered + STORE_SILENCE);
        let remote = self.remote_confirmed;
        let through_remote = remote.is_some_and(|confirmed| now < confirmed + DOUBT_TIME);
        let is_left = !delay.is_zero() && self.silence(now) < MAX_SILENCE + delay;
        let is_lost = self.failures >= MAX_FAILURES && !through_remote && !is_left;
        if !is_lost || !reached || !self.is_steady(contact, now) {
            return None;
        }
        self.follow_store(now);
        Some(true)
    }

    /// Records when the store last answered a relay of another data centre. While one is in contact with
    /// the store, the node does not have to follow it.
    pub fn confirm_remote(&mut self, confirmed: Instant) {
        self.confirmed = self.confirmed.max(confirmed);
        self.remote_confirmed = self.remote_confirmed.max(Some(confirmed));
    }

    /// Returns whether the relays' contact with the store is in doubt, so that the node should look for
    /// it elsewhere.
    #[must_use]
    pub fn is_in_doubt(&self, now: Instant) -> bool {
        self.silence(now) >= DOUBT_TIME
    }

    /// Returns for how long the node has lacked a sign of the relays' contact with the store, beyond the time
    /// after which it could follow the store itself.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Duration {
        self.silence(now).saturating_sub(MAX_SILENCE)
    }

    /// Returns the time at which [`after_silence`](Self::after_silence) should be called again.
    #[must_use]
    pub fn next_check(&self, now: Instant) -> Instant {
        (self.confirmed + DOUBT_TIME).max(now + CHECK_INTERVAL)
    }

    /// Decides while polls are in progress. `progress` is the time at which a relay last sent a part
    /// of a long answer, which counts like a confirmation; `contact` is how the store has answered
    /// this node; for `delay`, it is left to other nodes to take the relays' place. Returns whether the node follows the store from now on, or `None` to leave the role
    /// unchanged.
    pub fn after_silence(
        &mut self,
        progress: Option<Instant>,
        contact: StoreContact,
        delay: Duration,
        now: Instant,
    ) -> Option<bool> {
        if let Some(progress) = progress {
            self.confirmed = self.confirmed.max(progress);
        }
        // A slow store answers relays as late as it answers this node.
        let longest = MAX_SILENCE + contact.answer_time * 2 + delay;
        if self.silence(now) < longest || !self.is_ahead(contact, now) {
            return None;
        }
        self.follow_store(now);
        Some(true)
    }

    /// Returns the time since the relays are known to have been in contact with the store.
    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed)
    }

    /// Returns whether the store has answered this node for some time without answering the relays.
    fn is_ahead(&self, contact: StoreContact, now: Instant) -> bool {
        let answered = contact.answered;
        let ahead = answered.is_some_and(|answered| answered >= self.confirmed + DOUBT_TIME);
        ahead && self.is_steady(contact, now)
    }

    /// Returns whether this node has not just got the store back, in which case the relays may still
    /// have to notice that it has returned.
    fn is_steady(&self, contact: StoreContact, now: Instant) -> bool {
        contact
            .steady_since
            .is_some_and(|since| since <= self.confirmed || since + RECOVERY_TIME <= now)
    }

    fn follow_store(&mut self, now: Instant) {
        self.failures = 0;
        self.fell_back = true;
        self.direct_until = now + MIN_DIRECT_TIME;
        // Relays are polled again from then on.
        self.confirmed = self.direct_until;
    }
}
