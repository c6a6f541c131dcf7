//! What was sent, answered and run, for `record.txt` and for the check at the end.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

/// A request at an upstream that began to work on it.
#[derive(Clone, Debug)]
pub struct Run {
    pub instance: String,
    /// When the work ended; `None` while it goes on.
    pub ended: Option<f64>,
    /// Whether the upstream has sent a whole answer.
    pub answered: bool,
}

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
            runs: Mutex::default(),
        }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Notes a line that also goes to the console.
    pub fn tell(&self, text: &str) {
        println!("{:9.3} {text}", self.now());
        self.note(text);
    }

    pub fn begin_run(&self, id: &str, instance: &str) {
        self.note(&format!("run begins {id} at {instance}"));
        let run = Run {
            instance: instance.to_owned(),
            ended: None,
            answered: false,
        };
        self.runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default()
            .push(run);
    }

    pub fn end_run(&self, id: &str, instance: &str, answered: bool, how: &str) {
        self.note(&format!("run ends {id} at {instance}: {how}"));
        let mut runs = self.runs.lock().unwrap();
        let known = runs.get_mut(id).and_then(|runs| {
            runs.iter_mut()
                .find(|run| run.instance == instance && run.ended.is_none())
        });
        if let Some(run) = known {
            run.ended = Some(self.now());
            run.answered = answered;
        }
    }

    pub fn runs(&self, id: &str) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap()
            .get(id)
            .cloned()
            .unwrap_or_default()
    }

    /// Ids that upstreams began to run more than once.
    pub fn repeated(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let repeated = runs.iter().filter(|(_, runs)| runs.len() > 1);
        repeated.map(|(id, _)| id.clone()).collect()
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Random numbers that differ from run to run.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let nanos = time.map_or(1, |time| time.as_nanos() as u64);
        Self((nanos ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)) | 1)
    }

    /// A number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}
