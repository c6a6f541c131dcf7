//! Deltas of route tables that nodes send to each other.

mod support;

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use apricotfold_model::{RawRouteTable, RouteTable};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::write::ZlibEncoder;
use serde_json::json;
use support::store::MemoryStore;
use support::target::{ReceivedCall, read_call};
use support::{TestNode, free_address, table};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Time within which a node that could not apply deltas asks for the whole table. It is shorter than
/// the interval of its polls.
const RETRY_TIMEOUT: Duration = Duration::from_millis(150);

/// Instances in the data centre beside the node, enough for relays to be used.
const INSTANCES: usize = 6;

/// Relay that answers polls with deltas that do not fit the node's table.
#[derive(Clone, Default)]
struct MisfitRelay {
    /// Times of the polls and the table versions that they named.
    polls: Arc<Mutex<Vec<(Instant, u64)>>>,
}

impl MisfitRelay {
    fn answer(&self, call: &ReceivedCall) -> String {
        let request: serde_json::Value = serde_json::from_slice(&call.body).expect("a poll");
        if request["progress-only"] == true {
            // The node compares its watches, and asks for no table.
            return json!({"follows-store": true, "store-age-ms": 0, "crashes": {}}).to_string();
        }
        let version = request["table-version"].as_u64().expect("a version");
        let mut polls = self.polls.lock().expect("no panic while locked");
        polls.push((call.at, version));
        let table = (version > 0).then(|| json!({"deltas": [misfit_delta()]}));
        json!({
            "follows-store": true, "store-age-ms": 0, "table": table,
            "records": null, "crashes": {},
        })
        .to_string()
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let relay = self.clone();
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while let Some(call) = read_call(&mut stream, &mut buffer).await {
                    let body = relay.answer(&call);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    let answer = head + &body;
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    }
}

fn checked(raw: RawRouteTable) -> RouteTable {
    RouteTable::try_from(raw).expect("a valid table")
}

/// Returns the compressed delta from a table that has another route than table 1, which is therefore
/// not among the changes.
fn misfit_delta() -> String {
    let mut base = table(1);
    base.routes[0].timeout_ms += 1;
    let mut next = base.clone();
    next.version = 2;
    let delta = checked(next).delta_from(&checked(base));
    let text = serde_json::to_vec(&delta).expect("JSON");
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&text).expect("memory");
    STANDARD.encode(encoder.finish().expect("memory"))
}

/// Guards against tables that arrive an interval of polls later because a route was changed and
/// changed back, so that the deltas of the relay do not fit.
#[tokio::test(flavor = "multi_thread")]
async fn whole_table_at_once() {
    let store = MemoryStore::default().other_client();
    store.publish(&table(1));
    let relay = MisfitRelay::default();
    let address = free_address();
    let listener = TcpListener::bind(address).await.expect("an address");
    tokio::spawn(relay.clone().serve(listener));
    for index in 0..INSTANCES {
        let node = format!("a{index}");
        let record = json!({"record": {
            "node": node, "address": address, "node-start": 1, "data-centre": "poa-a",
            "instance": format!("i-{node}"), "born": 1, "number": 1, "service": "press-room",
            "slots": 4, "state": "ready", "cold-ms": 0,
        }});
        store.write(&format!("apricotfold/nodes/{node}"), &record.to_string());
    }
    let _node = TestNode::start("n0", &store).await;
    let polls = || relay.polls.lock().expect("no panic while locked").clone();
    support::wait_within(Duration::from_secs(10), "polls", || async {
        polls().len() >= 4
    })
    .await;
    let polls = polls();
    let first = polls.iter().position(|(_, version)| *version > 0);
    let first = first.expect("a poll for deltas");
    let (delta_time, _) = polls[first];
    let (whole_time, version) = polls[first + 1];
    assert_eq!(version, 0, "the whole table is requested");
    let elapsed = whole_time - delta_time;
    assert!(elapsed < RETRY_TIMEOUT, "requested after {elapsed:?}");
}
