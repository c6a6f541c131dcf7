//! Departures that were acknowledged by a process that is killed right after.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::caller::exchange;
use support::store::MemoryStore;
use support::{TestNode, table, wait_for};

/// Time that the store takes for a call. A process that is killed right after it has acknowledged a
/// departure has not written it unless it waited for that.
const CALL_TIME: Duration = Duration::from_millis(30);

/// Number of calls that overload one target, which has four slots.
const CONCURRENT_CALLS: usize = 12;

/// Time within which a departing target gets no new work.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a departed target is checked to get no work: callers come back to a node that refused
/// them after a while.
const UNUSED_TIME: Duration = Duration::from_secs(4);

/// A node whose process is killed, another one that sends it work, and the killed one's client of the
/// store.
struct DepartingNode {
    node: TestNode,
    other: TestNode,
    client: Arc<MemoryStore>,
    /// Number of the announcements sent so far.
    number: u64,
}

impl DepartingNode {
    async fn start() -> Self {
        Self::start_named("a").await
    }

    async fn start_named(name: &str) -> Self {
        let store = MemoryStore::default().other_client();
        store.publish(&table(1));
        let client = store.other_client();
        let node = TestNode::start_killable(name, &client).await;
        let other = TestNode::start("b", &store.other_client()).await;
        wait_for("work for both targets", || async {
            call_all(&other, "first").await;
            call_all(&node, "first").await;
            !node.target.calls("first").is_empty() && !other.target.calls("first").is_empty()
        })
        .await;
        client.set_call_time(CALL_TIME);
        Self {
            node,
            other,
            client,
            number: 1,
        }
    }

    /// Kills the process, starts the next one, and sends it announcements that were held up.
    async fn restart(&mut self) {
        self.node.kill_process().await;
        self.node.start_process(&self.client).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        self.announce_late().await;
    }

    async fn announce_late(&mut self) {
        for _ in 0..4 {
            self.number += 1;
            self.node.announce(self.number, "ready").await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Checks that the target gets no work from the end of the drain time on.
    async fn assert_unused(&mut self) {
        tokio::time::sleep(DRAIN_TIME).await;
        self.announce_late().await;
        for _ in 0..5 {
            call_all(&self.other, "late").await;
            call_all(&self.node, "late").await;
        }
        assert!(self.node.target.calls("late").is_empty());
    }
}

/// Sends more calls at once than one target takes.
async fn call_all(node: &TestNode, word: &str) {
    let path = format!("/pages/{word}");
    let calls = (0..CONCURRENT_CALLS).map(|_| node.call("GET", &path, "1000"));
    futures_util::future::join_all(calls).await;
}

/// Guards against a departure that only the acknowledging process knew of, and against announcements
/// that were held up, however many, as proof that a target is there.
#[tokio::test(flavor = "multi_thread")]
async fn killed_after_leave() {
    let mut departing = DepartingNode::start().await;
    departing.node.leave().await;
    departing.node.target.set_leaving();
    departing.restart().await;
    departing.assert_unused().await;
}

/// Guards against the same if the target's health check goes on to say that it takes work.
#[tokio::test(flavor = "multi_thread")]
async fn lying_health_check() {
    let mut departing = DepartingNode::start().await;
    departing.node.leave().await;
    departing.restart().await;
    departing.assert_unused().await;
}

/// Guards against a drain that only the acknowledging process knew of.
#[tokio::test(flavor = "multi_thread")]
async fn killed_after_drain() {
    let mut departing = DepartingNode::start().await;
    departing.number += 10;
    departing.node.announce(departing.number, "draining").await;
    departing.restart().await;
    departing.assert_unused().await;
}

/// Guards against a departure that is forgotten when a second process, which has only heard of the
/// departure, is killed as well.
#[tokio::test(flavor = "multi_thread")]
async fn killed_twice() {
    let mut departing = DepartingNode::start().await;
    departing.node.kill_process().await;
    departing.node.start_process(&departing.client).await;
    departing.node.leave_as("i-a", 1).await;
    departing.restart().await;
    departing.assert_unused().await;
}

/// Guards against the same if the message that the target leaves does not state its start time, and
/// against writing the entry again for each repetition.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_without_start_time() {
    let mut departing = DepartingNode::start().await;
    departing.node.kill_process().await;
    departing.node.start_process(&departing.client).await;
    departing.node.leave().await;
    let entry = departing.client.read("apricotfold/nodes/a");
    departing.node.leave().await;
    tokio::time::sleep(CALL_TIME * 10).await;
    assert_eq!(departing.client.read("apricotfold/nodes/a"), entry);
    departing.restart().await;
    departing.assert_unused().await;
}

/// Guards against a departure that is lost because the store was away when it was acknowledged: peers
/// must keep it.
#[tokio::test(flavor = "multi_thread")]
async fn store_away() {
    let mut departing = DepartingNode::start().await;
    departing.client.set_unreachable(true);
    departing.node.leave().await;
    departing.node.kill_process().await;
    departing.client.set_unreachable(false);
    departing.node.start_process(&departing.client).await;
    departing.announce_late().await;
    departing.assert_unused().await;
}

/// A node that the store turns away, whose process is killed and started again, and nodes that send it work.
/// It is no relay, so that no other one polls it.
struct TurnedAway {
    departing: DepartingNode,
    /// More nodes than are told of a departure that the store does not learn of.
    others: Vec<TestNode>,
}

impl TurnedAway {
    async fn start() -> Self {
        let departing = DepartingNode::start_named("z").await;
        let mut others = Vec::new();
        for name in ["c", "d", "e", "f"] {
            let client = departing.client.other_client();
            others.push(TestNode::start(name, &client).await);
        }
        let away = Self { departing, others };
        wait_for("work for the target", || async {
            away.call_from_others("first").await;
            !away.departing.node.target.calls("first").is_empty()
        })
        .await;
        away.departing.client.set_unreachable(true);
        away
    }

    /// Sends more calls from the other nodes than the other targets take.
    async fn call_from_others(&self, word: &str) {
        let calls = self.others.iter().map(|other| call_all(other, word));
        futures_util::future::join_all(calls).await;
    }

    async fn wait_used(&self, word: &str) {
        wait_for("work for the target", || async {
            self.call_from_others(word).await;
            !self.departing.node.target.calls(word).is_empty()
        })
        .await;
    }

    /// Sends calls for some time, and checks that the target gets none of them.
    async fn assert_unused(&self, word: &str) {
        let end = Instant::now() + UNUSED_TIME;
        while Instant::now() < end {
            self.call_from_others(word).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let calls = self.departing.node.target.calls(word);
        assert!(calls.is_empty(), "{word}: {} calls", calls.len());
    }
}

/// Guards against a process without a route table that takes late announcements for proof that its target
/// is there: the store turns the node away before the departure, and while it starts again, twice.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_while_turned_away() {
    let mut away = TurnedAway::start().await;
    away.departing.node.leave().await;
    away.departing.node.target.set_leaving();
    for word in ["once", "twice"] {
        away.departing.restart().await;
        away.assert_unused(word).await;
    }
    away.departing.client.set_unreachable(false);
    away.departing.announce_late().await;
    away.assert_unused("back").await;
    let entry = away.departing.client.read("apricotfold/nodes/z");
    let ready = |entry: String| entry.contains(r#""state":"ready""#);
    assert!(!entry.is_some_and(ready), "written as ready");
}

/// Guards against a sound target that is not used because its node has started while the store turned it
/// away, so that it has no route table to ask the target by.
#[tokio::test(flavor = "multi_thread")]
async fn sound_without_store() {
    let mut away = TurnedAway::start().await;
    away.departing.restart().await;
    away.wait_used("again").await;
}

/// Guards against a next incarnation that is not used because the store turns its node away.
#[tokio::test(flavor = "multi_thread")]
async fn successor_without_store() {
    let mut away = TurnedAway::start().await;
    away.departing.node.leave().await;
    away.departing.restart().await;
    away.departing.node.announce_successor("i-next").await;
    away.wait_used("next").await;
}

/// Guards against a target that drains and counts as gone, because a peer tells its node of the departure that
/// it has just heard from it.
#[tokio::test(flavor = "multi_thread")]
async fn draining_is_not_gone() {
    let departing = DepartingNode::start().await;
    departing.node.announce(9, "draining").await;
    let key = "apricotfold/nodes/a";
    let entry = departing.client.read(key).expect("an entry");
    let entry: Value = serde_json::from_str(&entry).expect("JSON");
    let told = |record: &Value, progress_only: bool| {
        let body = json!({
            "node": "a", "table-version": 1, "digest": 0, "record": record,
            "progress-only": progress_only,
        });
        let address = departing.other.config.peer_address;
        async move {
            let headers = [("apricotfold-exchange", "1")];
            let answer = exchange(address, "POST", "/", &headers, &body.to_string()).await;
            let answer: Value = serde_json::from_str(&answer.body).expect("JSON");
            answer["departed"].clone()
        }
    };
    assert_eq!(told(&entry["record"], false).await, Value::Null);
    assert_eq!(told(&Value::Null, true).await, Value::Null);
    // A process that does not know is told.
    assert_eq!(told(&Value::Null, false).await["instance"], "i-a");
}

/// Guards against an acknowledgement that nobody but the process itself could keep.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_keeps_it() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start("a", &store).await;
    node.wait_serving().await;
    store.set_unreachable(true);
    assert_eq!(node.try_leave().await, 503);
    store.set_unreachable(false);
    wait_for("the store", || async { node.try_leave().await == 200 }).await;
}
