//! Announcements of the local target that arrive late or out of order.

use std::time::{Duration, Instant};

use apricotfold_model::{InstanceAnnouncement, InstanceState};
use apricotfold_policy::{AnnouncementEffect, LocalInstance, TargetReply};
use proptest::prelude::*;

fn announcement(id: &str, born: u64, number: u64, state: InstanceState) -> InstanceAnnouncement {
    InstanceAnnouncement {
        instance: id.into(),
        born,
        number,
        service: "precios".into(),
        address: ([10, 0, 0, 1], 80).into(),
        slots: 9,
        state,
        cold: Duration::ZERO,
        version: None,
    }
}

fn state(local: &LocalInstance) -> Option<InstanceState> {
    local.current().map(|target| target.state)
}

/// Guards against a delayed announcement that makes a draining target ready again.
#[test]
fn draining_stays() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.announce(announcement("i-1", 1, 5, InstanceState::Draining), now);
    let late = local.announce(announcement("i-1", 1, 4, InstanceState::Ready), now);
    assert_eq!(late, AnnouncementEffect::Outdated);
    let wrong = local.announce(announcement("i-1", 1, 6, InstanceState::Ready), now);
    assert_eq!(wrong, AnnouncementEffect::Outdated);
    assert_eq!(state(&local), Some(InstanceState::Draining));
}

/// Guards against a delayed announcement that restores a target which has left, and against
/// treating a new incarnation of the same id as the old one.
#[test]
fn same_id_again() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.announce(announcement("i-1", 1, 5, InstanceState::Ready), now);
    assert!(local.leave(&"i-1".into(), None));
    let late = local.announce(announcement("i-1", 1, 6, InstanceState::Ready), now);
    assert_eq!(late, AnnouncementEffect::Outdated);
    let new_incarnation = local.announce(announcement("i-1", 2, 1, InstanceState::Ready), now);
    assert_eq!(new_incarnation, AnnouncementEffect::Changed);
}

/// Guards against an announcement that was delayed by a partition and arrives after another target
/// has taken over the address.
#[test]
fn earlier_target() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.announce(announcement("i-2", 9, 1, InstanceState::Ready), now);
    let late = local.announce(announcement("i-1", 3, 50, InstanceState::Ready), now);
    assert_eq!(late, AnnouncementEffect::Outdated);
    assert!(!local.leave(&"i-1".into(), Some(3)));
    assert_eq!(state(&local), Some(InstanceState::Ready));
}

/// Guards against a restarted node that accepts a target which left while the node's previous
/// process ran.
#[test]
fn restored_departure() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.restore_state(&"i-1".into(), 1, InstanceState::Gone);
    let late = local.announce(announcement("i-1", 1, 7, InstanceState::Ready), now);
    assert_eq!(late, AnnouncementEffect::Outdated);
}

/// Guards against announcements that were held up, however many and in whatever order, as proof that a
/// target is there after a restart, and against never accepting a target that does not confirm its
/// announcements.
#[test]
fn unconfirmed_announcements() {
    let start = Instant::now();
    let timely = start + Duration::from_secs(7);
    let mut local = LocalInstance::new(timely);
    for reply in [TargetReply::Refuses, TargetReply::Silent] {
        for number in [15, 14, 16, 17, 18] {
            let late = announcement("i-1", 1, number, InstanceState::Ready);
            assert!(local.needs_confirmation(&late));
            assert!(!local.is_confirmed(&late, reply, start), "{number}");
            local.keep_unconfirmed(late);
        }
    }
    let next = announcement("i-1", 1, 19, InstanceState::Ready);
    assert!(local.is_confirmed(&next, TargetReply::Accepts, start));
    assert!(local.is_confirmed(&next, TargetReply::Refuses, timely));
    let first = announcement("i-2", 1, 1, InstanceState::Ready);
    assert!(!local.is_confirmed(&first, TargetReply::Refuses, timely));
}

/// Guards against a target that is given up because a former one with its id, whose clock was ahead, has
/// left.
#[test]
fn restored_departure_of_former() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.announce(announcement("i-1", 3, 1, InstanceState::Ready), now);
    local.restore_state(&"i-1".into(), 9, InstanceState::Gone);
    assert_eq!(state(&local), Some(InstanceState::Ready));
    local.restore_state(&"i-1".into(), 3, InstanceState::Gone);
    assert_eq!(state(&local), None);
    let (departed, announced) = local.announced().expect("a departure");
    assert_eq!((departed.born, announced), (3, InstanceState::Gone));
}

/// Guards against a late message of a former incarnation that hides the departure of a later one.
#[test]
fn late_leave() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    for born in [1, 2] {
        local.announce(announcement("i-1", born, 1, InstanceState::Ready), now);
        local.leave(&"i-1".into(), Some(born));
    }
    local.leave(&"i-1".into(), Some(1));
    let (departed, _) = local.announced().expect("a departure");
    assert_eq!(departed.born, 2);
}

/// Guards against a repeated message without a start time that replaces the departure by one that
/// concerns no incarnation, and against such a message before the process knows the incarnation.
#[test]
fn leave_without_start_time() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.announce(announcement("i-1", 7, 1, InstanceState::Ready), now);
    let mut restarted = LocalInstance::default();
    restarted.leave(&"i-1".into(), None);
    restarted.restore_state(&"i-1".into(), 7, InstanceState::Ready);
    for _ in 0..2 {
        local.leave(&"i-1".into(), None);
    }
    for mut local in [local, restarted] {
        let (departed, _) = local.announced().expect("a departure");
        assert_eq!(departed.born, 7);
        let late = local.announce(announcement("i-1", 7, 9, InstanceState::Ready), now);
        assert_eq!(late, AnnouncementEffect::Outdated);
    }
}

/// Guards against a silent target that counts as one that has said that it leaves: a restarted node
/// would never use it again.
#[test]
fn silence_is_no_departure() {
    let now = Instant::now();
    let limit = Duration::from_secs(7);
    for (announced, expected) in [
        (InstanceState::Ready, None),
        (InstanceState::Draining, Some(InstanceState::Gone)),
    ] {
        let mut local = LocalInstance::default();
        local.announce(announcement("i-1", 1, 1, announced), now);
        assert!(local.expire(limit, now + limit * 2));
        assert_eq!(local.announced().map(|(_, state)| state), expected);
    }
}

/// Guards against keeping a crashed target that sends no more announcements.
#[test]
fn silence() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.announce(announcement("i-1", 1, 1, InstanceState::Ready), now);
    let limit = Duration::from_secs(7);
    assert!(!local.expire(limit, now + Duration::from_secs(6)));
    assert!(local.expire(limit, now + Duration::from_secs(8)));
    assert_eq!(state(&local), None);
}

/// Guards against a target that is never taken on because its clock was set back, under its former id
/// or another, and against a single delayed announcement that is taken for such a target.
#[test]
fn start_time_set_back() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    for id in ["i-1", "i-2"] {
        let mut local = LocalInstance::default();
        local.announce(announcement("i-1", 100, 7, InstanceState::Ready), start);
        let first = local.announce(announcement(id, 50, 1, InstanceState::Ready), after(400));
        assert_eq!(first, AnnouncementEffect::Outdated, "{id}");
        // The known one still announces itself.
        local.announce(
            announcement("i-1", 100, 8, InstanceState::Ready),
            after(1_500),
        );
        let late = local.announce(announcement(id, 50, 2, InstanceState::Ready), after(1_900));
        assert_eq!(late, AnnouncementEffect::Outdated, "{id}");
        let soon = local.announce(announcement(id, 50, 3, InstanceState::Ready), after(1_950));
        assert_eq!(soon, AnnouncementEffect::Outdated, "{id}");
        let next = local.announce(announcement(id, 50, 4, InstanceState::Ready), after(3_400));
        assert_eq!(next, AnnouncementEffect::Changed, "{id}");
        assert_eq!(local.life(), 2, "{id}");
        let delayed = local.announce(
            announcement("i-1", 100, 9, InstanceState::Ready),
            after(3_500),
        );
        assert_eq!(delayed, AnnouncementEffect::Outdated, "{id}");
        assert!(!local.leave(&"i-1".into(), Some(100)), "{id}");
        assert_eq!(state(&local), Some(InstanceState::Ready), "{id}");
    }
}

/// Guards against a target that left and whose successor, with a clock that was set back, is never
/// taken on, and against the one that left taking its place.
#[test]
fn set_back_after_departure() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut local = LocalInstance::default();
    local.announce(announcement("i-1", 100, 7, InstanceState::Ready), start);
    assert!(local.leave(&"i-1".into(), None));
    for (number, millis, effect) in [
        (1, 100, AnnouncementEffect::Outdated),
        (2, 1_600, AnnouncementEffect::Changed),
        (3, 3_100, AnnouncementEffect::Repeated),
    ] {
        let said = announcement("i-1", 50, number, InstanceState::Ready);
        assert_eq!(local.announce(said, after(millis)), effect);
    }
    for millis in [3_200, 4_000, 5_000] {
        let said = announcement("i-1", 100, millis, InstanceState::Ready);
        let late = local.announce(said, after(millis));
        assert_eq!(late, AnnouncementEffect::Outdated);
    }
}

/// Guards against a new target that is taken for draining because an earlier incarnation of its id was
/// when the node's former process ended.
#[test]
fn restored_drain() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.announce(announcement("i-1", 2, 1, InstanceState::Ready), now);
    local.restore_state(&"i-1".into(), 1, InstanceState::Draining);
    assert_eq!(state(&local), Some(InstanceState::Ready));
    local.restore_state(&"i-1".into(), 2, InstanceState::Draining);
    assert_eq!(state(&local), Some(InstanceState::Draining));
}

#[derive(Clone, Debug)]
enum LocalStep {
    Announce(u64, u64, bool),
    Leave(u64),
}

fn steps() -> impl Strategy<Value = Vec<LocalStep>> {
    let step = prop_oneof![
        4 => (1..4_u64, 1..8_u64, any::<bool>())
            .prop_map(|(born, number, draining)| LocalStep::Announce(born, number, draining)),
        1 => (1..4_u64).prop_map(LocalStep::Leave),
    ];
    prop::collection::vec(step, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against any order of messages that lets an incarnation take work after it has
    /// announced that it is leaving.
    #[test]
    fn leaving_is_final(steps in steps()) {
        let now = Instant::now();
        let mut local = LocalInstance::default();
        let mut leaving = std::collections::BTreeSet::new();
        for step in steps {
            match step {
                LocalStep::Announce(born, number, draining) => {
                    let said = if draining { InstanceState::Draining } else { InstanceState::Ready };
                    let effect = local.announce(announcement("i-1", born, number, said), now);
                    if draining && effect != AnnouncementEffect::Outdated {
                        leaving.insert(born);
                    }
                }
                LocalStep::Leave(born) => {
                    if local.leave(&"i-1".into(), Some(born)) {
                        leaving.extend(1..=born);
                    }
                }
            }
            if let Some(target) = local.current() {
                let taken = target.state == InstanceState::Ready && leaving.contains(&target.born);
                prop_assert!(!taken, "incarnation {} takes work", target.born);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against an incarnation that takes work again after it has announced that it is leaving,
    /// whatever start times targets announce and however long announcements take.
    #[test]
    fn leaving_is_final_at_any_time(steps in steps(), pauses in prop::collection::vec(0..900_u64, 40)) {
        let mut now = Instant::now();
        let mut local = LocalInstance::default();
        let mut leaving = std::collections::BTreeSet::new();
        for (step, pause) in steps.into_iter().zip(pauses) {
            now += Duration::from_millis(pause);
            let former = local.current().map(|target| (target.born, target.state));
            match step {
                LocalStep::Announce(born, number, draining) => {
                    let said = if draining { InstanceState::Draining } else { InstanceState::Ready };
                    local.announce(announcement("i-1", born, number, said), now);
                }
                LocalStep::Leave(born) => {
                    local.leave(&"i-1".into(), Some(born));
                    leaving.insert(born);
                }
            }
            if let Some((born, InstanceState::Draining)) = former {
                leaving.insert(born);
            }
            if let Some(target) = local.current() {
                let taken = target.state == InstanceState::Ready && leaving.contains(&target.born);
                prop_assert!(!taken, "incarnation {} takes work", target.born);
            }
        }
    }
}

/// Guards against a target that has stated its departure in an answer and becomes ready again by an
/// announcement that was under way, also long after its last one.
#[test]
fn stated_departure() {
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut local = LocalInstance::default();
    local.announce(announcement("i-1", 1, 5, InstanceState::Ready), start);
    assert!(!local.drain("i-other", 1));
    assert!(local.drain("i-1", 1));
    assert!(!local.drain("i-1", 1));
    let late = local.announce(announcement("i-1", 1, 6, InstanceState::Ready), after(5));
    assert_eq!(late, AnnouncementEffect::Outdated);
    assert_eq!(state(&local), Some(InstanceState::Draining));
    // It still announces itself, so it is not gone yet.
    assert!(!local.expire(Duration::from_secs(7), after(10)));
    assert!(local.expire(Duration::from_secs(7), after(13)));
    let delayed = local.announce(announcement("i-1", 1, 7, InstanceState::Ready), after(14));
    assert_eq!(delayed, AnnouncementEffect::Outdated);
    let successor = local.announce(announcement("i-1", 2, 1, InstanceState::Ready), after(15));
    assert_eq!(successor, AnnouncementEffect::Changed);
    // An answer of the earlier incarnation does not concern its successor.
    assert!(!local.drain("i-1", 1));
    assert_eq!(state(&local), Some(InstanceState::Ready));
}
