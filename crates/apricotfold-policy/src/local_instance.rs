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
    last_announced: Option<Instant>,
    departed: Option<(InstanceId, StartTimeMillis)>,
    unconfirmed: Option<InstanceAnnouncement>,
}

impl LocalInstance {
    /// Tells whether an announcement must be confirmed before it is taken over: it is the first of
    /// a life that this process hears of, and may be a delayed one of a target that has left. A
    /// later announcement of the same life shows that the target is still there.
    #[must_use]
    pub fn needs_confirmation(&self, announcement: &InstanceAnnouncement) -> bool {
        let known = self.current.as_ref();
        if known.is_some_and(|known| {
            known.instance == announcement.instance && known.born == announcement.born
        }) {
            return false;
        }
        let unconfirmed = self.unconfirmed.as_ref();
        !unconfirmed.is_some_and(|unconfirmed| {
            unconfirmed.instance == announcement.instance
                && unconfirmed.born == announcement.born
                && unconfirmed.number < announcement.number
        })
    }

    /// Keeps an announcement that was not confirmed.
    pub fn keep_unconfirmed(&mut self, announcement: InstanceAnnouncement) {
        self.unconfirmed = Some(announcement);
    }

    /// Takes over an announcement.
    pub fn announce(
        &mut self,
        announcement: InstanceAnnouncement,
        now: Instant,
    ) -> AnnouncementEffect {
        if self.is_past(&announcement.instance, announcement.born) {
            return AnnouncementEffect::Outdated;
        }
        let Some(known) = &mut self.current else {
            self.last_announced = Some(now);
            self.current = Some(announcement);
            return AnnouncementEffect::Changed;
        };
        let same_life = known.instance == announcement.instance && known.born == announcement.born;
        if !same_life && announcement.born <= known.born {
            return AnnouncementEffect::Outdated;
        }
        if same_life && (announcement.number <= known.number || announcement.state < known.state) {
            return AnnouncementEffect::Outdated;
        }
        self.last_announced = Some(now);
        let changed = !same_life
            || known.service != announcement.service
            || known.slots != announcement.slots
            || known.state != announcement.state;
        *known = announcement;
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
        self.departed = Some((instance.clone(), born));
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
            .last_announced
            .is_some_and(|last_announced| now.saturating_duration_since(last_announced) > silence);
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
        self.departed
            .as_ref()
            .is_some_and(|(departed, departed_born)| {
                born < *departed_born || (born == *departed_born && departed == instance)
            })
    }
}
