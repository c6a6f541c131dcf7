//! JSON messages of etcd v3's gateway. Keys and values are base64-encoded, 64-bit integers are
//! strings, and fields with default values are omitted.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{Compare, LeaseId, Revision, StoreEntry, StoreTxn, StoreWrite, WatchBatch, WatchEvent};

/// Encodes a key or value as base64.
pub fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// Returns the base64-encoded, exclusive end of the range of keys with `prefix`: the prefix with
/// its last byte incremented.
fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last += 1;
    }
    STANDARD.encode(bytes)
}

/// Builds the request that reads a key.
pub fn get_request(key: &str) -> Value {
    json!({"key": encode(key)})
}

/// Builds the request that reads all keys with a prefix.
pub fn list_request(prefix: &str) -> Value {
    json!({"key": encode(prefix), "range_end": prefix_end(prefix)})
}

/// Builds the request that watches all keys with a prefix.
pub fn watch_request(prefix: &str, revision: Revision) -> Value {
    json!({"create_request": {
        "key": encode(prefix),
        "range_end": prefix_end(prefix),
        "start_revision": revision.to_string(),
    }})
}

/// Builds the request of a transaction. Its failure branch reads the compared keys.
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

/// Deserializes a 64-bit integer from a string, as the gateway sends it, or from a number. Omitted
/// fields default to 0.
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

/// Reads an id that does not fit a signed number, given as text or as a number.
fn read_id<'de, D: serde::Deserializer<'de>>(reader: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Id {
        Text(String),
        Plain(u64),
    }
    match Id::deserialize(reader)? {
        Id::Text(text) => text.parse().map_err(serde::de::Error::custom),
        Id::Plain(id) => Ok(id),
    }
}

/// Deserializes base64-encoded UTF-8 text.
fn read_text<'de, D: serde::Deserializer<'de>>(reader: D) -> Result<String, D::Error> {
    let encoded = String::deserialize(reader)?;
    let bytes = STANDARD.decode(encoded).map_err(serde::de::Error::custom)?;
    String::from_utf8(bytes).map_err(serde::de::Error::custom)
}

/// Header of all responses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireHeader {
    #[serde(deserialize_with = "read_number")]
    pub revision: Revision,
    /// Id of the cluster; etcd gives another one to a cluster that is restored from a snapshot.
    #[serde(deserialize_with = "read_id")]
    pub cluster_id: u64,
}

/// The header of a response of any kind, which for lease renewals is in the result.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireAnyHeader {
    pub header: WireHeader,
    pub result: WireHeaderResult,
}

/// See [`WireAnyHeader`].
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireHeaderResult {
    pub header: WireHeader,
}

impl WireAnyHeader {
    /// Returns the cluster's id, if the response states one.
    pub fn cluster_id(&self) -> Option<u64> {
        let stated = self.header.cluster_id.max(self.result.header.cluster_id);
        (stated != 0).then_some(stated)
    }
}

/// A key-value pair with its revisions and lease.
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

/// Response to a read.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireRange {
    pub header: WireHeader,
    pub kvs: Vec<WireEntry>,
}

/// Response to a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireTxn {
    pub header: WireHeader,
    pub succeeded: bool,
    pub responses: Vec<WireOperation>,
}

/// Response to a single operation of a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireOperation {
    #[serde(alias = "responseRange")]
    pub response_range: Option<WireRange>,
}

/// Response to a lease grant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireLease {
    #[serde(rename = "ID", deserialize_with = "read_number")]
    pub id: LeaseId,
}

/// Response to a lease renewal, which the gateway wraps as an element of a stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireKeepAlive {
    pub result: WireTtl,
}

/// Remaining time of a lease, in seconds.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireTtl {
    #[serde(rename = "TTL", deserialize_with = "read_number")]
    pub ttl: i64,
}

/// An element of a watch stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireWatch {
    pub result: Option<WireWatchResult>,
    pub error: Option<Value>,
}

/// Changes delivered in an element of a watch stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireWatchResult {
    pub header: WireHeader,
    pub canceled: bool,
    pub events: Vec<WireEvent>,
}

/// A change of a key.
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
