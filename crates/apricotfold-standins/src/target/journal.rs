//! Journal of the requests that started and how they ended, for tests that check what a target ran.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use eyre::WrapErr as _;
use serde::Serialize;

/// Maximum number of requests kept in memory. Bounds the memory use of a long run to about 100 MB.
const MAX_RECORDS: usize = 500_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// The work was finished and the whole response was handed to the connection.
    #[serde(rename = "whole")]
    Complete,
    /// The caller disconnected or the deadline passed before the request completed.
    Cancelled,
}

/// Identifying parts of a request.
#[derive(Clone, Debug, Serialize)]
pub struct RequestInfo {
    /// HTTP method as sent by the caller.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Value of the header `idempotency-key`.
    pub idempotency_key: Option<CompactString>,
    /// Value of the header `x-request-id`.
    pub request_id: Option<CompactString>,
}

/// Journal record of a request that started.
#[derive(Clone, Debug, Serialize)]
pub struct JournalRecord {
    /// Written as fields of the record itself.
    #[serde(flatten)]
    pub info: RequestInfo,
    /// Start, as Unix time in milliseconds.
    pub started_ms: u64,
    /// End, as Unix time in milliseconds; `None` while the request runs.
    pub ended_ms: Option<u64>,
    /// Way the request ended; `None` while it runs.
    pub end: Option<RequestEnd>,
}

/// Response of `GET /admin/journal`.
#[derive(Clone, Debug, Serialize)]
pub struct JournalReport {
    /// Requests kept in memory, in the order in which they started.
    pub records: Vec<JournalRecord>,
    /// Number of older requests that are no longer kept in memory.
    pub dropped: u64,
}

/// Line of the journal file.
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

/// Journal of a target, in memory and optionally in a file.
pub struct RequestJournal {
    state: Mutex<JournalState>,
}

impl RequestJournal {
    /// Opens the journal. Lines are appended to the file `path`, unless `path` is empty.
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

    /// Records the start of a request. The line is written to the kernel before this returns, so that
    /// it survives a crash of this process.
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

    /// Copies the requests that are kept in memory.
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
            log::error!("writing to journal_file failed: {error}");
        }
    }

    fn drop_oldest(&mut self) {
        while self.records.len() > MAX_RECORDS {
            self.records.pop_first();
            self.dropped += 1;
        }
    }
}

/// A running request. Dropping it before [`JournalEntry::finish`] records it as cancelled.
pub struct JournalEntry {
    journal: Arc<RequestJournal>,
    request: u64,
    end: RequestEnd,
}

impl JournalEntry {
    /// Records that the request completed.
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
