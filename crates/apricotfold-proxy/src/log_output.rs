//! Log output that never blocks the caller and has a bounded volume. See `docs/OPERATIONS.md`.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, UNIX_EPOCH};

use apricotfold_model::{EventCode, NodeId, WallClock, event_message};
use compact_str::CompactString;

use crate::telemetry;

/// Lines of one event code per second; further lines are counted and dropped.
const LINES_PER_EVENT: u32 = 250;

/// Largest number of bytes that wait for the writer. Lines that do not fit are counted and dropped.
const BUFFER_BYTES: usize = 256 * 1024;

/// Interval of writes, so that even a second with many lines needs only a few.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Length of an event code such as `AF3001`.
const CODE_CHARS: usize = 6;

#[derive(Default)]
struct BufferState {
    waiting: Vec<u8>,
    second: Option<Instant>,
    lines: BTreeMap<CompactString, u32>,
    dropped: BTreeMap<CompactString, u64>,
}

#[derive(Default)]
struct SharedBuffer {
    state: Mutex<BufferState>,
    filled: Condvar,
}

/// Buffers log lines for a writer in a thread of its own.
#[derive(Clone)]
pub struct BoundedLog(Arc<SharedBuffer>);

impl BoundedLog {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let buffer = Arc::new(SharedBuffer::default());
        let shared = buffer.clone();
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&shared, output))?;
        Ok(Self(buffer))
    }

    /// Writes the buffered lines directly, for use at the end of the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the output.
    pub fn flush_to(&self, mut output: impl Write) -> io::Result<()> {
        let waiting = std::mem::take(&mut self.0.lock().waiting);
        output.write_all(&waiting)?;
        output.flush()
    }
}

/// Sends the process's log lines to `log`. Each line starts with its time of day, the time since the
/// process started, its level and node. The time of day may jump; the time since the start orders the
/// lines of a process.
pub fn install(log: &BoundedLog, node: NodeId, clock: Arc<dyn WallClock>) {
    let started = Instant::now();
    let filter = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(filter)
        .target(env_logger::Target::Pipe(Box::new(log.clone())))
        .format(move |line, record| {
            let time = clock.now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let (seconds, millis) = (time.as_secs(), time.subsec_millis());
            let up = started.elapsed().as_secs_f64();
            let (level, text) = (record.level(), record.args());
            writeln!(
                line,
                "ts={seconds}.{millis:03} up={up:.3} level={level} node={node} {text}"
            )
        })
        .init();
}

impl SharedBuffer {
    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().expect("no panic while locked")
    }
}

impl Write for BoundedLog {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock();
        state.take_line(line, Instant::now());
        self.0.filled.notify_one();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl BufferState {
    fn take_line(&mut self, line: &[u8], now: Instant) {
        let second = *self.second.get_or_insert(now);
        if now.saturating_duration_since(second) >= Duration::from_secs(1) {
            self.second = Some(now);
            self.lines.clear();
            self.report_dropped();
        }
        let code = event_code(line);
        let lines = self.lines.entry(code.clone()).or_default();
        *lines += 1;
        if *lines > LINES_PER_EVENT || self.waiting.len() + line.len() > BUFFER_BYTES {
            *self.dropped.entry(code).or_default() += 1;
            return;
        }
        self.waiting.extend_from_slice(line);
    }

    /// Adds a line with the dropped counts, so that no loss goes unreported.
    fn report_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.dropped);
        let total = dropped.values().sum();
        if total == 0 {
            return;
        }
        telemetry::count_dropped_lines(total);
        let code = EventCode::LogLinesDropped;
        let message = event_message(code);
        let line = format!("level=WARN {} {message}: {dropped:?}\n", code.as_ref());
        self.waiting.extend_from_slice(line.as_bytes());
    }
}

/// Returns the event code of a line; lines without one share the empty code.
fn event_code(line: &[u8]) -> CompactString {
    let text = String::from_utf8_lossy(line);
    let code = text
        .match_indices("AF")
        .filter_map(|(start, _)| text.get(start..start + CODE_CHARS))
        .find(|code| code[2..].bytes().all(|byte| byte.is_ascii_digit()));
    code.unwrap_or_default().into()
}

fn write_lines(buffer: &SharedBuffer, mut output: impl Write) {
    loop {
        let lines = {
            let mut state = buffer.lock();
            while state.waiting.is_empty() {
                state = buffer.filled.wait(state).expect("no panic while locked");
            }
            std::mem::take(&mut state.waiting)
        };
        // The output is closed, so the failure cannot be reported; the metrics are still served.
        if output
            .write_all(&lines)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}
