//! What targets state in their answers about later requests: rate limits and their departure. See
//! `docs/platform.md`, sections 4 and 6.

use std::time::Instant;

use apricotfold_model::{InstanceId, RateLimit, StartTimeMillis, log_event};

use crate::engine::Engine;

impl Engine {
    /// Records that an incarnation of the local target states in an answer that it leaves. It gets no
    /// more requests, as if it had announced that.
    pub fn drain_target(&self, instance: &InstanceId, born: StartTimeMillis) {
        if self.local().drain(instance, born) {
            log_event!(info, TargetAnnounced, "{instance} leaves, by its answer");
            self.change_registration();
        }
    }

    /// Records the rate limit that an answer of an instance states.
    pub fn record_rate_limit(&self, instance: &InstanceId, stated: Option<RateLimit>) {
        let limit = {
            let mut limits = self.rate_limits();
            if !limits.record(instance, stated, Instant::now()) {
                return;
            }
            limits.limit(instance)
        };
        let text = limit.map_or("none".to_owned(), |limit| limit.to_string());
        log_event!(info, RateLimitChanged, "{instance} {text}, by its answer");
        if self.is_local(instance) {
            self.admission.set_rate_limit(limit);
        }
    }

    /// Adopts a rate limit of the local target that another proxy has heard of, if this process has
    /// not heard anything from the target yet.
    pub fn adopt_rate_limit(&self, instance: &InstanceId, limit: RateLimit) {
        let adopted = self.rate_limits().adopt(instance, limit, Instant::now());
        if !adopted || !self.is_local(instance) {
            return;
        }
        log_event!(
            info,
            RateLimitChanged,
            "{instance} {limit}, by another node"
        );
        self.admission.set_rate_limit(Some(limit));
    }

    /// Returns the rate limit of an instance, as far as this node has heard of one.
    pub fn rate_limit(&self, instance: &str) -> Option<RateLimit> {
        self.rate_limits().limit(instance)
    }

    /// Returns whether an instance is the one that runs beside this node.
    fn is_local(&self, instance: &str) -> bool {
        let local = self.local();
        local
            .current()
            .is_some_and(|target| target.instance == instance)
    }

    /// Drops the rate limits of instances that have not answered for a long time.
    pub fn prune_rate_limits(&self) {
        self.rate_limits().prune(Instant::now());
    }
}
