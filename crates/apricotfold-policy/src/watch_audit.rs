//! Detection of watches whose answer never comes although the store answers other calls. See
//! `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

use apricotfold_model::TableVersion;
use strum::{Display, IntoStaticStr};

/// Revision of the store at which an entry was written.
pub type EntryRevision = u64;

/// Time for which a node may lack a table that another node has. It covers the pause between two
/// tables and the difference between two deliveries.
const TABLE_PATIENCE: Duration = Duration::from_millis(600);

/// The same for entries, whose changes are delivered together after pauses of up to 2.5 s.
const ENTRY_PATIENCE: Duration = Duration::from_millis(3_500);

/// Longest patience. It doubles with each doubt that has not helped, so that a watch is not reopened
/// over and over before a store that is slow or far behind can answer it.
const MAX_PATIENCE: Duration = Duration::from_secs(8);

/// Time without a word from a node that reaches the store after which the watches are in doubt anyway.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(1_600);

/// What a node has learned from its own watches or from other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct WatchProgress {
    /// Version of the route table.
    pub table: TableVersion,
    /// Revision of the latest entry that the node's own watch has delivered; 0 if it has none.
    pub entry: EntryRevision,
}

/// Why watches are in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WatchDoubt {
    /// Another node has a newer route table.
    TableBehind,
    /// Another node has a newer entry.
    EntryBehind,
    /// The answer of one of this node's watches did not come in time.
    Lost,
    /// The node that monitors the watches of the region has found one of its own lost.
    LostElsewhere,
    /// No other node in contact with the store has answered lately.
    Unconfirmed,
}

/// Time for which a node has lacked something that another one has.
#[derive(Clone, Debug)]
struct LagTimer {
    expected: u64,
    since: Option<Instant>,
    shortest: Duration,
    patience: Duration,
}

impl LagTimer {
    fn new(shortest: Duration) -> Self {
        Self {
            expected: 0,
            since: None,
            shortest,
            patience: shortest,
        }
    }

    fn expect(&mut self, value: u64, known: u64, now: Instant) {
        if value > known {
            self.expected = self.expected.max(value);
            self.since.get_or_insert(now);
        }
    }

    fn is_behind(&self, known: u64) -> bool {
        self.since.is_some() && known < self.expected
    }

    fn is_due(&mut self, known: u64, now: Instant) -> bool {
        let Some(since) = self.since.filter(|_| known < self.expected) else {
            *self = Self::new(self.shortest);
            return false;
        };
        if now.saturating_duration_since(since) < self.patience {
            return false;
        }
        self.since = Some(now);
        self.patience = (self.patience * 2).min(MAX_PATIENCE);
        true
    }
}

/// Compares what a node's watches have delivered with what other nodes have.
///
/// An answer of the store to one call does not show that it will answer another one, such as a watch on
/// a connection that has died. Nodes that watch the same keys learn of a change at about the same time,
/// so one that stays behind has a watch that is lost. An answer that all nodes have lost shows in no
/// comparison: one node of each region therefore waits only briefly for its answers, and the others
/// open their watches anew when it has found one of its own lost. A node that hears from no other one
/// opens its watches anew from time to time: what was missed is then delivered at once.
#[derive(Clone, Debug)]
pub struct WatchAudit {
    table: LagTimer,
    entry: LagTimer,
    /// Revision up to which the watch of the entries is known to be complete.
    covered: EntryRevision,
    /// Revision of the latest entry that it has delivered.
    delivered: EntryRevision,
    /// When the watches were last confirmed or opened anew.
    confirmed: Option<Instant>,
    /// When all watches were last opened anew.
    opened: Option<Instant>,
    /// When a watch of this node was last found lost.
    lost: Option<Instant>,
    /// When a watch of another node was last found lost.
    lost_elsewhere: Option<Instant>,
}

impl Default for WatchAudit {
    fn default() -> Self {
        Self {
            table: LagTimer::new(TABLE_PATIENCE),
            entry: LagTimer::new(ENTRY_PATIENCE),
            covered: 0,
            delivered: 0,
            confirmed: None,
            opened: None,
            lost: None,
            lost_elsewhere: None,
        }
    }
}

impl WatchAudit {
    /// Records a complete listing of the entries. What was known before may be of another history of the
    /// store.
    pub fn record_listing(&mut self, store: EntryRevision, latest: EntryRevision) {
        self.entry = LagTimer::new(ENTRY_PATIENCE);
        self.covered = store;
        self.delivered = latest;
    }

    /// Records an answer to the watch of the entries: the revision of the store and that of the latest
    /// entry in it.
    pub fn record_batch(&mut self, store: EntryRevision, latest: Option<EntryRevision>) {
        self.covered = self.covered.max(store);
        self.delivered = self.delivered.max(latest.unwrap_or(0));
    }

    /// Returns the revision of the latest entry that the watch has delivered.
    #[must_use]
    pub fn delivered(&self) -> EntryRevision {
        self.delivered
    }

    /// Forgets what other nodes had before this node began to follow the store.
    pub fn forget_table(&mut self) {
        self.table = LagTimer::new(TABLE_PATIENCE);
    }

    /// Returns whether another node has a newer table than `table`, the version that this node's watch
    /// has delivered.
    #[must_use]
    pub fn is_table_behind(&self, table: TableVersion) -> bool {
        self.table.is_behind(table)
    }

    /// Records what another node that is in contact with the store has. `table` is the version that this
    /// node's watch has delivered.
    pub fn observe(&mut self, other: WatchProgress, table: TableVersion, now: Instant) {
        self.confirmed = Some(now);
        self.table.expect(other.table, table, now);
        self.entry.expect(other.entry, self.covered, now);
    }

    /// Records that the watches need no word from another node, because an answer that is lost is noticed
    /// soon by itself.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed = Some(now);
    }

    /// Records that the answer of a watch of this node did not come in time. All watches are opened anew,
    /// since what the store sent to any of them at that time may be lost.
    pub fn record_loss(&mut self, now: Instant) -> WatchDoubt {
        self.lost = Some(now);
        self.opened = Some(now);
        self.confirmed = Some(now);
        WatchDoubt::Lost
    }

    /// Returns when a watch of this node was last found lost.
    #[must_use]
    pub fn last_loss(&self) -> Option<Instant> {
        self.lost
    }

    /// Records when another node last found one of its watches lost.
    pub fn observe_loss(&mut self, lost: Instant) {
        self.lost_elsewhere = self.lost_elsewhere.max(Some(lost));
    }

    /// Returns why the watches have to be opened anew, if they have to. `table` is the version of the table
    /// that this node's watch has delivered.
    pub fn check(&mut self, table: TableVersion, now: Instant) -> Option<WatchDoubt> {
        let confirmed = *self.confirmed.get_or_insert(now);
        let opened = *self.opened.get_or_insert(now);
        let doubt = if self.table.is_due(table, now) {
            WatchDoubt::TableBehind
        } else if self.entry.is_due(self.covered, now) {
            WatchDoubt::EntryBehind
        } else if self.lost_elsewhere.is_some_and(|lost| lost > opened) {
            WatchDoubt::LostElsewhere
        } else if now.saturating_duration_since(confirmed) >= UNCONFIRMED_TIME {
            WatchDoubt::Unconfirmed
        } else {
            return None;
        };
        self.confirmed = Some(now);
        self.opened = Some(now);
        Some(doubt)
    }
}
