//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct State {
    file: File,
}

/// Writes lines to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            started: Instant::now(),
            state: Arc::new(Mutex::new(State { file })),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut state = self.state.lock().expect("no panic while locked");
        let _ = writeln!(state.file, "{now:>6} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
