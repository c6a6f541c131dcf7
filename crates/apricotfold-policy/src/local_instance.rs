//! State of the target that announces itself to this node. See `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

use apricotfold_model::{
    InstanceAnnouncement, InstanceId, InstanceState, StartTimeMillis, TargetIncarnation, TargetLife,
};
use smallvec::SmallVec;
use strum::Display;

/// Time for which an incarnation that does not seem to be the latest has to go on announcing itself
/// until it is taken for the latest. Announcements that were delayed together arrive together.
const SUCCESSION_TIME: Duration = Duration::from_millis(500);

/// Number of former incarnations that are remembered. Announcements are delayed by seconds, in which
/// a target starts a few times at most.
const MAX_FORMER: usize = 8;

/// Time since the last announcement of the known target within which it counts as running. It is longer
/// than the usual interval of announcements.
const RUNNING_TIME: Duration = Duration::from_secs(2);

/// Start time of a target that left without stating it, at a process that does not know the target.
const UNKNOWN_BORN: StartTimeMillis = 0;

/// Effect of an announcement on the known state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// The target is new, or its service, slots or state changed.
    Changed,
    /// Nothing changed that other nodes need to know.
    Repeated,
    /// The announcement was ignored: it is older than the known one, or of a target that has left.
    Outdated,
}

/// Incarnation that announces itself although another one seems to be the latest.
#[derive(Clone, Debug)]
struct SuccessorCandidate {
    incarnation: TargetIncarnation,
    first_heard: Instant,
}

/// An incarnation that this node has known.
#[derive(Clone, Debug)]
struct FormerIncarnation {
    incarnation: TargetIncarnation,
    /// Whether it drained or left, so that it never takes work again.
    departed: bool,
}

/// Tracks the target of this node by its announcements.
///
/// Announcements can arrive late and out of order, from an earlier incarnation of the target or
/// from another target that used the same address before. A target that drains or has left never
/// becomes ready again within the same incarnation, because callers were notified that it receives
/// no more work.
///
/// The start times that targets announce are those of clocks that may be set back, so a lower one
/// only calls for evidence: the incarnation that goes on announcing itself while the other one is
/// silent is the latest.
#[derive(Clone, Debug, Default)]
pub struct LocalInstance {
    current: Option<InstanceAnnouncement>,
    life: TargetLife,
    last_announced: Option<Instant>,
    /// Latest former incarnations, oldest first.
    former: SmallVec<[FormerIncarnation; MAX_FORMER]>,
    /// Latest incarnations that have left without having been known, oldest first. Another writer may
    /// name any, which must not replace those in `former`.
    unknown: SmallVec<[TargetIncarnation; MAX_FORMER]>,
    candidate: Option<SuccessorCandidate>,
    unconfirmed: Option<InstanceAnnouncement>,
    /// The incarnation that has left, until another one takes its place.
    departed: Option<TargetIncarnation>,
    /// Time from which on announcements cannot have been sent before this process started.
    timely_from: Option<Instant>,
}

/// What a target says of itself when it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetReply {
    /// It accepts work.
    Accepts,
    /// It accepts none, or another target answers at its address.
    Refuses,
    /// The known target answers at the address, or it states other slots.
    Contradicts,
    /// It gives no answer.
    Silent,
    /// It cannot be asked, because no route table names the path for that.
    Unasked,
}

impl LocalInstance {
    /// Creates the state of a process that starts. An announcement that arrives after `timely_from` was
    /// sent after the start.
    #[must_use]
    pub fn new(timely_from: Instant) -> Self {
        Self {
            timely_from: Some(timely_from),
            ..Self::default()
        }
    }

    /// Returns whether an announcement must be confirmed before it is applied: it is not of the known
    /// incarnation, and may be a delayed one of a target that has left, or it states other slots.
    #[must_use]
    pub fn needs_confirmation(&self, announcement: &InstanceAnnouncement) -> bool {
        let known = self.current.as_ref();
        known.is_none_or(|known| {
            known.incarnation() != announcement.incarnation() || known.slots != announcement.slots
        })
    }

    /// Returns whether an announcement counts as confirmed by what the target said when it was asked.
    ///
    /// A process that has just started may receive any number of announcements of a target that left
    /// before, in any order, so that only the target itself can confirm them, until they can no longer
    /// be as late as that. Otherwise, a further announcement of the same incarnation shows that it is
    /// still running, unless the target contradicts it. While the known target announces itself, a silent
    /// target confirms no other one. A target that cannot be asked confirms no more than a silent one.
    #[must_use]
    pub fn is_confirmed(
        &self,
        announcement: &InstanceAnnouncement,
        reply: TargetReply,
        now: Instant,
    ) -> bool {
        let starting = self.life == 0 && self.timely_from.is_some_and(|timely| now < timely);
        match reply {
            TargetReply::Accepts => true,
            TargetReply::Silent | TargetReply::Unasked if !starting && !self.is_running(now) => {
                true
            }
            TargetReply::Silent | TargetReply::Unasked | TargetReply::Refuses => {
                !starting && self.is_repeated(announcement)
            }
            TargetReply::Contradicts => false,
        }
    }

    /// Returns whether the known target has announced itself lately.
    fn is_running(&self, now: Instant) -> bool {
        let last = self.last_announced.filter(|_| self.current.is_some());
        last.is_some_and(|last| now.saturating_duration_since(last) < RUNNING_TIME)
    }

    /// Returns whether an earlier announcement of the same incarnation could not be confirmed.
    fn is_repeated(&self, announcement: &InstanceAnnouncement) -> bool {
        let unconfirmed = self.unconfirmed.as_ref();
        unconfirmed.is_some_and(|unconfirmed| {
            unconfirmed.incarnation() == announcement.incarnation()
                && unconfirmed.number < announcement.number
        })
    }

    /// Stores an announcement that could not be confirmed, for comparison with later ones.
    pub fn keep_unconfirmed(&mut self, announcement: InstanceAnnouncement) {
        self.unconfirmed = Some(announcement);
    }

    /// Applies an announcement unless it is outdated.
    pub fn announce(
        &mut self,
        announcement: InstanceAnnouncement,
        now: Instant,
    ) -> AnnouncementEffect {
        let incarnation = announcement.incarnation();
        let current = self.current.as_mut();
        let Some(known) = current.filter(|known| known.incarnation() == incarnation) else {
            return self.announce_other(announcement, now);
        };
        if announcement.number <= known.number {
            return AnnouncementEffect::Outdated;
        }
        self.last_announced = Some(now);
        if announcement.state < known.state {
            // The target still runs, but its state does not go back.
            known.number = announcement.number;
            return AnnouncementEffect::Outdated;
        }
        let changed = known.service != announcement.service
            || known.slots != announcement.slots
            || known.version != announcement.version
            || known.state != announcement.state;
        *known = announcement;
        if changed {
            AnnouncementEffect::Changed
        } else {
            AnnouncementEffect::Repeated
        }
    }

    /// Takes on another incarnation if it is the latest.
    fn announce_other(
        &mut self,
        announcement: InstanceAnnouncement,
        now: Instant,
    ) -> AnnouncementEffect {
        let incarnation = announcement.incarnation();
        if self.has_departed(&incarnation) {
            return AnnouncementEffect::Outdated;
        }
        if !self.is_later(&incarnation) && !self.has_succeeded(&incarnation, now) {
            return AnnouncementEffect::Outdated;
        }
        if let Some(former) = self.current.take() {
            self.remember(former.incarnation(), former.state != InstanceState::Ready);
        }
        self.former
            .retain(|former| former.incarnation != incarnation);
        self.candidate = None;
        self.departed = None;
        self.life += 1;
        self.last_announced = Some(now);
        self.current = Some(announcement);
        AnnouncementEffect::Changed
    }

    /// Returns whether an incarnation started after all that are known, by its own word.
    fn is_later(&self, incarnation: &TargetIncarnation) -> bool {
        let current = self.current.iter().map(|known| known.born);
        let departed = self.former.iter().filter(|former| former.departed);
        let mut starts = current.chain(departed.map(|former| former.incarnation.born));
        let is_former = |former: &FormerIncarnation| former.incarnation == *incarnation;
        let same_start = |start| start == incarnation.born && self.current.is_none();
        starts.all(|start| start < incarnation.born || same_start(start))
            && (self.current.is_none() || !self.former.iter().any(is_former))
    }

    /// Returns whether an incarnation has gone on announcing itself since the current one fell silent.
    fn has_succeeded(&mut self, incarnation: &TargetIncarnation, now: Instant) -> bool {
        let last = self.last_announced.filter(|_| self.current.is_some());
        let known = self.candidate.as_ref();
        let known = known.filter(|known| known.incarnation == *incarnation);
        let known = known.filter(|known| last.is_none_or(|last| last < known.first_heard));
        let Some(known) = known else {
            self.candidate = Some(SuccessorCandidate {
                incarnation: incarnation.clone(),
                first_heard: now,
            });
            return false;
        };
        now.saturating_duration_since(known.first_heard) >= SUCCESSION_TIME
    }

    /// Remembers an incarnation that is no longer the current one.
    fn remember(&mut self, incarnation: TargetIncarnation, departed: bool) {
        let mut former = self.former.iter_mut();
        if let Some(known) = former.find(|former| former.incarnation == incarnation) {
            known.departed |= departed;
            return;
        }
        if self.former.len() == MAX_FORMER {
            self.former.remove(0);
        }
        self.former.push(FormerIncarnation {
            incarnation,
            departed,
        });
    }

    /// Records that an incarnation of the target states in an answer that it leaves. Returns whether
    /// that is news.
    pub fn drain(&mut self, instance: &str, born: StartTimeMillis) -> bool {
        let current = self.current.as_mut();
        let Some(known) = current.filter(|known| known.instance == instance && known.born == born)
        else {
            return false;
        };
        let news = known.state < InstanceState::Draining;
        known.state = known.state.max(InstanceState::Draining);
        news
    }

    /// Records that a target has left. If the message did not contain `born`, the known incarnation
    /// is assumed, or the latest former one with its id. Returns whether this removed the current target.
    pub fn leave(&mut self, instance: &InstanceId, born: Option<StartTimeMillis>) -> bool {
        let known = self
            .current
            .as_ref()
            .filter(|known| known.instance == *instance);
        let mut former = self.former.iter().rev();
        let former = former.find(|former| former.incarnation.instance == *instance);
        let former = former.map(|former| former.incarnation.born);
        let born = born.or_else(|| known.map(|known| known.born)).or(former);
        let born = born.unwrap_or(UNKNOWN_BORN);
        let ends = known.is_some_and(|known| known.born <= born);
        let incarnation = TargetIncarnation {
            instance: instance.clone(),
            born,
        };
        let is_former = |former: &FormerIncarnation| former.incarnation == incarnation;
        // A late message of a former incarnation does not concern the current or a later one.
        let late = self.former.iter().any(is_former);
        let ends = ends && !late;
        // The departure of a target that this process has known is not replaced by any other.
        if self.current.is_none() && !late && !self.is_departure_known() {
            self.departed = Some(incarnation.clone());
        }
        if late || ends {
            self.remember(incarnation, true);
        } else {
            self.remember_unknown(incarnation);
        }
        if ends && let Some(current) = self.current.take() {
            self.departed = Some(current.incarnation());
            self.remember(current.incarnation(), true);
        }
        ends
    }

    /// Returns whether the target that has left is one that this process has known.
    fn is_departure_known(&self) -> bool {
        let departed = self.departed.as_ref();
        departed.is_some_and(|departed| {
            let mut former = self.former.iter();
            former.any(|former| former.incarnation == *departed)
        })
    }

    /// Remembers an incarnation that has left without having been known.
    fn remember_unknown(&mut self, incarnation: TargetIncarnation) {
        if self.unknown.contains(&incarnation) {
            return;
        }
        if self.unknown.len() == MAX_FORMER {
            self.unknown.remove(0);
        }
        self.unknown.push(incarnation);
    }

    /// Applies the state of an incarnation from the store: a restarted node does not know by itself
    /// that its target had begun to drain or had left.
    pub fn restore_state(
        &mut self,
        instance: &InstanceId,
        born: StartTimeMillis,
        state: InstanceState,
    ) {
        let unknown = TargetIncarnation {
            instance: instance.clone(),
            born: UNKNOWN_BORN,
        };
        if self.departed.as_ref() == Some(&unknown) {
            // The message that it leaves came before this process knew which incarnation there was.
            let incarnation = TargetIncarnation { born, ..unknown };
            self.remember(incarnation.clone(), true);
            self.departed = Some(incarnation);
            return;
        }
        match state {
            InstanceState::Ready => {}
            InstanceState::Draining => {
                let known = self.current.as_mut();
                let same = |known: &&mut InstanceAnnouncement| {
                    known.instance == *instance && known.born == born
                };
                if let Some(known) = known.filter(same) {
                    known.state = known.state.max(state);
                }
            }
            InstanceState::Gone => self.restore_departure(TargetIncarnation {
                instance: instance.clone(),
                born,
            }),
        }
    }

    /// Applies a departure that an earlier process knew of. It concerns no other incarnation: the start
    /// time of a later one may be lower.
    fn restore_departure(&mut self, incarnation: TargetIncarnation) {
        self.remember(incarnation.clone(), true);
        let current = self.current.as_ref();
        if current.is_some_and(|known| known.incarnation() == incarnation) {
            self.current = None;
            self.departed = Some(incarnation);
        }
    }

    /// Removes a target whose last announcement is older than `silence`. Returns whether one was
    /// removed.
    pub fn expire(&mut self, silence: Duration, now: Instant) -> bool {
        let silent = self
            .last_announced
            .is_some_and(|last_announced| now.saturating_duration_since(last_announced) > silence);
        if !silent {
            return false;
        }
        let Some(target) = self.current.take() else {
            return false;
        };
        if target.state != InstanceState::Ready {
            // A delayed announcement must not bring it back.
            self.remember(target.incarnation(), true);
            self.departed = Some(target.incarnation());
        }
        true
    }

    /// Returns the latest incarnation with the state that it announced; `None` if none is known, or if
    /// the latest one fell silent without a word.
    #[must_use]
    pub fn announced(&self) -> Option<(TargetIncarnation, InstanceState)> {
        let current = self.current.as_ref();
        let current = current.map(|known| (known.incarnation(), known.state));
        let departed = self.departed.clone();
        current.or_else(|| departed.map(|departed| (departed, InstanceState::Gone)))
    }

    /// Returns the last announcement of the target, if one is known.
    #[must_use]
    pub fn current(&self) -> Option<&InstanceAnnouncement> {
        self.current.as_ref()
    }

    /// Number of the current incarnation, or of the last one, in the order in which this node has
    /// taken them on; 0 if it has known none.
    #[must_use]
    pub fn life(&self) -> TargetLife {
        self.life
    }

    fn has_departed(&self, incarnation: &TargetIncarnation) -> bool {
        let mut departed = self.former.iter().filter(|former| former.departed);
        departed.any(|former| former.incarnation == *incarnation)
            || self.unknown.contains(incarnation)
    }
}
