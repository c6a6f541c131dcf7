//! Schedule of injected store faults: decides which calls a fault affects, without any I/O.

use std::time::{Duration, Instant};

use apricotfold_model::{ScriptedStoreFault, StoreFaultKind};

use super::key_range::KeyRange;

#[derive(Clone, Debug)]
struct PlannedFault {
    rule: ScriptedStoreFault,
    from: Instant,
    until: Instant,
    /// Number of responses or watches that this fault has dropped so far.
    triggered: u32,
}

impl PlannedFault {
    fn is_active(&self, now: Instant) -> bool {
        self.from <= now && now < self.until
    }

    /// A fault without a prefix also affects calls without keys.
    fn affects(&self, keys: &[KeyRange]) -> bool {
        let prefix = self.rule.key_prefix.as_bytes();
        prefix.is_empty() || keys.iter().any(|range| range.intersects_prefix(prefix))
    }

    fn try_trigger(&mut self) -> bool {
        if self.rule.count > 0 && self.triggered >= self.rule.count {
            return false;
        }
        self.triggered += 1;
        true
    }
}

/// All scripted faults: scheduled, active and expired.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Adds faults whose times are relative to `start`.
    pub fn add(&mut self, rules: Vec<ScriptedStoreFault>, start: Instant) {
        let planned = rules.into_iter().map(|rule| PlannedFault {
            from: start + rule.from,
            until: start + rule.until,
            rule,
            triggered: 0,
        });
        self.faults.extend(planned);
    }

    /// Removes all faults, including active ones.
    pub fn clear(&mut self) {
        self.faults.clear();
    }

    /// End of the outage that currently affects calls on these keys, if any.
    #[must_use]
    pub fn outage_until(&self, now: Instant, keys: &[KeyRange]) -> Option<Instant> {
        self.active(StoreFaultKind::Outage, now, keys)
            .map(|fault| fault.until)
            .max()
    }

    /// Extra latency of calls on these keys; the largest delay applies if several faults overlap.
    #[must_use]
    pub fn delay(&self, now: Instant, keys: &[KeyRange]) -> Duration {
        self.active(StoreFaultKind::Slow, now, keys)
            .map(|fault| fault.rule.delay)
            .max()
            .unwrap_or_default()
    }

    /// True if the response to a write of these keys must be dropped. Counts against the fault's
    /// `count`.
    pub fn trigger_lost_answer(&mut self, now: Instant, keys: &[KeyRange]) -> bool {
        self.try_trigger(StoreFaultKind::LostAnswer, now, keys)
    }

    /// True if a watch of these keys must be dropped. Counts against the fault's `count`.
    pub fn trigger_lost_watch(&mut self, now: Instant, keys: &[KeyRange]) -> bool {
        self.try_trigger(StoreFaultKind::LostWatch, now, keys)
    }

    /// Next time at which a fault starts or ends.
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

    fn try_trigger(&mut self, kind: StoreFaultKind, now: Instant, keys: &[KeyRange]) -> bool {
        self.faults
            .iter_mut()
            .filter(|fault| fault.rule.kind == kind && fault.is_active(now) && fault.affects(keys))
            .any(PlannedFault::try_trigger)
    }
}
