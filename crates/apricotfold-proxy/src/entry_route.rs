//! Routes a caller's request and computes its deadlines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{RefusalReason, RouteTable, TableRoute};
use http::request::Parts;
use http::{HeaderMap, header};

use crate::adapters::CallHead;
use crate::hop_by_hop::strip_hop_by_hop_headers;

/// Prefix of the headers that proxies exchange; callers cannot set them.
const MESH_HEADER_PREFIX: &str = "apricotfold-";

/// Time before the caller's deadline at which a request without a response is refused. Otherwise
/// the caller would close the connection at the same moment, and the pipelined requests behind this
/// one would be lost. The margin covers the way to the caller.
const EARLY_RESPONSE_MARGIN: Duration = Duration::from_millis(30);

/// Divisor of the caller's time left that limits [`EARLY_RESPONSE_MARGIN`].
const EARLY_RESPONSE_DIVISOR: u32 = 8;

/// Route and deadlines of a caller's request.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// Route that the request matched.
    pub route: Arc<TableRoute>,
    /// Version of the table that the route comes from.
    pub version: u64,
    /// When the request arrived.
    pub arrived: Instant,
    /// Deadline, from the caller's time left or the route's timeout, whichever is earlier.
    pub deadline: Instant,
    /// Time until which a response meets the route's target latency.
    pub preferred_deadline: Instant,
    /// Time from the arrival to the deadline.
    pub time_allowed: Duration,
}

impl RoutedCall {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if no route applies.
    pub fn find(
        table: &RouteTable,
        parts: &Parts,
        head: &CallHead,
        arrived: Instant,
    ) -> Result<Self, RefusalReason> {
        if table.version == 0 {
            return Err(RefusalReason::NotReady);
        }
        let host = read_host(parts).ok_or(RefusalReason::BadRequest)?;
        let route = table
            .find(host, parts.uri.path())
            .ok_or(RefusalReason::NoRoute)?;
        let time_allowed = match head.time_left {
            Some(left) => left
                .saturating_sub(EARLY_RESPONSE_MARGIN.min(left / EARLY_RESPONSE_DIVISOR))
                .min(route.timeout),
            None => route.timeout,
        };
        Ok(Self {
            route: route.clone(),
            version: table.version,
            arrived,
            deadline: arrived + time_allowed,
            preferred_deadline: arrived + route.target_latency.min(time_allowed),
            time_allowed,
        })
    }

    /// Returns the time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time until which the request should wait for a slot. A request that can no
    /// longer meet the target latency may wait until its deadline.
    pub fn useful_until(&self, service: Duration) -> Instant {
        if Instant::now() + service < self.preferred_deadline {
            self.preferred_deadline
        } else {
            self.deadline
        }
    }
}

fn read_host(parts: &Parts) -> Option<&str> {
    match parts.headers.get(header::HOST) {
        Some(host) => host.to_str().ok(),
        None => parts.uri.authority().map(http::uri::Authority::as_str),
    }
}

/// Removes headers that are not forwarded: the hop-by-hop ones, `Expect`, and those of proxies.
pub fn clean_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop_headers(headers);
    headers.remove(header::EXPECT);
    let own: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(MESH_HEADER_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
