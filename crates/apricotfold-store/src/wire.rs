//! JSON forms of etcd v3's gateway: base64 keys and values, 64-bit numbers as text, and defaults
//! left out.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{Compare, LeaseId, Revision, StoreEntry, StoreTxn, StoreWrite, WatchBatch, WatchEvent};

/// Encodes a key or value.
pub fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// The end of the range of all keys with `prefix`: the prefix with its last byte raised by one.
fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last += 1;
    }
    STANDARD.encode(bytes)
}

/// Request that reads one key.
pub fn get_request(key: &str) -> Value {
    json!({"key": encode(key)})
}

/// Request that reads all keys with a prefix.
pub fn list_request(prefix: &str) -> Value {
    json!({"key": encode(prefix), "range_end": prefix_end(prefix)})
}

/// Request that watches all keys with a prefix.
pub fn watch_request(prefix: &str, revision: Revision) -> Value {
    json!({"create_request": {
        "key": encode(prefix),
        "range_end": prefix_end(prefix),
        "start_revision": revision.to_string(),
    }})
}

/// Request of a transaction; its failure branch reads the compared keys.
pub fn txn_request(txn: &StoreTxn) -> Value {
    let compares: Vec<Value> = txn.compares.iter().map(compare_request).collect();
    let writes: Vec<Value> = txn.writes.iter().map(write_request).collect();
    let reads: Vec<Value> = txn
        .compares
        .iter()
        .map(|compare| json!({"request_range": get_request(compare.key())}))
        .collect();
    json!({"compare": compares, "success": writes, "failure": reads})
}

fn compare_request(compare: &Compare) -> Value {
    let key = encode(compare.key());
    match compare {
        Compare::Absent { .. } => {
            json!({"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": "0"})
        }
        Compare::ModRevision { revision, .. } => json!({
            "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string(),
        }),
        Compare::CreateRevision { revision, .. } => json!({
            "key": key, "target": "CREATE", "result": "EQUAL",
            "create_revision": revision.to_string(),
        }),
    }
}

fn write_request(write: &StoreWrite) -> Value {
    match write {
        StoreWrite::Put { key, value, lease } => json!({"request_put": {
            "key": encode(key), "value": encode(value), "lease": lease.to_string(),
        }}),
        StoreWrite::Delete { key } => json!({"request_delete_range": {"key": encode(key)}}),
    }
}

/// Reads a 64-bit number that may be a text, a number or left out.
fn read_number<'de, D: serde::Deserializer<'de>>(reader: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Text(String),
        Plain(i64),
    }
    match Number::deserialize(reader)? {
        Number::Text(text) => text.parse().map_err(serde::de::Error::custom),
        Number::Plain(number) => Ok(number),
    }
}

/// Reads base64 text.
fn read_text<'de, D: serde::Deserializer<'de>>(reader: D) -> Result<String, D::Error> {
    let encoded = String::deserialize(reader)?;
    let bytes = STANDARD.decode(encoded).map_err(serde::de::Error::custom)?;
    String::from_utf8(bytes).map_err(serde::de::Error::custom)
}

/// Header of every answer.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireHeader {
    #[serde(deserialize_with = "read_number")]
    pub revision: Revision,
}

/// A key with its value.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireEntry {
    #[serde(deserialize_with = "read_text")]
    key: String,
    #[serde(deserialize_with = "read_text")]
    value: String,
    #[serde(deserialize_with = "read_number")]
    create_revision: Revision,
    #[serde(deserialize_with = "read_number")]
    mod_revision: Revision,
    #[serde(deserialize_with = "read_number")]
    lease: LeaseId,
}

impl From<WireEntry> for StoreEntry {
    fn from(entry: WireEntry) -> Self {
        Self {
            key: entry.key,
            value: entry.value,
            create_revision: entry.create_revision,
            mod_revision: entry.mod_revision,
            lease: entry.lease,
        }
    }
}

/// Answer to a read.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireRange {
    pub header: WireHeader,
    pub kvs: Vec<WireEntry>,
}

/// Answer to a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireTxn {
    pub header: WireHeader,
    pub succeeded: bool,
    pub responses: Vec<WireOperation>,
}

/// Answer to one operation of a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireOperation {
    #[serde(alias = "responseRange")]
    pub response_range: Option<WireRange>,
}

/// Answer to a lease grant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireLease {
    #[serde(rename = "ID", deserialize_with = "read_number")]
    pub id: LeaseId,
}

/// Answer to a lease renewal, which the gateway wraps as a stream element.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireKeepAlive {
    pub result: WireTtl,
}

/// Time that a lease has left.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireTtl {
    #[serde(rename = "TTL", deserialize_with = "read_number")]
    pub ttl: i64,
}

/// One element of a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireWatch {
    pub result: Option<WireWatchResult>,
    pub error: Option<Value>,
}

/// Changes in one element of a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireWatchResult {
    pub header: WireHeader,
    pub canceled: bool,
    pub events: Vec<WireEvent>,
}

/// One change.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireEvent {
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: WireEntry,
}

impl From<WireWatchResult> for WatchBatch {
    fn from(result: WireWatchResult) -> Self {
        let events = result.events.into_iter().map(WatchEvent::from).collect();
        Self {
            revision: result.header.revision,
            events,
        }
    }
}

impl From<WireEvent> for WatchEvent {
    fn from(event: WireEvent) -> Self {
        if event.kind == "DELETE" {
            return Self::Delete(event.kv.key);
        }
        Self::Put(event.kv.into())
    }
}
