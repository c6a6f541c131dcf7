//! Stand-in for the platform's key-value store, after PROTOCOL.md.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::json::{Json, quote};

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
    /// Changes as JSON, by revision.
    history: Vec<(i64, String, String)>,
    leases: HashMap<i64, (Instant, Duration)>,
    next_lease: i64,
    /// When the store gives no response.
    silent: Option<(Instant, Instant)>,
    /// Latest renewal of each lease.
    renewals: HashMap<i64, Instant>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((self.revision, key.to_owned(), write_item(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let text = format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                quote(key),
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), text));
        }
    }

    fn expire(&mut self) {
        self.leases
            .retain(|_, (renewed, ttl)| renewed.elapsed() < *ttl);
        let ended: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            self.delete(&key);
        }
    }
}

fn write_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"creation_revision\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 1;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                let mut state = expiring.state.0.lock().unwrap();
                let before = state.revision;
                state.expire();
                if state.revision != before {
                    expiring.state.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, text: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.put(key, &encode(text.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Gives no response from `start` on for `length`. What is asked meanwhile is done all the same.
    pub fn fall_silent(&self, start: Instant, length: Duration) {
        self.state.0.lock().unwrap().silent = Some((start, start + length));
    }

    /// Returns the latest renewals of all leases that last.
    pub fn renewals(&self) -> Vec<Instant> {
        let state = self.state.0.lock().unwrap();
        let renewals = state.renewals.iter();
        let lasting = renewals.filter(|(lease, _)| state.leases.contains_key(lease));
        lasting.map(|(_, renewed)| *renewed).collect()
    }

    fn is_silent(&self) -> bool {
        let state = self.state.0.lock().unwrap();
        let now = Instant::now();
        state
            .silent
            .is_some_and(|(start, end)| start <= now && now < end)
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(request) = wire.read() {
            let (status, body) = self.answer(&request);
            // Answers take 4 ms, as the deployments state.
            std::thread::sleep(Duration::from_millis(4));
            if self.is_silent() {
                // A connection on which a response is lost returns nothing further.
                while wire.read().is_ok() {}
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if wire.send((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = read_query(query);
        let text = String::from_utf8_lossy(&request.body);
        let body = Json::parse(&text).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        match (method, path) {
            ("GET", "/kv-key") => {
                let key = query.get("key").cloned().unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => {
                        let item = write_item(&key, item);
                        let body = item.trim_end_matches('}');
                        (200, format!("{body},\"at\":{}}}", state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = query.get("prefix").cloned().unwrap_or_default();
                let after = query.get("after").cloned().unwrap_or_default();
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> = found
                    .take(501)
                    .map(|(key, item)| write_item(key, item))
                    .collect();
                let more = found.len() > 500;
                let items = found[..found.len().min(500)].join(",");
                let at = state.revision;
                (
                    200,
                    format!("{{\"items\":[{items}],\"has_more\":{more},\"at\":{at}}}"),
                )
            }
            ("GET", "/kv-watch") => {
                let prefix = query.get("prefix").cloned().unwrap_or_default();
                let number = |key: &str| query.get(key).and_then(|text| text.parse().ok());
                let after: i64 = number("after").unwrap_or(0);
                let wait = u64::try_from(number("wait_ms").unwrap_or(0)).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(_, _, text)| text.clone())
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, at) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let answer = commit(&mut state, &body);
                self.state.1.notify_all();
                answer
            }
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttl_ms").number().clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                let time = Duration::from_millis(ttl.unsigned_abs());
                state.leases.insert(lease, (Instant::now(), time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                state.renewals.insert(lease, Instant::now());
                match state.leases.get_mut(&lease) {
                    Some((renewed, ttl)) => {
                        *renewed = Instant::now();
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.leases.remove(&lease);
                state.expire();
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

fn commit(state: &mut State, body: &Json) -> (u16, String) {
    let rows = body.get("precondition").list();
    let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let holds = rows
        .iter()
        .all(|row| revision_of(row.get("key").text()) == row.get("revision").number());
    if !holds {
        let present: Vec<String> = rows
            .iter()
            .filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|item| write_item(key, item))
            })
            .collect();
        let (items, at) = (present.join(","), state.revision);
        return (412, format!("{{\"items\":[{items}],\"at\":{at}}}"));
    }
    let puts = body.get("puts").list();
    let keys = puts.iter().chain(body.get("deletes").list());
    let closed = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
    if keys
        .into_iter()
        .any(|entry| closed(entry.get("key").text()) || closed(entry.text()))
    {
        return (403, "{}".to_owned());
    }
    let lacks_lease = |lease: i64| lease != 0 && !state.leases.contains_key(&lease);
    if puts
        .iter()
        .any(|put| lacks_lease(put.get("lease").number()))
    {
        return (404, "{}".to_owned());
    }
    for put in puts {
        let lease = put.get("lease").number();
        state.put(put.get("key").text(), put.get("value").text(), lease);
    }
    for key in body.get("deletes").list() {
        state.delete(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn read_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(key, value)| (key.to_owned(), decode_percent(value)))
        .collect()
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        let code = code.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let three = [
            piece[0],
            *piece.get(1).unwrap_or(&0),
            *piece.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(three[0]) << 16 | u32::from(three[1]) << 8 | u32::from(three[2]);
        for index in 0..4 {
            if index <= piece.len() {
                let letter = bits >> (18 - 6 * index) & 63;
                out.push(char::from(LETTERS[letter as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
