//! Finds the route of a caller's request and checks what the caller sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{RefusalReason, RouteTable, TableRoute};
use http::request::Parts;
use http::{HeaderMap, header};

use crate::adapters::CallHead;
use crate::hop_by_hop::strip_hop_by_hop_headers;

/// Prefix of the headers that proxies exchange; callers cannot set them.
const MESH_HEADER_PREFIX: &str = "apricotfold-";

/// Time before the end of a caller's patience at which it is told that there is no answer. Without
/// it the caller closes the connection at the same moment, and with it go the pipelined requests
/// behind. It covers the way to the caller.
const EARLY_ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// Largest part of a caller's patience that [`EARLY_ANSWER_MARGIN`] may take.
const EARLY_ANSWER_DIVISOR: u32 = 8;

/// A caller's request with its route and times.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// Its route.
    pub route: Arc<TableRoute>,
    /// Version of the table that the route comes from.
    pub version: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller's patience or its route's timeout ends.
    pub deadline: Instant,
    /// End of the time within which answers are wanted.
    pub preferred_deadline: Instant,
    /// Time that the caller had when the request arrived.
    pub time_allowed: Duration,
}

impl RoutedCall {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
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
                .saturating_sub(EARLY_ANSWER_MARGIN.min(left / EARLY_ANSWER_DIVISOR))
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

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time until which the request should wait for a slot. One that can no longer be answered
    /// within the wanted time is still answered within its deadline.
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

/// Removes headers that are not passed on: those of one connection, and those of proxies.
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
