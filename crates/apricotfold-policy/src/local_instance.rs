//! The target beside a node, as its announcements describe it. See `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

use apricotfold_model::{InstanceAnnouncement, InstanceId, InstanceState, StartTimeMillis};

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// The target is new, or its service, slots or state changed.
    Changed,
    /// Nothing that other nodes need to know.
    Repeated,
    /// It is older than what is known, or of a target that has left.
    Outdated,
}

/// Orders the announcements of the target beside this node.
///
/// Announcements can arrive late and out of order, from an earlier life of the target or from
/// another target that had the address before. A target that drains or has left never becomes ready
/// again within the same life, because callers were told that it receives no more work.
#[derive(Clone, Debug, Default)]
pub struct LocalInstance {
    current: Option<InstanceAnnouncement>,
    heard: Option<Instant>,
    left: Option<(InstanceId, StartTimeMillis)>,
    doubted: Option<InstanceAnnouncement>,
}

impl LocalInstance {
    /// Tells whether an announcement must be confirmed before it is taken over: it is the first of
    /// a life that this process hears of, and may be a delayed one of a target that has left. A
    /// later announcement of the same life shows that the target is still there.
    #[must_use]
    pub fn needs_confirmation(&self, news: &InstanceAnnouncement) -> bool {
        let known = self.current.as_ref();
        if known.is_some_and(|known| known.instance == news.instance && known.born == news.born) {
            return false;
        }
        let doubted = self.doubted.as_ref();
        !doubted.is_some_and(|doubted| {
            doubted.instance == news.instance
                && doubted.born == news.born
                && doubted.number < news.number
        })
    }

    /// Keeps an announcement that was not confirmed.
    pub fn keep_unconfirmed(&mut self, news: InstanceAnnouncement) {
        self.doubted = Some(news);
    }

    /// Takes over an announcement.
    pub fn announce(&mut self, news: InstanceAnnouncement, now: Instant) -> AnnouncementEffect {
        if self.is_past(&news.instance, news.born) {
            return AnnouncementEffect::Outdated;
        }
        let Some(known) = &mut self.current else {
            self.heard = Some(now);
            self.current = Some(news);
            return AnnouncementEffect::Changed;
        };
        let same_life = known.instance == news.instance && known.born == news.born;
        if !same_life && news.born <= known.born {
            return AnnouncementEffect::Outdated;
        }
        if same_life && (news.number <= known.number || news.state < known.state) {
            return AnnouncementEffect::Outdated;
        }
        self.heard = Some(now);
        let changed = !same_life
            || known.service != news.service
            || known.slots != news.slots
            || known.state != news.state;
        *known = news;
        if changed {
            AnnouncementEffect::Changed
        } else {
            AnnouncementEffect::Repeated
        }
    }

    /// Notes that a target has left. `born` is `None` when the message did not say it; the known
    /// life counts then. Returns whether that was not known yet.
    pub fn leave(&mut self, instance: &InstanceId, born: Option<StartTimeMillis>) -> bool {
        let known = self
            .current
            .as_ref()
            .filter(|known| known.instance == *instance);
        let born = born.or_else(|| known.map(|known| known.born)).unwrap_or(0);
        if self.is_past(instance, born) {
            return false;
        }
        self.left = Some((instance.clone(), born));
        let ends = known.is_some_and(|known| known.born <= born);
        if ends {
            self.current = None;
        }
        ends
    }

    /// Takes over from the store that a life of the target had begun to drain or had left, which a
    /// restarted node does not know by itself.
    pub fn restore_state(
        &mut self,
        instance: &InstanceId,
        born: StartTimeMillis,
        state: InstanceState,
    ) {
        match state {
            InstanceState::Ready => {}
            InstanceState::Draining => {
                let known = self.current.as_mut();
                if let Some(known) =
                    known.filter(|known| known.instance == *instance && known.born == born)
                {
                    known.state = known.state.max(state);
                }
            }
            InstanceState::Gone => {
                self.leave(instance, Some(born));
            }
        }
    }

    /// Forgets a target that has not been heard of for `silence`. Returns whether it did.
    pub fn expire(&mut self, silence: Duration, now: Instant) -> bool {
        let silent = self
            .heard
            .is_some_and(|heard| now.saturating_duration_since(heard) > silence);
        if !silent || self.current.is_none() {
            return false;
        }
        self.current = None;
        true
    }

    /// The target, if one is known.
    #[must_use]
    pub fn current(&self) -> Option<&InstanceAnnouncement> {
        self.current.as_ref()
    }

    /// Tells whether a life is the one that left, or an earlier one.
    fn is_past(&self, instance: &InstanceId, born: StartTimeMillis) -> bool {
        self.left.as_ref().is_some_and(|(left, left_born)| {
            born < *left_born || (born == *left_born && left == instance)
        })
    }
}
