//! Request rates that targets state in their answers. See `docs/platform.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::{InstanceId, RateLimit};

/// Time after the last answer that stated a limit in which answers without one do not end it. Answers
/// that the target sent before it had a limit can arrive after the first one that states it.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Time for which the limit of an instance is kept without any answer of it.
const MEMORY: Duration = Duration::from_mins(10);

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    /// The limit in force; `None` once answers no longer state one.
    limit: Option<RateLimit>,
    /// When an answer last stated the limit.
    stated: Instant,
    /// When an answer of the instance last arrived.
    heard: Instant,
}

/// Keeps the limit that each instance stated last.
///
/// An instance keeps its limit until its answers no longer state one. Without answers it is kept,
/// because a target that gets no requests has no way to say that it takes more.
#[derive(Clone, Debug, Default)]
pub struct NamedLimits {
    known: HashMap<InstanceId, KnownLimit>,
}

impl NamedLimits {
    /// Records what an answer of an instance states. Returns whether its limit has changed.
    pub fn record(
        &mut self,
        instance: &InstanceId,
        stated: Option<RateLimit>,
        now: Instant,
    ) -> bool {
        let Some(known) = self.known.get_mut(instance) else {
            self.insert(instance, stated, now);
            return stated.is_some();
        };
        known.heard = now;
        let before = known.limit;
        if stated.is_some() {
            known.limit = stated;
            known.stated = now;
        } else if now.saturating_duration_since(known.stated) >= LATE_ANSWER_TIME {
            known.limit = None;
        }
        known.limit != before
    }

    /// Adopts a limit that another node has heard of, unless this node has had an answer of the
    /// instance itself. Returns whether the limit was adopted.
    pub fn adopt(&mut self, instance: &InstanceId, limit: RateLimit, now: Instant) -> bool {
        let unknown = !self.known.contains_key(instance);
        if unknown {
            self.insert(instance, Some(limit), now);
        }
        unknown
    }

    /// Returns the limit of an instance, if it has one.
    #[must_use]
    pub fn limit(&self, instance: &str) -> Option<RateLimit> {
        self.known.get(instance)?.limit
    }

    /// Forgets an instance, for a new incarnation under the same id.
    pub fn forget(&mut self, instance: &str) {
        self.known.remove(instance);
    }

    /// Drops instances that have not answered for a long time.
    pub fn prune(&mut self, now: Instant) {
        self.known
            .retain(|_, known| now.saturating_duration_since(known.heard) < MEMORY);
    }

    fn insert(&mut self, instance: &InstanceId, limit: Option<RateLimit>, now: Instant) {
        let known = KnownLimit {
            limit,
            stated: now,
            heard: now,
        };
        self.known.insert(instance.clone(), known);
    }
}
