//! Watch streams of the store.

use serde_json::{Value, json};

use crate::support::{HttpEndpoint, WAIT_TIMEOUT, b64, put, start_store};

/// Client of an open watch that reads it line by line.
pub struct WatchLines {
    response: reqwest::Response,
    rest: Vec<u8>,
}

impl WatchLines {
    pub async fn open(store: &HttpEndpoint, create: Value) -> Self {
        let body = json!({"create_request": create});
        let response = store.client.post(store.url("/v3/watch")).json(&body).send();
        let mut lines = Self {
            response: response.await.expect("a response"),
            rest: Vec::new(),
        };
        let first = lines.next().await.expect("a first line");
        assert_eq!(first["result"]["created"], true, "{first}");
        lines
    }

    /// Reads the next line; `None` if the watch has ended or its connection was closed.
    pub async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Some(serde_json::from_slice(&line).expect("one JSON object per line"));
            }
            let chunk = tokio::time::timeout(WAIT_TIMEOUT, self.response.chunk()).await;
            let chunk = chunk.expect("a line in time").ok()??;
            self.rest.extend(chunk);
        }
    }

    /// Reads the next line; returns its events as kind, key and revision.
    pub async fn events(&mut self) -> Vec<(String, String, String)> {
        let line = self.next().await.expect("a live watch");
        let events = line["result"]["events"].as_array().expect("events").clone();
        let text = |value: &Value| value.as_str().unwrap_or("PUT").to_owned();
        events
            .iter()
            .map(|event| {
                let kv = &event["kv"];
                (
                    text(&event["type"]),
                    text(&kv["key"]),
                    text(&kv["mod_revision"]),
                )
            })
            .collect()
    }
}

fn event(kind: &str, key: &str, revision: u32) -> (String, String, String) {
    (kind.to_owned(), b64(key), revision.to_string())
}

/// Guards against lost events and events of other keys: a relay that misses the event of a head never
/// distributes it.
#[tokio::test]
async fn watch_reports_its_keys() {
    let store = start_store(json!({})).await;
    put(&store, "h/before", "0").await;
    let range = json!({"key": b64("h/"), "range_end": b64("h0")});
    let mut lines = WatchLines::open(&store, range).await;
    put(&store, "h/a", "1").await;
    assert_eq!(lines.events().await, [event("PUT", "h/a", 3)]);
    put(&store, "other", "2").await;
    let delete = json!({"key": b64("h/a")});
    store.post_ok("/v3/kv/deleterange", delete).await;
    assert_eq!(lines.events().await, [event("DELETE", "h/a", 5)]);
}

/// Guards against events that are lost between a range read and the watch that follows it.
#[tokio::test]
async fn watch_replays_from_revision() {
    let store = start_store(json!({})).await;
    for number in 1..=3 {
        put(&store, "k", &number.to_string()).await;
    }
    let create = json!({"key": b64("k"), "startRevision": "3"});
    let mut lines = WatchLines::open(&store, create).await;
    let expected = [event("PUT", "k", 3), event("PUT", "k", 4)];
    assert_eq!(lines.events().await, expected);
    put(&store, "k", "4").await;
    assert_eq!(lines.events().await, [event("PUT", "k", 5)]);
}

/// Guards against events that are lost or duplicated where a long replay is split into lines, also for
/// a client that resumes from the header of the last line it has read.
#[tokio::test]
async fn long_replay_is_split() {
    let store = start_store(json!({})).await;
    let large = "x".repeat(1_000_000);
    for _ in 0..8 {
        put(&store, "k", &large).await;
    }
    let create = json!({"key": b64("k"), "start_revision": "2"});
    let mut lines = WatchLines::open(&store, create).await;
    let line = lines.next().await.expect("a line");
    let first = line["result"]["events"].as_array().map_or(0, Vec::len);
    assert!(
        (1..8).contains(&first),
        "{first} of 8 events in the first line"
    );
    let last = &line["result"]["events"][first - 1]["kv"]["mod_revision"];
    assert_eq!(&line["result"]["header"]["revision"], last);
    let rest = lines.events().await;
    let reported = u32::try_from(first).expect("a small number");
    let expected: Vec<_> = (2 + reported..=9)
        .map(|revision| event("PUT", "k", revision))
        .collect();
    assert_eq!(rest, expected);
}
