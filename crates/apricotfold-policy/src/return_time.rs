//! Load pattern: a crowd above capacity whose refused callers come back. See `docs/platform.md`,
//! section 6.

use std::collections::HashMap;
use std::time::Duration;

use apricotfold_model::RouteName;
use rand::RngExt;
use rand::rngs::StdRng;

/// Shortest advised pause. A shorter one brings callers back before any slot has ended its work.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Share of its remaining time that a caller can spend on a pause and still be served afterwards.
const LONGEST_SHARE: f64 = 0.3;

/// Advises a refused caller when to come back.
///
/// `room_in` is the time after which a slot is expected to be free for it. The advice is spread
/// over half to one and a half times that, so that callers who were refused together do not return
/// together. `None` means that the caller has no time left for another try.
pub fn advise_retry_after(
    room_in: Duration,
    left: Duration,
    random: &mut StdRng,
) -> Option<Duration> {
    let longest = left.mul_f64(LONGEST_SHARE);
    if longest < MIN_PAUSE {
        return None;
    }
    let spread = 0.5 + random.random::<f64>();
    Some(room_in.mul_f64(spread).clamp(MIN_PAUSE, longest))
}

/// Recognises callers that come back: their patience is shorter than that of first tries of the
/// same route by at least the shortest advised pause. Callers that repeat at once do not count.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    longest: HashMap<RouteName, Duration>,
}

impl RetryDetector {
    /// Notes a request and tells whether its caller was refused before.
    pub fn is_retry(&mut self, route: &RouteName, patience: Duration) -> bool {
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.clone(), patience);
            return false;
        };
        *longest = patience.max(*longest);
        patience + MIN_PAUSE <= *longest
    }
}
