//! Publishes against a store that loses answers or is away.

use std::time::Duration;

use crate::fake_store::{ADDRESS, FakeStore, WriteFault, bundle, content};
use apricotfold::{ExitKind, PublishOutcome};
use tokio::time::{Instant, sleep};

const NO_WAIT: Duration = Duration::ZERO;

/// Publishes while a relay accepts the first candidate that stays for a second.
async fn publish_accepted(store: &FakeStore) -> apricotfold::PublishReport {
    let relay = async {
        sleep(Duration::from_secs(1)).await;
        store.candidate_written().await;
        store.decide(7, &[]);
    };
    let (result, ()) = tokio::join!(store.publish(content(100), NO_WAIT), relay);
    result.unwrap()
}

/// Guards against a second write of a candidate that took effect although its answer was lost.
#[tokio::test(start_paused = true)]
async fn lost_answer() {
    let store = FakeStore::default();
    store.fail_candidate(WriteFault::LostAnswer);
    let report = publish_accepted(&store).await;
    assert_eq!(report.outcome, PublishOutcome::Accepted);
    assert_eq!((report.version, report.prepared), (1, Some(7)));
    assert_eq!(store.head().unwrap().publish_id, report.publish_id);
    assert_eq!(store.call_times("commit").len(), 2, "bundle and candidate");
}

/// Guards against taking a candidate that was decided before the read-back for one that was never
/// written.
#[tokio::test(start_paused = true)]
async fn decided_before_read() {
    let store = FakeStore::default();
    store.fail_candidate(WriteFault::LostAnswer);
    // The decision comes within 1 ms, the read-back after 5 ms.
    let (result, ()) = tokio::join!(store.publish(content(100), NO_WAIT), async {
        store.candidate_written().await;
        store.decide(3, &[]);
    });
    assert_eq!(result.unwrap().prepared, Some(3));
    assert_eq!(store.head().unwrap().version, 1);
}

/// Guards against giving up, or hanging, when the request itself was lost.
#[tokio::test(start_paused = true)]
async fn lost_request() {
    let store = FakeStore::default();
    store.fail_candidate(WriteFault::LostRequest);
    let report = publish_accepted(&store).await;
    assert_eq!(report.version, 1);
    assert_eq!(store.head().unwrap().publish_id, report.publish_id);
}

/// Guards against a write that arrives after the read-back: it must not become a candidate beside
/// the one that replaced it. Also when the revocation of its lease, or the answer to it, is lost.
#[tokio::test(start_paused = true)]
async fn late_write() {
    let faults = [
        None,
        Some(WriteFault::LostRequest),
        Some(WriteFault::LostAnswer),
    ];
    for fault in faults {
        let store = FakeStore::default();
        store.fail_candidate(WriteFault::Late);
        if let Some(fault) = fault {
            store.fail_revocation(fault);
        }
        let report = publish_accepted(&store).await;
        assert_eq!(report.version, 1);
        assert_eq!(store.head().unwrap().publish_id, report.publish_id);
        assert_eq!(store.candidate(), None);
    }
}

/// Guards against an operator who learns neither which store failed nor that nothing was changed.
#[tokio::test(start_paused = true)]
async fn store_unavailable() {
    let store = FakeStore::default();
    store.set_unavailable_for(Duration::from_mins(1));
    let started = Instant::now();
    let error = store.publish(content(100), NO_WAIT).await.unwrap_err();
    assert_eq!(error.kind, ExitKind::Unavailable);
    assert!(error.message.contains(ADDRESS), "{}", error.message);
    assert!(started.elapsed() < Duration::from_secs(1));
}

/// Guards against `--wait` that gives up early, or that floods a store that is coming back.
#[tokio::test(start_paused = true)]
async fn store_recovers() {
    let store = FakeStore::default();
    let outage = Duration::from_mins(1);
    store.set_unavailable_for(outage);
    let relay = async {
        store.candidate_written().await;
        store.decide(7, &[]);
    };
    let publish = store.publish(content(100), Duration::from_mins(5));
    let (result, ()) = tokio::join!(publish, relay);
    assert_eq!(result.unwrap().version, 1);
    // The mean delay is 2.5 s at the cap, so that about 30 calls are made within the outage.
    assert!(store.call_times("").len() < 120);
}

/// Guards against reporting "not decided" about a candidate that relays may have accepted while
/// the store was away.
#[tokio::test(start_paused = true)]
async fn outcome_unknown() {
    let store = FakeStore::default();
    store.refuse_watches();
    let outage = async {
        store.candidate_written().await;
        store.set_unavailable_for(Duration::from_mins(10));
    };
    let (result, ()) = tokio::join!(store.publish(content(100), NO_WAIT), outage);
    let error = result.unwrap_err();
    assert_eq!(error.kind, ExitKind::Undecided);
    assert!(error.message.contains("is not known"), "{}", error.message);
    assert!(error.message.contains(ADDRESS), "{}", error.message);
}

/// Guards against claiming another operator's candidate after a lost answer.
#[tokio::test(start_paused = true)]
async fn rival_wins() {
    let store = FakeStore::default();
    store.put_head(4, &bundle(50));
    store.fail_candidate(WriteFault::LostRequest);
    let rival = async {
        store.called("revoke").await;
        store.put_head(5, &bundle(60));
    };
    let (result, ()) = tokio::join!(store.publish(content(100), NO_WAIT), rival);
    let error = result.unwrap_err();
    assert_eq!(error.kind, ExitKind::LostRace);
    assert!(error.message.contains("rival"), "{}", error.message);
    assert_eq!(store.head().unwrap().version, 5);
}
