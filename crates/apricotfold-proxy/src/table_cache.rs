//! Cache of the newest route table, and its transfer between nodes. See `docs/platform.md`, section
//! 4.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use apricotfold_model::{RawRouteTable, RouteTable, TableDelta, TableVersion, log_event};
use arc_swap::ArcSwap;

use crate::adapters::TableSource;
use crate::compressed_json::{compress, decompress};

/// Number of earlier versions from which a node can be brought up to date by deltas.
const MAX_DELTAS: usize = 16;

/// A newer route table as one node sends it to another.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableTransfer {
    /// The whole table, compressed.
    Whole(String),
    /// The deltas since the receiver's version in ascending order, each compressed.
    Deltas(Vec<String>),
}

/// A delta with its compressed form, which is created once for all receivers.
#[derive(Debug)]
struct CachedDelta {
    delta: TableDelta,
    compressed: OnceLock<String>,
}

/// A route table with the forms in which it is sent to other nodes.
#[derive(Debug, Default)]
pub struct CachedTable {
    /// The decoded table; version 0 before any table is known.
    pub table: Arc<RouteTable>,
    /// Text that the table was decoded from; `None` if a peer sent it.
    text: Option<String>,
    whole: OnceLock<String>,
    /// Deltas up to this table in ascending order; each applies to the result of the one before.
    deltas: VecDeque<Arc<CachedDelta>>,
}

impl CachedTable {
    /// Returns what a node with an older table needs to have this one, or `None` if the node's table
    /// is not older.
    pub fn transfer_from(&self, version: TableVersion) -> Option<TableTransfer> {
        if self.table.version <= version {
            return None;
        }
        let mut bases = self.deltas.iter().map(|cached| cached.delta.base);
        let base = bases.rposition(|base| base <= version);
        let Some(base) = base else {
            return Some(TableTransfer::Whole(self.whole().to_owned()));
        };
        let deltas = self.deltas.iter().skip(base);
        let changed: usize = deltas.clone().map(|cached| cached.delta.routes.len()).sum();
        if changed > self.table.len() {
            return Some(TableTransfer::Whole(self.whole().to_owned()));
        }
        let compressed = deltas.map(|cached| {
            let text = cached.compressed.get_or_init(|| compress(&cached.delta));
            text.clone()
        });
        Some(TableTransfer::Deltas(compressed.collect()))
    }

    fn whole(&self) -> &str {
        self.whole
            .get_or_init(|| compress(&RawRouteTable::from(&*self.table)))
    }
}

/// Holds the newest table and never replaces it with an older one.
pub struct TableCache {
    source: Arc<dyn TableSource>,
    cached: ArcSwap<CachedTable>,
    /// Locked while a version is compared with the current one and replaces it.
    replacing: Mutex<()>,
    /// Whether deltas of a peer could not be applied, so that a whole table is needed.
    needs_whole: AtomicBool,
    /// Version of the latest table that the store has delivered.
    delivered: AtomicU64,
}

impl TableCache {
    /// Creates a cache without a table.
    pub fn new(source: Arc<dyn TableSource>) -> Self {
        Self {
            source,
            cached: ArcSwap::default(),
            replacing: Mutex::default(),
            needs_whole: AtomicBool::new(false),
            delivered: AtomicU64::new(0),
        }
    }

    /// Returns the key of the table in the store.
    pub fn key(&self) -> &str {
        self.source.key()
    }

    /// Returns the current table.
    pub fn current(&self) -> Arc<CachedTable> {
        self.cached.load_full()
    }

    /// Returns the version of the current table; 0 if there is none.
    pub fn version(&self) -> TableVersion {
        self.cached.load().table.version
    }

    /// Returns the version of the latest table that the store has delivered; 0 if it has delivered none.
    pub fn delivered_version(&self) -> TableVersion {
        self.delivered.load(Ordering::Relaxed)
    }

    /// Returns the version from which peers can bring this node up to date; 0 if only a whole table
    /// will do.
    pub fn transfer_base(&self) -> TableVersion {
        if self.needs_whole.load(Ordering::Relaxed) {
            return 0;
        }
        self.version()
    }

    /// Replaces the table if the text from the store has a newer one. A table that cannot be decoded
    /// completely leaves the current one in place. Returns whether the table was replaced.
    pub fn update(&self, text: &str) -> bool {
        let known = self.current();
        if known.text.as_deref() == Some(text) {
            return false;
        }
        let started = Instant::now();
        let table = match self.source.decode(text) {
            Ok(table) => table,
            Err(errors) => {
                let version = known.table.version;
                log_event!(
                    error,
                    TableRefused,
                    "from the store, keeping {version}: {errors}"
                );
                return false;
            }
        };
        self.delivered.store(table.version, Ordering::Relaxed);
        let delta = (known.table.version > 0 && table.version > known.table.version)
            .then(|| table.delta_from(&known.table));
        let origin = format!(
            "the store, {} bytes decoded in {:?}",
            text.len(),
            started.elapsed()
        );
        self.replace(&known, table, Some(text.to_owned()), delta, &origin)
    }

    /// Applies a table that a peer sent. Returns whether the table was replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if the transfer cannot be read or does not fit the current table; the table
    /// then stays as it is, and [`transfer_base`](Self::transfer_base) asks for a whole one.
    pub fn apply(&self, transfer: &TableTransfer) -> eyre::Result<bool> {
        let applied = self.try_apply(transfer);
        let failed_delta = applied.is_err() && matches!(transfer, TableTransfer::Deltas(_));
        self.needs_whole.store(failed_delta, Ordering::Relaxed);
        applied
    }

    fn try_apply(&self, transfer: &TableTransfer) -> eyre::Result<bool> {
        match transfer {
            TableTransfer::Whole(compressed) => {
                let raw: RawRouteTable = decompress(compressed)?;
                let table = RouteTable::try_from(raw)?;
                Ok(self.replace(&self.current(), table, None, None, "a peer"))
            }
            TableTransfer::Deltas(deltas) => {
                let mut replaced = false;
                for compressed in deltas {
                    let delta: TableDelta = decompress(compressed)?;
                    let known = self.current();
                    // The store may have delivered a newer table meanwhile.
                    if delta.version <= known.table.version {
                        continue;
                    }
                    let table = known.table.apply_delta(&delta)?;
                    let origin = format!("a peer, {} routes changed", delta.routes.len());
                    replaced |= self.replace(&known, table, None, Some(delta), &origin);
                }
                Ok(replaced)
            }
        }
    }

    /// Replaces the current table if the offered one is newer. `delta` starts from `known`, which may
    /// no longer be the current table. `origin` is for log lines.
    fn replace(
        &self,
        known: &Arc<CachedTable>,
        table: RouteTable,
        text: Option<String>,
        delta: Option<TableDelta>,
        origin: &str,
    ) -> bool {
        let _replacing = self.replacing.lock().expect("no panic while locked");
        let current = self.current();
        let former = current.table.version;
        let (version, routes) = (table.version, table.len());
        if version <= former {
            if version < former {
                log_event!(
                    warn,
                    OlderVersionIgnored,
                    "{version} from {origin}, keeping {former}"
                );
            }
            return false;
        }
        let mut deltas = VecDeque::new();
        if let Some(delta) = delta.filter(|_| Arc::ptr_eq(&current, known)) {
            deltas.clone_from(&current.deltas);
            deltas.push_back(Arc::new(CachedDelta {
                delta,
                compressed: OnceLock::new(),
            }));
            if deltas.len() > MAX_DELTAS {
                deltas.pop_front();
            }
        }
        self.cached.store(Arc::new(CachedTable {
            table: Arc::new(table),
            text,
            whole: OnceLock::new(),
            deltas,
        }));
        log_event!(
            info,
            TableApplied,
            "version {version} with {routes} routes from {origin}, was {former}"
        );
        true
    }
}
