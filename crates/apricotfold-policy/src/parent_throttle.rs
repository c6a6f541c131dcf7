//! Throttling of requests whose own calls are refused: a service with free capacity calls a service
//! without. Requests that fail because of a refused call take slots of both services from requests
//! that could be answered. See `docs/platform.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::RouteName;

use crate::{CallStanding, NestedCapacity};

/// Minimum interval between changes of the admitted share, about the duration of a request. With
/// 250 ms, up to a sixth of the requests failed at their calls instead of being refused on entry.
const INTERVAL: Duration = Duration::from_millis(100);

/// Minimum number of requests in an interval, to limit the influence of chance. Nodes at which few
/// requests of a route enter would react late to a larger number.
const MIN_REQUESTS: f64 = 3.0;

/// Weight of a request whose calls were queued, relative to one with a refused call. Requests hold
/// their slots while they wait for their calls.
const QUEUE_WEIGHT: f64 = 0.25;

/// Share of requests without capacity for their calls that is tolerated before the admitted share
/// is reduced.
const TOLERATED_SHARE: f64 = 0.1;

/// Factor between the share of requests without capacity and the relative reduction of the admitted
/// share.
const DECREASE_FACTOR: f64 = 0.5;

/// Increase of the admitted share per second, relative to the full rate. It does not depend on the
/// number of answers, so that a route recovers alike at all nodes.
const INCREASE_RATE: f64 = 0.2;

/// Minimum admitted share, so that the end of the shortage is detected.
const MIN_SHARE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct RouteShare {
    share: f64,
    /// Requests that may pass; each request adds the admitted share to it.
    credit: f64,
    /// Start of the current interval.
    since: Instant,
    /// Number of requests that ended in the interval.
    ended: f64,
    /// Number of these whose calls found no capacity, weighted.
    without_room: f64,
}

impl RouteShare {
    fn new(now: Instant) -> Self {
        Self {
            share: 1.0,
            credit: 0.0,
            since: now,
            ended: 0.0,
            without_room: 0.0,
        }
    }

    fn record(&mut self, met: NestedCapacity, now: Instant) {
        self.ended += 1.0;
        self.without_room += match met {
            NestedCapacity::Room => 0.0,
            NestedCapacity::Queue => QUEUE_WEIGHT,
            NestedCapacity::Refusal => 1.0,
        };
        let age = now.saturating_duration_since(self.since);
        if age < INTERVAL || self.ended < MIN_REQUESTS {
            return;
        }
        let part = self.without_room / self.ended;
        self.share = if part > TOLERATED_SHARE {
            (self.share * (1.0 - part * DECREASE_FACTOR)).max(MIN_SHARE)
        } else {
            (self.share + INCREASE_RATE * age.as_secs_f64()).min(1.0)
        };
        (self.since, self.ended, self.without_room) = (now, 0.0, 0.0);
    }
}

/// Limits each route to the share of requests whose own calls find capacity, by additive increase
/// and multiplicative decrease.
///
/// Only failures for lack of capacity count. A target that fails for its own reasons, at any load,
/// would not fail less often if it got less work.
#[derive(Clone, Debug, Default)]
pub struct ParentThrottle {
    routes: HashMap<RouteName, RouteShare>,
}

impl ParentThrottle {
    /// Returns whether a request may be sent. Callers that were refused before are refused half as
    /// often as others, since they have no time for a third attempt.
    pub fn admits(&mut self, route: &RouteName, standing: CallStanding) -> bool {
        let Some(known) = self.routes.get_mut(route) else {
            return true;
        };
        if known.share >= 1.0 {
            return true;
        }
        known.credit += match standing {
            CallStanding::New => known.share,
            CallStanding::Returned => f64::midpoint(known.share, 1.0),
            CallStanding::Nested => 1.0,
        };
        let admitted = known.credit >= 1.0;
        if admitted {
            known.credit -= 1.0;
        }
        admitted
    }

    /// Records the end of a request and the capacity that its calls found.
    pub fn record(&mut self, route: &RouteName, met: NestedCapacity, now: Instant) {
        if let Some(known) = self.routes.get_mut(route) {
            known.record(met, now);
        } else if met != NestedCapacity::Room {
            let mut known = RouteShare::new(now);
            known.record(met, now);
            self.routes.insert(route.clone(), known);
        }
    }

    /// Returns the share of a route's requests that is admitted; 1 if the route is not throttled.
    #[must_use]
    pub fn share(&self, route: &RouteName) -> f64 {
        self.routes.get(route).map_or(1.0, |known| known.share)
    }
}
