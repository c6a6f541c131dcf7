//! The route table in force.

use std::sync::Arc;

use apricotfold_model::{RouteTable, TableVersion, log_event};
use arc_swap::ArcSwap;

use crate::borders::TableSource;

/// A table with the text that it was read from, for peers that cannot reach the store.
#[derive(Debug, Default)]
pub struct KeptTable {
    /// The table; version 0 before any is known.
    pub table: Arc<RouteTable>,
    /// Its text.
    pub text: String,
}

/// Keeps the newest table and never goes back to an older one.
pub struct TableKeeper {
    source: Arc<dyn TableSource>,
    kept: ArcSwap<KeptTable>,
}

impl TableKeeper {
    /// Starts without a table.
    pub fn new(source: Arc<dyn TableSource>) -> Self {
        Self {
            source,
            kept: ArcSwap::default(),
        }
    }

    /// Key of the table in the store.
    pub fn key(&self) -> &str {
        self.source.key()
    }

    /// The table in force.
    pub fn current(&self) -> Arc<KeptTable> {
        self.kept.load_full()
    }

    /// Version in force; 0 for none.
    pub fn version(&self) -> TableVersion {
        self.kept.load().table.version
    }

    /// Puts a table in force if it is newer. A table that cannot be read as a whole leaves the
    /// former one in force. Returns whether it was put in force.
    pub fn offer(&self, text: &str, origin: &str) -> bool {
        if self.kept.load().text == text {
            return false;
        }
        let table = match self.source.decode(text) {
            Ok(table) => table,
            Err(errors) => {
                let kept = self.version();
                log_event!(
                    error,
                    TableRefused,
                    "from {origin}, keeping {kept}: {errors}"
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
                    OlderVersion,
                    "{offered} from {origin}, keeping {known}"
                );
            }
            return false;
        }
        let (version, routes) = (table.version, table.len());
        self.kept.store(Arc::new(KeptTable {
            table: Arc::new(table),
            text: text.to_owned(),
        }));
        log_event!(
            info,
            TableApplied,
            "version {version} with {routes} routes from {origin}, was {known}"
        );
        true
    }
}
