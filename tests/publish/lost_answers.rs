//! Publishes against a store that loses responses or is unavailable.

use std::time::Duration;

use crate::fake_store::{ADDRESS, FakeStore, WriteFault, bundle, content};
use apricotfold::{ExitKind, PublishOutcome};
use tokio::time::{Instant, sleep};

const NO_WAIT: Duration = Duration::ZERO;

/// Publishes while a relay accepts the first candidate that it finds after one second.
async fn publish_accepted(store: &FakeStore) -> apricotfold::PublishReport {
    let relay = async {
        sleep(Duration::from_secs(1)).await;
        store.candidate_written().await;
        store.decide(7, &[]);
    };
    let (result, ()) = tokio::join!(store.publish(content(100), NO_WAIT), relay);
    result.unwrap()
}

/// Guards against a second write of a candidate whose write took effect although the response was
/// lost.
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

/// Guards against treating a candidate that was decided before the read-back as never written.
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

/// Guards against a publish that fails or hangs when the write request itself was lost.
#[tokio::test(start_paused = true)]
async fn lost_request() {
    let store = FakeStore::default();
    store.fail_candidate(WriteFault::LostRequest);
    let report = publish_accepted(&store).await;
    assert_eq!(report.version, 1);
    assert_eq!(store.head().unwrap().publish_id, report.publish_id);
}

/// Guards against a delayed write that takes effect after the read-back and creates a candidate in
/// addition to the one that replaced it, also when the revocation of its lease or the response to
/// the revocation is lost.
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

/// Guards against an error that does not name the unavailable store, or leaves open whether
/// anything was changed.
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

/// Guards against a publish with `--wait` that fails early, or floods a recovering store with
/// retries.
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
    // The mean delay at the cap is 2.5 s, so about 30 calls are made during the outage.
    assert!(store.call_times("").len() < 120);
}

/// Guards against reporting "not decided" for a candidate that relays may have accepted while the
/// store was unavailable.
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

/// Guards against mistaking another operator's publish for this one after a lost request.
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
