//! The route table in force.

use std::io::{Read, Write};
use std::sync::{Arc, OnceLock};

use apricotfold_model::{RouteTable, TableVersion, log_event};
use arc_swap::ArcSwap;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

use crate::adapters::TableSource;

/// Largest table: the store's values are smaller.
const MAX_TABLE_BYTES: u64 = 4 * 1024 * 1024;

/// A table with the text that it was read from, for peers that cannot reach the store.
#[derive(Debug, Default)]
pub struct CachedTable {
    /// The table; version 0 before any is known.
    pub table: Arc<RouteTable>,
    /// Its text.
    pub text: String,
    compressed: OnceLock<String>,
}

impl CachedTable {
    /// The text for peers, compressed once for all of them: a relay with a narrow link serves many.
    pub fn compressed(&self) -> &str {
        self.compressed.get_or_init(|| compress_text(&self.text))
    }
}

/// Compresses a text.
fn compress_text(text: &str) -> String {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    let compressed = encoder
        .write_all(text.as_bytes())
        .and_then(|()| encoder.finish());
    STANDARD.encode(compressed.expect("memory takes any number of bytes"))
}

/// Reads a text that [`CachedTable::compressed`] wrote.
///
/// # Errors
///
/// Returns an error when it is damaged or larger than any table.
pub fn decompress_text(compressed: &str) -> eyre::Result<String> {
    let bytes = STANDARD.decode(compressed)?;
    let mut text = String::new();
    ZlibDecoder::new(bytes.as_slice())
        .take(MAX_TABLE_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}

/// Keeps the newest table and never goes back to an older one.
pub struct TableCache {
    source: Arc<dyn TableSource>,
    cached: ArcSwap<CachedTable>,
}

impl TableCache {
    /// Starts without a table.
    pub fn new(source: Arc<dyn TableSource>) -> Self {
        Self {
            source,
            cached: ArcSwap::default(),
        }
    }

    /// Key of the table in the store.
    pub fn key(&self) -> &str {
        self.source.key()
    }

    /// The table in force.
    pub fn current(&self) -> Arc<CachedTable> {
        self.cached.load_full()
    }

    /// Version in force; 0 for none.
    pub fn version(&self) -> TableVersion {
        self.cached.load().table.version
    }

    /// Puts a table in force if it is newer. A table that cannot be read as a whole leaves the
    /// former one in force. Returns whether it was put in force.
    pub fn update(&self, text: &str, origin: &str) -> bool {
        if self.cached.load().text == text {
            return false;
        }
        let table = match self.source.decode(text) {
            Ok(table) => table,
            Err(errors) => {
                let cached = self.version();
                log_event!(
                    error,
                    TableRefused,
                    "from {origin}, keeping {cached}: {errors}"
                );
                return false;
            }
        };
        let known = self.version();
        if table.version <= known {
            if table.version < known {
                let offered = table.version;
                log_event!(
                    warn,
                    OlderVersionIgnored,
                    "{offered} from {origin}, keeping {known}"
                );
            }
            return false;
        }
        let (version, routes) = (table.version, table.len());
        self.cached.store(Arc::new(CachedTable {
            table: Arc::new(table),
            text: text.to_owned(),
            compressed: OnceLock::new(),
        }));
        log_event!(
            info,
            TableApplied,
            "version {version} with {routes} routes from {origin}, was {known}"
        );
        true
    }
}
