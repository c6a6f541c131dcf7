//! Stand-ins of the platform (store, targets, clients) and a launcher of the project's program, for the
//! scripts of this review. Only the standard library is used, so that `rustc` alone builds them.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- record

struct Record {
    file: File,
    start: Instant,
}

static RECORD: OnceLock<Mutex<Record>> = OnceLock::new();

/// Opens `record.txt` of the case.
pub fn open_record(folder: &Path) {
    let file = File::create(folder.join("record.txt")).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let _ = RECORD.set(Mutex::new(Record { file, start: Instant::now() }));
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default(info);
        if thread::current().name() == Some("main") {
            end_all();
            std::process::exit(2);
        }
    }));
}

/// Writes a line with the time since the start of the script.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let mut record = record.lock().unwrap();
        let at = record.start.elapsed().as_secs_f64();
        let _ = writeln!(record.file, "{at:9.3} {text}");
    }
}

/// Also prints the line.
pub fn say(text: &str) {
    note(text);
    println!("{text}");
}

/// Ends the script because the case could not run.
pub fn cannot_run(why: &str) -> ! {
    say(&format!("the case could not run: {why}"));
    end_all();
    std::process::exit(2)
}

/// Ends the script with the verdict.
pub fn verdict(broken: bool, text: &str) -> ! {
    say(&format!("{}: {text}", if broken { "BROKEN" } else { "held" }));
    end_all();
    std::process::exit(i32::from(broken))
}

/// Whether the disruption is to be played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }
    pub fn int(&self) -> i64 {
        match self {
            Json::Num(value) => *value as i64,
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&chars, &mut at)
    }
}

fn skip(c: &[char], at: &mut usize) {
    while *at < c.len() && c[*at].is_whitespace() {
        *at += 1;
    }
}

fn parse_value(c: &[char], at: &mut usize) -> Option<Json> {
    skip(c, at);
    match c.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(c, at);
                match c.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Str(key) = parse_value(c, at)? else { return None };
                        skip(c, at);
                        if *c.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(c, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(c, at);
                match c.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(parse_value(c, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                match c.get(*at)? {
                    '"' => {
                        *at += 1;
                        return Some(Json::Str(text));
                    }
                    '\\' => {
                        *at += 1;
                        match c.get(*at)? {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'r' => text.push('\r'),
                            'b' => text.push('\u{8}'),
                            'f' => text.push('\u{c}'),
                            'u' => {
                                let code: String = c.get(*at + 1..*at + 5)?.iter().collect();
                                let code = u32::from_str_radix(&code, 16).ok()?;
                                text.push(char::from_u32(code).unwrap_or('?'));
                                *at += 4;
                            }
                            other => text.push(*other),
                        }
                        *at += 1;
                    }
                    other => {
                        text.push(*other);
                        *at += 1;
                    }
                }
            }
        }
        't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < c.len() && matches!(c[*at], '0'..='9' | '-' | '+' | '.' | 'e' | 'E') {
                *at += 1;
            }
            let text: String = c[start..*at].iter().collect();
            text.parse().ok().map(Json::Num)
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(B64[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for b in text.bytes() {
        let Some(v) = B64.iter().position(|c| *c == b) else { continue };
        n = (n << 6) | v as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or status, as the first line has them.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head(input: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    let mut message = Message::default();
    loop {
        line.clear();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if message.first.is_empty() {
            if !text.is_empty() {
                message.first = text.to_owned();
            }
        } else if text.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with its whole body. `None` if the connection ends before.
pub fn read_message(input: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(input)?;
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut piece = vec![0; size + 2];
            input.read_exact(&mut piece).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    message.body = body;
    Some(message)
}

pub fn answer(output: &mut impl Write, status: u16, headers: &[(&str, &str)], body: &[u8]) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    output.write_all(head.as_bytes())?;
    output.write_all(body)?;
    output.flush()
}

/// One call on a connection of its own.
pub fn call(address: SocketAddr, method: &str, target: &str, headers: &[(&str, &str)], body: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_message(&mut BufReader::new(stream))
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// An address with a port that is free now, outside the range of ephemeral ports, so that no connection
/// takes it before its process listens.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let base = 11_000 + (std::process::id() as usize % 100) * 200;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed);
        let address: SocketAddr = format!("127.0.0.1:{port}").parse().unwrap();
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

/// `history_s`
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct StoreState {
    revision: i64,
    items: BTreeMap<String, Item>,
    history: Vec<(i64, String, Option<Item>, Instant)>,
    /// Revision up to which the history has been discarded.
    discarded: i64,
    leases: HashMap<i64, (Instant, Duration)>,
    next_lease: i64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item), Instant::now()));
    }
    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None, Instant::now()));
        }
    }
    fn expire(&mut self) {
        let old = self.history.iter().take_while(|event| event.3.elapsed() > HISTORY).count();
        if let Some(last) = self.history.drain(..old).next_back() {
            self.discarded = last.0;
        }
        self.leases.retain(|_, (at, ttl)| at.elapsed() < *ttl);
        let leases = &self.leases;
        let ended: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            self.delete(&key);
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"creation_revision\":{},\"lease\":{}}}",
        quote(key), quote(&item.value), item.revision, item.created, item.lease
    )
}

/// The platform's metadata store, in memory.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Whether calls get no answer and are not done.
    pub down: Arc<AtomicBool>,
}

/// How the store treats the calls of one machine.
pub const SERVES: u64 = 0;
pub const REFUSES: u64 = 1;
pub const SILENT: u64 = 2;

/// An address of the store for one machine, so that the store can turn that machine away.
pub struct Door {
    pub address: SocketAddr,
    pub mode: Arc<AtomicU64>,
    /// When a lease was last renewed through it.
    pub renewed: Arc<Mutex<Option<Instant>>>,
    /// Bytes per second of the machine's link, 0 for no limit.
    pub rate: Arc<AtomicU64>,
}

/// A link that all answers to a machine share.
#[derive(Clone, Default)]
struct Link {
    rate: Arc<AtomicU64>,
    free: Arc<Mutex<Option<Instant>>>,
}

impl Link {
    fn write(&self, output: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        for piece in bytes.chunks(4_096) {
            let rate = self.rate.load(Ordering::Relaxed);
            if rate > 0 {
                let wait = {
                    let mut free = self.free.lock().unwrap();
                    let now = Instant::now();
                    let start = free.map_or(now, |at| at.max(now));
                    *free = Some(start + Duration::from_secs_f64(piece.len() as f64 / rate as f64));
                    start - now
                };
                thread::sleep(wait);
            }
            output.write_all(piece)?;
        }
        output.flush()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(v) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(v);
                at += 3;
                continue;
            }
        }
        out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn query(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| decode(value))
}

impl Store {
    pub fn start() -> Self {
        let listener = listen();
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            down: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 1;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream, &AtomicU64::new(SERVES), &Mutex::default(), &Link::default()));
            }
        });
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                ticking.state.0.lock().unwrap().expire();
                ticking.state.1.notify_all();
            }
        });
        store
    }

    /// Opens an address for one machine.
    pub fn door(&self) -> Door {
        let listener = listen();
        let (address, mode) = (listener.local_addr().unwrap(), Arc::new(AtomicU64::new(SERVES)));
        let renewed: Arc<Mutex<Option<Instant>>> = Arc::default();
        let link = Link::default();
        let rate = link.rate.clone();
        let (store, shared, seen) = (self.clone(), mode.clone(), renewed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, mode, renewed, link) = (store.clone(), shared.clone(), seen.clone(), link.clone());
                thread::spawn(move || store.serve(stream, &mode, &renewed, &link));
            }
        });
        Door { address, mode, renewed, rate }
    }

    /// Writes a key without a lease, as the operator does.
    pub fn write(&self, key: &str, text: &str) {
        self.state.0.lock().unwrap().put(key, &base64(text.as_bytes()), 0);
        self.state.1.notify_all();
        note(&format!("operator writes {key}, acknowledged"));
    }

    pub fn read(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&unbase64(&item.value)).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, stream: TcpStream, mode: &AtomicU64, renewed: &Mutex<Option<Instant>>, link: &Link) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some(request) = read_message(&mut input) {
            if self.down.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_secs(40));
                return;
            }
            thread::sleep(Duration::from_millis(4));
            let mut done = (503, "{}".to_owned());
            if mode.load(Ordering::Relaxed) == SERVES {
                done = self.answer(&request);
                if request.target().starts_with("/kv-keep/") {
                    *renewed.lock().unwrap() = Some(Instant::now());
                }
            }
            match mode.load(Ordering::Relaxed) {
                SERVES => {}
                REFUSES => done = (503, "{}".to_owned()),
                _ => {
                    thread::sleep(Duration::from_secs(40));
                    return;
                }
            }
            let (status, body) = done;
            if self.down.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_secs(40));
                return;
            }
            let json = [("content-type", "application/json")];
            let mut bytes = Vec::new();
            if answer(&mut bytes, status, &json, body.as_bytes()).is_err() || link.write(&mut output, &bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let path = target.split('?').next().unwrap_or("").to_owned();
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&text).unwrap_or(Json::Null);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.expire();
        match (request.method(), path.as_str()) {
            ("GET", "/kv-key") => {
                let key = query(&target, "key");
                match state.items.get(&key) {
                    Some(item) => {
                        let shown = show(&key, item);
                        (200, format!("{},\"at\":{}}}", &shown[..shown.len() - 1], state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (query(&target, "prefix"), query(&target, "after"));
                let found: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| show(key, item))
                    .collect();
                let more = found.len() > 500;
                let items = found[..found.len().min(500)].join(",");
                (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"at\":{}}}", state.revision))
            }
            ("GET", "/kv-watch") => {
                let prefix = query(&target, "prefix");
                let after: i64 = query(&target, "after").parse().unwrap_or(0);
                let wait: u64 = query(&target, "wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    if after < state.discarded {
                        return (410, "{}".to_owned());
                    }
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, ..)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item, _)| match item {
                            Some(item) => show(key, item),
                            None => format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key)),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let rows = body.get("precondition").list();
                let holds = rows.iter().all(|row| {
                    let found = state.items.get(row.get("key").text());
                    found.map_or(0, |item| item.revision) == row.get("revision").int()
                });
                if !holds {
                    let items: Vec<String> = rows
                        .iter()
                        .filter_map(|row| {
                            let key = row.get("key").text();
                            state.items.get(key).map(|item| show(key, item))
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}],\"at\":{}}}", items.join(","), state.revision));
                }
                for put in body.get("puts").list() {
                    let lease = put.get("lease").int();
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                }
                for put in body.get("puts").list() {
                    state.put(put.get("key").text(), put.get("value").text(), put.get("lease").int());
                }
                for key in body.get("deletes").list() {
                    state.delete(key.text());
                }
                changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttl_ms").int().clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = 77_000 + state.next_lease;
                state.leases.insert(lease, (Instant::now(), Duration::from_millis(ttl as u64)));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: i64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((at, ttl)) => {
                        *at = Instant::now();
                        let ttl = ttl.as_millis();
                        (200, format!("{{\"ttl_ms\":{ttl}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease: i64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.leases.remove(&lease);
                state.expire();
                changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

/// A route as the operator writes it.
pub struct Route {
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    pub priority: u32,
    pub service: &'static str,
    pub max_attempts: u32,
}

/// Returns a configuration document. `further` is more of its fields, with a leading comma.
pub fn config(version: u32, routes: &[Route], services: &[&str], further: &str) -> String {
    let rows: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, r)| {
            format!(
                "[\"r-{index}\",{},{},{},{},{},{},{},{}]",
                quote(r.host), quote(r.prefix), quote(r.kind), r.timeout_ms, r.target_latency_ms,
                r.priority, quote(r.service), r.max_attempts
            )
        })
        .collect();
    let services: Vec<String> = services.iter().map(|s| format!("[{},\"/health\"]", quote(s))).collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\"max_attempts\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\"],\"rows\":[{}]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{further}}}",
        rows.join(","), services.join(",")
    )
}

// ---------------------------------------------------------------- targets

/// How a target answers a request that it runs: the time that it takes, and the size of its answer.
pub type Work = fn(&Message) -> (Duration, usize);

/// An upstream, with the slots and headers of the platform's pages.
pub struct Target {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub slots: usize,
    work: Work,
    running: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    /// Ids of the requests that have run, in order.
    pub runs: Mutex<Vec<String>>,
    /// The same with the times at which they began to run.
    pub run_times: Mutex<Vec<(String, Instant)>>,
    pub leaving: AtomicBool,
    seq: AtomicU64,
    pub born: u64,
    pub record_runs: bool,
}

impl Target {
    pub fn start(id: &str, service: &'static str, slots: usize, work: Work, record_runs: bool) -> Arc<Self> {
        let listener = listen();
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
        let target = Arc::new(Self {
            id: id.to_owned(),
            service,
            address: listener.local_addr().unwrap(),
            slots,
            work,
            running: Mutex::new(0),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            runs: Mutex::default(),
            run_times: Mutex::default(),
            leaving: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            born,
            record_runs,
        });
        let serving = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = serving.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
        target
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some(request) = read_message(&mut input) {
            if self.answer(&request, &mut output).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, output: &mut TcpStream) -> std::io::Result<()> {
        let load = format!("{},{},{}", *self.running.lock().unwrap(), self.waiting.load(Ordering::Relaxed), self.slots);
        if request.target() == "/health" {
            let status = if self.leaving.load(Ordering::Relaxed) { 503 } else { 200 };
            return answer(output, status, &[("X-Instance-Id", &self.id), ("X-Server-Load", &load)], b"");
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return answer(output, 421, &[("X-Instance-Id", &self.id), ("X-Request-Id", &id)], b"");
        }
        let mut running = self.running.lock().unwrap();
        if *running >= self.slots {
            if self.waiting.load(Ordering::Relaxed) >= 4 * self.slots {
                drop(running);
                return answer(output, 503, &[("X-Not-Executed", "1"), ("X-Request-Id", &id), ("X-Server-Load", &load)], b"");
            }
            self.waiting.fetch_add(1, Ordering::Relaxed);
            while *running >= self.slots {
                running = self.freed.wait(running).unwrap();
            }
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        *running += 1;
        drop(running);
        self.runs.lock().unwrap().push(id.clone());
        self.run_times.lock().unwrap().push((id.clone(), Instant::now()));
        if self.record_runs {
            note(&format!("target {} runs {id} {}", self.id, request.target()));
        }
        let (time, size) = (self.work)(request);
        thread::sleep(time);
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        let load = format!("{},{},{}", *self.running.lock().unwrap(), self.waiting.load(Ordering::Relaxed), self.slots);
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Signature", "3e1b.07.5a2"), ("X-Server-Load", &load), ("X-Instance-Id", &self.id)];
        answer(output, 200, &headers, &vec![b'x'; size])
    }

    /// Tells the node beside the target its state. Returns the status of the answer.
    pub fn beat(&self, node: &Node, state: &str) -> u16 {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let body = self.beat_text(node, state, seq);
        let path = format!("/rpc?call=instances.heartbeat&of={}", self.id);
        let json = [("Content-Type", "application/json")];
        call(node.control, "POST", &path, &json, body.as_bytes(), Duration::from_secs(1)).map_or(0, |a| a.status())
    }

    fn beat_text(&self, node: &Node, state: &str, seq: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":{},\"version\":\"v1\",\"zone\":{},\"slots\":{}}},\"status\":{{\"state\":{},\"seq\":{seq},\"cold_remaining_ms\":0}}}}",
            self.address, self.born, quote(self.service), quote(&node.zone), self.slots, quote(state)
        )
    }
}

/// Has a target announce itself every 1.5 s, as long as the script runs.
pub fn keep_beating(target: &Arc<Target>, node: &Arc<Node>) {
    let (target, node) = (target.clone(), node.clone());
    thread::spawn(move || {
        loop {
            let state = if target.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
            target.beat(&node, state);
            thread::sleep(Duration::from_millis(1_500));
        }
    });
}

// ---------------------------------------------------------------- nodes

/// What the machines of a deployment share.
pub struct Site {
    /// Zones with their regions.
    pub zones: [(&'static str, &'static str); 4],
    pub retry_budget_slack: u32,
}

pub const LVSUR: Site = Site {
    zones: [
        ("stgo-norte", "santiago"),
        ("stgo-sur", "santiago"),
        ("valpo-puerto", "valparaiso"),
        ("vina-centro", "valparaiso"),
    ],
    retry_budget_slack: 60,
};

/// Settings of a machine that differ between the cases.
pub struct Machine {
    pub site: &'static Site,
    pub memory_mb: u32,
    pub fd_limit: u32,
    pub link_mbps: f64,
}

/// The machines of `lvsur-mesh`.
pub const LVSUR_MACHINE: Machine = Machine { site: &LVSUR, memory_mb: 110, fd_limit: 4_100, link_mbps: 1000.0 };

/// The project's process beside one target.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Mutex<Option<Child>>,
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).stderr(Stdio::null()).status();
}

/// Ends all processes that the script has started, and removes its folder.
pub fn end_all() {
    let Ok(mut children) = CHILDREN.lock() else { return };
    for pid in children.drain(..) {
        signal(pid, "CONT");
        signal(pid, "KILL");
    }
    if let Some(folder) = FOLDER.get() {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(folder);
        } else {
            println!("logs in {}", folder.display());
        }
    }
}

pub fn folder() -> &'static Path {
    FOLDER.get_or_init(|| {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        path
    })
}

const PROGRAM: &str = "target/release/apricotfold-proxy";

impl Node {
    /// Starts the process with the command of the deploy file and the settings that its template gives.
    pub fn start(name: &str, zone: &str, target: &Target, store: SocketAddr, machine: &Machine) -> Arc<Self> {
        let region = machine.site.zones.iter().find(|(name, _)| *name == zone);
        let (_, region) = region.unwrap_or_else(|| cannot_run("the site has no such zone"));
        let zones: Vec<String> = machine.site.zones.iter().map(|(name, region)| format!("{}:{}", quote(name), quote(region))).collect();
        let (outbound, inbound, ready, control, metrics) =
            (free_address(), free_address(), free_address(), free_address(), free_address());
        let text = format!(
            "{{\"node\":{},\"region\":{},\"data_centre\":{},\"data_centres\":{{{}}},\"caller_address\":\"{outbound}\",\"peer_address\":\"{inbound}\",\"announce_address\":\"{control}\",\"ready_address\":\"{ready}\",\"metrics_address\":\"{metrics}\",\"target_address\":\"{}\",\"service\":{},\"store_address\":\"{}\",\"lease_min_ms\":\"1000\",\"announce_interval_ms\":\"1500\",\"grace_s\":\"6\",\"retry_share\":\"0.2\",\"retry_slack\":\"{}\",\"retry_window_s\":\"10\",\"link_mbps\":\"{}\",\"memory_mb\":\"{}\",\"fd_limit\":\"{}\"}}",
            quote(name), quote(region), quote(zone), zones.join(","), target.address, quote(target.service), store,
            machine.site.retry_budget_slack, machine.link_mbps, machine.memory_mb, machine.fd_limit
        );
        let settings = folder().join(format!("{name}.json"));
        std::fs::write(&settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let node = Arc::new(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            outbound,
            inbound,
            ready,
            control,
            settings,
            log: folder().join(format!("{name}.log")),
            child: Mutex::new(None),
        });
        node.run();
        node
    }

    /// Starts the process, again if it has ended.
    pub fn run(&self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("APRICOTFOLD_CONFIG", &self.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("{PROGRAM}: {e}")));
        CHILDREN.lock().unwrap().push(child.id());
        note(&format!("{} starts, process {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        note(&format!("{} gets SIG{name}", self.name));
        signal(self.pid(), name);
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn wait_ended(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.ended().is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/ready", &[], b"", Duration::from_secs(1)).is_some_and(|a| a.status() == 200)
    }

    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > end {
                cannot_run(&format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        note(&format!("{} is ready", self.name));
    }

    fn status_kb(&self, field: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(field));
        line.and_then(|line| line.split_whitespace().nth(1)).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Resident memory of the process, now and at most, in MiB.
    pub fn memory_mb(&self) -> (u64, u64) {
        (self.status_kb("VmRSS:") / 1024, self.status_kb("VmHWM:") / 1024)
    }

    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(word)).map(str::to_owned).collect()
    }
}

/// Waits until a node answers a request with 200.
pub fn wait_served(node: &Node, host: &str, path: &str) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let end = Instant::now() + Duration::from_secs(15);
    loop {
        let id = format!("warm-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let headers = [("Host", host), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1000")];
        let got = call(node.outbound, "GET", path, &headers, b"", Duration::from_secs(2));
        if got.is_some_and(|a| a.status() == 200) {
            return;
        }
        if Instant::now() > end {
            cannot_run(&format!("{} does not serve {path}", node.name));
        }
        thread::sleep(Duration::from_millis(100));
    }
}

// ---------------------------------------------------------------- sockets

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects as a client whose path has packets of Ethernet's size and whose receive buffer is small. On the
/// loopback interface, whose packets have 64 KiB, the buffers of the system would take megabytes.
pub fn connect_small(address: SocketAddr, receive_buffer: i32) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(address) = address else { return None };
    let mut raw = [0_u8; 16];
    raw[0] = 2;
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the descriptor is new and owned by the stream from here on; the pointers refer to locals.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let segment = 1_448_i32;
        // SOL_SOCKET SO_RCVBUF, IPPROTO_TCP TCP_MAXSEG
        setsockopt(fd, 1, 8, &receive_buffer, 4);
        setsockopt(fd, 6, 2, &segment, 4);
        (connect(fd, raw.as_ptr(), 16) == 0).then_some(stream)
    }
}

/// An announcement that is on its way.
pub struct LateBeat {
    path: String,
    body: String,
}

impl Target {
    /// Sends an announcement as ready that arrives later.
    pub fn late_beat(&self, node: &Node) -> LateBeat {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        note(&format!("{} sends its announcement {seq} as ready, which will be late", self.id));
        LateBeat {
            path: format!("/rpc?call=instances.heartbeat&of={}", self.id),
            body: self.beat_text(node, "ready", seq),
        }
    }
}

impl LateBeat {
    /// Lets it arrive. Returns the status of the answer.
    pub fn send(&self, node: &Node) -> u16 {
        let json = [("Content-Type", "application/json")];
        call(node.control, "POST", &self.path, &json, self.body.as_bytes(), Duration::from_secs(1)).map_or(0, |a| a.status())
    }
}
