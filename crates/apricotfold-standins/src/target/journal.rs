//! Record of every request that started and how it ended, for tests that judge what a target ran.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use eyre::WrapErr as _;
use serde::Serialize;

/// Requests that are kept in memory. Bounds the memory of a long run to about 100 MB.
const MAX_RECORDS: usize = 500_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// The work was finished and the whole answer was handed to the connection.
    #[serde(rename = "whole")]
    Complete,
    /// The caller left or the deadline passed before that.
    Cancelled,
}

/// What identifies a request.
#[derive(Clone, Debug, Serialize)]
pub struct RequestInfo {
    /// HTTP method.
    pub method: CompactString,
    /// Path with the query.
    pub path: CompactString,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<CompactString>,
    /// Header `x-request-id`.
    pub request_id: Option<CompactString>,
}

/// One request that started.
#[derive(Clone, Debug, Serialize)]
pub struct JournalRecord {
    /// What identifies the request.
    #[serde(flatten)]
    pub info: RequestInfo,
    /// Start in milliseconds since 1970.
    pub started_ms: u64,
    /// End in milliseconds since 1970.
    pub ended_ms: Option<u64>,
    /// How it ended; `None` while it runs.
    pub end: Option<RequestEnd>,
}

/// All requests that are kept.
#[derive(Clone, Debug, Serialize)]
pub struct JournalReport {
    /// Requests in the order of their starts.
    pub records: Vec<JournalRecord>,
    /// Older requests that are no longer kept in memory.
    pub dropped: u64,
}

/// One line of the journal file.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum JournalLine<'a> {
    Started {
        process: u32,
        request: u64,
        #[serde(flatten)]
        info: &'a RequestInfo,
        at_ms: u64,
    },
    Ended {
        process: u32,
        request: u64,
        end: RequestEnd,
        at_ms: u64,
    },
}

#[derive(Default)]
struct JournalState {
    records: BTreeMap<u64, JournalRecord>,
    started: u64,
    dropped: u64,
    file: Option<File>,
}

/// The journal of one target.
pub struct RequestJournal {
    state: Mutex<JournalState>,
}

impl RequestJournal {
    /// Opens the journal. Lines are appended to `path` unless it is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn open(path: &str) -> eyre::Result<Self> {
        let file = if path.is_empty() {
            None
        } else {
            let opened = File::options().append(true).create(true).open(path);
            Some(opened.wrap_err_with(|| format!("opening journal_file {path}"))?)
        };
        let state = JournalState {
            file,
            ..JournalState::default()
        };
        Ok(Self {
            state: Mutex::new(state),
        })
    }

    fn lock(&self) -> MutexGuard<'_, JournalState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a request. The line is handed to the kernel before this returns, so that
    /// it outlives a crash of this process.
    pub fn start(self: &Arc<Self>, info: RequestInfo) -> JournalEntry {
        let now = wall_clock_ms();
        let mut state = self.lock();
        state.started += 1;
        let request = state.started;
        state.write_line(&JournalLine::Started {
            process: std::process::id(),
            request,
            info: &info,
            at_ms: now,
        });
        let record = JournalRecord {
            info,
            started_ms: now,
            ended_ms: None,
            end: None,
        };
        state.records.insert(request, record);
        state.drop_oldest();
        JournalEntry {
            journal: Arc::clone(self),
            request,
            end: RequestEnd::Cancelled,
        }
    }

    fn end(&self, request: u64, end: RequestEnd) {
        let now = wall_clock_ms();
        let mut state = self.lock();
        state.write_line(&JournalLine::Ended {
            process: std::process::id(),
            request,
            end,
            at_ms: now,
        });
        if let Some(record) = state.records.get_mut(&request) {
            record.ended_ms = Some(now);
            record.end = Some(end);
        }
    }

    /// All requests that are kept.
    pub fn report(&self) -> JournalReport {
        let state = self.lock();
        JournalReport {
            records: state.records.values().cloned().collect(),
            dropped: state.dropped,
        }
    }
}

impl JournalState {
    fn write_line(&mut self, line: &JournalLine<'_>) {
        let Some(file) = &mut self.file else {
            return;
        };
        let written = serde_json::to_vec(line)
            .map_err(std::io::Error::from)
            .and_then(|mut text| {
                text.push(b'\n');
                file.write_all(&text)
            });
        if let Err(error) = written {
            log::error!("writing journal_file: {error}");
        }
    }

    fn drop_oldest(&mut self) {
        while self.records.len() > MAX_RECORDS {
            self.records.pop_first();
            self.dropped += 1;
        }
    }
}

/// A request that runs. It counts as cancelled if it is dropped before [`JournalEntry::finish`].
pub struct JournalEntry {
    journal: Arc<RequestJournal>,
    request: u64,
    end: RequestEnd,
}

impl JournalEntry {
    /// Records that the request ended whole.
    pub fn finish(mut self) {
        self.end = RequestEnd::Complete;
    }
}

impl Drop for JournalEntry {
    fn drop(&mut self) {
        self.journal.end(self.request, self.end);
    }
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
