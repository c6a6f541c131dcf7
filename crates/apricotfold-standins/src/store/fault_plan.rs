//! Scripted faults of the store. Decides which calls a fault affects; does no input or output.

use std::time::{Duration, Instant};

use apricotfold_model::{ScriptedStoreFault, StoreFaultKind};

use super::key_range::KeyRange;

#[derive(Clone, Debug)]
struct PlannedFault {
    rule: ScriptedStoreFault,
    from: Instant,
    until: Instant,
    /// Answers or watches that this fault has taken so far.
    taken: u32,
}

impl PlannedFault {
    fn is_active(&self, now: Instant) -> bool {
        self.from <= now && now < self.until
    }

    /// A fault without a prefix also affects calls that name no key.
    fn affects(&self, keys: &[KeyRange]) -> bool {
        let prefix = self.rule.key_prefix.as_bytes();
        prefix.is_empty() || keys.iter().any(|range| range.touches_prefix(prefix))
    }

    fn take(&mut self) -> bool {
        if self.rule.count > 0 && self.taken >= self.rule.count {
            return false;
        }
        self.taken += 1;
        true
    }
}

/// All faults that are planned or active.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Adds faults whose times count from `start`.
    pub fn add(&mut self, rules: Vec<ScriptedStoreFault>, start: Instant) {
        let planned = rules.into_iter().map(|rule| PlannedFault {
            from: start + rule.from,
            until: start + rule.until,
            rule,
            taken: 0,
        });
        self.faults.extend(planned);
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.faults.clear();
    }

    /// End of the outage that affects calls on these keys, if there is one.
    #[must_use]
    pub fn outage_until(&self, now: Instant, keys: &[KeyRange]) -> Option<Instant> {
        self.active(StoreFaultKind::Outage, now, keys)
            .map(|fault| fault.until)
            .max()
    }

    /// Extra time that calls on these keys take.
    #[must_use]
    pub fn delay(&self, now: Instant, keys: &[KeyRange]) -> Duration {
        self.active(StoreFaultKind::Slow, now, keys)
            .map(|fault| fault.rule.delay)
            .max()
            .unwrap_or_default()
    }

    /// True if the answer to a write of these keys is lost. Uses up one of the fault's count.
    pub fn take_lost_answer(&mut self, now: Instant, keys: &[KeyRange]) -> bool {
        self.take(StoreFaultKind::LostAnswer, now, keys)
    }

    /// True if a watch of these keys ends. Uses up one of the fault's count.
    pub fn take_lost_watch(&mut self, now: Instant, keys: &[KeyRange]) -> bool {
        self.take(StoreFaultKind::LostWatch, now, keys)
    }

    /// The next time at which a fault starts or ends.
    #[must_use]
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        self.faults
            .iter()
            .flat_map(|fault| [fault.from, fault.until])
            .filter(|time| *time > now)
            .min()
    }

    fn active<'a>(
        &'a self,
        kind: StoreFaultKind,
        now: Instant,
        keys: &'a [KeyRange],
    ) -> impl Iterator<Item = &'a PlannedFault> {
        self.faults.iter().filter(move |fault| {
            fault.rule.kind == kind && fault.is_active(now) && fault.affects(keys)
        })
    }

    fn take(&mut self, kind: StoreFaultKind, now: Instant, keys: &[KeyRange]) -> bool {
        self.faults
            .iter_mut()
            .filter(|fault| fault.rule.kind == kind && fault.is_active(now) && fault.affects(keys))
            .any(PlannedFault::take)
    }
}
