//! Load pattern: a service with room, whose requests call a service without room. Requests that
//! fail for a refused call take slots of both services from those that could be answered. See
//! `docs/platform.md`, section 6.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use apricotfold_model::RouteName;

use crate::{CallStanding, NestedCapacity};

/// Interval at which the admitted share changes. It is about the time that a request takes, so that
/// a change shows its effect before the next one.
const INTERVAL: Duration = Duration::from_millis(250);

/// Requests that an interval must have seen, so that chance decides little.
const MIN_REQUESTS: f64 = 5.0;

/// Weight of a request of which a call met a queue, beside one of which a call was refused. Requests
/// that wait for their calls hold slots meanwhile.
const QUEUE_WEIGHT: f64 = 0.25;

/// Part of the requests whose calls may find no room before the admitted share falls.
const ACCEPTED_PART: f64 = 0.1;

/// Part of the requests without room by which the admitted share falls.
const DECREASE: f64 = 0.5;

/// Part of the full rate by which the admitted share grows in an interval.
const INCREASE: f64 = 0.06;

/// Least share that is admitted, so that the end of the shortage is noticed.
const LEAST_SHARE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct RouteShare {
    share: f64,
    /// Requests that may pass; each request adds the admitted share.
    credit: f64,
    /// Start of the interval.
    since: Instant,
    /// Requests that ended in the interval.
    ended: f64,
    /// Those among them whose calls found no room.
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
        self.share = if part > ACCEPTED_PART {
            (self.share * (1.0 - part * DECREASE)).max(LEAST_SHARE)
        } else {
            (self.share + INCREASE).min(1.0)
        };
        (self.since, self.ended, self.without_room) = (now, 0.0, 0.0);
    }
}

/// Admits the share of each route's requests whose own calls find room (additive increase,
/// multiplicative decrease).
///
/// Only failures for lack of room count. A target that fails by itself, or at whatever load, would
/// not fail less often if it got less work.
#[derive(Clone, Debug, Default)]
pub struct ParentThrottle {
    routes: HashMap<RouteName, RouteShare>,
}

impl ParentThrottle {
    /// Tells whether a request may be sent. Callers that were refused before are refused half as
    /// often as others, since they have no time for a third try.
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

    /// Notes the end of a request and what its calls met.
    pub fn record(&mut self, route: &RouteName, met: NestedCapacity, now: Instant) {
        if let Some(known) = self.routes.get_mut(route) {
            known.record(met, now);
        } else if met != NestedCapacity::Room {
            let mut known = RouteShare::new(now);
            known.record(met, now);
            self.routes.insert(route.clone(), known);
        }
    }

    /// Share of a route's requests that is admitted.
    #[must_use]
    pub fn share(&self, route: &RouteName) -> f64 {
        self.routes.get(route).map_or(1.0, |known| known.share)
    }
}
