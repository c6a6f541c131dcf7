//! Targets that drain or leave, and delayed announcements of them.

mod support;

use std::time::{Duration, Instant};

use support::store::MemoryStore;
use support::{TestNode, table, wait_for};

/// Interval of announcements; they can be late by five intervals.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(600);

/// Guards against new calls to a target after the proxy has acknowledged that it drains. Its own
/// proxy must refuse them at once, whatever the store and other nodes know, and calls in progress
/// must finish.
#[tokio::test(flavor = "multi_thread")]
async fn draining_target_gets_no_new_calls() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let draining = TestNode::start("a", &store).await;
    let entry_store = store.other_client();
    let entry = TestNode::start_unannounced("b", &entry_store).await;
    entry.wait_serving().await;
    let running = {
        let (method, path) = ("POST", "/orders/slow/1");
        entry.call(method, path, "1900")
    };
    let leaving = async {
        wait_for("arrival", || async {
            !draining.target.calls("slow").is_empty()
        })
        .await;
        // The entry node can no longer reach the store.
        entry_store.set_unreachable(true);
        draining.announce(2, "draining").await;
        for turn in 0..20 {
            let path = format!("/pages/after/{turn}");
            let answer = entry.call("GET", &path, "1000").await;
            assert_eq!(answer.status, 503, "{answer:?}");
            assert_eq!(answer.header("outcome").as_deref(), Some("not-run"));
        }
        assert!(draining.target.calls("after").is_empty());
    };
    let (answer, ()) = tokio::join!(running, leaving);
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against a delayed announcement that makes a target accept calls again after it has left,
/// also at a node that has restarted and does not know the target.
#[tokio::test(flavor = "multi_thread")]
async fn delayed_announcement() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let node = TestNode::start("a", &store).await;
    node.wait_serving().await;
    node.leave().await;
    node.announce(9, "ready").await;
    let answer = node.call("GET", "/pages/late", "1000").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    let restarted =
        TestNode::start_announcing_every(ANNOUNCE_INTERVAL, "c", &store.other_client()).await;
    let started = Instant::now();
    wait_for("a route table", || async {
        let answer = restarted.call("GET", "/pages/any", "1000").await;
        answer.header("reason").as_deref() == Some("no-target")
    })
    .await;
    restarted.target.set_leaving();
    // Several announcements can be late.
    for number in 9..12 {
        restarted.announce(number, "ready").await;
        let answer = restarted.call("GET", "/pages/late", "1000").await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    // A target that continues to announce itself for longer than announcements can be late counts as
    // present, whatever its health check says.
    tokio::time::sleep((ANNOUNCE_INTERVAL * 5).saturating_sub(started.elapsed())).await;
    restarted.announce(12, "ready").await;
    restarted.wait_serving().await;
}
