//! Refusals of requests that expired in the queue.

use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, ProfileLimits, RefusalReason, WorkClass};
use apricotfold_policy::{Admission, AdmissionEvent, AdmissionLimits, AdmissionQueue};

/// Guards against a retry after the full wait in a queue: `queue-full` would send the call to
/// another target, where it may wait as long again, and the caller would get its refusal after more
/// than 50 ms.
#[test]
fn expired_wait() {
    let rule = ProfileLimits::default();
    let mut queue = AdmissionQueue::new(AdmissionLimits::new(&rule, 1));
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut offer = |id| {
        let (admission, _) = queue.offer(id, WorkClass::Short, CallPriority::Normal, deadline, now);
        admission
    };
    assert_eq!(offer(1), Admission::Run);
    assert_eq!(offer(2), Admission::Wait);
    let refused = AdmissionEvent::Refuse(2, RefusalReason::Overloaded);
    assert_eq!(queue.expire(now + rule.queue_wait).as_slice(), [refused]);
}
