//! Publishes that are accepted, rejected, undecided, or lose a race against another operator.

use std::time::Duration;

use crate::fake_store::{FakeStore, PROFILE, bundle, content};
use apricotfold::{CommandError, ErrorDetail, ExitKind, PublishContent, PublishOutcome};
use apricotfold_model::{CandidateEntry, HeadState, OutcomeEntry, keys};
use tokio::time::Instant;

const NO_WAIT: Duration = Duration::ZERO;

async fn publish(store: &FakeStore) -> Result<apricotfold::PublishReport, CommandError> {
    store.publish(content(100), NO_WAIT).await
}

/// Returns the differences between the winner's content and this publish's, one field per line.
fn race_fields(error: &CommandError) -> Vec<String> {
    let ErrorDetail::Race(race) = &error.detail else {
        panic!("no race: {error:?}");
    };
    let differences = race.differences.as_ref().expect("readable content");
    differences.iter().map(ToString::to_string).collect()
}

/// Guards against overwriting or queueing behind another operator's candidate, and against an error
/// that does not name the winner and the differences.
#[tokio::test(start_paused = true)]
async fn pending_rival() {
    let store = FakeStore::default();
    store.put_head(6, &bundle(50));
    let rival = CandidateEntry {
        profile: PROFILE.into(),
        version: 7,
        digest: bundle(50).digest,
        state: HeadState::Published,
        publish_id: "rival-7".into(),
        operator: "rival".into(),
        base_revision: 1,
    };
    store.put(keys::candidate(PROFILE), &rival);
    let error = publish(&store).await.unwrap_err();
    assert_eq!(error.kind, ExitKind::LostRace);
    for part in ["rival", "rival-7", "version 7", "not decided yet"] {
        assert!(error.message.contains(part), "{}", error.message);
    }
    assert_eq!(race_fields(&error), ["routes[pages].timeout_ms: 50 -> 100"]);
    assert!(store.call_times("commit").is_empty(), "nothing is written");
}

/// Guards against replacing a head that changed after it was read.
#[tokio::test(start_paused = true)]
async fn moved_head() {
    let store = FakeStore::default();
    let rival = async {
        store.called("grant").await;
        store.put_head(1, &bundle(60));
    };
    let (result, ()) = tokio::join!(publish(&store), rival);
    let error = result.unwrap_err();
    assert_eq!(error.kind, ExitKind::LostRace);
    assert_eq!(race_fields(&error), ["routes[pages].timeout_ms: 60 -> 100"]);
    assert_eq!(store.head().unwrap().operator, "rival");
}

/// Guards against a rejection that omits the nodes' reasons, and against a retry when a reason is
/// not a stale version.
#[tokio::test(start_paused = true)]
async fn rejected_version() {
    let store = FakeStore::default();
    let refusals = [("n1", "stale-version: known 9"), ("n2", "missing-listener")];
    let relay = async {
        store.candidate_written().await;
        store.decide(2, &refusals);
    };
    let (result, ()) = tokio::join!(publish(&store), relay);
    let error = result.unwrap_err();
    assert_eq!(error.kind, ExitKind::Rejected);
    let text = error.to_string();
    for part in [
        "2 nodes prepared",
        "n1: stale-version",
        "n2: missing-listener",
    ] {
        assert!(text.contains(part), "{text}");
    }
    assert_eq!(store.head(), None);
}

/// Guards against a store restored from an older snapshot that blocks every publish, and against
/// endless retries.
#[tokio::test(start_paused = true)]
async fn stale_version() {
    for refused_again in [false, true] {
        let store = FakeStore::default();
        let relay = async {
            store.candidate_written().await;
            let refusals = [
                ("n1", "stale-version: known 8"),
                ("n2", "stale-version: known 9"),
            ];
            store.decide(0, &refusals);
            let second = store.candidate_written().await;
            assert_eq!(second.version, 10);
            let refusal = [("n1", "stale-version: known 11")];
            store.decide(3, if refused_again { &refusal } else { &[] });
        };
        let (result, ()) = tokio::join!(publish(&store), relay);
        match result {
            Ok(report) => assert_eq!((refused_again, report.version), (false, 10)),
            Err(error) => assert_eq!((refused_again, error.kind), (true, ExitKind::Rejected)),
        }
    }
}

/// Guards against a new version for content that the head already has.
#[tokio::test(start_paused = true)]
async fn same_content() {
    let store = FakeStore::default();
    store.put_head(3, &bundle(100));
    let report = publish(&store).await.unwrap();
    assert_eq!(
        (report.outcome, report.version),
        (PublishOutcome::Unchanged, 3)
    );
    assert!(report.to_string().contains("nothing changed"));
    assert!(store.call_times("commit").is_empty());
}

/// Guards against an undecided candidate that is not removed, and against a wait that is shorter or
/// longer than the decision timeout.
#[tokio::test(start_paused = true)]
async fn no_relay() {
    let store = FakeStore::default();
    let started = Instant::now();
    let error = publish(&store).await.unwrap_err();
    assert_eq!(error.kind, ExitKind::Undecided);
    assert!(
        error.message.contains("no relay decided"),
        "{}",
        error.message
    );
    assert!((15..17).contains(&started.elapsed().as_secs()));
    assert_eq!(store.candidate(), None);
    assert_eq!(store.head(), None);
}

/// Guards against reporting a publish as undecided when a relay decided just before the removal of
/// the candidate.
#[tokio::test(start_paused = true)]
async fn late_decision() {
    let store = FakeStore::default();
    store.refuse_watches();
    let relay = async {
        store.candidate_written().await;
        // The last read of the candidate is the first one after 15 s. The removal follows 5 ms
        // later.
        let written = Instant::now();
        let last_read = |time: &Instant| time.duration_since(written) >= Duration::from_secs(15);
        let reads = |store: &FakeStore| store.call_times("get");
        store
            .until(|store| reads(store).into_iter().find(last_read))
            .await;
        store.decide(4, &[]);
    };
    let (result, ()) = tokio::join!(publish(&store), relay);
    assert_eq!(result.unwrap().prepared, Some(4));
}

/// Guards against reporting an accepted publish as expired when a later publish replaced its
/// outcome before it was read.
#[tokio::test(start_paused = true)]
async fn replaced_outcome() {
    let store = FakeStore::default();
    store.refuse_watches();
    let relay = async {
        store.candidate_written().await;
        store.decide(7, &[]);
        let later = OutcomeEntry {
            publish_id: "rival-2".into(),
            version: 2,
            accepted: false,
            prepared: 0,
            refusals: Vec::new(),
        };
        store.put(keys::outcome(PROFILE), &later);
    };
    let (result, ()) = tokio::join!(publish(&store), relay);
    let report = result.unwrap();
    assert_eq!((report.version, report.prepared), (1, None));
}

/// Guards against excessive reads from the store while a publish waits: at most one per 200 ms
/// without a watch, and far fewer with one.
#[tokio::test(start_paused = true)]
async fn sparse_reads() {
    for (watches, limit) in [(true, 12), (false, 62)] {
        let store = FakeStore::default();
        if !watches {
            store.refuse_watches();
        }
        publish(&store).await.unwrap_err();
        let reads = store.call_times("get");
        let waiting = &reads[3..];
        assert!(waiting.len() < limit, "{} reads", waiting.len());
        let gaps = waiting.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.min().unwrap() >= Duration::from_millis(200));
    }
}

/// Guards against a withdrawal that is not decided like a publish, carries content, or creates a
/// head for a profile that was never published.
#[tokio::test(start_paused = true)]
async fn withdrawal() {
    let store = FakeStore::default();
    let withdraw = || store.publish(PublishContent::Withdrawal, NO_WAIT);
    let error = withdraw().await.unwrap_err();
    assert_eq!(error.kind, ExitKind::BadInput);
    store.put_head(3, &bundle(100));
    let relay = async {
        let candidate = store.candidate_written().await;
        assert_eq!((candidate.digest.as_str(), candidate.version), ("", 4));
        store.decide(2, &[]);
    };
    let (result, ()) = tokio::join!(withdraw(), relay);
    assert_eq!(result.unwrap().state, HeadState::Withdrawn);
    assert_eq!(store.head().unwrap().state, HeadState::Withdrawn);
    let again = withdraw().await.unwrap();
    assert_eq!(
        (again.outcome, again.version),
        (PublishOutcome::Unchanged, 4)
    );
}
