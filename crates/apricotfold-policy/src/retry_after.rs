//! Retry advice for refused callers while demand exceeds capacity. See `docs/platform.md`, section
//! 6.

use std::collections::HashMap;
use std::time::Duration;

use apricotfold_model::RouteName;
use rand::RngExt;
use rand::rngs::StdRng;

/// Minimum delay. With a shorter one, callers would retry before any slot has become free.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Maximum share of its remaining time that a caller can spend on the delay and still be served
/// afterwards.
const MAX_PAUSE_SHARE: f64 = 0.3;

/// Returns the delay after which a refused caller should retry, or `None` if the caller has no time
/// left for another attempt.
///
/// `room_in` is the time after which a slot is expected to be free for it. The delay is spread over
/// half to one and a half times that, so that callers which were refused together do not retry
/// together.
pub fn advise_retry_after(
    room_in: Duration,
    left: Duration,
    random: &mut StdRng,
) -> Option<Duration> {
    let longest = left.mul_f64(MAX_PAUSE_SHARE);
    if longest < MIN_PAUSE {
        return None;
    }
    let spread = 0.5 + random.random::<f64>();
    Some(room_in.mul_f64(spread).clamp(MIN_PAUSE, longest))
}

/// Recognises retries of refused callers: the time until their deadline is shorter than that of
/// first attempts of the same route by at least the minimum delay. Callers that retry at once are
/// not recognised.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    longest: HashMap<RouteName, Duration>,
}

impl RetryDetector {
    /// Records a request and returns whether its caller was refused before. `time_left` is the time
    /// until the caller's deadline.
    pub fn is_retry(&mut self, route: &RouteName, time_left: Duration) -> bool {
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.clone(), time_left);
            return false;
        };
        *longest = time_left.max(*longest);
        time_left + MIN_PAUSE <= *longest
    }
}
