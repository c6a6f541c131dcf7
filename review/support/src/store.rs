//! The platform's metadata store, as its page describes it.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Input};
use crate::json::{self, Json};
use crate::record::Record;

/// Time of an answer, by the page of the deployment.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    history: Vec<(i64, String)>,
    leases: HashMap<i64, (Instant, Duration)>,
    next_lease: i64,
    /// Nodes that get no response at present.
    silenced: Vec<String>,
    /// When each node last renewed its lease.
    renewed: HashMap<String, Instant>,
}

/// The store. Each node reaches it at an address of its own, so that a fault can concern one node.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let store = Self {
            state: Arc::default(),
            record: record.clone(),
        };
        store.state.0.lock().unwrap().revision = 1;
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                ticking.expire();
            }
        });
        store
    }

    /// Serves a node.
    pub fn serve(&self, listener: TcpListener, node: &str) -> SocketAddr {
        let address = listener.local_addr().expect("an address");
        let (store, node) = (self.clone(), node.to_owned());
        http::serve(listener, move |stream| {
            let _ = store.answer_all(stream, &node);
        });
        address
    }

    /// Writes a key as the operator does, and returns the revision.
    pub fn write(&self, key: &str, text: &str) -> i64 {
        let mut state = self.state.0.lock().unwrap();
        put(&mut state, key, &encode(text.as_bytes()), 0);
        self.state.1.notify_all();
        state.revision
    }

    /// Gives a node no response from now on, as a store does that turns some machines away.
    pub fn silence(&self, node: &str) {
        self.state.0.lock().unwrap().silenced.push(node.to_owned());
        self.record
            .line(&format!("store: no response to {node} from now on"));
    }

    /// Serves all nodes again.
    pub fn end_silence(&self) {
        self.state.0.lock().unwrap().silenced.clear();
        self.record.line("store: serves all nodes again");
    }

    /// Time since a node last renewed its lease.
    pub fn since_renewal(&self, node: &str) -> Duration {
        let state = self.state.0.lock().unwrap();
        state
            .renewed
            .get(node)
            .map_or(Duration::MAX, Instant::elapsed)
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        state
            .leases
            .retain(|_, (since, ttl)| now.duration_since(*since) < *ttl);
        let ended: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !state.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &ended {
            delete(&mut state, key);
        }
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn answer_all(&self, stream: TcpStream, node: &str) -> std::io::Result<()> {
        let mut output = stream.try_clone()?;
        let mut input = Input::new(stream);
        while let Some(head) = http::read_head(&mut input)? {
            let body = http::read_body(&mut input, &head)?;
            thread::sleep(ANSWER_TIME);
            let body = json::parse(&String::from_utf8_lossy(&body));
            let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
            let query: HashMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), value.replace("%2F", "/")))
                .collect();
            let (status, text) = match (head.word(0), path) {
                ("GET", "/kv-key") => self.read_key(&query),
                ("GET", "/kv-range") => self.read_range(&query),
                ("GET", "/kv-watch") => self.watch(&query),
                ("POST", "/kv-txn") => self.commit(&body),
                ("POST", "/kv-lease") => self.grant(&body),
                ("POST", path) => {
                    self.state
                        .0
                        .lock()
                        .unwrap()
                        .renewed
                        .insert(node.to_owned(), Instant::now());
                    self.renew(path.trim_start_matches("/kv-keep/"))
                }
                ("DELETE", path) => self.revoke(path.trim_start_matches("/kv-lease-end/")),
                _ => ("400 Bad Request", "{}".to_owned()),
            };
            if self.is_silent(node) {
                // A connection on which an answer is lost returns nothing further.
                self.record.line(&format!(
                    "store: no response to {node}: {} {path}",
                    head.word(0)
                ));
                thread::sleep(Duration::from_secs(600));
                return Ok(());
            }
            http::write_answer(
                &mut output,
                status,
                &[("Content-Type", "application/json")],
                text.as_bytes(),
            )?;
        }
        Ok(())
    }

    fn is_silent(&self, node: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        state.silenced.iter().any(|known| known == node)
    }

    fn read_key(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let key = &query["key"];
        match state.items.get(key) {
            Some(item) => {
                let shown = show(key, item);
                (
                    "200 OK",
                    format!("{},\"at\":{}}}", &shown[..shown.len() - 1], state.revision),
                )
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read_range(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let after = query.get("after").cloned().unwrap_or_default();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&query["prefix"]) && **key > after)
            .map(|(key, item)| show(key, item))
            .collect();
        let text = format!(
            "{{\"items\":[{}],\"has_more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", text)
    }

    fn watch(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        let after: i64 = query["after"].parse().unwrap_or(0);
        let wait: u64 = query["wait_ms"].parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, event)| {
                    let key = json::parse(event);
                    *revision > after && key.get("key").text().starts_with(&query["prefix"])
                })
                .map(|(_, event)| event.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", text);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (&'static str, String) {
        let mut state = self.state.0.lock().unwrap();
        let rows = body.get("precondition").list();
        let holds = rows.iter().all(|row| {
            let found = state.items.get(row.get("key").text());
            found.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let items: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| show(key, item))
                })
                .collect();
            let text = format!(
                "{{\"items\":[{}],\"at\":{}}}",
                items.join(","),
                state.revision
            );
            return ("412 Precondition Failed", text);
        }
        let puts = body.get("puts").list();
        let leased = |row: &Json| {
            let lease = row.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(leased) {
            return ("404 Not Found", "{}".to_owned());
        }
        for row in puts {
            put(
                &mut state,
                row.get("key").text(),
                row.get("value").text(),
                row.get("lease").number(),
            );
        }
        for key in body.get("deletes").list() {
            delete(&mut state, key.text());
        }
        self.state.1.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &Json) -> (&'static str, String) {
        let ttl = u64::try_from(body.get("ttl_ms").number()).unwrap_or(1000);
        let mut state = self.state.0.lock().unwrap();
        state.next_lease += 1;
        let lease = state.next_lease;
        state
            .leases
            .insert(lease, (Instant::now(), Duration::from_millis(ttl)));
        ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
    }

    fn renew(&self, lease: &str) -> (&'static str, String) {
        let mut state = self.state.0.lock().unwrap();
        match state.leases.get_mut(&lease.parse().unwrap_or(0)) {
            Some((since, ttl)) => {
                *since = Instant::now();
                ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn revoke(&self, lease: &str) -> (&'static str, String) {
        let lease = lease.parse().unwrap_or(0);
        self.state.0.lock().unwrap().leases.remove(&lease);
        self.expire();
        ("200 OK", "{}".to_owned())
    }
}

fn put(state: &mut State, key: &str, value: &str, lease: i64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
        value: value.to_owned(),
        revision,
        created,
        lease,
    };
    state.history.push((revision, show(key, &item)));
    state.items.insert(key.to_owned(), item);
}

fn delete(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        let event = format!(
            "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
            json::quote(key)
        );
        state.history.push((revision, event));
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"creation_revision\":{},\"lease\":{}}}",
        json::quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// Encodes bytes in standard base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                let sextet = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(LETTERS[sextet as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
