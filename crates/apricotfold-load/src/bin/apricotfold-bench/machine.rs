//! Conditions under which a benchmark runs.

use std::process::Command;

use eyre::WrapErr as _;
use serde::{Deserialize, Serialize};

/// Date, commit and machine of a benchmark run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Conditions {
    /// Start of the benchmark in UTC.
    pub date: String,
    /// Commit that is checked out, marked when there are uncommitted changes.
    pub commit: String,
    /// Number of CPUs that the process may use.
    pub cores: usize,
    /// Memory of the machine in GiB.
    pub memory_gib: u64,
    /// Load average over one minute at the start of the benchmark.
    pub load_average: f64,
    /// Whether this binary was built without debug assertions, as in a release build.
    pub release: bool,
}

impl Conditions {
    /// Reads the current conditions. Date and commit are `unknown` when their commands cannot be
    /// started.
    ///
    /// # Errors
    ///
    /// Returns an error if `/proc` cannot be read.
    pub fn read() -> eyre::Result<Self> {
        let memory = std::fs::read_to_string("/proc/meminfo").wrap_err("reading memory size")?;
        let total: u64 = memory
            .split_whitespace()
            .nth(1)
            .and_then(|number| number.parse().ok())
            .unwrap_or_default();
        Ok(Self {
            date: output_of("date", &["-u", "+%Y-%m-%d %H:%M UTC"]),
            commit: output_of("git", &["describe", "--always", "--dirty", "--exclude=*"]),
            cores: std::thread::available_parallelism()?.get(),
            memory_gib: total.div_ceil(1024 * 1024),
            load_average: load_average()?,
            release: !cfg!(debug_assertions),
        })
    }
}

/// Reads the load average over one minute.
///
/// # Errors
///
/// Returns an error if `/proc` cannot be read.
pub fn load_average() -> eyre::Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").wrap_err("reading the load average")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    Ok(first.parse()?)
}

fn output_of(program: &str, args: &[&str]) -> String {
    let output = Command::new(program).args(args).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    text.unwrap_or_else(|_| "unknown".to_owned())
}
